package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// Static keeps every resource reachable and does not adapt to demand.
type Static struct{}

// Plan implements Policy.
func (Static) Plan(s *State) []orders.Move {
	b := newPlanBuilder(s)
	b.ensureReachable()
	return b.moves
}

// LeastRecentlyUsed loads another copy of each resource that an overloaded target
// serves. It frees memory by evicting the least recently requested model.
type LeastRecentlyUsed struct{}

// Plan implements Policy.
func (LeastRecentlyUsed) Plan(s *State) []orders.Move {
	b := newPlanBuilder(s)
	b.ensureReachable()
	for _, k := range b.byDemand(b.resources()) {
		if !b.isOverloaded(k) || b.countInService(k, Loading) > 0 {
			continue
		}
		if t := b.bestTarget(k); t >= 0 {
			b.load(t, k, ReasonDemand)
			continue
		}
		b.evictLeastRecentlyUsed(k)
	}
	return b.moves
}

func (b *planBuilder) isOverloaded(k orders.Resource) bool {
	for _, t := range b.serving(k) {
		if b.excess(t) > 0 && b.share(t, k) > 0 {
			return true
		}
	}
	return false
}

// evictLeastRecentlyUsed evicts the least recently requested model that has more
// than its minimum of confirmed copies from a target on which k may be loaded.
func (b *planBuilder) evictLeastRecentlyUsed(k orders.Resource) {
	best, bestAt := -1, time.Time{}
	var victim orders.Resource
	for t := range b.targets {
		if !b.canLoad(t, k) {
			continue
		}
		for _, c := range b.targets[t].Copies {
			if c.Adapter != "" || c.State != Confirmed || b.countInService(c.Resource, Confirmed) <= b.minCopies(c.Resource) {
				continue
			}
			if best < 0 || c.LastUsed.Before(bestAt) {
				best, bestAt, victim = t, c.LastUsed, c.Resource
			}
		}
	}
	if best >= 0 {
		b.evictModel(best, victim)
	}
}

// Greedy immediately loads as many copies of each resource as Demand.Slots needs. If
// memory is needed, it evicts models with more copies than they need.
type Greedy struct{}

// Plan implements Policy.
func (Greedy) Plan(s *State) []orders.Move {
	b := newPlanBuilder(s)
	b.ensureReachable()
	for _, k := range b.byDemand(b.resources()) {
		if b.countInService(k, Confirmed, Loading, Unconfirmed) >= b.wantedCopies(k) {
			continue
		}
		if t := b.bestTarget(k); t >= 0 {
			b.load(t, k, ReasonDemand)
			continue
		}
		b.evictSurplus(k)
	}
	return b.moves
}

// wantedCopies returns the number of copies of a resource that Demand.Slots needs,
// for a model with its adapters. One copy serves half of an average target's capacity
// below the high watermark.
func (b *planBuilder) wantedCopies(k orders.Resource) int {
	slots := b.demand[k.Served()].Slots
	if k.Adapter == "" {
		for _, a := range b.adapters[k.Model] {
			slots += b.demand[a.Name].Slots
		}
	}
	capacity := 0.0
	for t := range b.targets {
		capacity += b.capacity(t)
	}
	perCopy := highWatermark * capacity / float64(max(1, len(b.targets))) / 2
	return max(b.minCopies(k), int(math.Ceil(slots/perCopy)))
}

// evictSurplus evicts one copy of the model with the least demand that has more
// copies than it needs, from a target on which k may be loaded.
func (b *planBuilder) evictSurplus(k orders.Resource) {
	var options []orders.Resource
	for i := range b.state.Models {
		other := orders.Resource{Model: b.state.Models[i].Name}
		if b.countInService(other, Confirmed) > b.wantedCopies(other) && other.Model != k.Model {
			options = append(options, other)
		}
	}
	slices.SortStableFunc(options, func(x, y orders.Resource) int {
		return cmp.Compare(b.demand[x.Served()].Slots, b.demand[y.Served()].Slots)
	})
	for _, other := range options {
		for _, t := range b.targetsWith[other] {
			if b.canLoad(t, k) && b.copyOn(t, other).State == Confirmed {
				b.evictModel(t, other)
				return
			}
		}
	}
}
