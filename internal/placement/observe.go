package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/target"
)

// staleCopyTimeout is how long the copies of a target whose reports have stopped
// count as reachable. After that they are loaded elsewhere.
const staleCopyTimeout = 10 * time.Second

// targetHistory holds when a target last reported and when its copies were first
// seen.
type targetHistory struct {
	lastFresh   time.Time
	firstSeenAt map[orders.Resource]time.Time
}

// observeTarget returns the planner's view of one target, built from its report,
// its orderer's record and the pending moves.
func observeTarget(view *environment.View, t *inventory.TargetState, record *orders.Record, pending []orders.Move, fresh bool, history *targetHistory, now time.Time) Target {
	out := Target{
		Name: t.Target.Name, Zone: t.Target.Zone, MemoryMB: t.Target.MemoryMB, Concurrency: t.Target.Concurrency,
		Draining: view.IsTargetOut(t.Target) || view.IsTargetLeavingSoon(t.Target), Fresh: fresh, FreeMB: t.Target.MemoryMB - record.ChargedMB(&t.Report),
	}
	if !fresh && now.Sub(history.lastFresh) >= staleCopyTimeout {
		return out
	}
	for i := range t.Report.Residents {
		r := &t.Report.Residents[i]
		c := Copy{Resource: orders.ResourceOf(r), MemoryMB: r.MemoryMB, State: Loading}
		if r.State == target.ResidencyUnloading || record.MayBeUnloaded(c.Resource) {
			c.State = Unloading
		} else if orders.IsConfirmedCopy(t, record, c.Resource) {
			c.State = Confirmed
		}
		out.Copies = append(out.Copies, c)
	}
	out.addRecordEntries(t, record)
	out.addPendingMoves(record, pending)
	if !fresh {
		out.markUnconfirmed()
	}
	out.setFirstSeen(history, now)
	return out
}

func (t *Target) findCopy(k orders.Resource) *Copy {
	for i := range t.Copies {
		if t.Copies[i].Resource == k {
			return &t.Copies[i]
		}
	}
	return nil
}

// addRecordEntries adds the copies that the record charges but the report does
// not list.
func (t *Target) addRecordEntries(state *inventory.TargetState, record *orders.Record) {
	for _, e := range record.Entries {
		if e.State == orders.EntryGone || t.findCopy(e.Resource) != nil {
			continue
		}
		c := Copy{Resource: e.Resource, MemoryMB: e.MemoryMB, State: Loading}
		switch {
		case e.State == orders.EntryUnloading:
			c.State = Unloading
		case e.State == orders.EntryHeld && state.Report.AsOf >= record.SeenAsOf:
			c.State = Lost
		}
		t.Copies = append(t.Copies, c)
	}
}

// addPendingMoves applies the moves that the target's orderer has not completed.
func (t *Target) addPendingMoves(record *orders.Record, pending []orders.Move) {
	for i := range pending {
		m := &pending[i]
		if m.Target != t.Name || m.Seq <= record.DoneThrough {
			continue
		}
		c := t.findCopy(m.Resource)
		switch {
		case !m.IsLoad() && c != nil:
			c.State = Unloading
		case m.IsLoad() && c == nil:
			t.FreeMB -= m.MemoryMB
			t.Copies = append(t.Copies, Copy{Resource: m.Resource, MemoryMB: m.MemoryMB, State: Loading})
		case m.IsLoad() && c.State != Confirmed:
			c.State = Loading
		}
	}
}

func (t *Target) markUnconfirmed() {
	for i := range t.Copies {
		if c := &t.Copies[i]; c.State == Confirmed || c.State == Loading {
			c.State = Unconfirmed
		}
	}
}

// setFirstSeen sets FirstSeenAt of the copies. Copies at the first observation of
// a target get the zero time because their age is unknown.
func (t *Target) setFirstSeen(history *targetHistory, now time.Time) {
	isFirst := history.firstSeenAt == nil
	known := make(map[orders.Resource]time.Time, len(t.Copies))
	for i := range t.Copies {
		c := &t.Copies[i]
		firstSeenAt, ok := history.firstSeenAt[c.Resource]
		if !ok && !isFirst {
			firstSeenAt = now
		}
		c.FirstSeenAt = firstSeenAt
		known[c.Resource] = firstSeenAt
	}
	history.firstSeenAt = known
}
