// Package peers exchanges status messages between instances and keeps the list of
// instances. Each instance sends its status to all others when it changes, and as a
// keep-alive. Peers are found through seeds, the platform's store (which the caller of
// the package reads), the lists of other peers, and the status messages that they send.
package peers

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	// minReachableTimeout is the shortest time for which a peer counts as reachable
	// after its last status: three keep-alives may be missed, and the fourth may be
	// 100 ms late. reachableIntervals is the same in status intervals, which applies in
	// a large fleet.
	minReachableTimeout = 1300 * time.Millisecond
	reachableIntervals  = 2.5
	// keepAliveInterval is the longest time between two statuses, unless Interval is
	// longer, as with 44 instances or more. A peer counts as not spending only after it
	// has missed two of them.
	keepAliveInterval = 300 * time.Millisecond
	// minInterval is the base of the shortest time between two statuses. Each instance
	// adds intervalPerInstance, so that the rate of received statuses stays bounded.
	minInterval         = 40 * time.Millisecond
	intervalPerInstance = 6 * time.Millisecond
	// fullStatusInterval is the time between full statuses, which report all loads and
	// placements, for peers that missed a status.
	fullStatusInterval = time.Second

	methodStatus = "peers.status"
	// methodRelay carries a status that the receiver forwards to its own zone.
	methodRelay = "peers.relay"
)

// Peer is the last known state of another instance.
type Peer struct {
	Name    string
	Zone    string
	Address string
	Run     string
	Leaving bool
	// StoreLost is set while the store does not answer the peer.
	StoreLost    bool
	LastStatusAt time.Time
	AddedAt      time.Time
	// RefusesConnections is set while the address of the peer refuses connections: its
	// process has ended, or a network partition refuses them in its place. Alone it
	// does not remove the peer from Names, because the peer may still spend shared
	// budgets.
	RefusesConnections bool
	// seq is the number of the newest status of the run.
	seq uint64
}

// Exchange sends the status of this instance and receives those of the peers.
type Exchange struct {
	node    *mesh.Node
	address string
	log     log.Interface
	now     func() time.Time

	// FillStatus completes a status before it is sent. OnStatus is called for each
	// status of a peer; newRun is set if the run of the peer is new to this instance.
	// OnRunEnded is called if a peer refuses connections or has restarted. HasUpdates
	// reports whether there are updates to send. All are set before Run.
	FillStatus func(s *Status, full bool)
	OnStatus   func(from Peer, s *Status, newRun bool)
	OnRunEnded func(p Peer)
	HasUpdates func() bool

	run     string
	seq     uint64
	leaving atomic.Bool
	// complete is set once all instances are known.
	complete atomic.Bool
	trigger  chan struct{}

	mu          sync.Mutex
	known       map[string]*Peer
	names       atomic.Pointer[[]string]
	unreachable atomic.Pointer[map[string]bool]
	// queues holds the send queue of each peer.
	queues map[string]chan message
	// stopped is closed when Run ends.
	stopped chan struct{}
}

// sendQueueLength is the number of messages queued for a peer that reads slowly.
// Further ones are dropped; the next full status makes up for dropped statuses.
const sendQueueLength = 8

// NewExchange returns an exchange over a mesh that is not running yet.
func NewExchange(node *mesh.Node, address, run string, logger log.Interface) *Exchange {
	e := &Exchange{
		node: node, address: address, run: run, log: logger, now: time.Now,
		trigger: make(chan struct{}, 1), known: make(map[string]*Peer), queues: make(map[string]chan message), stopped: make(chan struct{}),
	}
	e.publishNames()
	node.OnDialFailed(e.dialFailed)
	node.Handle(methodStatus, e.handleStatus)
	node.Handle(methodRelay, e.relayStatus)
	mesh.Handle(node, methodList, e.handleList)
	return e
}

// Self returns the name of this instance.
func (e *Exchange) Self() string { return e.node.Self().Name }

// Names returns the sorted names of the instances that may be alive, including this
// one.
func (e *Exchange) Names() []string { return *e.names.Load() }

// Candidates returns the rank of this instance, starting at 0, among the candidates for
// the placement lease of a zone, and whether it is in that zone. Instances in the zone
// rank before all others. Leaving peers do not count.
func (e *Exchange) Candidates(zone string) (rank int, local bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.node.Self()
	local = self.Zone == zone
	for name, p := range e.known {
		if p.Leaving {
			continue
		}
		peerLocal := p.Zone == zone
		if peerLocal && !local || peerLocal == local && name < self.Name {
			rank++
		}
	}
	return rank, local
}

// ReachableZones returns the zones with a reachable instance, including the zone of
// this instance.
func (e *Exchange) ReachableZones() map[string]bool {
	out := map[string]bool{e.node.Self().Zone: true}
	for _, p := range e.Reachable() {
		out[p.Zone] = true
	}
	return out
}

// ZoneUnreachable reports whether a zone has instances and none of them was reachable
// at the last UpdateReachability.
func (e *Exchange) ZoneUnreachable(zone string) bool {
	unreachable := e.unreachable.Load()
	return unreachable != nil && (*unreachable)[zone]
}

// UpdateReachability updates the result of ZoneUnreachable.
func (e *Exchange) UpdateReachability() {
	reachable := e.ReachableZones()
	unreachable := make(map[string]bool)
	e.mu.Lock()
	for _, p := range e.known {
		if !reachable[p.Zone] {
			unreachable[p.Zone] = true
		}
	}
	e.mu.Unlock()
	e.unreachable.Store(&unreachable)
}

// publishNames requires e.mu, or that e is not shared yet.
func (e *Exchange) publishNames() {
	out := []string{e.node.Self().Name}
	for name, p := range e.known {
		if !p.Leaving || !p.RefusesConnections {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	e.names.Store(&out)
}

// Reachable returns the peers whose last status is more recent than ReachableTimeout,
// in no order.
func (e *Exchange) Reachable() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, timeout := e.now(), e.ReachableTimeout()
	var out []Peer
	for _, p := range e.known {
		if !p.LastStatusAt.IsZero() && now.Sub(p.LastStatusAt) < timeout {
			out = append(out, *p)
		}
	}
	return out
}

// Known returns all peers that this instance knows of, in no order.
func (e *Exchange) Known() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Peer, 0, len(e.known))
	for _, p := range e.known {
		out = append(out, *p)
	}
	return out
}

// dialFailed records that the address of a peer refuses connections.
func (e *Exchange) dialFailed(p mesh.PeerAddress, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	e.mu.Lock()
	known := e.known[p.Name]
	if known == nil || known.Address != p.Address || known.RefusesConnections {
		e.mu.Unlock()
		return
	}
	known.RefusesConnections = true
	e.publishNames()
	ended := *known
	e.mu.Unlock()
	e.log.WithField("peer", p.Name).Info("peers: Peer refuses connections.")
	e.OnRunEnded(ended)
}

// handleStatus applies the status of a peer, received from the peer or from a relay.
func (e *Exchange) handleStatus(_ context.Context, _ mesh.Peer, body []byte) ([]byte, error) {
	var s Status
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	e.mu.Lock()
	now := e.now()
	p := e.known[s.Name]
	added := p == nil || p.Address != s.Address
	if added {
		e.addPeer(mesh.PeerAddress{Peer: mesh.Peer{Name: s.Name, Zone: s.Zone}, Address: s.Address}, now)
		if p = e.known[s.Name]; p == nil {
			e.mu.Unlock()
			return nil, nil
		}
	}
	newRun := p.Run != s.Run
	if !newRun && s.Seq <= p.seq {
		// Frames are handled concurrently and may overtake each other.
		e.mu.Unlock()
		return nil, nil
	}
	previous := *p
	p.seq = s.Seq
	p.Run, p.LastStatusAt, p.Leaving, p.Zone, p.StoreLost = s.Run, now, s.Leaving, s.Zone, s.StoreLost
	p.RefusesConnections = false
	if added || previous.RefusesConnections || previous.Leaving != p.Leaving {
		e.publishNames()
	}
	peer := *p
	var addresses []mesh.PeerAddress
	if added {
		addresses = e.addresses()
	}
	e.mu.Unlock()
	if added {
		e.node.SetPeers(addresses)
		e.TriggerBroadcast()
	}
	if newRun && previous.Run != "" {
		e.OnRunEnded(previous)
	}
	e.OnStatus(peer, &s, newRun)
	return nil, nil
}

// TriggerBroadcast makes Run send the status soon.
func (e *Exchange) TriggerBroadcast() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// Leave tells the peers that this instance is about to stop.
func (e *Exchange) Leave() {
	e.leaving.Store(true)
	e.TriggerBroadcast()
}

// Run sends the status until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	var sentAt, fullAt time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer close(e.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.trigger:
		}
		now := e.now()
		if next := sentAt.Add(e.Interval()); now.Before(next) {
			timer.Reset(next.Sub(now))
			continue
		}
		if e.HasUpdates() || now.Sub(sentAt) >= keepAliveInterval {
			full := now.Sub(fullAt) >= fullStatusInterval
			if full {
				fullAt = now
				e.removeExpired(now)
			}
			e.send(full)
			sentAt = now
		}
		timer.Reset(keepAliveInterval)
	}
}

// send sends one status to the peers in the zone of this instance and, in each other
// zone, to all peers or to one relay.
func (e *Exchange) send(full bool) {
	e.seq++
	s := &Status{Name: e.Self(), Run: e.run, Seq: e.seq, Zone: e.node.Self().Zone, Address: e.address, Leaving: e.leaving.Load()}
	e.FillStatus(s, full)
	body, err := msgpack.Marshal(s)
	if err != nil {
		e.log.WithError(err).Error("peers: Cannot encode status.")
		return
	}
	for _, to := range recipients(e.node.Peers(), e.node.Self(), rotatingRelay(e.node.Self(), e.seq)) {
		method := methodStatus
		if to.relays {
			method = methodRelay
		}
		e.enqueue(to.name, message{method, body})
	}
}

// message is a message in the send queue of a peer.
type message struct {
	method string
	body   []byte
}

// SendZone sends a message to all peers in the zone of this instance. The message may be
// lost.
func (e *Exchange) SendZone(method string, body []byte) {
	for _, p := range e.node.Peers() {
		if p.Zone == e.node.Self().Zone {
			e.enqueue(p.Name, message{method, body})
		}
	}
}

// enqueue never blocks. A message for a peer whose queue is full is dropped.
func (e *Exchange) enqueue(name string, m message) {
	e.mu.Lock()
	queue := e.queues[name]
	if queue == nil {
		queue = make(chan message, sendQueueLength)
		e.queues[name] = queue
		go e.sendTo(name, queue)
	}
	e.mu.Unlock()
	select {
	case queue <- m:
	default:
	}
}

func (e *Exchange) sendTo(name string, queue chan message) {
	for {
		select {
		case <-e.stopped:
			return
		case m := <-queue:
			if err := e.node.Notify(name, m.method, m.body); err != nil {
				e.log.WithField("peer", name).WithError(err).Debug("peers: Cannot send message.")
			}
		}
	}
}

// ReachableTimeout returns how long a peer counts as reachable after its last status.
func (e *Exchange) ReachableTimeout() time.Duration {
	return max(minReachableTimeout, time.Duration(reachableIntervals*float64(e.Interval())))
}

// Interval returns the minimum time between two statuses of an instance.
func (e *Exchange) Interval() time.Duration {
	return minInterval + intervalPerInstance*time.Duration(len(e.Names()))
}

// SpendingInstances returns the number of instances that may be alive, and the number
// of those that are reachable within allowance.SpendingTimeout. Both include this one.
func (e *Exchange) SpendingInstances() (known, reachable int) {
	now, timeout := e.now(), allowance.SpendingTimeout(e.Interval())
	reachable = 1
	for _, p := range e.Reachable() {
		if now.Sub(p.LastStatusAt) < timeout {
			reachable++
		}
	}
	return len(e.Names()), reachable
}
