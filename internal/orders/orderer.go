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
	tickInterval     = 250 * time.Millisecond
	planReadInterval = 500 * time.Millisecond
	// storeTimeout bounds one read, one write with the retries that determine its
	// outcome, or all reads of one call of hasOtherCopy.
	storeTimeout = time.Second
	// sendTimeout bounds the sending of one order.
	sendTimeout = 500 * time.Millisecond
	// minLeaseRemaining is the time for which the lease must still be valid when
	// an order is sent. It exceeds sendTimeout, so that no sending outlasts the
	// lease.
	minLeaseRemaining = 800 * time.Millisecond
	// maxIntentAge is the age above which the order of a stored intent is not
	// sent.
	maxIntentAge = 2 * time.Second
	// DefaultParallel is the default of Config.Parallel.
	DefaultParallel = 8
)

// Leases provides the leases of target groups that the instance holds.
type Leases interface {
	// Held returns the grant if the instance holds the lease for at least the
	// given time from now, and an error otherwise.
	Held(name string, atLeast time.Duration) (lease.Grant, error)
}

// Config holds the settings and dependencies of an Orderer.
type Config struct {
	Environment string
	// Session is unique to one run of the instance.
	Session  string
	Objects  platform.Objects
	Leases   Leases
	Engines  target.Orderer
	Snapshot func() *inventory.Snapshot
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  prometheus.Registerer
	// Parallel is the number of targets that are processed concurrently. Zero
	// means DefaultParallel.
	Parallel int
	// BeforeSend is called before the last lease check that precedes an order. It
	// may be nil.
	BeforeSend func()
}

// Orderer carries out the planner's moves on the targets of the groups whose
// leases the instance holds. It is safe for concurrent use.
type Orderer struct {
	cfg     Config
	reports *ReportTracker
	metrics metrics

	stopping atomic.Bool

	// mu is held during a whole Tick and guards the fields below.
	mu         sync.Mutex
	targets    map[string]*targetWork
	plan       Plan
	planReadAt time.Time
}

// targetWork is the state of ordering for one target. It is used by one goroutine
// at a time.
type targetWork struct {
	// ledger is nil until the instance has taken over the target.
	ledger *Ledger
	// version is the last known version of the stored record.
	version platform.Version
}

// New returns an Orderer and registers its metrics.
func New(c Config) *Orderer {
	if c.Parallel == 0 {
		c.Parallel = DefaultParallel
	}
	return &Orderer{cfg: c, reports: NewReportTracker(), metrics: newMetrics(c.Metrics), targets: make(map[string]*targetWork)}
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

// Stop stops ordering before a planned shutdown. When it returns, no order is
// being sent and none will be.
func (o *Orderer) Stop() {
	o.stopping.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.targets)
}

// Tick performs one step on each engine target whose lease the instance holds.
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
		grant, err := o.cfg.Leases.Held(GroupOf(t.Target), minLeaseRemaining)
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
			work = &targetWork{}
			o.targets[t.Target.Name] = work
		}
		group.Go(func() error {
			o.step(ctx, snapshot, t, work, grant)
			return nil
		})
	}
	_ = group.Wait()
}

// readPlan reads the plan at most once per planReadInterval and keeps the newest.
// An older plan, returned by a stale read, is ignored: the moves that only it
// lists have ended.
func (o *Orderer) readPlan(ctx context.Context) {
	now := o.cfg.Clock.Now()
	if !o.planReadAt.IsZero() && now.Sub(o.planReadAt) < planReadInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := o.cfg.Objects.Get(ctx, PlanKey(o.cfg.Environment))
	if err != nil {
		return
	}
	o.planReadAt = now
	var plan Plan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		o.cfg.Log.Errorf("Cannot decode the plan: %v.", err)
		return
	}
	if plan.LastSeq >= o.plan.LastSeq && plan.Token >= o.plan.Token {
		o.plan = plan
	}
}

// step performs one step on one target, after a takeover if needed.
func (o *Orderer) step(ctx context.Context, snapshot *inventory.Snapshot, t *inventory.TargetState, work *targetWork, grant lease.Grant) {
	if work.ledger == nil && !o.takeOver(ctx, t.Target, work, grant) {
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
			// The unload may already have been sent, so it is too late to refuse.
			return
		}
		step = work.ledger.Refuse(step, OutcomeLastCopy)
	}
	o.metrics.ledgerMB.WithLabelValues(t.Target.Name).Set(float64(step.Record.ChargedMB(&t.Report)))
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

// movesOf returns the planned moves of a target.
func (o *Orderer) movesOf(name string) []Move {
	var out []Move
	for _, m := range o.plan.Moves {
		if m.Target == name {
			out = append(out, m)
		}
	}
	return out
}

// takeOver makes the instance the orderer of a target. It reads the record that
// previous orderers left and writes it back with a higher token, after which
// their conditional writes of intents fail.
func (o *Orderer) takeOver(ctx context.Context, t *environment.Target, work *targetWork, grant lease.Grant) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := o.cfg.Objects.Get(callCtx, RecordPrefix(o.cfg.Environment)+t.Name)
	record := Record{Target: t.Name}
	switch {
	case err == nil:
		if record, err = DecodeRecord(object.Value); err != nil {
			o.cfg.Log.Errorf("Cannot decode the order record of %s: %v.", t.Name, err)
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
	work.ledger = NewLedger(*t, work.withNextWrite(record), now, o.notBefore(t, &previous, grant, now))
	o.metrics.takeovers.Inc()
	o.cfg.Log.Infof("Took over orders to %s with fencing token %d and %d entries.", t.Name, record.Token, len(record.Entries))
	return true
}

// withNextWrite returns the record as store writes it, with the next write number.
func (w *targetWork) withNextWrite(r Record) Record {
	r.Writes++
	return r
}

// notBefore returns the earliest time of the first order. No delay is needed if
// the target checks fencing tokens, had no previous orderer or had this run of
// the instance as its previous orderer. Otherwise the previous orderer's lease
// must have expired and the longest delay of an order passed. If the target was
// in another group, the lease says nothing about the previous orderer, which may
// still send an order for maxIntentAge after the takeover.
func (o *Orderer) notBefore(t *environment.Target, previous *Record, grant lease.Grant, now time.Time) time.Time {
	if t.ChecksFencing || previous.Session == "" || previous.Session == o.cfg.Session {
		return now
	}
	if previous.Group == GroupOf(t) {
		return grant.FreeSince.Add(MaxDelay(t))
	}
	return now.Add(maxIntentAge + sendTimeout + MaxDelay(t))
}

// store writes a record on condition that the last known version is unchanged.
// After a conflict or an unknown outcome it drops the ledger, so that the next
// step takes the target over again.
func (o *Orderer) store(ctx context.Context, work *targetWork, record Record) bool {
	record = work.withNextWrite(record)
	value, err := json.Marshal(record)
	if err != nil {
		o.cfg.Log.Errorf("Cannot encode the order record of %s: %v.", record.Target, err)
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
	o.cfg.Log.Debugf("Cannot store the order record of %s: %v.", record.Target, err)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		work.ledger = nil
	}
	return false
}

// send sends an order whose intent has been stored, if checkSendAllowed permits.
func (o *Orderer) send(ctx context.Context, t *environment.Target, work *targetWork, order target.Order, intentAt time.Time) {
	if o.cfg.BeforeSend != nil {
		o.cfg.BeforeSend()
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := o.checkSendAllowed(t, intentAt); err != nil {
		o.metrics.orders.WithLabelValues(string(order.Action), "not_sent").Inc()
		work.ledger = nil
		return
	}
	err := o.cfg.Engines.Order(ctx, t.Address, order)
	work.ledger.MarkSent(Resource{order.Model, order.Adapter}, o.cfg.Clock.Now())
	o.metrics.orders.WithLabelValues(string(order.Action), outcomeLabel(err)).Inc()
	o.cfg.Log.Infof("Order %s to %s: %s %s: %s.", order.ID, t.Name, order.Action, Resource{order.Model, order.Adapter}.Served(), outcomeLabel(err))
	if errors.Is(err, target.ErrFenced) {
		work.ledger = nil
	}
}

// checkSendAllowed returns ErrNotOrderer if the orderer is stopping, the intent is
// older than maxIntentAge or the lease ends within minLeaseRemaining.
func (o *Orderer) checkSendAllowed(t *environment.Target, intentAt time.Time) error {
	if o.stopping.Load() || o.cfg.Clock.Since(intentAt) > maxIntentAge {
		return merry.Wrap(ErrNotOrderer)
	}
	if _, err := o.cfg.Leases.Held(GroupOf(t), minLeaseRemaining); err != nil {
		return merry.Wrap(ErrNotOrderer, merry.WithCause(err))
	}
	return nil
}

// hasOtherCopy reports whether another target has a confirmed copy of the
// resource. Targets that are out of service or announced to be, have no fresh
// report or have a planned unload of the resource do not count. It reads the
// records of the other targets that report a copy.
func (o *Orderer) hasOtherCopy(ctx context.Context, snapshot *inventory.Snapshot, except *inventory.TargetState, k Resource) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := o.cfg.Clock.Now()
	for _, t := range snapshot.Serving(k.Served()) {
		isDraining := snapshot.View.IsTargetOut(t.Target) || snapshot.View.IsTargetLeavingSoon(t.Target)
		if t == except || isDraining || !o.reports.IsFresh(t, now) || o.isUnloadPlanned(t, k) {
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

// isDeclared reports whether the environment document declares the resource.
func isDeclared(view *environment.View, k Resource) bool {
	model, _ := view.Resolve(k.Served())
	return model != nil && model.Name == k.Model
}

// isUnloadPlanned reports whether the plan has an unload of the resource on the
// target.
func (o *Orderer) isUnloadPlanned(t *inventory.TargetState, k Resource) bool {
	for i := range o.plan.Moves {
		m := &o.plan.Moves[i]
		if m.Target == t.Target.Name && m.Resource == k && !m.IsLoad() {
			return true
		}
	}
	return false
}

// outcomeLabel returns the metric label for the outcome of a sending.
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
