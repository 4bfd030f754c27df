package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// ensureReachable loads the resources that are not reachable, models before adapters
// and in descending order of demand. If no target has enough free memory, it frees
// memory: it unloads copies that other copies can replace or, if there are none,
// relocates a copy by loading it elsewhere before unloading it here. The missing
// resource is loaded after that. It reports whether memory is being freed; the
// caller must not use that memory for other loads.
func (b *planBuilder) ensureReachable() bool {
	isFreeingMemory := false
	for _, k := range b.byDemand(b.resources()) {
		if b.isReachable(k) {
			continue
		}
		if t := b.bestTarget(k); t >= 0 {
			b.load(t, k, ReasonMissing)
			continue
		}
		isFreeingMemory = b.freeMemory(k) || isFreeingMemory
	}
	return isFreeingMemory
}

// unloadRetired unloads the copies that the document no longer names.
func (b *planBuilder) unloadRetired() {
	for t := range b.targets {
		for _, c := range slices.Clone(b.targets[t].Copies) {
			if !b.declared[c.Resource] && c.Retired {
				b.unload(t, c.Resource, ReasonRetired)
			}
		}
	}
}

// reloadLost reloads copies that engines have lost.
func (b *planBuilder) reloadLost() {
	for t := range b.targets {
		for _, c := range slices.Clone(b.targets[t].Copies) {
			if c.State == Lost && b.declared[c.Resource] {
				b.load(t, c.Resource, ReasonRestore)
			}
		}
	}
}

// bestTarget returns the best target on which another copy fits without freeing
// memory, or a negative number if there is none. It prefers zones without a copy,
// then low relative load, then much free memory.
func (b *planBuilder) bestTarget(k orders.Resource) int {
	if k.Adapter != "" {
		return b.bestTargetAmong(b.targetsWith[orders.Resource{Model: k.Model}], k)
	}
	return b.bestTargetAmong(b.allTargets, k)
}

// bestTargetAmong is bestTarget restricted to the given targets.
func (b *planBuilder) bestTargetAmong(targets []int, k orders.Resource) int {
	need := b.requiredMB(k)
	best := -1
	for _, t := range targets {
		if b.targets[t].FreeMB < need && b.copyOn(t, k) == nil {
			continue
		}
		if !b.canLoad(t, k) {
			continue
		}
		if best < 0 || b.isBetterTarget(t, best, k) {
			best = t
		}
	}
	return best
}

// requiredMB returns the memory to reserve for a copy. The first copy of a model
// also needs memory for its adapters that have no copy.
func (b *planBuilder) requiredMB(k orders.Resource) int64 {
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

func (b *planBuilder) isBetterTarget(t, than int, k orders.Resource) bool {
	zones := b.zonesOf(k)
	newZone, oldZone := !slices.Contains(zones, b.targets[t].Zone), !slices.Contains(zones, b.targets[than].Zone)
	if newZone != oldZone {
		return newZone
	}
	x, y := b.targetLoads[t]/b.capacity(t), b.targetLoads[than]/b.capacity(than)
	if x != y {
		return x < y
	}
	return b.targets[t].FreeMB > b.targets[than].FreeMB
}

// zonesOf returns the zones with copies of the resource that serve or soon will.
func (b *planBuilder) zonesOf(k orders.Resource) []string {
	var out []string
	for _, t := range b.serving(k) {
		if !slices.Contains(out, b.targets[t].Zone) {
			out = append(out, b.targets[t].Zone)
		}
	}
	return out
}

// freeMemory plans the next step of freeing memory for a resource on the target
// where that costs least. It reports whether there is such a target.
func (b *planBuilder) freeMemory(k orders.Resource) bool {
	var best []orders.Resource
	bestTarget, bestCost := -1, 0.0
	for t := range b.targets {
		if !b.canLoad(t, k) {
			continue
		}
		evict, cost, ok := b.planEvictions(t, b.requiredMB(k))
		if ok && (bestTarget < 0 || cost < bestCost) {
			best, bestTarget, bestCost = evict, t, cost
		}
	}
	for _, model := range best {
		b.evictModel(bestTarget, model)
	}
	return bestTarget >= 0
}

// relocationCost is the cost, in concurrent calls, of evicting a copy that has to
// be loaded elsewhere first.
const relocationCost = 1000

// planEvictions returns the models to evict from a target to free the memory
// needed, the cost, and whether that is possible. Copies that are being unloaded
// count as free memory.
func (b *planBuilder) planEvictions(t int, need int64) ([]orders.Resource, float64, bool) {
	type option struct {
		k    orders.Resource
		mb   int64
		cost float64
	}
	var options []option
	free := b.targets[t].FreeMB
	for _, c := range b.targets[t].Copies {
		switch {
		case c.State == Unloading:
			free += c.MemoryMB
		case c.Adapter == "" && c.State == Confirmed:
			if cost, ok := b.evictionCost(t, c.Resource); ok {
				options = append(options, option{c.Resource, b.modelWithAdaptersMB(t, c), cost})
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

// evictionCost returns the cost of evicting a model with its adapters from a
// target and whether that is possible.
func (b *planBuilder) evictionCost(t int, k orders.Resource) (float64, bool) {
	cost := b.share(t, k)
	hasOther := b.countInService(k, Confirmed) > b.minCopies(k)
	if !hasOther && b.relocationTarget(t, k) < 0 {
		return 0, false
	}
	if !hasOther {
		cost += relocationCost
	}
	for _, c := range b.targets[t].Copies {
		if c.Model == k.Model && c.Adapter != "" && b.countInService(c.Resource, Confirmed) < 2 {
			cost += relocationCost
		}
	}
	return cost, true
}

// modelWithAdaptersMB returns the memory of a model's copy and its adapters on a
// target, except adapters that are being unloaded.
func (b *planBuilder) modelWithAdaptersMB(t int, c Copy) int64 {
	mb := c.MemoryMB
	for _, a := range b.targets[t].Copies {
		if a.Model == c.Model && a.Adapter != "" && a.State != Unloading {
			mb += a.MemoryMB
		}
	}
	return mb
}

// relocationTarget returns the target with the least sufficient free memory to
// which a model and its adapters on t can be relocated, or a negative number if
// there is none.
func (b *planBuilder) relocationTarget(t int, k orders.Resource) int {
	need := b.modelWithAdaptersMB(t, *b.copyOn(t, k))
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

// evictModel plans the next step of evicting a model from a target. Resources
// without enough other copies are loaded elsewhere before they are unloaded here.
// Adapters are unloaded before their model.
func (b *planBuilder) evictModel(t int, k orders.Resource) {
	if b.countInService(k, Confirmed, Loading) <= b.minCopies(k) {
		if u := b.relocationTarget(t, k); u >= 0 {
			b.load(u, k, ReasonRelocate)
		}
		return
	}
	if b.countInService(k, Confirmed) <= b.minCopies(k) {
		return
	}
	for _, c := range slices.Clone(b.targets[t].Copies) {
		if c.Model != k.Model || c.Adapter == "" {
			continue
		}
		if b.unload(t, c.Resource, ReasonMakeRoom) || b.countInService(c.Resource, Confirmed, Loading) > 1 {
			continue
		}
		if u := b.bestTarget(c.Resource); u >= 0 {
			b.load(u, c.Resource, ReasonRelocate)
		}
	}
	b.unload(t, k, ReasonMakeRoom)
}

// spreadZones loads a copy of each resource in a second zone, and the minimum
// number of copies of each model, if free memory allows.
func (b *planBuilder) spreadZones() {
	zones := make(map[string]bool)
	for t := range b.targets {
		if !b.targets[t].Draining && b.targets[t].Fresh {
			zones[b.targets[t].Zone] = true
		}
	}
	for _, k := range b.byDemand(b.resources()) {
		if (k.Adapter == "" && b.budget.Loads == 0) || (k.Adapter != "" && b.budget.AdapterLoads == 0) {
			continue
		}
		copies := b.countInService(k, Confirmed, Loading, Unconfirmed)
		if copies == 0 || (copies >= b.minCopies(k) && (len(zones) < 2 || len(b.zonesOf(k)) >= 2)) {
			continue
		}
		if t := b.bestTarget(k); t >= 0 && (copies < b.minCopies(k) || !slices.Contains(b.zonesOf(k), b.targets[t].Zone)) {
			b.load(t, k, ReasonSpread)
		}
	}
}
