// Package meshtest joins instances in one process without a network, for tests:
// cuts and lost messages are set by the test, and calls run on the caller's
// goroutine.
package meshtest

import (
	"context"
	"sort"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// Network joins members. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	members map[string]*Member
	cuts    map[pair]bool
	// drop decides the fate of each call; nil delivers all.
	drop func(from, to mesh.Peer, method string) Outcome
}

// Outcome is what happens to one call.
type Outcome int

// Fates of calls.
const (
	// Deliver hands the call over and returns its answer.
	Deliver Outcome = iota
	// LoseRequest loses the call before it is handled.
	LoseRequest
	// LoseResponse loses the answer after the call is handled.
	LoseResponse
	// Duplicate hands the call over twice and returns the second answer.
	Duplicate
)

type pair struct{ a, b string }

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{members: make(map[string]*Member), cuts: make(map[pair]bool)}
}

// Member is the mesh of one instance. It implements mesh.Mesh.
type Member struct {
	network  *Network
	self     mesh.Peer
	handlers map[string]mesh.Handler
}

var _ mesh.Mesh = (*Member)(nil)

// Join adds an instance, or replaces one that restarts.
func (n *Network) Join(name, zone string) *Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &Member{network: n, self: mesh.Peer{Name: name, Zone: zone}, handlers: make(map[string]mesh.Handler)}
	n.members[name] = m
	return m
}

// Leave removes an instance.
func (n *Network) Leave(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.members, name)
}

// SetPartition separates two instances, or joins them again.
func (n *Network) SetPartition(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair{a, b}] = cut
	n.cuts[pair{b, a}] = cut
}

// SetZonePartition separates an availability zone from all others, or joins it again.
func (n *Network) SetZonePartition(zone string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.members {
		for _, b := range n.members {
			if a.self.Zone == zone && b.self.Zone != zone {
				n.cuts[pair{a.self.Name, b.self.Name}] = cut
				n.cuts[pair{b.self.Name, a.self.Name}] = cut
			}
		}
	}
}

// SetOutcomes sets the function that decides the fate of each call.
func (n *Network) SetOutcomes(f func(from, to mesh.Peer, method string) Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = f
}

// Self implements mesh.Mesh.
func (m *Member) Self() mesh.Peer { return m.self }

// Handle implements mesh.Mesh.
func (m *Member) Handle(method string, handler mesh.Handler) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.handlers[method] = handler
}

// Peers implements mesh.Mesh.
func (m *Member) Peers() []mesh.Peer {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var out []mesh.Peer
	for name, other := range m.network.members {
		if name != m.self.Name && !m.network.cuts[pair{m.self.Name, name}] {
			out = append(out, other.self)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Call implements mesh.Mesh.
func (m *Member) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	handler, fate, err := m.route(to, method)
	if err != nil {
		return nil, err
	}
	if fate == LoseRequest || ctx.Err() != nil {
		return nil, merry.Wrap(mesh.ErrNoResponse)
	}
	if fate == Duplicate {
		_, _ = handler(ctx, m.self, body)
	}
	answer, err := handler(ctx, m.self, body)
	if fate == LoseResponse {
		return nil, merry.Wrap(mesh.ErrNoResponse)
	}
	if err != nil {
		return nil, merry.Wrap(mesh.ErrRemote, merry.AppendMessage(err.Error()))
	}
	return answer, nil
}

func (m *Member) route(to, method string) (mesh.Handler, Outcome, error) {
	n := m.network
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.members[to]
	if other == nil || n.cuts[pair{m.self.Name, to}] || n.members[m.self.Name] != m {
		return nil, Deliver, merry.Wrap(mesh.ErrNotConnected)
	}
	handler := other.handlers[method]
	if handler == nil {
		return nil, Deliver, merry.Wrap(mesh.ErrRemote, merry.AppendMessage("unknown method "+method))
	}
	fate := Deliver
	if n.drop != nil {
		fate = n.drop(m.self, other.self, method)
	}
	return handler, fate, nil
}
