// Package orderstest joins instances that order engines in one process, on a
// stepped clock, for tests of orders and placement. Engines and the platform
// are stand-ins, whose faults the test sets.
package orderstest

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/steppedclock"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Step is the time between two ticks of all instances.
const Step = 250 * time.Millisecond

// Env is the name of the environment of every world.
const Env = "test"

// World is a running fleet in one process. It is used by one goroutine.
type World struct {
	Clock     *steppedclock.Clock
	Store     *platformstandin.Store
	Fleet     *enginestandin.Fleet
	Engines   []*enginestandin.Engine
	Instances []*Instance
	State     *environment.State
	// Check runs after each step.
	Check func()
	// AfterLeaseCheck runs in an instance between its last look at the clock and the
	// sending of an order.
	AfterLeaseCheck func(*Instance)
	// BeforeSend runs in an instance before its last look at the clock.
	BeforeSend func(*Instance)
	// OnStart is called for each instance that starts; it may return a further
	// part to tick.
	OnStart func(*Instance) func(context.Context)

	ticking map[*Instance]bool
}

// Instance is one instance of a world.
type Instance struct {
	Name, Zone string
	World      *World
	Inventory  *inventory.Inventory
	Leases     *lease.Manager
	Orderer    *orders.Orderer
	Paused     bool
	Crashed    bool

	runs  int
	extra func(context.Context)
}

// New returns a world without engines and instances.
func New(document environment.Document) *World {
	clock := steppedclock.New()
	return &World{
		Clock:   clock,
		Store:   platformstandin.NewStore(clock, 1),
		Fleet:   enginestandin.NewFleet(),
		State:   &environment.State{Revision: 1, Document: document},
		Check:   func() {},
		ticking: make(map[*Instance]bool),
	}
}

// AddEngine adds an engine and its target.
func (w *World) AddEngine(zone string, cfg enginestandin.Config, maxDelayMS int) *enginestandin.Engine {
	engine := enginestandin.New(cfg, w.Clock, uint64(len(w.Engines)+1))
	address := fmt.Sprintf("127.0.0.1:%d", 9000+len(w.Engines))
	w.Engines = append(w.Engines, engine)
	w.Fleet.Add(address, engine)
	w.State.Document.Targets = append(w.State.Document.Targets, environment.Target{
		Name: cfg.Name, Kind: environment.TargetEngine, Address: address, Zone: zone, MemoryMB: cfg.MemoryMB,
		Concurrency: cfg.Slots, ColdConcurrency: cfg.ColdConcurrency, ChecksFencing: cfg.ChecksFencing, MaxOrderDelayMS: maxDelayMS,
	})
	return engine
}

// AddInstance starts an instance.
func (w *World) AddInstance(name, zone string) *Instance {
	i := &Instance{Name: name, Zone: zone, World: w}
	w.Instances = append(w.Instances, i)
	i.Restart()
	return i
}

// Restart begins a new run of the instance, which knows nothing of the last.
func (i *Instance) Restart() {
	w := i.World
	i.runs++
	i.Crashed, i.Paused = false, false
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	session := fmt.Sprintf("%s-%d", i.Name, i.runs)
	i.Inventory = inventory.New(w.View, w.Fleet, w.Clock, logger)
	i.Leases = lease.NewManager(lease.Config{
		Prefix: "leases/" + Env + "/", Holder: i.Name, Session: session, Objects: w.Store, Clock: w.Clock, Log: logger,
		Candidates: func() []lease.Candidacy { return i.candidates() }, Metrics: prometheus.NewRegistry(), Parallel: 1,
	})
	i.Orderer = orders.New(orders.Config{
		Environment: Env, Session: session, Objects: w.Store, Leases: i.Leases, Engines: gapped{i}, Snapshot: i.Inventory.Snapshot,
		Clock: w.Clock, Log: logger, Metrics: prometheus.NewRegistry(), Parallel: 1, BeforeSend: i.beforeSend,
	})
	i.extra = nil
	if w.OnStart != nil {
		i.extra = w.OnStart(i)
	}
}

func (i *Instance) beforeSend() {
	if i.World.BeforeSend != nil {
		i.World.BeforeSend(i)
	}
}

// Session is the name of the present run of the instance.
func (i *Instance) Session() string { return fmt.Sprintf("%s-%d", i.Name, i.runs) }

func (i *Instance) candidates() []lease.Candidacy {
	members := i.World.Members()
	out := orders.Candidates(i.Name, members, &i.World.State.Document)
	return append(out, lease.Candidacy{Name: "planner", Rank: orders.Rank(i.Name, members, "planner", "")})
}

// Members returns the instances that are not dead.
func (w *World) Members() []membership.Member {
	var out []membership.Member
	for _, i := range w.Instances {
		if !i.Crashed {
			out = append(out, membership.Member{Name: i.Name, Zone: i.Zone})
		}
	}
	return out
}

// View returns the present state as a view.
func (w *World) View() *environment.View { return environment.NewView(w.State, w.Clock.Now()) }

// gapped calls World.AfterLeaseCheck before each order.
type gapped struct{ instance *Instance }

// Order implements target.Orderer.
func (g gapped) Order(ctx context.Context, address string, order target.Order) error {
	if g.instance.World.AfterLeaseCheck != nil {
		g.instance.World.AfterLeaseCheck(g.instance)
	}
	return g.instance.World.Fleet.Order(ctx, address, order)
}

// Run lets time pass: all instances that are neither dead nor paused tick at
// each step. It may be called from AfterLeaseCheck; the calling
// instance stands still then.
func (w *World) Run(d time.Duration) {
	ctx := context.Background()
	for range d / Step {
		w.Clock.Advance(Step)
		for _, i := range w.Instances {
			w.tick(ctx, i)
		}
		w.Check()
	}
}

func (w *World) tick(ctx context.Context, i *Instance) {
	if i.Crashed || i.Paused || w.ticking[i] {
		return
	}
	w.ticking[i] = true
	defer delete(w.ticking, i)
	ctx = platformstandin.WithZone(ctx, i.Zone)
	i.Inventory.Poll(ctx)
	i.Leases.Tick(ctx)
	if i.extra != nil {
		i.extra(ctx)
	}
	i.Orderer.Tick(ctx)
}

// Plan returns the stored plan, whatever the faults of the platform.
func (w *World) Plan() (orders.Plan, platform.Version) {
	var plan orders.Plan
	object, err := w.healthy().Get(context.Background(), orders.PlanKey(Env))
	if err == nil {
		_ = json.Unmarshal(object.Value, &plan)
	}
	return plan, object.Version
}

// AddMove appends a move to the stored plan in the planner's place.
func (w *World) AddMove(m orders.Move) uint64 {
	plan, version := w.Plan()
	plan.LastSeq++
	m.Seq = plan.LastSeq
	plan.Moves = append(plan.Moves, m)
	w.putPlan(plan, version)
	return m.Seq
}

// DropMove takes a move out of the stored plan, as a planner with a fault would.
func (w *World) DropMove(seq uint64) {
	plan, version := w.Plan()
	plan.Moves = slices.DeleteFunc(plan.Moves, func(m orders.Move) bool { return m.Seq == seq })
	w.putPlan(plan, version)
}

func (w *World) putPlan(plan orders.Plan, version platform.Version) {
	value, err := json.Marshal(plan)
	if err != nil {
		panic(err)
	}
	faults := w.Store.Faults()
	w.Store.SetFaults(platformstandin.Faults{})
	defer w.Store.SetFaults(faults)
	if _, err := w.Store.Put(context.Background(), orders.PlanKey(Env), value, version); err != nil {
		panic(err)
	}
}

// Record returns the stored record of a target, whatever the faults of the
// platform.
func (w *World) Record(name string) orders.Record {
	object, err := w.healthy().Get(context.Background(), orders.RecordPrefix(Env)+name)
	if err != nil {
		return orders.Record{Target: name}
	}
	record, err := orders.DecodeRecord(object.Value)
	if err != nil {
		panic(err)
	}
	return record
}

// healthy gives the store for one read without faults.
func (w *World) healthy() reader { return reader{w.Store} }

type reader struct{ store *platformstandin.Store }

// Get reads an object as a platform without faults would answer.
func (r reader) Get(ctx context.Context, key string) (platform.Object, error) {
	faults := r.store.Faults()
	r.store.SetFaults(platformstandin.Faults{})
	defer r.store.SetFaults(faults)
	return r.store.Get(ctx, key)
}
