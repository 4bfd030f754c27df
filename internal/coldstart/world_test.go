package coldstart_test

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/coldstart"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	coldBound = 2
	warmBound = 16
	// memberTimeout is how long an unreachable instance counts as a member.
	memberTimeout = 2 * time.Second
)

// engineModel records the calls that actually run on the single target.
type engineModel struct {
	cold        bool
	incarnation int
	calls       map[int]string
	history     []engineState
}

type engineState struct {
	at          time.Time
	running     int
	cold        bool
	incarnation int
}

// node is one instance of the simulation.
type node struct {
	name, zone string
	service    *coldstart.Service
	alive      bool
	paused     bool
	calls      []int
	lastHeard  map[string]time.Time
	bootedAt   time.Time
}

// simulation connects instances and one engine in zone a by a network.
type simulation struct {
	clock     *clockwork.FakeClock
	network   *meshtest.Network
	engine    engineModel
	reportLag time.Duration
	// connectDelay is the time after an instance's start during which it and the
	// others don't list each other as members.
	connectDelay time.Duration
	reportsStale bool
	nodes        []*node
	target       *environment.Target
	view         *environment.View
	lastID       uint64
	lastCallID   int
	cutZones     map[string]bool
}

func newSimulation(reportLag time.Duration, zones ...string) *simulation {
	sim := &simulation{
		clock:     clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)),
		network:   meshtest.NewNetwork(),
		reportLag: reportLag,
		cutZones:  make(map[string]bool),
	}
	sim.engine.calls = make(map[int]string)
	sim.view = environment.NewView(&environment.State{Document: environment.Document{Targets: []environment.Target{{
		Name: "e", Kind: environment.TargetEngine, Zone: "a", Concurrency: warmBound, ColdConcurrency: coldBound,
	}}}}, time.Time{})
	sim.target = sim.view.Target("e")
	sim.record()
	for _, zone := range zones {
		sim.join(zone)
	}
	return sim
}

func (sim *simulation) join(zone string) *node {
	n := &node{name: fmt.Sprintf("i%d", len(sim.nodes)+1), zone: zone, alive: true, lastHeard: make(map[string]time.Time)}
	sim.nodes = append(sim.nodes, n)
	sim.boot(n)
	return n
}

// boot starts or restarts the process of an instance.
func (sim *simulation) boot(n *node) {
	n.alive, n.paused, n.calls = true, false, nil
	n.lastHeard = make(map[string]time.Time)
	n.bootedAt = sim.clock.Now()
	n.service = coldstart.New(coldstart.Config{
		Mesh:     sim.network.Join(n.name, n.zone),
		Members:  func() []membership.Member { return sim.members(n) },
		Snapshot: sim.snapshot,
		Clock:    sim.clock,
		Log:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics:  coldstart.NewMetrics(prometheus.NewRegistry()),
		NewID:    func() uint64 { sim.lastID++; return sim.lastID },
		Go:       func(f func()) { f() },
	})
}

func (sim *simulation) record() {
	for len(sim.engine.history) > 1 && sim.engine.history[1].at.Before(sim.clock.Now().Add(-sim.reportLag)) {
		sim.engine.history = sim.engine.history[1:]
	}
	sim.engine.history = append(sim.engine.history, engineState{sim.clock.Now(), len(sim.engine.calls), sim.engine.cold, sim.engine.incarnation})
}

// snapshot shows the engine as it was reportLag ago.
func (sim *simulation) snapshot() *inventory.Snapshot {
	now := sim.clock.Now()
	shown := sim.engine.history[0]
	for _, m := range sim.engine.history {
		if m.at.After(now.Add(-sim.reportLag)) {
			break
		}
		shown = m
	}
	state := &inventory.TargetState{Target: sim.target, RequestedAt: now}
	if sim.reportsStale {
		state.RequestedAt = now.Add(-time.Minute)
	}
	state.Report = target.Report{Incarnation: fmt.Sprint(shown.incarnation), Cold: shown.cold, Running: shown.running}
	return inventory.NewSnapshot(sim.view, []*inventory.TargetState{state})
}

func (sim *simulation) canReach(a, b *node) bool {
	return a.alive && b.alive && !a.paused && !b.paused && !(a.zone != b.zone && (sim.cutZones[a.zone] || sim.cutZones[b.zone]))
}

func (sim *simulation) members(n *node) []membership.Member {
	var out []membership.Member
	for _, other := range sim.nodes {
		at, ok := n.lastHeard[other.name]
		if other == n || (ok && sim.clock.Since(at) < memberTimeout) {
			out = append(out, membership.Member{Name: other.name, Zone: other.zone})
		}
	}
	return out
}

func (sim *simulation) cutZone(zone string, cut bool) {
	sim.cutZones[zone] = cut
	sim.network.SetZonePartition(zone, cut)
}

func (sim *simulation) pause(n *node, paused bool) {
	n.paused = paused
	for _, other := range sim.nodes {
		if other != n {
			sim.network.SetPartition(n.name, other.name, paused || other.paused || (n.zone != other.zone && (sim.cutZones[n.zone] || sim.cutZones[other.zone])))
		}
	}
}

// crash ends an instance. Its calls go on at the engine until reap ends them.
func (sim *simulation) crash(n *node) {
	n.alive = false
	sim.network.Leave(n.name)
}

// reap lets the engine notice that a crashed instance's calls have ended.
func (sim *simulation) reap(n *node) {
	for _, id := range n.calls {
		delete(sim.engine.calls, id)
	}
	n.calls = nil
	sim.record()
}

// step advances the clock and ticks every running instance.
func (sim *simulation) step(d time.Duration) {
	sim.clock.Advance(d)
	for _, a := range sim.nodes {
		for _, b := range sim.nodes {
			if a != b && sim.canReach(a, b) && sim.clock.Since(a.bootedAt) >= sim.connectDelay && sim.clock.Since(b.bootedAt) >= sim.connectDelay {
				a.lastHeard[b.name] = sim.clock.Now()
			}
		}
	}
	sim.record()
	for _, n := range sim.nodes {
		if n.alive && !n.paused {
			n.service.Tick(context.Background())
		}
	}
}

// run advances the clock by at least d in steps of 200 ms.
func (sim *simulation) run(d time.Duration) {
	for end := sim.clock.Now().Add(d); sim.clock.Now().Before(end); {
		sim.step(200 * time.Millisecond)
	}
}

// startCall tries to start a call and reports whether it started.
func (sim *simulation) startCall(n *node) bool {
	if !n.alive || n.paused || !n.service.Acquire(sim.target) {
		return false
	}
	sim.lastCallID++
	n.calls = append(n.calls, sim.lastCallID)
	sim.engine.calls[sim.lastCallID] = n.name
	sim.record()
	return true
}

// endCall completes the oldest call of an instance.
func (sim *simulation) endCall(n *node) {
	if !n.alive || n.paused || len(n.calls) == 0 {
		return
	}
	delete(sim.engine.calls, n.calls[0])
	n.calls = n.calls[1:]
	sim.record()
	n.service.Release(sim.target, true)
}

// beginCold makes the engine cold from the start of its history.
func (sim *simulation) beginCold() {
	sim.engine.cold = true
	sim.engine.history = nil
	sim.record()
}

// startAllFor starts as many calls as it can on all instances while d passes.
func (sim *simulation) startAllFor(d time.Duration) {
	for end := sim.clock.Now().Add(d); sim.clock.Now().Before(end); {
		sim.startAll()
		sim.step(200 * time.Millisecond)
	}
}

// startAll lets every instance start calls until it is refused one or has
// warmBound calls, and returns the number started.
func (sim *simulation) startAll() int {
	started := 0
	for _, n := range sim.nodes {
		for len(n.calls) < warmBound && sim.startCall(n) {
			started++
		}
	}
	return started
}
