package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/target"
)

// doubtFor is how long the copies of a target whose reports have stopped still
// count as reachable, before they are loaded elsewhere.
const doubtFor = 10 * time.Second

// sighting is what the planner remembers of a target or a copy over time.
type sighting struct {
	lastFresh time.Time
	since     map[orders.Resource]time.Time
}

// observeTarget makes the planner's view of one target from its report, its
// orderer's record and the moves that are not known to have ended.
func observeTarget(view *environment.View, t *inventory.TargetState, record *orders.Record, pending []orders.Move, fresh bool, seen *sighting, now time.Time) Target {
	out := Target{
		Name: t.Target.Name, Zone: t.Target.Zone, MemoryMB: t.Target.MemoryMB, Concurrency: t.Target.Concurrency,
		Out: view.IsTargetOut(t.Target) || view.IsTargetLeavingSoon(t.Target), Fresh: fresh, FreeMB: t.Target.MemoryMB - record.ChargedMB(&t.Report),
	}
	if !fresh && now.Sub(seen.lastFresh) >= doubtFor {
		return out
	}
	for i := range t.Report.Residents {
		r := &t.Report.Residents[i]
		h := Holding{Resource: orders.ResourceOf(r), MemoryMB: r.MemoryMB, State: Coming}
		if r.State == target.ResidencyUnloading || record.MayBeUnloaded(h.Resource) {
			h.State = Going
		} else if orders.IsConfirmedCopy(t, record, h.Resource) {
			h.State = Sure
		}
		out.Holdings = append(out.Holdings, h)
	}
	out.addEntries(t, record)
	out.addPending(record, pending)
	if !fresh {
		out.doubt()
	}
	out.date(seen, now)
	return out
}

func (t *Target) find(k orders.Resource) *Holding {
	for i := range t.Holdings {
		if t.Holdings[i].Resource == k {
			return &t.Holdings[i]
		}
	}
	return nil
}

// addEntries adds what the record charges and the report does not list.
func (t *Target) addEntries(state *inventory.TargetState, record *orders.Record) {
	for _, e := range record.Entries {
		if e.State == orders.EntryGone || t.find(e.Resource) != nil {
			continue
		}
		h := Holding{Resource: e.Resource, MemoryMB: e.MemoryMB, State: Coming}
		switch {
		case e.State == orders.EntryUnloading:
			h.State = Going
		case e.State == orders.EntryHeld && state.Report.AsOf >= record.SeenAsOf:
			h.State = Lost
		}
		t.Holdings = append(t.Holdings, h)
	}
}

// addPending applies the moves that the target's orderer has still to end.
func (t *Target) addPending(record *orders.Record, pending []orders.Move) {
	for i := range pending {
		m := &pending[i]
		if m.Target != t.Name || m.Seq <= record.DoneThrough {
			continue
		}
		h := t.find(m.Resource)
		switch {
		case !m.IsLoad() && h != nil:
			h.State = Going
		case m.IsLoad() && h == nil:
			t.FreeMB -= m.MemoryMB
			t.Holdings = append(t.Holdings, Holding{Resource: m.Resource, MemoryMB: m.MemoryMB, State: Coming})
		case m.IsLoad() && h.State != Sure:
			h.State = Coming
		}
	}
}

func (t *Target) doubt() {
	for i := range t.Holdings {
		if h := &t.Holdings[i]; h.State == Sure || h.State == Coming {
			h.State = Doubtful
		}
	}
}

// date sets since when copies are known.
func (t *Target) date(seen *sighting, now time.Time) {
	isFirst := seen.since == nil
	known := make(map[orders.Resource]time.Time, len(t.Holdings))
	for i := range t.Holdings {
		h := &t.Holdings[i]
		since, ok := seen.since[h.Resource]
		if !ok && !isFirst {
			since = now
		}
		h.Since = since
		known[h.Resource] = since
	}
	seen.since = known
}
