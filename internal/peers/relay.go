package peers

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// relayFrom is the number of connected instances from which a zone is told by a
// relay. Below, what a relay saves is less than what its loss costs: up to half of
// the statuses until it is noticed.
const relayFrom = 5

// wordRelays is the number of instances of a zone that pass on what is sent to all:
// such messages are not sent again, so that one relay may be lost.
const wordRelays = 2

// recipient is a peer to which a message is sent.
type recipient struct {
	name string
	// relays is set if the peer is to pass the message on to its zone.
	relays bool
}

// recipients returns to whom a message goes: all of the own zone, and all or some
// relays of each other zone, which choose picks from the sorted names.
func recipients(connected []mesh.Peer, self mesh.Peer, choose func(zone []mesh.Peer) []mesh.Peer) []recipient {
	zones := make(map[string][]mesh.Peer)
	for _, p := range connected {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	out := make([]recipient, 0, len(connected))
	for zone, members := range zones {
		relays := zone != self.Zone && len(members) >= relayFrom
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

// inTurn chooses a different relay for each status, so that one that has ended or is
// silent costs one status in as many as its zone has instances. The name spreads
// the first turns.
func inTurn(self mesh.Peer, seq uint64) func([]mesh.Peer) []mesh.Peer {
	return func(zone []mesh.Peer) []mesh.Peer {
		turn := (xxhash.Sum64String(self.Name) + seq) % uint64(len(zone))
		return zone[turn : turn+1]
	}
}

// firstHeard chooses the first relays that are heard, or the first ones.
func firstHeard(heard []Peer) func([]mesh.Peer) []mesh.Peer {
	return func(zone []mesh.Peer) []mesh.Peer {
		var out []mesh.Peer
		for _, p := range zone {
			if len(out) < wordRelays && slices.ContainsFunc(heard, func(h Peer) bool { return h.Name == p.Name }) {
				out = append(out, p)
			}
		}
		if len(out) == 0 {
			out = zone[:min(wordRelays, len(zone))]
		}
		return out
	}
}

// SendAll sends a message to all peers, through relays under another method where a
// zone is large. It may be lost, and arrive twice.
func (e *Exchange) SendAll(method, relayMethod string, body []byte) {
	for _, to := range recipients(e.node.Peers(), e.node.Self(), firstHeard(e.Reachable())) {
		if to.relays {
			e.enqueue(to.name, message{relayMethod, body})
			continue
		}
		e.enqueue(to.name, message{method, body})
	}
}

// relayStatus takes the status of a peer of another zone and passes it on to the
// own zone.
func (e *Exchange) relayStatus(ctx context.Context, from mesh.Peer, body []byte) ([]byte, error) {
	if _, err := e.takeStatus(ctx, from, body); err != nil {
		return nil, err
	}
	e.SendZone(methodStatus, body)
	return nil, nil
}
