package orders

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	tickInterval = 250 * time.Millisecond
	planEvery    = 500 * time.Millisecond
	// storeTimeout bounds one call to the platform with the settling of its
	// outcome.
	storeTimeout = time.Second
	// sendTimeout bounds one order.
	sendTimeout = 500 * time.Millisecond
	// sendGuard is how long the lease must still stand when an order is sent.
	// It exceeds sendTimeout, so that no order is under way to the target's
	// address once the lease has ended.
	sendGuard = 800 * time.Millisecond
	// intentLife is the age above which a stored intent is not sent by.
	intentLife = 2 * time.Second
	// DefaultParallel is the number of targets that are looked after at once.
	DefaultParallel = 8
)

// Leases tells which groups of targets the instance may order.
type Leases interface {
	// Held returns the grant if the lease stands for at least that long.
	Held(name string, atLeast time.Duration) (lease.Grant, error)
}

// Config holds what an orderer is made of.
type Config struct {
	Environment string
	// Session is unique to the run of the instance.
	Session  string
	Objects  platform.Objects
	Leases   Leases
	Engines  target.Orderer
	Snapshot func() *inventory.Snapshot
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  prometheus.Registerer
	// Parallel is the number of targets that are looked after at once.
	Parallel int
	// BeforeSend is called right before the last look at the clock; it may be
	// nil.
	BeforeSend func()
}

// Orderer carries out the planner's moves on the targets whose groups the
// instance holds. It is safe for concurrent use.
type Orderer struct {
	cfg     Config
	reports *ReportTracker
	metrics metrics

	stopping atomic.Bool

	// mu is held for a whole Tick; it guards the fields below.
	mu      sync.Mutex
	targets map[string]*ordered
	plan    Plan
	planAt  time.Time
}

// ordered is the work on one target. It is used by one goroutine at a time.
type ordered struct {
	ledger  *Ledger
	version platform.Version
}

// New returns an orderer.
func New(c Config) *Orderer {
	if c.Parallel == 0 {
		c.Parallel = DefaultParallel
	}
	return &Orderer{cfg: c, reports: NewReportTracker(), metrics: newMetrics(c.Metrics), targets: make(map[string]*ordered)}
}

// Run carries out moves until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := o.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		o.Tick(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop ends ordering for a planned stop. When it returns, no order is being
// sent and none will be.
func (o *Orderer) Stop() {
	o.stopping.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.targets)
}

// Tick takes one step on each target that the instance may order.
func (o *Orderer) Tick(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	snapshot := o.cfg.Snapshot()
	o.reports.Observe(snapshot, o.cfg.Clock.Now())
	group := errgroup.Group{}
	group.SetLimit(o.cfg.Parallel)
	isPlanRead := false
	for _, t := range snapshot.Targets {
		if t.Target.Kind != environment.TargetEngine || o.stopping.Load() {
			continue
		}
		grant, err := o.cfg.Leases.Held(GroupOf(t.Target), sendGuard)
		if err != nil {
			delete(o.targets, t.Target.Name)
			continue
		}
		if !isPlanRead {
			o.readPlan(ctx)
			isPlanRead = true
		}
		work := o.targets[t.Target.Name]
		if work == nil {
			work = &ordered{}
			o.targets[t.Target.Name] = work
		}
		group.Go(func() error {
			o.step(ctx, snapshot, t, work, grant)
			return nil
		})
	}
	_ = group.Wait()
}

// readPlan keeps the newest plan seen; an older one from a stale read would
// only name moves that are done.
func (o *Orderer) readPlan(ctx context.Context) {
	now := o.cfg.Clock.Now()
	if !o.planAt.IsZero() && now.Sub(o.planAt) < planEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := o.cfg.Objects.Get(ctx, PlanKey(o.cfg.Environment))
	if err != nil {
		return
	}
	o.planAt = now
	var plan Plan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		o.cfg.Log.Errorf("Plan not read: %v.", err)
		return
	}
	if plan.LastSeq >= o.plan.LastSeq && plan.Token >= o.plan.Token {
		o.plan = plan
	}
}

// step takes one step on one target.
func (o *Orderer) step(ctx context.Context, snapshot *inventory.Snapshot, t *inventory.TargetState, work *ordered, grant lease.Grant) {
	if work.ledger == nil && !o.take(ctx, t.Target, work, grant) {
		return
	}
	now := o.cfg.Clock.Now()
	if !o.reports.IsFresh(t, now) {
		return
	}
	moves := o.movesOf(t.Target.Name)
	step := work.ledger.Next(now, &t.Report, moves)
	if step.Order != nil && !step.Move.IsLoad() && isDeclared(snapshot.View, step.Move.Resource) && !o.hasOtherCopy(ctx, snapshot, t, step.Move.Resource) {
		if step.Retry {
			return
		}
		step = work.ledger.Refuse(step, OutcomeLastCopy)
	}
	o.metrics.ledger.WithLabelValues(t.Target.Name).Set(float64(step.Record.ChargedMB(&t.Report)))
	if !step.Write {
		return
	}
	intentAt := o.cfg.Clock.Now()
	if !o.store(ctx, work, step.Record) {
		return
	}
	if step.Outcome != OutcomeNone {
		o.metrics.moves.WithLabelValues(string(step.Move.Action), string(step.Outcome)).Inc()
		o.cfg.Log.Infof("Move %d on %s ended: %s %s: %s.", step.Move.Seq, t.Target.Name, step.Move.Action, step.Move.Served(), step.Outcome)
	}
	if step.Order != nil {
		o.send(ctx, t.Target, work, *step.Order, intentAt)
	}
}

func (o *Orderer) movesOf(name string) []Move {
	var out []Move
	for _, m := range o.plan.Moves {
		if m.Target == name {
			out = append(out, m)
		}
	}
	return out
}

// take makes the instance the orderer of a target: it reads what earlier
// orderers left and writes it anew, which ends their right to write intents.
func (o *Orderer) take(ctx context.Context, t *environment.Target, work *ordered, grant lease.Grant) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := o.cfg.Objects.Get(callCtx, RecordPrefix(o.cfg.Environment)+t.Name)
	record := Record{Target: t.Name}
	switch {
	case err == nil:
		if record, err = DecodeRecord(object.Value); err != nil {
			o.cfg.Log.Errorf("Record of %s not read: %v.", t.Name, err)
			return false
		}
	case !errors.Is(err, platform.ErrNotFound):
		return false
	}
	previous := record
	record = record.clone()
	record.Token++
	record.Group = GroupOf(t)
	record.Session = o.cfg.Session
	work.version = object.Version
	if !o.store(ctx, work, record) {
		return false
	}
	now := o.cfg.Clock.Now()
	work.ledger = NewLedger(*t, work.stored(record), now, o.notBefore(t, &previous, grant, now))
	o.metrics.takeovers.Inc()
	o.cfg.Log.Infof("Ordering %s with token %d, %d entries.", t.Name, record.Token, len(record.Entries))
	return true
}

// stored returns the record as store wrote it.
func (w *ordered) stored(r Record) Record {
	r.Writes++
	return r
}

// notBefore returns when the first order may go to a target that ignores
// fencing tokens: once the earlier orderer's lease and the longest delay of an
// order have both passed.
func (o *Orderer) notBefore(t *environment.Target, previous *Record, grant lease.Grant, now time.Time) time.Time {
	if t.ChecksFencing || previous.Session == "" || previous.Session == o.cfg.Session {
		return now
	}
	if previous.Group == GroupOf(t) {
		return grant.FreeSince.Add(MaxDelay(t))
	}
	return now.Add(intentLife + sendTimeout + MaxDelay(t))
}

// store writes a record on condition of the last version known. After a failure
// other than a certain one the ledger is dropped and the target taken anew.
func (o *Orderer) store(ctx context.Context, work *ordered, record Record) bool {
	record = work.stored(record)
	value, err := json.Marshal(record)
	if err != nil {
		o.cfg.Log.Errorf("Record of %s not encoded: %v.", record.Target, err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := RecordPrefix(o.cfg.Environment) + record.Target
	object, err := platform.PutSettled(ctx, o.cfg.Objects, o.cfg.Clock, key, value, work.version, func(stored []byte) bool {
		r, err := DecodeRecord(stored)
		return err == nil && r.Session == record.Session && r.Token == record.Token && r.Writes == record.Writes
	})
	if err == nil {
		work.version = object.Version
		if work.ledger != nil {
			work.ledger.SetRecord(record)
		}
		return true
	}
	o.cfg.Log.Debugf("Record of %s not stored: %v.", record.Target, err)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		work.ledger = nil
	}
	return false
}

// send sends an order whose intent is stored, if the lease stands for longer
// than sending can take.
func (o *Orderer) send(ctx context.Context, t *environment.Target, work *ordered, order target.Order, intentAt time.Time) {
	if o.cfg.BeforeSend != nil {
		o.cfg.BeforeSend()
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := o.mayOrder(t, intentAt); err != nil {
		o.metrics.orders.WithLabelValues(string(order.Action), "not_sent").Inc()
		work.ledger = nil
		return
	}
	err := o.cfg.Engines.Order(ctx, t.Address, order)
	work.ledger.RecordSent(Resource{order.Model, order.Adapter}, o.cfg.Clock.Now())
	o.metrics.orders.WithLabelValues(string(order.Action), outcomeLabel(err)).Inc()
	o.cfg.Log.Infof("Order %s to %s: %s %s: %s.", order.ID, t.Name, order.Action, Resource{order.Model, order.Adapter}.Served(), outcomeLabel(err))
	if errors.Is(err, target.ErrFenced) {
		work.ledger = nil
	}
}

func (o *Orderer) mayOrder(t *environment.Target, intentAt time.Time) error {
	if o.stopping.Load() || o.cfg.Clock.Since(intentAt) > intentLife {
		return merry.Wrap(ErrNotOrderer)
	}
	if _, err := o.cfg.Leases.Held(GroupOf(t), sendGuard); err != nil {
		return merry.Wrap(ErrNotOrderer, merry.WithCause(err))
	}
	return nil
}

// hasOtherCopy reports whether another target surely holds a copy of the
// resource. It reads the records of the targets that report one.
func (o *Orderer) hasOtherCopy(ctx context.Context, snapshot *inventory.Snapshot, except *inventory.TargetState, k Resource) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := o.cfg.Clock.Now()
	for _, t := range snapshot.Serving(k.Served()) {
		isOut := snapshot.View.IsTargetOut(t.Target) || snapshot.View.IsTargetLeavingSoon(t.Target)
		if t == except || isOut || !o.reports.IsFresh(t, now) || o.isUnloadPlanned(t, k) {
			continue
		}
		object, err := o.cfg.Objects.Get(ctx, RecordPrefix(o.cfg.Environment)+t.Target.Name)
		if errors.Is(err, platform.ErrNotFound) && IsConfirmedCopy(t, nil, k) {
			return true
		}
		if err != nil {
			continue
		}
		record, err := DecodeRecord(object.Value)
		if err == nil && IsConfirmedCopy(t, &record, k) {
			return true
		}
	}
	return false
}

// isDeclared reports whether the document names the resource.
func isDeclared(view *environment.View, k Resource) bool {
	model, _ := view.Resolve(k.Served())
	return model != nil && model.Name == k.Model
}

func (o *Orderer) isUnloadPlanned(t *inventory.TargetState, k Resource) bool {
	for i := range o.plan.Moves {
		m := &o.plan.Moves[i]
		if m.Target == t.Target.Name && m.Resource == k && !m.IsLoad() {
			return true
		}
	}
	return false
}

func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, target.ErrFenced):
		return "fenced"
	case errors.Is(err, target.ErrRejected):
		return "rejected"
	case errors.Is(err, target.ErrNotSent):
		return "not_sent"
	}
	return "unknown"
}
