// Package meshtest connects instances within one test process, without a network.
// Tests set partitions and lost messages. Handlers run on the caller's goroutine.
package meshtest

import (
	"context"
	"sort"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// Network connects members. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	members    map[string]*Member
	partitions map[instancePair]bool
	// outcomeOf returns the outcome of each call; nil delivers all calls.
	outcomeOf func(from, to mesh.Peer, method string) Outcome
}

// Outcome is what happens to one call.
type Outcome int

// Outcomes of calls.
const (
	// Deliver delivers the call and returns its response.
	Deliver Outcome = iota
	// LoseRequest loses the call before it is handled.
	LoseRequest
	// LoseResponse loses the response after the call is handled.
	LoseResponse
	// Duplicate delivers the call twice and returns the second response.
	Duplicate
)

type instancePair struct{ a, b string }

// NewNetwork returns a network without members.
func NewNetwork() *Network {
	return &Network{members: make(map[string]*Member), partitions: make(map[instancePair]bool)}
}

// Member is the mesh of one instance. It implements mesh.Mesh.
type Member struct {
	network  *Network
	self     mesh.Peer
	handlers map[string]mesh.Handler
}

var _ mesh.Mesh = (*Member)(nil)

// Join adds an instance, or replaces the instance of that name after a restart.
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

// SetPartition partitions two instances, or reconnects them if partitioned is
// false.
func (n *Network) SetPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[instancePair{a, b}] = partitioned
	n.partitions[instancePair{b, a}] = partitioned
}

// SetZonePartition partitions the current members of an availability zone from
// those of all others, or reconnects them if partitioned is false.
func (n *Network) SetZonePartition(zone string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.members {
		for _, b := range n.members {
			if a.self.Zone == zone && b.self.Zone != zone {
				n.partitions[instancePair{a.self.Name, b.self.Name}] = partitioned
				n.partitions[instancePair{b.self.Name, a.self.Name}] = partitioned
			}
		}
	}
}

// SetOutcomes sets the function that returns the outcome of each call.
func (n *Network) SetOutcomes(f func(from, to mesh.Peer, method string) Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomeOf = f
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
		if name != m.self.Name && !m.network.partitions[instancePair{m.self.Name, name}] {
			out = append(out, other.self)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Call implements mesh.Mesh.
func (m *Member) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	handler, outcome, err := m.route(to, method)
	if err != nil {
		return nil, err
	}
	if outcome == LoseRequest || ctx.Err() != nil {
		return nil, merry.Wrap(mesh.ErrNoResponse)
	}
	if outcome == Duplicate {
		_, _ = handler(ctx, m.self, body)
	}
	response, err := handler(ctx, m.self, body)
	if outcome == LoseResponse {
		return nil, merry.Wrap(mesh.ErrNoResponse)
	}
	if err != nil {
		return nil, merry.Wrap(mesh.ErrRemote, merry.AppendMessage(err.Error()))
	}
	return response, nil
}

// route returns the handler and the outcome of a call. A member that left or was
// replaced is not connected.
func (m *Member) route(to, method string) (mesh.Handler, Outcome, error) {
	n := m.network
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.members[to]
	if other == nil || n.partitions[instancePair{m.self.Name, to}] || n.members[m.self.Name] != m {
		return nil, Deliver, merry.Wrap(mesh.ErrNotConnected)
	}
	handler := other.handlers[method]
	if handler == nil {
		return nil, Deliver, merry.Wrap(mesh.ErrRemote, merry.AppendMessage("unknown method "+method))
	}
	outcome := Deliver
	if n.outcomeOf != nil {
		outcome = n.outcomeOf(m.self, other.self, method)
	}
	return handler, outcome, nil
}
