package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// Static keeps every resource reachable and follows no demand.
type Static struct{}

// Plan implements Policy.
func (Static) Plan(s *State) []orders.Move {
	b := newBoard(s)
	b.ensureReachable()
	return b.moves
}

// LeastRecentlyUsed loads a further copy of what an overloaded target serves
// and makes room by unloading what was asked for longest ago.
type LeastRecentlyUsed struct{}

// Plan implements Policy.
func (LeastRecentlyUsed) Plan(s *State) []orders.Move {
	b := newBoard(s)
	b.ensureReachable()
	for _, k := range b.byDemand(b.resources()) {
		if !b.isOverloaded(k) || b.inService(k, Coming) > 0 {
			continue
		}
		if t := b.bestTarget(k); t >= 0 {
			b.load(t, k, ReasonDemand)
			continue
		}
		b.evictOldest(k)
	}
	return b.moves
}

func (b *board) isOverloaded(k orders.Resource) bool {
	for _, t := range b.serving(k) {
		if b.excess(t) > 0 && b.share(t, k) > 0 {
			return true
		}
	}
	return false
}

// evictOldest unloads the surplus copy, among the targets that could take k,
// whose resource was asked for longest ago.
func (b *board) evictOldest(k orders.Resource) {
	best, bestAt := -1, time.Time{}
	var victim orders.Resource
	for t := range b.targets {
		if !b.canLoad(t, k) {
			continue
		}
		for _, h := range b.targets[t].Holdings {
			if h.Adapter != "" || h.State != Sure || b.inService(h.Resource, Sure) <= b.minCopies(h.Resource) {
				continue
			}
			if best < 0 || h.LastUsed.Before(bestAt) {
				best, bestAt, victim = t, h.LastUsed, h.Resource
			}
		}
	}
	if best >= 0 {
		b.clearOut(best, victim)
	}
}

// Greedy gives each model as many copies as its present demand needs, at once,
// and takes away what is above that where room is wanted.
type Greedy struct{}

// Plan implements Policy.
func (Greedy) Plan(s *State) []orders.Move {
	b := newBoard(s)
	b.ensureReachable()
	for _, k := range b.byDemand(b.resources()) {
		if b.inService(k, Sure, Coming, Doubtful) >= b.wanted(k) {
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

// wanted is the number of copies that the present demand for a resource needs.
func (b *board) wanted(k orders.Resource) int {
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
	perCopy := highWater * capacity / float64(max(1, len(b.targets))) / 2
	return max(b.minCopies(k), int(math.Ceil(slots/perCopy)))
}

// evictSurplus unloads copies above what is wanted, the least demanded first.
func (b *board) evictSurplus(k orders.Resource) {
	var options []orders.Resource
	for i := range b.state.Models {
		y := orders.Resource{Model: b.state.Models[i].Name}
		if b.inService(y, Sure) > b.wanted(y) && y.Model != k.Model {
			options = append(options, y)
		}
	}
	slices.SortStableFunc(options, func(x, y orders.Resource) int {
		return cmp.Compare(b.demand[x.Served()].Slots, b.demand[y.Served()].Slots)
	})
	for _, y := range options {
		for _, t := range b.copies[y] {
			if b.canLoad(t, k) && b.holding(t, y).State == Sure {
				b.clearOut(t, y)
				return
			}
		}
	}
}
