package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	// peerRetention is how long a peer that sends no status stays in the list.
	peerRetention = 30 * time.Second
	methodList    = "peers.list"
	// listTimeout bounds a call for the list of a peer.
	listTimeout = 500 * time.Millisecond
)

type listRequest struct{}

type listResponse struct {
	Peers []mesh.PeerAddress `msgpack:"p"`
	// Complete is set if the peer considers its list complete.
	Complete bool `msgpack:"c,omitempty"`
}

func (e *Exchange) handleList(context.Context, mesh.Peer, *listRequest) (*listResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := mesh.PeerAddress{Peer: e.node.Self(), Address: e.address}
	return &listResponse{Peers: append(e.addresses(), own), Complete: e.complete.Load()}, nil
}

// Seed dials the known peers and addresses at which others may be found.
func (e *Exchange) Seed(addresses []string) {
	e.mu.Lock()
	all := e.addresses()
	e.mu.Unlock()
	for _, a := range addresses {
		if a != "" && a != e.address {
			all = append(all, mesh.PeerAddress{Address: a})
		}
	}
	e.node.SetPeers(all)
}

// FetchList requests the list of instances from connected peers, in random order, until
// one responds.
func (e *Exchange) FetchList(ctx context.Context) {
	connected := e.node.Peers()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	for _, p := range connected {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		response, err := mesh.Call[listRequest, listResponse](callCtx, e.node, p.Name, methodList, &listRequest{})
		cancel()
		if err != nil {
			e.log.WithField("peer", p.Name).WithError(err).Info("peers: Cannot fetch list of instances from peer.")
			continue
		}
		e.Add(response.Peers)
		if response.Complete {
			e.MarkComplete()
		}
		return
	}
}

// MarkComplete records that all instances are known, from the store or from a peer with
// a complete list. Until then Names may lack most of them.
func (e *Exchange) MarkComplete() { e.complete.Store(true) }

// Complete reports whether all instances are known.
func (e *Exchange) Complete() bool { return e.complete.Load() }

// Add adds peers by their addresses and keeps connections to them.
func (e *Exchange) Add(list []mesh.PeerAddress) {
	e.mu.Lock()
	now := e.now()
	for _, p := range list {
		e.addPeer(p, now)
	}
	e.publishNames()
	addresses := e.addresses()
	e.mu.Unlock()
	// While no peer is known, the connections to seeds are kept.
	if len(addresses) > 0 {
		e.node.SetPeers(addresses)
	}
}

// addPeer requires e.mu.
func (e *Exchange) addPeer(p mesh.PeerAddress, now time.Time) {
	if p.Name == e.Self() || p.Address == "" {
		return
	}
	if old := e.known[p.Name]; old != nil && old.Address == p.Address {
		return
	}
	e.known[p.Name] = &Peer{Name: p.Name, Zone: p.Zone, Address: p.Address, AddedAt: now}
}

// addresses requires e.mu.
func (e *Exchange) addresses() []mesh.PeerAddress {
	var out []mesh.PeerAddress
	for _, p := range e.known {
		out = append(out, mesh.PeerAddress{Peer: mesh.Peer{Name: p.Name, Zone: p.Zone}, Address: p.Address})
	}
	return out
}

// removeExpired removes peers whose last status is older than peerRetention.
func (e *Exchange) removeExpired(now time.Time) {
	e.mu.Lock()
	changed := false
	for name, p := range e.known {
		last := p.AddedAt
		if p.LastStatusAt.After(last) {
			last = p.LastStatusAt
		}
		if now.Sub(last) > peerRetention {
			delete(e.known, name)
			changed = true
		}
	}
	if changed {
		e.publishNames()
	}
	addresses := e.addresses()
	e.mu.Unlock()
	if changed {
		e.node.SetPeers(addresses)
	}
}
