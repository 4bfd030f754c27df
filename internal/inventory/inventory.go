package inventory

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	pollInterval = 250 * time.Millisecond
	// probeInterval is the time between probes of a plain service.
	probeInterval = time.Second
	pollTimeout   = time.Second
	pullTimeout   = 500 * time.Millisecond
)

// Prober checks whether a target accepts connections.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// TCPProber opens and closes a TCP connection.
type TCPProber struct{}

// Probe implements Prober.
func (TCPProber) Probe(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// TargetEvents are new cache events of one target.
type TargetEvents struct {
	Target string
	Events []target.CacheEvent
}

// Inventory polls the targets assigned to this instance and pulls the reports of
// the other targets from the instances that poll them. It is safe for concurrent
// use.
//
// Invariant: the time from which the age of a report is counted is never later
// than the time at which the poller requested it from the target.
type Inventory struct {
	views    func() *environment.View
	reporter target.Reporter
	prober   Prober
	clock    clockwork.Clock
	log      *log.Logger
	// mesh and members are nil without UseMesh; the instance then polls every
	// target.
	mesh    mesh.Mesh
	members func() []membership.Member
	// epoch is a random number that identifies this run of the instance to its
	// peers.
	epoch   uint64
	metrics *Metrics

	mu sync.Mutex
	// version rises with each result of a poll or probe of this instance.
	version uint64
	records map[string]*record
	// own holds the targets assigned to this instance at the last Poll.
	own           map[string]bool
	nextPoll      map[string]time.Time
	pullPositions map[string]pullPosition
	onEvents      []func([]TargetEvents)
	onChange      []func()
	// bodyChanges rises when the body of a report changes or is received from a
	// peer. The body is what sameBody compares.
	bodyChanges uint64

	// publishing serializes the creation of snapshots. It is locked before mu.
	publishing sync.Mutex
	snapshot   atomic.Pointer[Snapshot]
	// lookup is used for snapshots as long as the view's state and bodyChanges
	// equal lookupState and lookupBodyChanges, for which it was built.
	lookup            *lookup
	lookupState       *environment.State
	lookupBodyChanges uint64
}

// New returns an inventory without reports that polls every target. The function
// views returns the current view.
func New(views func() *environment.View, reporter target.Reporter, clock clockwork.Clock, logger *log.Logger) *Inventory {
	i := &Inventory{
		views:         views,
		reporter:      reporter,
		prober:        TCPProber{},
		clock:         clock,
		log:           logger,
		epoch:         rand.Uint64(),
		records:       make(map[string]*record),
		own:           make(map[string]bool),
		nextPoll:      make(map[string]time.Time),
		pullPositions: make(map[string]pullPosition),
	}
	i.Publish()
	return i
}

// UseMesh divides the polling among members and exchanges reports over m. It must
// be called before Run.
func (i *Inventory) UseMesh(m mesh.Mesh, members func() []membership.Member) {
	i.mesh, i.members = m, members
	mesh.Handle(m, methodPull, i.onPull)
}

// UseProber replaces the prober of plain services. It must be called before Run.
func (i *Inventory) UseProber(p Prober) { i.prober = p }

// OnEvents adds a function that is called with new cache events, without locks
// held.
func (i *Inventory) OnEvents(f func([]TargetEvents)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onEvents = append(i.onEvents, f)
}

// OnChange adds a function that is called, without locks held, after each new
// snapshot.
func (i *Inventory) OnChange(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onChange = append(i.onChange, f)
}

// Snapshot returns the newest snapshot.
func (i *Inventory) Snapshot() *Snapshot { return i.snapshot.Load() }

// Run polls until ctx ends.
func (i *Inventory) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		i.Poll(ctx)
		wait := pollInterval + time.Duration(rand.Int64N(int64(pollInterval/10)))
		select {
		case <-i.clock.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Poll polls the targets of this instance that are due, pulls from the pollers of
// the other targets and publishes a snapshot.
func (i *Inventory) Poll(ctx context.Context) {
	own, pollers := i.assign()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, t := range own {
		wait.Go(func() { i.pollTarget(ctx, t) })
	}
	for _, peer := range pollers {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			i.pullFrom(ctx, peer)
		})
	}
	wait.Wait()
	i.Publish()
}

// assign updates own. It returns the own targets that are due and the peers that
// poll the others. Without a mesh, self and every poller are "", so that all
// targets are own.
func (i *Inventory) assign() ([]environment.Target, []string) {
	self := ""
	var members []membership.Member
	if i.mesh != nil {
		self, members = i.mesh.Self().Name, i.members()
	}
	now := i.clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.own)
	others := make(map[string]bool)
	var due []environment.Target
	for _, t := range i.views().State.Document.Targets {
		if poller := pollerOf(&t, members); poller != self {
			others[poller] = true
			continue
		}
		i.own[t.Name] = true
		if now.Before(i.nextPoll[t.Name]) {
			continue
		}
		i.nextPoll[t.Name] = now.Add(pollDelay(&t))
		due = append(due, t)
	}
	pollers := make([]string, 0, len(others))
	for name := range others {
		pollers = append(pollers, name)
	}
	return due, pollers
}

// pollDelay returns the minimum time to the target's next poll. For engines it is
// less than pollInterval, so that each round polls them. For services it is
// probeInterval with jitter.
func pollDelay(t *environment.Target) time.Duration {
	if t.Kind == environment.TargetEngine {
		return pollInterval / 2
	}
	return probeInterval - pollInterval/2 + time.Duration(rand.Int64N(int64(pollInterval)))
}

func (i *Inventory) pollTarget(ctx context.Context, t environment.Target) {
	if t.Kind == environment.TargetService {
		i.recordResult(t.Name, i.prober.Probe(ctx, t.Address))
		return
	}
	requestedAt := i.clock.Now()
	report, err := i.reporter.Report(ctx, t.Address)
	if err != nil {
		i.log.Debugf("No report from %s: %v.", t.Name, err)
		i.recordResult(t.Name, err)
		return
	}
	after := i.applyReport(t.Name, sortResidents(report), requestedAt)
	events, err := i.reporter.CacheEvents(ctx, t.Address, after)
	if err != nil {
		i.log.Debugf("No cache events from %s: %v.", t.Name, err)
		return
	}
	i.applyEvents(t.Name, events)
}

// recordResult counts consecutive failed polls and probes.
func (i *Inventory) recordResult(name string, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.record(name)
	i.version++
	r.version = i.version
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
}

// record returns the record of a target and creates it if there is none. It
// requires i.mu.
func (i *Inventory) record(name string) *record {
	r := i.records[name]
	if r == nil {
		r = &record{}
		i.records[name] = r
	}
	return r
}

// applyReport applies a polled report and returns the sequence of the last known
// cache event.
func (i *Inventory) applyReport(name string, report target.Report, requestedAt time.Time) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.record(name)
	before := r.report
	i.version++
	r.version = i.version
	if r.apply(report, requestedAt) && (r.bodyVersion == 0 || !sameBody(&before, &report)) {
		r.bodyVersion = i.version
		i.bodyChanges++
	}
	return r.lastEventSequence
}

func (i *Inventory) applyEvents(name string, events []target.CacheEvent) {
	i.mu.Lock()
	r := i.record(name)
	i.version++
	r.version = i.version
	newEvents := r.addEvents(events, i.version)
	i.mu.Unlock()
	if len(newEvents) > 0 {
		i.notifyEvents([]TargetEvents{{Target: name, Events: newEvents}})
	}
}

func (i *Inventory) notifyEvents(events []TargetEvents) {
	if len(events) == 0 {
		return
	}
	i.mu.Lock()
	listeners := i.onEvents
	i.mu.Unlock()
	for _, f := range listeners {
		f(events)
	}
}

// Publish creates a snapshot from the current view and the latest reports.
func (i *Inventory) Publish() {
	i.publishing.Lock()
	view := i.views()
	i.mu.Lock()
	states := make([]*TargetState, 0, len(view.State.Document.Targets))
	for n := range view.State.Document.Targets {
		t := &view.State.Document.Targets[n]
		state := &TargetState{Target: t}
		if r := i.records[t.Name]; r != nil {
			state.Report, state.RequestedAt = r.report, r.requestedAt
			state.Unreachable = r.failures >= unreachableAfter
		}
		states = append(states, state)
	}
	listeners := i.onChange
	bodyChanges := i.bodyChanges
	i.mu.Unlock()
	if i.lookup == nil || i.lookupState != view.State || i.lookupBodyChanges != bodyChanges {
		i.lookup, i.lookupState, i.lookupBodyChanges = newLookup(states), view.State, bodyChanges
	}
	snapshot := newSnapshot(view, states, i.lookup)
	i.snapshot.Store(snapshot)
	i.publishing.Unlock()
	i.metrics.update(snapshot, i.clock.Now())
	for _, f := range listeners {
		f()
	}
}
