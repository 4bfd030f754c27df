// Package orderstest runs instances that send orders to engines in one process,
// on a stepped clock, for tests of orders and placement. Engines and the platform
// are stand-ins whose faults the test sets.
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

// World is a simulated fleet in one process. It is used by one goroutine at
// a time.
type World struct {
	Clock     *steppedclock.Clock
	Store     *platformstandin.Store
	Fleet     *enginestandin.Fleet
	Engines   []*enginestandin.Engine
	Instances []*Instance
	State     *environment.State
	// Check runs after each step.
	Check func()
	// AfterLeaseCheck runs in an instance between its lease check and the sending
	// of an order. It may be nil.
	AfterLeaseCheck func(*Instance)
	// BeforeSend runs in an instance before the lease check that precedes an
	// order. It may be nil.
	BeforeSend func(*Instance)
	// OnStart is called for each instance that starts. It may return a further
	// function to call at each tick of the instance. It may be nil.
	OnStart func(*Instance) func(context.Context)

	// ticking holds the instances whose tick is in progress.
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

	runs      int
	extraTick func(context.Context)
}

// New returns a world without engines or instances.
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

// AddEngine adds an engine and its target, whose longest order delay is maxDelayMS
// milliseconds.
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

// Restart starts a new run of the instance, without any state of the previous run.
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
		Environment: Env, Session: session, Objects: w.Store, Leases: i.Leases, Engines: hookedOrderer{i}, Snapshot: i.Inventory.Snapshot,
		Clock: w.Clock, Log: logger, Metrics: prometheus.NewRegistry(), Parallel: 1, BeforeSend: i.beforeSend,
	})
	i.extraTick = nil
	if w.OnStart != nil {
		i.extraTick = w.OnStart(i)
	}
}

func (i *Instance) beforeSend() {
	if i.World.BeforeSend != nil {
		i.World.BeforeSend(i)
	}
}

// Session returns the name of the current run of the instance.
func (i *Instance) Session() string { return fmt.Sprintf("%s-%d", i.Name, i.runs) }

func (i *Instance) candidates() []lease.Candidacy {
	members := i.World.Members()
	out := orders.Candidates(i.Name, members, &i.World.State.Document)
	return append(out, lease.Candidacy{Name: "planner", Rank: orders.Rank(i.Name, members, "planner", "")})
}

// Members returns the instances that have not crashed.
func (w *World) Members() []membership.Member {
	var out []membership.Member
	for _, i := range w.Instances {
		if !i.Crashed {
			out = append(out, membership.Member{Name: i.Name, Zone: i.Zone})
		}
	}
	return out
}

// View returns a view of the current state.
func (w *World) View() *environment.View { return environment.NewView(w.State, w.Clock.Now()) }

// hookedOrderer calls World.AfterLeaseCheck before it sends an order.
type hookedOrderer struct{ instance *Instance }

// Order implements target.Orderer.
func (h hookedOrderer) Order(ctx context.Context, address string, order target.Order) error {
	if h.instance.World.AfterLeaseCheck != nil {
		h.instance.World.AfterLeaseCheck(h.instance)
	}
	return h.instance.World.Fleet.Order(ctx, address, order)
}

// Run advances the clock by d in steps of length Step. All instances that are
// neither crashed nor paused tick at each step. A hook of an instance may call
// Run; that instance does not tick meanwhile.
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
	if i.extraTick != nil {
		i.extraTick(ctx)
	}
	i.Orderer.Tick(ctx)
}

// Plan returns the stored plan and its version, regardless of platform faults.
func (w *World) Plan() (orders.Plan, platform.Version) {
	var plan orders.Plan
	object, err := w.faultFree().Get(context.Background(), orders.PlanKey(Env))
	if err == nil {
		_ = json.Unmarshal(object.Value, &plan)
	}
	return plan, object.Version
}

// AddMove appends a move to the stored plan in place of the planner and returns
// its number.
func (w *World) AddMove(m orders.Move) uint64 {
	plan, version := w.Plan()
	plan.LastSeq++
	m.Seq = plan.LastSeq
	plan.Moves = append(plan.Moves, m)
	w.putPlan(plan, version)
	return m.Seq
}

// DropMove removes a move from the stored plan, as a faulty planner would.
func (w *World) DropMove(seq uint64) {
	plan, version := w.Plan()
	plan.Moves = slices.DeleteFunc(plan.Moves, func(m orders.Move) bool { return m.Seq == seq })
	w.putPlan(plan, version)
}

// putPlan stores the plan, regardless of platform faults.
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

// Record returns the stored record of a target, regardless of platform faults.
func (w *World) Record(name string) orders.Record {
	object, err := w.faultFree().Get(context.Background(), orders.RecordPrefix(Env)+name)
	if err != nil {
		return orders.Record{Target: name}
	}
	record, err := orders.DecodeRecord(object.Value)
	if err != nil {
		panic(err)
	}
	return record
}

// faultFree returns a reader of the store that bypasses its faults.
func (w *World) faultFree() faultFreeReader { return faultFreeReader{w.Store} }

type faultFreeReader struct{ store *platformstandin.Store }

// Get reads an object as a platform without faults would return it.
func (r faultFreeReader) Get(ctx context.Context, key string) (platform.Object, error) {
	faults := r.store.Faults()
	r.store.SetFaults(platformstandin.Faults{})
	defer r.store.SetFaults(faults)
	return r.store.Get(ctx, key)
}
