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

// ErrPlan means that the plan could not be stored or the orderers' records could not
// be read.
var ErrPlan = merry.Sentinel("placement: could not store the plan or read the orderers' records")

// LeaseName is the name of the planner's lease.
const LeaseName = "planner"

const (
	planInterval = time.Second
	// fullReadInterval is the time between full reads of the orderers' records. In
	// between, only changed records are read.
	fullReadInterval = 30 * time.Second
	// idleDecisionInterval is the minimum time between a decision without moves and
	// the next decision.
	idleDecisionInterval = 3 * time.Second
	// callTimeout bounds calls to the store and to other instances.
	callTimeout = time.Second
	// minLeaseRemaining is how long the lease must remain valid for the planner to
	// start planning and writing the plan.
	minLeaseRemaining = time.Second
	// startupReportTimeout is how long a planner waits for the reports of all targets
	// at the start of its term.
	startupReportTimeout = 10 * time.Second
	// minorityTimeout is how long a planner with fresh reports from less than half
	// of the targets plans no moves: it may itself be partitioned from them.
	minorityTimeout = 30 * time.Second
	// maxLoadDuration is how long a load counts against the weight store's limits
	// while its target does not report.
	maxLoadDuration = time.Minute
	// initialSlotsPerTokenRate is the slotsPerTokenRate that is assumed until engines
	// have been observed under load.
	initialSlotsPerTokenRate = 0.02
	calibrationWeight        = 0.05
	// retireAfter is how long the document must not name a resource before it is
	// unloaded. The document may be a few seconds old at the start of a term.
	retireAfter = 30 * time.Second
	unlimited   = 1 << 20
)

// Leases tells whether this instance holds a lease, and which instance, this or
// another, is the last known holder.
type Leases interface {
	orders.Leases
	Holder(name string) string
}

// Config holds the settings and dependencies of a planner.
type Config struct {
	Environment string
	// Session identifies one run of the instance.
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

// Planner plans moves while the instance holds the planner's lease. It reports the
// instance's demand to the planner that holds the lease. Tick must be called from
// one goroutine only.
type Planner struct {
	cfg     Config
	reports *orders.ReportTracker
	demand  *collector
	metrics metrics

	demandReportedAt time.Time
	// term is nil while the instance does not plan.
	term *term
}

// NewPlanner returns a planner and registers its demand handler with the mesh.
func NewPlanner(c Config) *Planner {
	p := &Planner{cfg: c, reports: orders.NewReportTracker(), demand: newCollector(), metrics: newMetrics(c.Metrics)}
	mesh.Handle(c.Mesh, methodDemand, func(_ context.Context, from mesh.Peer, r *demandReport) (*demandResponse, error) {
		p.demand.add(from.Name, *r, c.Clock.Now())
		return &demandResponse{}, nil
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

// Tick reports demand if that is due, and plans moves if the instance holds the
// planner's lease.
func (p *Planner) Tick(ctx context.Context) {
	now := p.cfg.Clock.Now()
	p.reports.Observe(p.cfg.Snapshot(), now)
	p.reportDemand(ctx, now)
	if _, err := p.cfg.Leases.Held(LeaseName, minLeaseRemaining); err != nil {
		p.term = nil
		p.metrics.planner.Set(0)
		return
	}
	p.metrics.planner.Set(1)
	if p.term == nil && !p.beginTerm(ctx) {
		return
	}
	if err := p.plan(ctx); err != nil {
		p.cfg.Log.Debugf("Planning failed: %v.", err)
	}
}

func (p *Planner) reportDemand(ctx context.Context, now time.Time) {
	holder := p.cfg.Leases.Holder(LeaseName)
	if holder == "" || now.Sub(p.demandReportedAt) < forecastStep {
		return
	}
	p.demandReportedAt = now
	report := p.cfg.Recorder.takeReport()
	if holder == p.cfg.Mesh.Self().Name {
		p.demand.add(holder, report, now)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := mesh.Call[demandReport, demandResponse](ctx, p.cfg.Mesh, holder, methodDemand, &report); err != nil {
		p.cfg.Log.Debugf("Could not report demand to %s: %v.", holder, err)
	}
}

// beginTerm starts a term. It reads the stored plan and writes it back with a
// higher token. The new version makes later writes of earlier planners fail.
func (p *Planner) beginTerm(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
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
		plan: plan, version: object.Version, startedAt: now, loadTokensAt: now, slotsPerTokenRate: initialSlotsPerTokenRate,
		records: make(map[string]versionedRecord), histories: make(map[string]*targetHistory), moveIssuedAt: make(map[uint64]time.Time),
		series: make(map[string]*Series), lastUsed: make(map[string]time.Time), lastDeclaredAt: make(map[orders.Resource]time.Time),
	}
	for _, m := range plan.Moves {
		p.term.moveIssuedAt[m.Seq] = now
	}
	plan.Token++
	plan.Session = p.cfg.Session
	if err := p.store(ctx, plan); err != nil {
		p.term = nil
		return false
	}
	p.cfg.Log.Infof("Started planning with token %d and %d pending moves.", plan.Token, len(plan.Moves))
	return true
}

// store writes the plan if the stored version is still the last known one. A
// conflict or an unknown outcome ends the term.
func (p *Planner) store(ctx context.Context, plan orders.Plan) error {
	plan.Writes++
	value, err := json.Marshal(plan)
	if err != nil {
		return merry.Wrap(ErrPlan, merry.WithCause(err))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// plan removes completed moves and moves of removed targets from the plan, adds new
// moves and stores the plan if it changed.
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
		t.moveIssuedAt[m.Seq] = now
		if m.IsLoad() && m.Adapter == "" {
			t.loadTokens--
		}
		p.metrics.moves.WithLabelValues(string(m.Action), m.Reason).Inc()
		p.cfg.Log.Infof("Move %d: %s %s on %s, %s.", m.Seq, m.Action, m.Served(), m.Target, m.Reason)
	}
	return nil
}

// readRecords reads the orderers' records that have changed, and all of them every
// fullReadInterval. It ignores versions older than the known one, which come from
// stale reads.
func (p *Planner) readRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix, now := orders.RecordPrefix(p.cfg.Environment), p.cfg.Clock.Now()
	t := p.term
	var objects []platform.Object
	var version platform.Version
	var err error
	isFull := t.lastFullReadAt.IsZero() || now.Sub(t.lastFullReadAt) >= fullReadInterval
	if isFull {
		objects, version, err = p.cfg.Objects.List(ctx, prefix)
	} else {
		objects, version, err = p.cfg.Objects.Changes(ctx, prefix, t.readVersion, 0)
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
			t.records[record.Target] = versionedRecord{record, o.Version}
		}
	}
	if isFull {
		t.lastFullReadAt = now
	}
	t.readVersion = max(t.readVersion, version)
	return nil
}

// decide returns new moves. It returns none while too few targets have fresh
// reports and for idleDecisionInterval after a decision without moves.
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
		history := p.term.history(ts.Target.Name)
		if isFresh {
			fresh++
			history.lastFresh = now
		}
		record := p.term.records[ts.Target.Name].record
		state.Targets = append(state.Targets, observeTarget(snapshot.View, ts, &record, pending, isFresh, history, now))
	}
	p.term.markRetired(&state, now)
	p.term.updateDemand(&state, p.demand, snapshot, now)
	if !p.term.canDecide(fresh, all, now) || now.Sub(p.term.lastIdleDecisionAt) < idleDecisionInterval {
		return nil
	}
	state.Budget = p.term.budget(&snapshot.View.State.Document.WeightStore, pending, state.Targets, now)
	moves := p.cfg.Policy.Plan(&state)
	if len(moves) == 0 {
		p.term.lastIdleDecisionAt = now
	}
	return moves
}
