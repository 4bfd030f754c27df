package peers

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// relayMinInstances is the number of connected instances from which a zone receives
// statuses through a relay. In a smaller zone the loss of a relay costs more than
// relaying saves: up to half of the statuses until it is noticed.
const relayMinInstances = 5

// broadcastRelays is the number of instances of a zone that forward a message sent to
// all. Such messages are not sent again, so the loss of one relay must not lose them.
const broadcastRelays = 2

// recipient is a peer to which a message is sent.
type recipient struct {
	name string
	// relays is set if the peer forwards the message to its zone.
	relays bool
}

// recipients returns the peers that receive a message directly: all peers in the zone of
// self and in small zones, and the relays that choose picks from the sorted peers of
// each large zone.
func recipients(connected []mesh.Peer, self mesh.Peer, choose func(zone []mesh.Peer) []mesh.Peer) []recipient {
	zones := make(map[string][]mesh.Peer)
	for _, p := range connected {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	out := make([]recipient, 0, len(connected))
	for zone, members := range zones {
		relays := zone != self.Zone && len(members) >= relayMinInstances
		if relays {
			slices.SortFunc(members, func(a, b mesh.Peer) int { return cmp.Compare(a.Name, b.Name) })
			members = choose(members)
		}
		for _, p := range members {
			out = append(out, recipient{name: p.Name, relays: relays})
		}
	}
	return out
}

// rotatingRelay returns a function that chooses a different relay for each status. A
// relay that has ended or does not respond then loses one status in as many as its zone
// has instances. The hash of the name spreads the first choices of the senders.
func rotatingRelay(self mesh.Peer, seq uint64) func([]mesh.Peer) []mesh.Peer {
	return func(zone []mesh.Peer) []mesh.Peer {
		turn := (xxhash.Sum64String(self.Name) + seq) % uint64(len(zone))
		return zone[turn : turn+1]
	}
}

// firstReachable returns a function that chooses the first reachable relays of a zone,
// or the first ones if none is reachable.
func firstReachable(reachable []Peer) func([]mesh.Peer) []mesh.Peer {
	return func(zone []mesh.Peer) []mesh.Peer {
		var out []mesh.Peer
		for _, p := range zone {
			if len(out) < broadcastRelays && slices.ContainsFunc(reachable, func(r Peer) bool { return r.Name == p.Name }) {
				out = append(out, p)
			}
		}
		if len(out) == 0 {
			out = zone[:min(broadcastRelays, len(zone))]
		}
		return out
	}
}

// SendAll sends a message to all peers. In large zones relays forward it; they receive
// it under relayMethod. The message may be lost or arrive twice.
func (e *Exchange) SendAll(method, relayMethod string, body []byte) {
	for _, to := range recipients(e.node.Peers(), e.node.Self(), firstReachable(e.Reachable())) {
		if to.relays {
			e.enqueue(to.name, message{relayMethod, body})
			continue
		}
		e.enqueue(to.name, message{method, body})
	}
}

// relayStatus applies the status of a peer of another zone and forwards it to the zone of
// this instance.
func (e *Exchange) relayStatus(ctx context.Context, from mesh.Peer, body []byte) ([]byte, error) {
	if _, err := e.handleStatus(ctx, from, body); err != nil {
		return nil, err
	}
	e.SendZone(methodStatus, body)
	return nil, nil
}
