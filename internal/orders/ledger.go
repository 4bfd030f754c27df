package orders

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// retryAfter is the time after which an order with unknown outcome is sent
	// again.
	retryAfter = 2 * time.Second
	// giveUpAfter ends a move that could not be carried out. What it ordered
	// stays charged.
	giveUpAfter = time.Minute
	// pauseAllowance covers an earlier orderer that was stopped between its last
	// look at the clock and the sending of an order to a target that does not
	// check fencing tokens.
	pauseAllowance = 30 * time.Second
)

// Ledger is the pure state machine of one target's orders at its orderer. It
// does no I/O; times are readings of the instance's monotonic clock.
//
// Invariants:
//   - A resource that a load was ordered for stays charged until an unload is
//     reported as settled that was sent when no copy of the load could arrive
//     any more.
//   - A load is sent only if it fits beside everything that is charged.
//   - A load is sent only when no copy of an earlier unload of the same
//     resource can arrive any more.
type Ledger struct {
	target  environment.Target
	record  Record
	takenAt time.Time
	// notBefore is the time of the first order to a target that does not check
	// fencing tokens.
	notBefore time.Time
	// sent holds when the last order of this orderer for a resource had been
	// sent.
	sent map[Resource]time.Time
	// inherited holds until when orders of earlier orderers may arrive.
	inherited map[Resource]time.Time
	// began holds when the present move was first looked at.
	began   time.Time
	beganOn uint64
}

// NewLedger returns the ledger of a record that the orderer has just written.
// All orders in it count as sent at takenAt.
func NewLedger(t environment.Target, r Record, takenAt, notBefore time.Time) *Ledger {
	l := &Ledger{
		target: t, record: r, takenAt: takenAt, notBefore: notBefore,
		sent: make(map[Resource]time.Time), inherited: make(map[Resource]time.Time),
	}
	for _, e := range r.Entries {
		l.inherited[e.Resource] = l.inheritedUntil()
	}
	return l
}

// inheritedUntil returns until when orders of earlier orderers may arrive.
func (l *Ledger) inheritedUntil() time.Time {
	until := l.takenAt.Add(MaxDelay(&l.target))
	if !l.target.ChecksFencing {
		until = until.Add(pauseAllowance)
	}
	return until
}

// Record returns the newest record that is known to be stored.
func (l *Ledger) Record() Record { return l.record }

// SetRecord takes a record that is known to have been stored.
func (l *Ledger) SetRecord(r Record) { l.record = r }

// RecordSent notes that the sending of the order for a resource ended at now.
func (l *Ledger) RecordSent(k Resource, now time.Time) { l.sent[k] = now }

// Outcome is how a move ended.
type Outcome string

// Outcomes of moves.
const (
	OutcomeNone        Outcome = ""
	OutcomeDone        Outcome = "done"
	OutcomeNoMemory    Outcome = "no_memory"
	OutcomeNoBase      Outcome = "no_base_model"
	OutcomeHasAdapters Outcome = "has_adapters"
	OutcomeLastCopy    Outcome = "last_copy"
	OutcomeGaveUp      Outcome = "gave_up"
)

// Step is what the orderer does next: store Record if Write is set, then send
// Order if it is set.
type Step struct {
	Record Record
	Write  bool
	Order  *target.Order
	// Retry is set if the order was sent before.
	Retry   bool
	Move    *Move
	Outcome Outcome
}

// Next returns the next step for a report that is fresh and the moves of the
// target.
func (l *Ledger) Next(now time.Time, report *target.Report, moves []Move) Step {
	step := Step{Record: l.record.clone()}
	step.Write = l.settle(&step.Record, report, now)
	step.Move = firstMove(moves, step.Record.DoneThrough)
	if step.Move == nil {
		return step
	}
	if l.beganOn != step.Move.Seq {
		l.began, l.beganOn = now, step.Move.Seq
	}
	if step.Move.IsLoad() {
		l.stepLoad(&step, now, report)
	} else {
		l.stepUnload(&step, now, report)
	}
	isOver := now.Sub(l.began) > giveUpAfter && !isLoading(report, step.Move.Resource)
	if step.Outcome == OutcomeNone && step.Order == nil && isOver {
		step.end(OutcomeGaveUp)
	}
	return step
}

// Refuse turns a step into the end of its move without an order.
func (l *Ledger) Refuse(step Step, outcome Outcome) Step {
	refused := Step{Record: l.record.clone(), Move: step.Move}
	refused.end(outcome)
	return refused
}

func (s *Step) end(outcome Outcome) {
	s.Record.DoneThrough = s.Move.Seq
	s.Outcome = outcome
	s.Write = true
}

func firstMove(moves []Move, done uint64) *Move {
	var first *Move
	for i := range moves {
		m := &moves[i]
		if m.Seq > done && (first == nil || m.Seq < first.Seq) {
			first = m
		}
	}
	return first
}

// settle brings entries up to what the report proves. An order that the report
// lists as settled has had its effect in the state reported.
func (l *Ledger) settle(r *Record, report *target.Report, now time.Time) bool {
	changed := false
	kept := r.Entries[:0]
	for _, e := range r.Entries {
		ended := slices.Contains(report.SettledOrders, e.OrderID)
		switch {
		case e.State == EntryLoading && ended && !isLoading(report, e.Resource):
			e.State, changed = EntryHeld, true
			r.SeenAsOf = max(r.SeenAsOf, report.AsOf)
		case e.State == EntryUnloading && ended && resident(report, e.Resource) == nil:
			e.State, changed = EntryGone, true
			r.SeenAsOf = max(r.SeenAsOf, report.AsOf)
		case e.State == EntryGone && l.isQuiet(&e, now):
			changed = true
			continue
		}
		kept = append(kept, e)
	}
	r.Entries = kept
	return changed
}

// isQuiet reports whether no copy of the entry's last order can arrive any
// more.
func (l *Ledger) isQuiet(e *Entry, now time.Time) bool {
	if now.Before(l.inherited[e.Resource]) {
		return false
	}
	at, own := l.sent[e.Resource]
	return !own || !now.Before(at.Add(MaxDelay(&l.target)))
}

func (l *Ledger) stepLoad(step *Step, now time.Time, report *target.Report) {
	m := step.Move
	e := step.Record.Entry(m.Resource)
	switch {
	case e == nil && isReady(report, m.Resource):
		step.end(OutcomeDone)
	case e != nil && e.State == EntryHeld && (e.Move == m.Seq || isReady(report, m.Resource)):
		step.end(OutcomeDone)
	case isLoading(report, m.Resource):
		// The load has begun; a repeated order would say nothing of its end.
	case e != nil && e.State == EntryLoading && e.Move == m.Seq:
		l.repeat(step, e, now)
	case e != nil && (e.State == EntryGone || e.State == EntryUnloading) && !l.isQuiet(e, now):
		// Copies of the unload could take the new copy away.
	default:
		l.beginLoad(step, now, report)
	}
}

func (l *Ledger) beginLoad(step *Step, now time.Time, report *target.Report) {
	m := step.Move
	if m.Adapter != "" && !isReady(report, Resource{Model: m.Model}) {
		step.end(OutcomeNoBase)
		return
	}
	next := step.Record.clone()
	entry := Entry{Resource: m.Resource, Version: m.Version, MemoryMB: m.MemoryMB, State: EntryLoading, Move: m.Seq}
	entry.OrderID = l.orderID(&next)
	next.put(entry)
	if next.ChargedMB(report) > l.target.MemoryMB {
		step.end(OutcomeNoMemory)
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
	held := resident(report, m.Resource)
	switch {
	case e == nil && held == nil, e != nil && e.State == EntryGone:
		step.end(OutcomeDone)
	case e != nil && e.State == EntryUnloading && e.Move == m.Seq:
		l.repeat(step, e, now)
	case m.Adapter == "" && hasAdapters(&step.Record, report, m.Model):
		step.end(OutcomeHasAdapters)
	case e != nil && !l.isQuiet(e, now):
		// Copies of the load could bring the resource back.
	case now.Before(l.notBefore):
	default:
		l.beginUnload(step, e, held)
	}
}

func (l *Ledger) beginUnload(step *Step, e *Entry, held *target.Resident) {
	m := step.Move
	entry := Entry{Resource: m.Resource, Version: m.Version, MemoryMB: m.MemoryMB, State: EntryUnloading, Move: m.Seq}
	if e != nil {
		entry.MemoryMB = max(entry.MemoryMB, e.MemoryMB)
	}
	if held != nil {
		entry.MemoryMB = max(entry.MemoryMB, held.MemoryMB)
	}
	entry.OrderID = l.orderID(&step.Record)
	step.Record.put(entry)
	step.Write = true
	step.Order = l.order(&entry, m.Action)
}

// repeat sends the entry's order again once its outcome is overdue.
func (l *Ledger) repeat(step *Step, e *Entry, now time.Time) {
	at, own := l.sent[e.Resource]
	if !own {
		at = l.takenAt
	}
	if now.Before(at.Add(retryAfter)) || now.Before(l.notBefore) || now.Sub(l.began) > giveUpAfter {
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
		held := &report.Residents[i]
		if held.Model == model && held.Adapter != "" && !r.MayBeUnloaded(Resource{held.Model, held.Adapter}) {
			return true
		}
	}
	return false
}
