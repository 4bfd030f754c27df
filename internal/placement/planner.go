package placement

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// ErrPlan means that the plan could not be read or stored.
var ErrPlan = merry.Sentinel("placement: plan not read or stored")

// LeaseName is the name of the planner's lease.
const LeaseName = "planner"

const (
	planInterval = time.Second
	// fullReadEvery is the time between full reads of the orderers' records; in
	// between only changed records are read.
	fullReadEvery = 30 * time.Second
	// decideEvery is the time to the next decision after one without moves.
	decideEvery  = 3 * time.Second
	storeTimeout = time.Second
	// planGuard is how long the lease must still stand when a plan is written.
	planGuard = time.Second
	// startWait is how long a new planner waits for the reports of all targets.
	startWait = 10 * time.Second
	// minorityWait is how long a planner holds still that hears from less than
	// half of the targets: it may be the one that is cut off.
	minorityWait = 30 * time.Second
	// loadLasts is the longest time for which a load counts against the weight
	// store while its target does not report.
	loadLasts = time.Minute
	// slotsPerTokenRate converts tokens per second to calls at once until engines
	// have been seen under load.
	slotsPerTokenRate = 0.02
	slotsWeight       = 0.05
	// retireAfter is how long the document must not have named a resource before
	// it is unloaded; the view of a new planner may be a few seconds old.
	retireAfter = 30 * time.Second
	unlimited   = 1 << 20
)

// Leases tells whether the instance plans, and who does otherwise.
type Leases interface {
	orders.Leases
	Holder(name string) string
}

// Config holds what a planner is made of.
type Config struct {
	Environment string
	// Session is unique to the run of the instance.
	Session  string
	Objects  platform.Objects
	Leases   Leases
	Mesh     mesh.Mesh
	Snapshot func() *inventory.Snapshot
	Recorder *Recorder
	Policy   Policy
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  prometheus.Registerer
}

// Planner decides moves while the instance holds the planner's lease and reports
// the instance's demand to the planner otherwise. Tick is used by one goroutine.
type Planner struct {
	cfg       Config
	reports   *orders.ReportTracker
	collected *collector
	metrics   metrics

	reportedAt time.Time
	// The fields below hold the term of the planner; term is nil outside one.
	term *term
}

// NewPlanner returns a planner and sets its handler on the mesh.
func NewPlanner(c Config) *Planner {
	p := &Planner{cfg: c, reports: orders.NewReportTracker(), collected: newCollector(), metrics: newMetrics(c.Metrics)}
	mesh.Handle(c.Mesh, methodDemand, func(_ context.Context, from mesh.Peer, r *demandReport) (*demandAnswer, error) {
		p.collected.add(from.Name, *r, c.Clock.Now())
		return &demandAnswer{}, nil
	})
	return p
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	ticker := p.cfg.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		p.Tick(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick reports demand when that is due and decides moves if the instance plans.
func (p *Planner) Tick(ctx context.Context) {
	now := p.cfg.Clock.Now()
	p.reports.Observe(p.cfg.Snapshot(), now)
	p.reportDemand(ctx, now)
	if _, err := p.cfg.Leases.Held(LeaseName, planGuard); err != nil {
		p.term = nil
		p.metrics.planner.Set(0)
		return
	}
	p.metrics.planner.Set(1)
	if p.term == nil && !p.begin(ctx) {
		return
	}
	if err := p.plan(ctx); err != nil {
		p.cfg.Log.Debugf("No plan: %v.", err)
	}
}

func (p *Planner) reportDemand(ctx context.Context, now time.Time) {
	holder := p.cfg.Leases.Holder(LeaseName)
	if holder == "" || now.Sub(p.reportedAt) < forecastStep {
		return
	}
	p.reportedAt = now
	report := p.cfg.Recorder.take()
	if holder == p.cfg.Mesh.Self().Name {
		p.collected.add(holder, report, now)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := mesh.Call[demandReport, demandAnswer](ctx, p.cfg.Mesh, holder, methodDemand, &report); err != nil {
		p.cfg.Log.Debugf("Demand not reported to %s: %v.", holder, err)
	}
}

// begin starts a term: it takes the stored plan over and writes it anew, which
// ends the right of earlier planners to change it.
func (p *Planner) begin(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var plan orders.Plan
	object, err := p.cfg.Objects.Get(callCtx, orders.PlanKey(p.cfg.Environment))
	if err == nil {
		err = json.Unmarshal(object.Value, &plan)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	now := p.cfg.Clock.Now()
	p.term = &term{
		plan: plan, version: object.Version, startedAt: now, tokensAt: now, slots: slotsPerTokenRate,
		records: make(map[string]versioned), seen: make(map[string]*sighting), issued: make(map[uint64]time.Time),
		series: make(map[string]*Series), used: make(map[string]time.Time), declared: make(map[orders.Resource]time.Time),
	}
	for _, m := range plan.Moves {
		p.term.issued[m.Seq] = now
	}
	plan.Token++
	plan.Session = p.cfg.Session
	if err := p.store(ctx, plan); err != nil {
		p.term = nil
		return false
	}
	p.cfg.Log.Infof("Planning with token %d, %d moves under way.", plan.Token, len(plan.Moves))
	return true
}

// store writes the plan on condition of the version last known. Unless it
// certainly had no effect, a failed write ends the term.
func (p *Planner) store(ctx context.Context, plan orders.Plan) error {
	plan.Writes++
	value, err := json.Marshal(plan)
	if err != nil {
		return merry.Wrap(ErrPlan, merry.WithCause(err))
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := orders.PlanKey(p.cfg.Environment)
	object, err := platform.PutSettled(ctx, p.cfg.Objects, p.cfg.Clock, key, value, p.term.version, func(stored []byte) bool {
		var other orders.Plan
		return json.Unmarshal(stored, &other) == nil && other.Session == plan.Session && other.Token == plan.Token && other.Writes == plan.Writes
	})
	if err != nil {
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
			p.term = nil
		}
		return merry.Wrap(ErrPlan, merry.WithCause(err))
	}
	p.term.plan, p.term.version = plan, object.Version
	return nil
}

// plan drops the moves that have ended and decides new ones.
func (p *Planner) plan(ctx context.Context) error {
	if err := p.readRecords(ctx); err != nil {
		return err
	}
	t := p.term
	next := t.plan
	view := p.cfg.Snapshot().View
	next.Moves = slices.DeleteFunc(slices.Clone(next.Moves), func(m orders.Move) bool {
		return t.records[m.Target].record.DoneThrough >= m.Seq || view.Target(m.Target) == nil
	})
	moves := p.decide(next.Moves)
	for _, m := range moves {
		next.LastSeq++
		m.Seq = next.LastSeq
		next.Moves = append(next.Moves, m)
	}
	if len(moves) == 0 && len(next.Moves) == len(t.plan.Moves) {
		return nil
	}
	if err := p.store(ctx, next); err != nil {
		return err
	}
	now := p.cfg.Clock.Now()
	for _, m := range next.Moves[len(next.Moves)-len(moves):] {
		t.issued[m.Seq] = now
		if m.IsLoad() && m.Adapter == "" {
			t.tokens--
		}
		p.metrics.moves.WithLabelValues(string(m.Action), m.Reason).Inc()
		p.cfg.Log.Infof("Move %d: %s %s on %s, %s.", m.Seq, m.Action, m.Served(), m.Target, m.Reason)
	}
	return nil
}

// readRecords reads the orderers' records that have changed, and now and then
// all of them. An older version than the one known comes from a stale read and
// is left out.
func (p *Planner) readRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	prefix, now := orders.RecordPrefix(p.cfg.Environment), p.cfg.Clock.Now()
	t := p.term
	var objects []platform.Object
	var version platform.Version
	var err error
	isFull := t.fullAt.IsZero() || now.Sub(t.fullAt) >= fullReadEvery
	if isFull {
		objects, version, err = p.cfg.Objects.List(ctx, prefix)
	} else {
		objects, version, err = p.cfg.Objects.Changes(ctx, prefix, t.readTo, 0)
	}
	if err != nil {
		return merry.Wrap(ErrPlan, merry.WithCause(err))
	}
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		record, err := orders.DecodeRecord(o.Value)
		if err != nil {
			return err
		}
		if known, ok := t.records[record.Target]; !ok || o.Version > known.version {
			t.records[record.Target] = versioned{record, o.Version}
		}
	}
	if isFull {
		t.fullAt = now
	}
	t.readTo = max(t.readTo, version)
	return nil
}

// decide returns new moves, or none while too little is known.
func (p *Planner) decide(pending []orders.Move) []orders.Move {
	now := p.cfg.Clock.Now()
	snapshot := p.cfg.Snapshot()
	state := State{Now: now, Models: snapshot.View.State.Document.Models, Adapters: snapshot.View.State.Document.Adapters}
	fresh, all := 0, 0
	for _, ts := range snapshot.Targets {
		if ts.Target.Kind != environment.TargetEngine {
			continue
		}
		all++
		isFresh := p.reports.IsFresh(ts, now)
		seen := p.term.sighting(ts.Target.Name)
		if isFresh {
			fresh++
			seen.lastFresh = now
		}
		record := p.term.records[ts.Target.Name].record
		state.Targets = append(state.Targets, observeTarget(snapshot.View, ts, &record, pending, isFresh, seen, now))
	}
	p.term.observeDocument(&state, now)
	p.term.observeDemand(&state, p.collected, snapshot, now)
	if !p.term.mayDecide(fresh, all, now) || now.Sub(p.term.idleAt) < decideEvery {
		return nil
	}
	state.Budget = p.term.budget(&snapshot.View.State.Document.WeightStore, pending, state.Targets, now)
	moves := p.cfg.Policy.Plan(&state)
	if len(moves) == 0 {
		p.term.idleAt = now
	}
	return moves
}
