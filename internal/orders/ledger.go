package orders

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// retryDelay is the time after which an order with an unknown outcome is
	// sent again.
	retryDelay = 2 * time.Second
	// moveTimeout ends a move that could not be carried out. Resources of its
	// orders stay charged.
	moveTimeout = time.Minute
	// pauseAllowance covers a previous orderer that was paused between its lease
	// check and the sending of an order. It applies to targets that do not check
	// fencing tokens.
	pauseAllowance = 30 * time.Second
)

// Ledger is the state machine of the orders of one target. It does no I/O. Times
// are readings of the instance's monotonic clock.
//
// Invariants:
//   - Once its load has been ordered, a resource stays charged until the target
//     reports that an unload of it is settled. The unload is sent only when the
//     load can no longer arrive.
//   - A load is sent only if it fits in memory beside everything that is charged.
//   - A load is sent only when no earlier unload of the same resource can still
//     arrive.
type Ledger struct {
	target      environment.Target
	record      Record
	takenOverAt time.Time
	// notBefore is the earliest time of the first order. It is later than
	// takenOverAt only for a target that does not check fencing tokens.
	notBefore time.Time
	// sentAt holds the time at which this orderer finished sending its last order
	// for a resource.
	sentAt map[Resource]time.Time
	// priorDeadline holds the time until which orders of previous orderers for a
	// resource may still arrive.
	priorDeadline map[Resource]time.Time
	// moveStartedAt is the time of the first step of the current move.
	moveStartedAt time.Time
	// moveSeq is the number of the current move.
	moveSeq uint64
}

// NewLedger returns the ledger for a record that the orderer has just written.
// Orders of the record's entries count as sent at takenOverAt.
func NewLedger(t environment.Target, r Record, takenOverAt, notBefore time.Time) *Ledger {
	l := &Ledger{
		target: t, record: r, takenOverAt: takenOverAt, notBefore: notBefore,
		sentAt: make(map[Resource]time.Time), priorDeadline: make(map[Resource]time.Time),
	}
	for _, e := range r.Entries {
		l.priorDeadline[e.Resource] = l.priorOrderDeadline()
	}
	return l
}

// priorOrderDeadline returns the time until which orders of previous orderers may
// still arrive.
func (l *Ledger) priorOrderDeadline() time.Time {
	until := l.takenOverAt.Add(MaxDelay(&l.target))
	if !l.target.ChecksFencing {
		until = until.Add(pauseAllowance)
	}
	return until
}

// Record returns the last record that is known to have been stored.
func (l *Ledger) Record() Record { return l.record }

// SetRecord replaces the record after it has been stored.
func (l *Ledger) SetRecord(r Record) { l.record = r }

// MarkSent records that the sending of the order for a resource ended at now,
// with any outcome.
func (l *Ledger) MarkSent(k Resource, now time.Time) { l.sentAt[k] = now }

// Outcome is the way in which a move ended, or OutcomeNone if it has not ended.
type Outcome string

// Outcomes of moves. A load that the target settled ends with OutcomeDone even if
// it failed.
const (
	OutcomeNone        Outcome = ""
	OutcomeDone        Outcome = "done"
	OutcomeNoMemory    Outcome = "no_memory"
	OutcomeNoBase      Outcome = "no_base_model"
	OutcomeHasAdapters Outcome = "has_adapters"
	OutcomeLastCopy    Outcome = "last_copy"
	OutcomeGaveUp      Outcome = "gave_up"
)

// Step is the next action of the orderer: it stores Record if Write is set, then
// sends Order if it is not nil.
type Step struct {
	Record Record
	Write  bool
	Order  *target.Order
	// Retry is set if Order may have been sent before.
	Retry bool
	// Move is the first move that has not ended, or nil.
	Move    *Move
	Outcome Outcome
}

// Next returns the next step, given the moves of the target and its report. The
// report must be fresh.
func (l *Ledger) Next(now time.Time, report *target.Report, moves []Move) Step {
	step := Step{Record: l.record.clone()}
	step.Write = l.applyReport(&step.Record, report, now)
	step.Move = nextMove(moves, step.Record.DoneThrough)
	if step.Move == nil {
		return step
	}
	if l.moveSeq != step.Move.Seq {
		l.moveStartedAt, l.moveSeq = now, step.Move.Seq
	}
	if step.Move.IsLoad() {
		l.stepLoad(&step, now, report)
	} else {
		l.stepUnload(&step, now, report)
	}
	isTimedOut := now.Sub(l.moveStartedAt) > moveTimeout && !isLoading(report, step.Move.Resource)
	if step.Outcome == OutcomeNone && step.Order == nil && isTimedOut {
		step.endMove(OutcomeGaveUp)
	}
	return step
}

// Refuse returns a step that ends the move with the outcome instead of sending
// the order.
func (l *Ledger) Refuse(step Step, outcome Outcome) Step {
	refused := Step{Record: l.record.clone(), Move: step.Move}
	refused.endMove(outcome)
	return refused
}

// endMove ends the move of the step and makes the step store this.
func (s *Step) endMove(outcome Outcome) {
	s.Record.DoneThrough = s.Move.Seq
	s.Outcome = outcome
	s.Write = true
}

// nextMove returns the move with the lowest number above done, or nil.
func nextMove(moves []Move, done uint64) *Move {
	var first *Move
	for i := range moves {
		m := &moves[i]
		if m.Seq > done && (first == nil || m.Seq < first.Seq) {
			first = m
		}
	}
	return first
}

// applyReport updates the entries of the record from the report and removes those
// of finished unloads. The effect of an order that the report lists as settled is
// included in the reported state. It returns whether the record has changed.
func (l *Ledger) applyReport(r *Record, report *target.Report, now time.Time) bool {
	changed := false
	kept := r.Entries[:0]
	for _, e := range r.Entries {
		isSettled := slices.Contains(report.SettledOrders, e.OrderID)
		switch {
		case e.State == EntryLoading && isSettled && !isLoading(report, e.Resource):
			e.State, changed = EntryHeld, true
			r.SeenAsOf = max(r.SeenAsOf, report.AsOf)
		case e.State == EntryUnloading && isSettled && resident(report, e.Resource) == nil:
			e.State, changed = EntryGone, true
			r.SeenAsOf = max(r.SeenAsOf, report.AsOf)
		case e.State == EntryGone && l.isOrderExpired(&e, now):
			changed = true
			continue
		}
		kept = append(kept, e)
	}
	r.Entries = kept
	return changed
}

// isOrderExpired reports whether the entry's last order can no longer arrive at
// the target, including its retries and duplicates.
func (l *Ledger) isOrderExpired(e *Entry, now time.Time) bool {
	if now.Before(l.priorDeadline[e.Resource]) {
		return false
	}
	at, sent := l.sentAt[e.Resource]
	return !sent || !now.Before(at.Add(MaxDelay(&l.target)))
}

func (l *Ledger) stepLoad(step *Step, now time.Time, report *target.Report) {
	m := step.Move
	e := step.Record.Entry(m.Resource)
	switch {
	case e == nil && isReady(report, m.Resource):
		step.endMove(OutcomeDone)
	case e != nil && e.State == EntryHeld && (e.MoveSeq == m.Seq || isReady(report, m.Resource)):
		step.endMove(OutcomeDone)
	case isLoading(report, m.Resource):
		// The load is in progress. A retry would not show how it ends.
	case e != nil && e.State == EntryLoading && e.MoveSeq == m.Seq:
		l.retry(step, e, now)
	case e != nil && (e.State == EntryGone || e.State == EntryUnloading) && !l.isOrderExpired(e, now):
		// An unload that is still in flight could remove the new copy.
	default:
		l.beginLoad(step, now, report)
	}
}

func (l *Ledger) beginLoad(step *Step, now time.Time, report *target.Report) {
	m := step.Move
	if m.Adapter != "" && !isReady(report, Resource{Model: m.Model}) {
		step.endMove(OutcomeNoBase)
		return
	}
	next := step.Record.clone()
	entry := Entry{Resource: m.Resource, Version: m.Version, MemoryMB: m.MemoryMB, State: EntryLoading, MoveSeq: m.Seq}
	entry.OrderID = l.orderID(&next)
	next.put(entry)
	if next.ChargedMB(report) > l.target.MemoryMB {
		step.endMove(OutcomeNoMemory)
		return
	}
	if now.Before(l.notBefore) {
		return
	}
	step.Record, step.Write = next, true
	step.Order = l.order(&entry, m.Action)
}

func (l *Ledger) stepUnload(step *Step, now time.Time, report *target.Report) {
	m := step.Move
	e := step.Record.Entry(m.Resource)
	reported := resident(report, m.Resource)
	switch {
	case e == nil && reported == nil, e != nil && e.State == EntryGone:
		step.endMove(OutcomeDone)
	case e != nil && e.State == EntryUnloading && e.MoveSeq == m.Seq:
		l.retry(step, e, now)
	case m.Adapter == "" && hasAdapters(&step.Record, report, m.Model):
		step.endMove(OutcomeHasAdapters)
	case e != nil && !l.isOrderExpired(e, now):
		// A load that is still in flight could load the resource again.
	case now.Before(l.notBefore):
	default:
		l.beginUnload(step, e, reported)
	}
}

func (l *Ledger) beginUnload(step *Step, e *Entry, reported *target.Resident) {
	m := step.Move
	entry := Entry{Resource: m.Resource, Version: m.Version, MemoryMB: m.MemoryMB, State: EntryUnloading, MoveSeq: m.Seq}
	if e != nil {
		entry.MemoryMB = max(entry.MemoryMB, e.MemoryMB)
	}
	if reported != nil {
		entry.MemoryMB = max(entry.MemoryMB, reported.MemoryMB)
	}
	entry.OrderID = l.orderID(&step.Record)
	step.Record.put(entry)
	step.Write = true
	step.Order = l.order(&entry, m.Action)
}

// retry sends the entry's order again if its outcome is still unknown after
// retryDelay, unless notBefore lies ahead or the move has timed out.
func (l *Ledger) retry(step *Step, e *Entry, now time.Time) {
	at, sent := l.sentAt[e.Resource]
	if !sent {
		at = l.takenOverAt
	}
	if now.Before(at.Add(retryDelay)) || now.Before(l.notBefore) || now.Sub(l.moveStartedAt) > moveTimeout {
		return
	}
	step.Write, step.Retry = true, true
	step.Order = l.order(e, step.Move.Action)
}

func (l *Ledger) orderID(r *Record) string {
	return fmt.Sprintf("%s/%d/%d", l.target.Name, r.Token, r.Writes+1)
}

func (l *Ledger) order(e *Entry, action target.Action) *target.Order {
	return &target.Order{
		ID: e.OrderID, FencingToken: l.record.Token, Action: action,
		Model: e.Model, Adapter: e.Adapter, Version: e.Version, MemoryMB: e.MemoryMB,
	}
}

func resident(report *target.Report, k Resource) *target.Resident {
	for i := range report.Residents {
		r := &report.Residents[i]
		if r.Model == k.Model && r.Adapter == k.Adapter {
			return r
		}
	}
	return nil
}

func isReady(report *target.Report, k Resource) bool {
	r := resident(report, k)
	return r != nil && r.State == target.ResidencyReady
}

func isLoading(report *target.Report, k Resource) bool {
	r := resident(report, k)
	return r != nil && r.State == target.ResidencyLoading
}

func hasAdapters(r *Record, report *target.Report, model string) bool {
	for _, e := range r.Entries {
		if e.Model == model && e.Adapter != "" && e.State != EntryGone {
			return true
		}
	}
	for i := range report.Residents {
		reported := &report.Residents[i]
		if reported.Model == model && reported.Adapter != "" && !r.MayBeUnloaded(Resource{reported.Model, reported.Adapter}) {
			return true
		}
	}
	return false
}
