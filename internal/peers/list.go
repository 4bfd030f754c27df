package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	// knownFor is how long a peer that is not heard stays in the list.
	knownFor   = 30 * time.Second
	methodList = "peers.list"
	// listTimeout bounds the question for a peer's list.
	listTimeout = 500 * time.Millisecond
)

type listRequest struct{}

type listAnswer struct {
	Peers []mesh.PeerAddress `msgpack:"p"`
	// Complete is set if the peer takes its list for complete.
	Complete bool `msgpack:"c,omitempty"`
}

func (e *Exchange) listAsked(context.Context, mesh.Peer, *listRequest) (*listAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := mesh.PeerAddress{Peer: e.node.Self(), Address: e.address}
	return &listAnswer{Peers: append(e.addresses(), own), Complete: e.complete.Load()}, nil
}

// Seed dials addresses at which peers may be found, while none is known.
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

// FetchList asks connected peers, in random order, for those that they know, until one
// answers.
func (e *Exchange) FetchList(ctx context.Context) {
	connected := e.node.Peers()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	for _, p := range connected {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		answer, err := mesh.Call[listRequest, listAnswer](callCtx, e.node, p.Name, methodList, &listRequest{})
		cancel()
		if err != nil {
			e.log.WithField("peer", p.Name).WithError(err).Info("peers: No list from peer.")
			continue
		}
		e.Add(answer.Peers)
		if answer.Complete {
			e.MarkComplete()
		}
		return
	}
}

// MarkComplete notes that all instances are known: the store or a peer that knows
// them told so. Until then Names may lack most of them.
func (e *Exchange) MarkComplete() { e.complete.Store(true) }

// Complete reports whether all instances are known.
func (e *Exchange) Complete() bool { return e.complete.Load() }

// Add notes peers by their addresses and keeps connections to them.
func (e *Exchange) Add(list []mesh.PeerAddress) {
	e.mu.Lock()
	now := e.now()
	for _, p := range list {
		e.meet(p, now)
	}
	e.publishNames()
	addresses := e.addresses()
	e.mu.Unlock()
	// While no peer is known, connections to seeds are kept.
	if len(addresses) > 0 {
		e.node.SetPeers(addresses)
	}
}

// meet requires e.mu.
func (e *Exchange) meet(p mesh.PeerAddress, now time.Time) {
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

// forget drops peers that were not heard for long.
func (e *Exchange) forget(now time.Time) {
	e.mu.Lock()
	changed := false
	for name, p := range e.known {
		last := p.AddedAt
		if p.LastStatusAt.After(last) {
			last = p.LastStatusAt
		}
		if now.Sub(last) > knownFor {
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
