package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/orders"
)

const (
	// highWatermark is the fraction of a target's concurrency above which calls
	// start to queue.
	highWatermark = 0.8
	// benefitHorizon is the period over which the benefit of a move must exceed its
	// cost.
	benefitHorizon = 10 * time.Minute
	// modelLoadCost and adapterLoadCost are the costs of a load, in concurrent calls
	// times seconds: its use of the weight store and the calls that wait while the
	// new copy is cold.
	modelLoadCost   = 120.0
	adapterLoadCost = 5.0
	// minResidence is how long a copy stays before it may be evicted for demand.
	minResidence = 10 * time.Minute
	// hysteresisFactor is the factor by which the gain must exceed the loss by
	// evictions.
	hysteresisFactor = 1.5
	// maxTargetsEvaluated is the maximum number of targets evaluated for one copy.
	maxTargetsEvaluated = 16
)

// CostBenefit keeps every resource reachable, spreads copies over zones if memory is
// free, and adapts copies to demand where the benefit exceeds the cost: the calls
// that a new copy takes from an overloaded target within benefitHorizon must
// outweigh the load and the evictions for it.
type CostBenefit struct{}

// Plan implements Policy.
func (CostBenefit) Plan(s *State) []orders.Move {
	b := newPlanBuilder(s)
	isFreeingMemory := b.ensureReachable()
	b.unloadRetired()
	if isFreeingMemory {
		return b.moves
	}
	b.reloadLost()
	b.relieveOverload()
	b.spreadZones()
	return b.moves
}

// relieveOverload plans the best copy to add for each overloaded target, the most
// overloaded target first.
func (b *planBuilder) relieveOverload() {
	order := make([]int, 0, len(b.targets))
	for t := range b.targets {
		if b.excess(t) > 0 && !b.targets[t].Draining {
			order = append(order, t)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.excess(y), b.excess(x)) })
	for _, t := range order {
		if b.budget.Loads == 0 && b.budget.AdapterLoads == 0 {
			return
		}
		b.relieveTarget(t)
	}
}

// excess returns the load of a target above the high watermark. It is negative if
// the target has headroom.
func (b *planBuilder) excess(t int) float64 { return b.targetLoads[t] - highWatermark*b.capacity(t) }

// candidate is a possible new copy that relieves an overloaded target. shift is the
// load it takes over, in concurrent calls.
type candidate struct {
	resource   orders.Resource
	target     int
	evict      []orders.Resource
	shift      float64
	netBenefit float64
}

// relieveTarget plans the copy with the highest net benefit for target t. If it
// needs evictions, it plans only these; the load can follow in a later plan.
func (b *planBuilder) relieveTarget(t int) {
	var best candidate
	for _, c := range b.targets[t].Copies {
		if c.State != Confirmed || !b.declared[c.Resource] || b.countInService(c.Resource, Loading) > 0 {
			continue
		}
		for _, u := range b.leastLoaded(c.Resource) {
			if next := b.evaluate(t, u, c.Resource); next.netBenefit > best.netBenefit {
				best = next
			}
		}
	}
	if best.netBenefit <= 0 {
		return
	}
	for _, k := range best.evict {
		b.unloadModel(best.target, k)
	}
	if len(best.evict) == 0 && b.load(best.target, best.resource, ReasonDemand) {
		b.targetLoads[t] -= best.shift
		b.targetLoads[best.target] += best.shift
	}
}

// leastLoaded returns the least loaded targets below the high watermark on which
// the resource may be loaded, at most maxTargetsEvaluated.
func (b *planBuilder) leastLoaded(k orders.Resource) []int {
	var out []int
	for u := range b.targets {
		if b.canLoad(u, k) && b.excess(u) < 0 {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(x, y int) int {
		return cmp.Compare(b.targetLoads[x]/b.capacity(x), b.targetLoads[y]/b.capacity(y))
	})
	return out[:min(maxTargetsEvaluated, len(out))]
}

// evaluate returns the candidate of another copy on target u that takes load from
// the overloaded target t.
func (b *planBuilder) evaluate(t, u int, k orders.Resource) candidate {
	c := candidate{resource: k, target: u}
	c.shift = min(b.excess(t), b.share(t, k), -b.excess(u))
	cost := modelLoadCost
	if k.Adapter != "" {
		cost = adapterLoadCost
	}
	loss := 0.0
	if need := b.memoryMB(k); b.targets[u].FreeMB < need {
		var ok bool
		if c.evict, loss, ok = b.surplusEvictions(u, need); !ok {
			return candidate{}
		}
	}
	c.netBenefit = (c.shift-hysteresisFactor*loss)*benefitHorizon.Seconds() - cost
	return c
}

// surplusEvictions returns surplus copies on a target whose eviction frees the
// memory needed, the concurrent calls that the remaining copies cannot take over,
// and whether the memory suffices.
func (b *planBuilder) surplusEvictions(u int, need int64) ([]orders.Resource, float64, bool) {
	var options []Copy
	free := b.targets[u].FreeMB
	for _, c := range b.targets[u].Copies {
		if c.State == Unloading {
			free += c.MemoryMB
		} else if c.Adapter == "" && b.isSurplus(u, c) {
			options = append(options, c)
		}
	}
	slices.SortStableFunc(options, func(x, y Copy) int {
		return cmp.Compare(b.lostDemand(u, x.Resource), b.lostDemand(u, y.Resource))
	})
	var out []orders.Resource
	loss := 0.0
	for _, c := range options {
		if free >= need {
			break
		}
		free += b.modelWithAdaptersMB(u, c)
		loss += b.lostDemand(u, c.Resource)
		out = append(out, c.Resource)
	}
	return out, loss, free >= need
}

// isSurplus reports whether other copies can replace a model's copy and its
// adapters, and the copy is older than minResidence.
func (b *planBuilder) isSurplus(u int, c Copy) bool {
	if c.State != Confirmed || b.state.Now.Sub(c.FirstSeenAt) < minResidence || b.isUnloading(c.Resource) {
		return false
	}
	if b.countInService(c.Resource, Confirmed) <= b.minCopies(c.Resource) {
		return false
	}
	for _, a := range b.targets[u].Copies {
		if a.Model == c.Model && a.Adapter != "" && b.countInService(a.Resource, Confirmed) < 2 {
			return false
		}
	}
	return true
}

// lostDemand returns the load of a model's copy on target u that the other targets
// of the model cannot take over below the high watermark.
func (b *planBuilder) lostDemand(u int, k orders.Resource) float64 {
	spare := 0.0
	for _, t := range b.serving(k) {
		if t != u {
			spare += max(0, -b.excess(t))
		}
	}
	return max(0, b.share(u, k)-spare)
}

// unloadModel plans the unloads of a model's adapters on a target or, once there
// are none, of the model.
func (b *planBuilder) unloadModel(u int, k orders.Resource) {
	for _, c := range slices.Clone(b.targets[u].Copies) {
		if c.Model == k.Model && c.Adapter != "" {
			b.unload(u, c.Resource, ReasonDemand)
		}
	}
	b.unload(u, k, ReasonDemand)
}
