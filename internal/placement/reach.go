package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// ensureReachable loads first of all what has no copy, models before adapters
// and by falling demand. Where memory is too tight for that, room is made in
// this order: copies that others stand in for are unloaded; else a copy is
// loaded elsewhere, then unloaded here, and only then the missing one is loaded.
// It reports whether room is being made, so that nothing else may take it.
func (b *board) ensureReachable() bool {
	isMakingRoom := false
	for _, k := range b.byDemand(b.resources()) {
		if b.isReachable(k) {
			continue
		}
		if t := b.bestTarget(k); t >= 0 {
			b.load(t, k, ReasonMissing)
			continue
		}
		isMakingRoom = b.makeRoom(k) || isMakingRoom
	}
	return isMakingRoom
}

// retire unloads what the document no longer names.
func (b *board) retire() {
	for t := range b.targets {
		for _, h := range slices.Clone(b.targets[t].Holdings) {
			if !b.known[h.Resource] && h.Retired {
				b.unload(t, h.Resource, ReasonRetired)
			}
		}
	}
}

// restore loads again what engines have lost.
func (b *board) restore() {
	for t := range b.targets {
		for _, h := range slices.Clone(b.targets[t].Holdings) {
			if h.State == Lost && b.known[h.Resource] {
				b.load(t, h.Resource, ReasonRestore)
			}
		}
	}
}

// bestTarget returns the target for a further copy that needs no room made, or
// a negative number: in a zone without a copy, little loaded, with much memory.
func (b *board) bestTarget(k orders.Resource) int {
	if k.Adapter != "" {
		return b.bestOf(b.copies[orders.Resource{Model: k.Model}], k)
	}
	return b.bestOf(b.all, k)
}

// bestOf is bestTarget among the targets given.
func (b *board) bestOf(targets []int, k orders.Resource) int {
	need := b.need(k)
	best := -1
	for _, t := range targets {
		if b.targets[t].FreeMB < need && b.holding(t, k) == nil {
			continue
		}
		if !b.canLoad(t, k) {
			continue
		}
		if best < 0 || b.isBetter(t, best, k) {
			best = t
		}
	}
	return best
}

// need is the memory of a first copy: a model keeps room for its adapters that
// have no copy elsewhere.
func (b *board) need(k orders.Resource) int64 {
	need := b.memoryMB(k)
	if k.Adapter != "" || b.isReachable(k) {
		return need
	}
	for _, a := range b.adapters[k.Model] {
		if !b.isReachable(orders.Resource{Model: a.Model, Adapter: a.Name}) {
			need += a.MemoryMB
		}
	}
	return need
}

func (b *board) isBetter(t, than int, k orders.Resource) bool {
	zones := b.zonesOf(k)
	newZone, oldZone := !slices.Contains(zones, b.targets[t].Zone), !slices.Contains(zones, b.targets[than].Zone)
	if newZone != oldZone {
		return newZone
	}
	x, y := b.loads[t]/b.capacity(t), b.loads[than]/b.capacity(than)
	if x != y {
		return x < y
	}
	return b.targets[t].FreeMB > b.targets[than].FreeMB
}

// zonesOf returns the zones in which the resource has or gets copies.
func (b *board) zonesOf(k orders.Resource) []string {
	var out []string
	for _, t := range b.serving(k) {
		if !slices.Contains(out, b.targets[t].Zone) {
			out = append(out, b.targets[t].Zone)
		}
	}
	return out
}

// makeRoom takes one step towards room for a resource on the target where that
// costs least, and reports whether there is one.
func (b *board) makeRoom(k orders.Resource) bool {
	var best []orders.Resource
	bestTarget, bestCost := -1, 0.0
	for t := range b.targets {
		if !b.canLoad(t, k) {
			continue
		}
		clear, cost, ok := b.clearing(t, b.need(k))
		if ok && (bestTarget < 0 || cost < bestCost) {
			best, bestTarget, bestCost = clear, t, cost
		}
	}
	for _, y := range best {
		b.clearOut(bestTarget, y)
	}
	return bestTarget >= 0
}

// relocationCost is the cost, in calls at once, of a copy that has to be loaded
// elsewhere first.
const relocationCost = 1000

// clearing returns the models to take off a target so that there is room, and
// what that costs. What is going already counts as room.
func (b *board) clearing(t int, need int64) ([]orders.Resource, float64, bool) {
	type option struct {
		k    orders.Resource
		mb   int64
		cost float64
	}
	var options []option
	free := b.targets[t].FreeMB
	for _, h := range b.targets[t].Holdings {
		switch {
		case h.State == Going:
			free += h.MemoryMB
		case h.Adapter == "" && h.State == Sure:
			if cost, ok := b.clearingCost(t, h.Resource); ok {
				options = append(options, option{h.Resource, b.withAdaptersMB(t, h), cost})
			}
		}
	}
	slices.SortStableFunc(options, func(x, y option) int { return cmp.Compare(x.cost, y.cost) })
	var out []orders.Resource
	cost := 0.0
	for _, o := range options {
		if free >= need {
			break
		}
		free += o.mb
		cost += o.cost
		out = append(out, o.k)
	}
	return out, cost, free >= need
}

// clearingCost is the cost of taking a model with its adapters off a target, if
// that is possible.
func (b *board) clearingCost(t int, k orders.Resource) (float64, bool) {
	cost := b.share(t, k)
	hasOther := b.inService(k, Sure) > b.minCopies(k)
	if !hasOther && b.refuge(t, k) < 0 {
		return 0, false
	}
	if !hasOther {
		cost += relocationCost
	}
	for _, h := range b.targets[t].Holdings {
		if h.Model == k.Model && h.Adapter != "" && b.inService(h.Resource, Sure) < 2 {
			cost += relocationCost
		}
	}
	return cost, true
}

func (b *board) withAdaptersMB(t int, h Holding) int64 {
	mb := h.MemoryMB
	for _, a := range b.targets[t].Holdings {
		if a.Model == h.Model && a.Adapter != "" && a.State != Going {
			mb += a.MemoryMB
		}
	}
	return mb
}

// refuge returns another target with room for a model and its adapters on t.
func (b *board) refuge(t int, k orders.Resource) int {
	need := b.withAdaptersMB(t, *b.holding(t, k))
	best := -1
	for u := range b.targets {
		if u == t || !b.canLoad(u, k) || b.targets[u].FreeMB < need {
			continue
		}
		if best < 0 || b.targets[u].FreeMB < b.targets[best].FreeMB {
			best = u
		}
	}
	return best
}

// clearOut takes the next step of taking a model off a target: copies are
// loaded elsewhere before they are unloaded here, adapters before their model.
func (b *board) clearOut(t int, k orders.Resource) {
	if b.inService(k, Sure, Coming) <= b.minCopies(k) {
		if u := b.refuge(t, k); u >= 0 {
			b.load(u, k, ReasonRelocate)
		}
		return
	}
	if b.inService(k, Sure) <= b.minCopies(k) {
		return
	}
	for _, h := range slices.Clone(b.targets[t].Holdings) {
		if h.Model != k.Model || h.Adapter == "" {
			continue
		}
		if b.unload(t, h.Resource, ReasonMakeRoom) || b.inService(h.Resource, Sure, Coming) > 1 {
			continue
		}
		if u := b.bestTarget(h.Resource); u >= 0 {
			b.load(u, h.Resource, ReasonRelocate)
		}
	}
	b.unload(t, k, ReasonMakeRoom)
}

// spreadZones gives resources a copy in a second zone, and models their least
// number of copies, where free memory allows.
func (b *board) spreadZones() {
	zones := make(map[string]bool)
	for t := range b.targets {
		if !b.targets[t].Out && b.targets[t].Fresh {
			zones[b.targets[t].Zone] = true
		}
	}
	for _, k := range b.byDemand(b.resources()) {
		if (k.Adapter == "" && b.budget.Loads == 0) || (k.Adapter != "" && b.budget.AdapterLoads == 0) {
			continue
		}
		copies := b.inService(k, Sure, Coming, Doubtful)
		if copies == 0 || (copies >= b.minCopies(k) && (len(zones) < 2 || len(b.zonesOf(k)) >= 2)) {
			continue
		}
		if t := b.bestTarget(k); t >= 0 && (copies < b.minCopies(k) || !slices.Contains(b.zonesOf(k), b.targets[t].Zone)) {
			b.load(t, k, ReasonSpread)
		}
	}
}
