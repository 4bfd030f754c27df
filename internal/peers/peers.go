// Package peers keeps what instances tell one another: a short status that each
// sends to all others on change, and the list of instances. Peers are found in
// the platform's store at the start and then by their greetings.
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
	// minHeardFor is the least time for which a peer counts as heard after its last
	// status: three missed keep-alives and a margin. intervalsHeard is the same in
	// statuses of a large fleet.
	minHeardFor    = 1300 * time.Millisecond
	intervalsHeard = 2.5
	// keepAlive is the longest time between two statuses: two of them may be missed
	// before a peer counts as not spending.
	keepAlive = 300 * time.Millisecond
	// minInterval is the shortest time between two statuses of a small fleet; it
	// grows by perPeer, so that what an instance receives stays bounded.
	minInterval = 40 * time.Millisecond
	perPeer     = 6 * time.Millisecond
	// fullEvery is the time between statuses that tell all loads anew, for those
	// that missed one.
	fullEvery = time.Second

	methodStatus = "peers.status"
	// methodRelay carries a status that the receiver passes on to its own zone.
	methodRelay = "peers.relay"
)

// Peer is an instance as this one knows it.
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
	// RefusesConnections is set while its address refuses connections: its process has ended,
	// or a cut of the network answers in its place. It is not taken for an end
	// where that would spend what the peer may spend too.
	RefusesConnections bool
	// seq is the number of the newest status of the run.
	seq uint64
}

// Exchange sends the own status and takes those of the peers.
type Exchange struct {
	node    *mesh.Node
	address string
	log     log.Interface
	now     func() time.Time

	// FillStatus completes the status before it is sent; OnStatus gets those of peers, with
	// whether the peer's run is new to this instance. HasUpdates reports whether
	// there is something to tell. They are set before Run.
	FillStatus func(s *Status, full bool)
	OnStatus   func(from Peer, s *Status, newRun bool)
	OnRunEnded func(p Peer)
	HasUpdates func() bool

	run     string
	seq     uint64
	leaving atomic.Bool
	// complete is set once all instances are known.
	complete atomic.Bool
	poke     chan struct{}

	mu    sync.Mutex
	known map[string]*Peer
	names atomic.Pointer[[]string]
	cut   atomic.Pointer[map[string]bool]
	// sending holds the newest statuses that wait for a slow peer.
	sending map[string]chan message
	// ended closes when the exchange stops.
	ended chan struct{}
}

// pendingStatuses is the number of statuses kept for a peer that reads slowly;
// later ones are dropped and made up for by the next full one.
const pendingStatuses = 8

// NewExchange returns an exchange over a mesh that does not run yet.
func NewExchange(node *mesh.Node, address, run string, logger log.Interface) *Exchange {
	e := &Exchange{
		node: node, address: address, run: run, log: logger, now: time.Now,
		poke: make(chan struct{}, 1), known: make(map[string]*Peer), sending: make(map[string]chan message), ended: make(chan struct{}),
	}
	e.publishNames()
	node.OnDialFailed(e.dialFailed)
	node.Handle(methodStatus, e.takeStatus)
	node.Handle(methodRelay, e.relayStatus)
	mesh.Handle(node, methodList, e.listAsked)
	return e
}

// Self returns the name of this instance.
func (e *Exchange) Self() string { return e.node.Self().Name }

// Names lists the instances that may be alive, self included, sorted.
func (e *Exchange) Names() []string { return *e.names.Load() }

// Candidates returns the place of this instance among those that may serve a
// zone, 0 first, and whether it is of that zone: instances of the zone come
// before all others.
func (e *Exchange) Candidates(zone string) (place int, own bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := e.node.Self()
	own = self.Zone == zone
	for name, p := range e.known {
		if p.Leaving {
			continue
		}
		theirs := p.Zone == zone
		if theirs && !own || theirs == own && name < self.Name {
			place++
		}
	}
	return place, own
}

// ReachableZones lists the zones of which an instance is heard, the own included.
func (e *Exchange) ReachableZones() map[string]bool {
	out := map[string]bool{e.node.Self().Zone: true}
	for _, p := range e.Reachable() {
		out[p.Zone] = true
	}
	return out
}

// ZoneUnreachable reports whether a zone has instances and none of them is heard, as of
// the last look.
func (e *Exchange) ZoneUnreachable(zone string) bool {
	cut := e.cut.Load()
	return cut != nil && (*cut)[zone]
}

// UpdateReachability brings ZoneUnreachable up to date.
func (e *Exchange) UpdateReachability() {
	heard := e.ReachableZones()
	cut := make(map[string]bool)
	e.mu.Lock()
	for _, p := range e.known {
		if !heard[p.Zone] {
			cut[p.Zone] = true
		}
	}
	e.mu.Unlock()
	e.cut.Store(&cut)
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

// Reachable lists the peers whose status came lately, in no order.
func (e *Exchange) Reachable() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, heardFor := e.now(), e.ReachableTimeout()
	var out []Peer
	for _, p := range e.known {
		if !p.LastStatusAt.IsZero() && now.Sub(p.LastStatusAt) < heardFor {
			out = append(out, *p)
		}
	}
	return out
}

// dialFailed notes a peer whose address refuses connections.
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
	gone := *known
	e.mu.Unlock()
	e.log.WithField("peer", p.Name).Info("peers: Peer refuses connections.")
	e.OnRunEnded(gone)
}

// takeStatus handles the status of a peer, as it or a relay sent it.
func (e *Exchange) takeStatus(_ context.Context, _ mesh.Peer, body []byte) ([]byte, error) {
	var s Status
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	e.mu.Lock()
	now := e.now()
	p := e.known[s.Name]
	fresh := p == nil || p.Address != s.Address
	if fresh {
		e.meet(mesh.PeerAddress{Peer: mesh.Peer{Name: s.Name, Zone: s.Zone}, Address: s.Address}, now)
		if p = e.known[s.Name]; p == nil {
			e.mu.Unlock()
			return nil, nil
		}
	}
	newRun := p.Run != s.Run
	if !newRun && s.Seq <= p.seq {
		// Frames are handled side by side and may overtake each other.
		e.mu.Unlock()
		return nil, nil
	}
	before := *p
	p.seq = s.Seq
	p.Run, p.LastStatusAt, p.Leaving, p.Zone, p.StoreLost = s.Run, now, s.Leaving, s.Zone, s.StoreLost
	p.RefusesConnections = false
	if fresh || before.RefusesConnections || before.Leaving != p.Leaving {
		e.publishNames()
	}
	peer := *p
	var addresses []mesh.PeerAddress
	if fresh {
		addresses = e.addresses()
	}
	e.mu.Unlock()
	if fresh {
		e.node.SetPeers(addresses)
		e.TriggerBroadcast()
	}
	if newRun && before.Run != "" {
		e.OnRunEnded(before)
	}
	e.OnStatus(peer, &s, newRun)
	return nil, nil
}

// TriggerBroadcast has the status sent soon.
func (e *Exchange) TriggerBroadcast() {
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// Leave tells the peers that this instance is about to end.
func (e *Exchange) Leave() {
	e.leaving.Store(true)
	e.TriggerBroadcast()
}

// Run sends the status until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	var sentAt, fullAt time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer close(e.ended)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.poke:
		}
		now := e.now()
		if next := sentAt.Add(e.Interval()); now.Before(next) {
			timer.Reset(next.Sub(now))
			continue
		}
		if e.HasUpdates() || now.Sub(sentAt) >= keepAlive {
			full := now.Sub(fullAt) >= fullEvery
			if full {
				fullAt = now
				e.forget(now)
			}
			e.send(full)
			sentAt = now
		}
		timer.Reset(keepAlive)
	}
}

// send sends one status to the peers of the own zone, and to those of each other
// zone or to a relay there.
func (e *Exchange) send(full bool) {
	e.seq++
	s := &Status{Name: e.Self(), Run: e.run, Seq: e.seq, Zone: e.node.Self().Zone, Address: e.address, Leaving: e.leaving.Load()}
	e.FillStatus(s, full)
	body, err := msgpack.Marshal(s)
	if err != nil {
		e.log.WithError(err).Error("peers: Status not encoded.")
		return
	}
	for _, to := range recipients(e.node.Peers(), e.node.Self(), inTurn(e.node.Self(), e.seq)) {
		method := methodStatus
		if to.relays {
			method = methodRelay
		}
		e.enqueue(to.name, message{method, body})
	}
}

// message is what waits for a peer.
type message struct {
	method string
	body   []byte
}

// SendZone sends a message to all peers of the own zone. It may be lost.
func (e *Exchange) SendZone(method string, body []byte) {
	for _, p := range e.node.Peers() {
		if p.Zone == e.node.Self().Zone {
			e.enqueue(p.Name, message{method, body})
		}
	}
}

// enqueue never blocks; a message for a peer that reads slowly is dropped.
func (e *Exchange) enqueue(name string, m message) {
	e.mu.Lock()
	queue := e.sending[name]
	if queue == nil {
		queue = make(chan message, pendingStatuses)
		e.sending[name] = queue
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
		case <-e.ended:
			return
		case m := <-queue:
			if err := e.node.Notify(name, m.method, m.body); err != nil {
				e.log.WithField("peer", name).WithError(err).Debug("peers: Status not sent.")
			}
		}
	}
}

// ReachableTimeout returns how long after its last status a peer counts as heard.
func (e *Exchange) ReachableTimeout() time.Duration {
	return max(minHeardFor, time.Duration(intervalsHeard*float64(e.Interval())))
}

// Interval returns the least time between two statuses of an instance.
func (e *Exchange) Interval() time.Duration {
	return minInterval + perPeer*time.Duration(len(e.Names()))
}

// SpendingInstances returns the number of instances that may be alive and the number of
// those heard lately, self included in both.
func (e *Exchange) SpendingInstances() (known, heard int) {
	now, heardFor := e.now(), allowance.SpendingTimeout(e.Interval())
	heard = 1
	for _, p := range e.Reachable() {
		if now.Sub(p.LastStatusAt) < heardFor {
			heard++
		}
	}
	return len(e.Names()), heard
}
