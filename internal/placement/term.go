package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// term is what the planner knows while it holds the lease.
type term struct {
	plan      orders.Plan
	version   platform.Version
	startedAt time.Time
	records   map[string]versioned
	readTo    platform.Version
	fullAt    time.Time
	idleAt    time.Time
	seen      map[string]*sighting
	issued    map[uint64]time.Time
	series    map[string]*Series
	used      map[string]time.Time
	declared  map[orders.Resource]time.Time
	stepAt    time.Time
	slots     float64
	tokens    float64
	tokensAt  time.Time
	halfAt    time.Time
}

type versioned struct {
	record  orders.Record
	version platform.Version
}

// observeDocument marks what the document has not named for a while.
func (t *term) observeDocument(state *State, now time.Time) {
	for i := range state.Models {
		t.declared[orders.Resource{Model: state.Models[i].Name}] = now
	}
	for i := range state.Adapters {
		a := &state.Adapters[i]
		t.declared[orders.Resource{Model: a.Model, Adapter: a.Name}] = now
	}
	for i := range state.Targets {
		for n := range state.Targets[i].Holdings {
			h := &state.Targets[i].Holdings[n]
			h.Retired = now.Sub(maxTime(t.declared[h.Resource], t.startedAt)) >= retireAfter
		}
	}
}

func (t *term) sighting(name string) *sighting {
	s := t.seen[name]
	if s == nil {
		s = &sighting{lastFresh: t.startedAt}
		t.seen[name] = s
	}
	return s
}

// mayDecide reports whether enough targets report.
func (t *term) mayDecide(fresh, all int, now time.Time) bool {
	if fresh < all && now.Sub(t.startedAt) < startWait {
		return false
	}
	if 2*fresh >= all {
		t.halfAt = now
	}
	return !now.Before(t.startedAt) && (2*fresh >= all || now.Sub(maxTime(t.halfAt, t.startedAt)) >= minorityWait)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// budget returns what the weight store allows to begin now. Every load that is
// not known to have ended counts.
func (t *term) budget(w *environment.WeightStore, pending []orders.Move, targets []Target, now time.Time) Budget {
	t.tokens = min(w.LoadsPerSecond+1, t.tokens+w.LoadsPerSecond*now.Sub(t.tokensAt).Seconds())
	t.tokensAt = now
	fresh := make(map[string]bool, len(targets))
	for i := range targets {
		fresh[targets[i].Name] = targets[i].Fresh
	}
	models, adapters := 0, 0
	for i := range pending {
		m := &pending[i]
		if !m.IsLoad() || (!fresh[m.Target] && now.Sub(t.issued[m.Seq]) > loadLasts) {
			continue
		}
		if m.Adapter == "" {
			models++
		} else {
			adapters++
		}
	}
	limit := w.AdapterLoadsAtOnce
	if limit == 0 {
		limit = unlimited
	}
	return Budget{Loads: max(0, min(int(t.tokens), w.LoadsAtOnce-models)), AdapterLoads: max(0, limit-adapters)}
}

// observeDemand brings the forecasts up to date once a step and fills in the
// state's demand.
func (t *term) observeDemand(state *State, collected *collector, snapshot *inventory.Snapshot, now time.Time) {
	isStep := now.Sub(t.stepAt) >= forecastStep
	rates := collected.rates(now)
	if isStep {
		t.stepAt = now
		t.calibrate(rates, snapshot, now)
	}
	add := func(served string) {
		series := t.series[served]
		if series == nil {
			series = &Series{}
			t.series[served] = series
		}
		if isStep {
			series.Observe(rates[served])
		}
		if rates[served] > 0 {
			t.used[served] = now
		}
		state.Demand = append(state.Demand, Demand{Served: served, Slots: series.Forecast() * t.slots, LongSlots: series.Long() * t.slots})
	}
	for i := range state.Models {
		add(state.Models[i].Name)
	}
	for i := range state.Adapters {
		add(state.Adapters[i].Name)
	}
	for i := range state.Targets {
		for n := range state.Targets[i].Holdings {
			h := &state.Targets[i].Holdings[n]
			h.LastUsed = t.used[h.Served()]
		}
	}
}

// calibrate learns how many calls run at once for each token per second.
func (t *term) calibrate(rates map[string]float64, snapshot *inventory.Snapshot, now time.Time) {
	tokens, calls := 0.0, 0
	for _, r := range rates {
		tokens += r
	}
	for _, ts := range snapshot.Targets {
		if ts.Target.Kind == environment.TargetEngine && ts.IsFresh(now) {
			calls += ts.Report.Running + ts.Report.Queued
		}
	}
	if tokens > 0 && calls > 0 {
		t.slots += slotsWeight * (float64(calls)/tokens - t.slots)
	}
}
