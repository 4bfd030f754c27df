package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// term is the state that the planner keeps while it holds the lease.
type term struct {
	plan      orders.Plan
	version   platform.Version
	startedAt time.Time
	// records holds the orderers' records by target, up to readVersion.
	records        map[string]versionedRecord
	readVersion    platform.Version
	lastFullReadAt time.Time
	// lastIdleDecisionAt is the time of the last decision without moves.
	lastIdleDecisionAt time.Time
	histories          map[string]*targetHistory
	// moveIssuedAt holds when moves were stored, by sequence number. Moves of
	// earlier terms have the start of this term.
	moveIssuedAt   map[uint64]time.Time
	series         map[string]*Series
	lastUsed       map[string]time.Time
	lastDeclaredAt map[orders.Resource]time.Time
	lastStepAt     time.Time
	// slotsPerTokenRate is the number of concurrent calls that a demand of one token
	// per second amounts to.
	slotsPerTokenRate float64
	// loadTokens is the level of the token bucket for model loads.
	loadTokens   float64
	loadTokensAt time.Time
	// lastHalfFreshAt is when at least half of the targets were last fresh.
	lastHalfFreshAt time.Time
}

type versionedRecord struct {
	record  orders.Record
	version platform.Version
}

// markRetired sets Retired on the copies whose resource the document has not named
// for retireAfter.
func (t *term) markRetired(state *State, now time.Time) {
	for i := range state.Models {
		t.lastDeclaredAt[orders.Resource{Model: state.Models[i].Name}] = now
	}
	for i := range state.Adapters {
		a := &state.Adapters[i]
		t.lastDeclaredAt[orders.Resource{Model: a.Model, Adapter: a.Name}] = now
	}
	for i := range state.Targets {
		for n := range state.Targets[i].Copies {
			c := &state.Targets[i].Copies[n]
			c.Retired = now.Sub(maxTime(t.lastDeclaredAt[c.Resource], t.startedAt)) >= retireAfter
		}
	}
}

func (t *term) history(name string) *targetHistory {
	h := t.histories[name]
	if h == nil {
		h = &targetHistory{lastFresh: t.startedAt}
		t.histories[name] = h
	}
	return h
}

// canDecide reports whether enough targets have fresh reports. At the start of its
// term, a planner waits up to startupReportTimeout for all targets. A planner without
// fresh reports from half of the targets waits for minorityTimeout.
func (t *term) canDecide(fresh, all int, now time.Time) bool {
	if fresh < all && now.Sub(t.startedAt) < startupReportTimeout {
		return false
	}
	if 2*fresh >= all {
		t.lastHalfFreshAt = now
	}
	return !now.Before(t.startedAt) && (2*fresh >= all || now.Sub(maxTime(t.lastHalfFreshAt, t.startedAt)) >= minorityTimeout)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// budget returns the loads that the weight store allows to start now. Pending loads
// count as running, except those on targets without fresh reports that are older
// than maxLoadDuration.
func (t *term) budget(w *environment.WeightStore, pending []orders.Move, targets []Target, now time.Time) Budget {
	t.loadTokens = min(w.LoadsPerSecond+1, t.loadTokens+w.LoadsPerSecond*now.Sub(t.loadTokensAt).Seconds())
	t.loadTokensAt = now
	fresh := make(map[string]bool, len(targets))
	for i := range targets {
		fresh[targets[i].Name] = targets[i].Fresh
	}
	models, adapters := 0, 0
	for i := range pending {
		m := &pending[i]
		if !m.IsLoad() || (!fresh[m.Target] && now.Sub(t.moveIssuedAt[m.Seq]) > maxLoadDuration) {
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
	return Budget{Loads: max(0, min(int(t.loadTokens), w.LoadsAtOnce-models)), AdapterLoads: max(0, limit-adapters)}
}

// updateDemand updates the forecasts every forecastStep and sets the demand of the
// state and LastUsed of its copies.
func (t *term) updateDemand(state *State, demand *collector, snapshot *inventory.Snapshot, now time.Time) {
	isStep := now.Sub(t.lastStepAt) >= forecastStep
	rates := demand.rates(now)
	if isStep {
		t.lastStepAt = now
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
			t.lastUsed[served] = now
		}
		state.Demand = append(state.Demand, Demand{Served: served, Slots: series.Forecast() * t.slotsPerTokenRate, LongTermSlots: series.LongAverage() * t.slotsPerTokenRate})
	}
	for i := range state.Models {
		add(state.Models[i].Name)
	}
	for i := range state.Adapters {
		add(state.Adapters[i].Name)
	}
	for i := range state.Targets {
		for n := range state.Targets[i].Copies {
			c := &state.Targets[i].Copies[n]
			c.LastUsed = t.lastUsed[c.Served()]
		}
	}
}

// calibrate updates slotsPerTokenRate, an EWMA of the ratio of running and queued
// calls to tokens per second.
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
		t.slotsPerTokenRate += calibrationWeight * (float64(calls)/tokens - t.slotsPerTokenRate)
	}
}
