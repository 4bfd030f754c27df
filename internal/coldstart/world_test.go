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
	// aliveFor is how long a silent instance counts as a member.
	aliveFor = 2 * time.Second
)

// engineModel counts the calls that really run on the one target.
type engineModel struct {
	cold        bool
	incarnation int
	calls       map[int]string
	history     []moment
}

type moment struct {
	at      time.Time
	running int
	cold    bool
	inc     int
}

// node is one instance of the world.
type node struct {
	name, zone string
	service    *coldstart.Service
	alive      bool
	paused     bool
	calls      []int
	heard      map[string]time.Time
	bootedAt   time.Time
}

// world joins instances, one engine in zone a and a network.
type world struct {
	clock   *clockwork.FakeClock
	network *meshtest.Network
	engine  engineModel
	lag     time.Duration
	// connect is the time after its start in which an instance hears no other.
	connect time.Duration
	frozen  bool
	nodes   []*node
	target  *environment.Target
	view    *environment.View
	draws   uint64
	nextID  int
	severed map[string]bool
}

func newWorld(lag time.Duration, zones ...string) *world {
	w := &world{
		clock:   clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)),
		network: meshtest.NewNetwork(),
		lag:     lag,
		severed: make(map[string]bool),
	}
	w.engine.calls = make(map[int]string)
	w.view = environment.NewView(&environment.State{Document: environment.Document{Targets: []environment.Target{{
		Name: "e", Kind: environment.TargetEngine, Zone: "a", Concurrency: warmBound, ColdConcurrency: coldBound,
	}}}}, time.Time{})
	w.target = w.view.Target("e")
	w.note()
	for _, zone := range zones {
		w.join(zone)
	}
	return w
}

func (w *world) join(zone string) *node {
	n := &node{name: fmt.Sprintf("i%d", len(w.nodes)+1), zone: zone, alive: true, heard: make(map[string]time.Time)}
	w.nodes = append(w.nodes, n)
	w.boot(n)
	return n
}

// boot starts the process of an instance anew.
func (w *world) boot(n *node) {
	n.alive, n.paused, n.calls = true, false, nil
	n.heard = make(map[string]time.Time)
	n.bootedAt = w.clock.Now()
	n.service = coldstart.New(coldstart.Config{
		Mesh:     w.network.Join(n.name, n.zone),
		Members:  func() []membership.Member { return w.members(n) },
		Snapshot: w.snapshot,
		Clock:    w.clock,
		Log:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics:  coldstart.NewMetrics(prometheus.NewRegistry()),
		Draw:     func() uint64 { w.draws++; return w.draws },
		Go:       func(f func()) { f() },
	})
}

func (w *world) note() {
	for len(w.engine.history) > 1 && w.engine.history[1].at.Before(w.clock.Now().Add(-w.lag)) {
		w.engine.history = w.engine.history[1:]
	}
	w.engine.history = append(w.engine.history, moment{w.clock.Now(), len(w.engine.calls), w.engine.cold, w.engine.incarnation})
}

// snapshot shows the engine as it was before the lag.
func (w *world) snapshot() *inventory.Snapshot {
	now := w.clock.Now()
	shown := w.engine.history[0]
	for _, m := range w.engine.history {
		if m.at.After(now.Add(-w.lag)) {
			break
		}
		shown = m
	}
	state := &inventory.TargetState{Target: w.target, ReceivedAt: now}
	if w.frozen {
		state.ReceivedAt = now.Add(-time.Minute)
	}
	state.Report = target.Report{Incarnation: fmt.Sprint(shown.inc), Cold: shown.cold, Running: shown.running}
	return inventory.NewSnapshot(w.view, []*inventory.TargetState{state})
}

func (w *world) reaches(a, b *node) bool {
	return a.alive && b.alive && !a.paused && !b.paused && !(a.zone != b.zone && (w.severed[a.zone] || w.severed[b.zone]))
}

func (w *world) members(n *node) []membership.Member {
	var out []membership.Member
	for _, other := range w.nodes {
		at, ok := n.heard[other.name]
		if other == n || (ok && w.clock.Since(at) < aliveFor) {
			out = append(out, membership.Member{Name: other.name, Zone: other.zone})
		}
	}
	return out
}

func (w *world) sever(zone string, cut bool) {
	w.severed[zone] = cut
	w.network.CutZone(zone, cut)
}

func (w *world) pause(n *node, paused bool) {
	n.paused = paused
	for _, other := range w.nodes {
		if other != n {
			w.network.Cut(n.name, other.name, paused || other.paused || (n.zone != other.zone && (w.severed[n.zone] || w.severed[other.zone])))
		}
	}
}

// crash ends an instance; its calls go on at the engine until reaped.
func (w *world) crash(n *node) {
	n.alive = false
	w.network.Leave(n.name)
}

// reap lets the engine notice the end of a dead instance's calls.
func (w *world) reap(n *node) {
	for _, id := range n.calls {
		delete(w.engine.calls, id)
	}
	n.calls = nil
	w.note()
}

// step advances time and ticks every running instance.
func (w *world) step(d time.Duration) {
	w.clock.Advance(d)
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if a != b && w.reaches(a, b) && w.clock.Since(a.bootedAt) >= w.connect && w.clock.Since(b.bootedAt) >= w.connect {
				a.heard[b.name] = w.clock.Now()
			}
		}
	}
	w.note()
	for _, n := range w.nodes {
		if n.alive && !n.paused {
			n.service.Tick(context.Background())
		}
	}
}

// run steps until d has passed.
func (w *world) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.step(200 * time.Millisecond)
	}
}

// start tries a call and reports whether it started.
func (w *world) start(n *node) bool {
	if !n.alive || n.paused || !n.service.Acquire(w.target) {
		return false
	}
	w.nextID++
	n.calls = append(n.calls, w.nextID)
	w.engine.calls[w.nextID] = n.name
	w.note()
	return true
}

// end completes the oldest call of an instance.
func (w *world) end(n *node) {
	if !n.alive || n.paused || len(n.calls) == 0 {
		return
	}
	delete(w.engine.calls, n.calls[0])
	n.calls = n.calls[1:]
	w.note()
	n.service.Release(w.target, true)
}

// beginCold makes the engine cold from the beginning.
func (w *world) beginCold() {
	w.engine.cold = true
	w.engine.history = nil
	w.note()
}

// fill starts as many calls as it can while d passes.
func (w *world) fill(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.startAll()
		w.step(200 * time.Millisecond)
	}
}

// startAll lets every instance start as many calls as it can.
func (w *world) startAll() int {
	started := 0
	for _, n := range w.nodes {
		for len(n.calls) < warmBound && w.start(n) {
			started++
		}
	}
	return started
}
