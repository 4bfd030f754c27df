package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/orders"
)

const (
	// highWater is the share of a target's concurrency above which calls begin
	// to wait.
	highWater = 0.8
	// horizon is the time over which a move has to pay for itself.
	horizon = 10 * time.Minute
	// loadPrice and adapterPrice are what a load costs: its part of the weight
	// store and the calls that wait while the new copy is cold, in calls at once
	// times seconds.
	loadPrice    = 120.0
	adapterPrice = 5.0
	// minResidence is how long a copy stays before demand may take it away.
	minResidence = 10 * time.Minute
	// hysteresis is the factor by which a gain must exceed what an eviction
	// loses.
	hysteresis = 1.5
	// targetsTried bounds the targets that are weighed for one copy.
	targetsTried = 16
)

// CostBenefit keeps every resource reachable, spreads copies over zones where memory
// is free, and follows demand by moves that pay for themselves: the calls that a
// new copy takes off an overloaded target over the horizon must be worth more
// than the load and what is evicted for it.
type CostBenefit struct{}

// Plan implements Policy.
func (CostBenefit) Plan(s *State) []orders.Move {
	b := newBoard(s)
	isMakingRoom := b.ensureReachable()
	b.retire()
	if isMakingRoom {
		return b.moves
	}
	b.restore()
	b.relieve()
	b.spreadZones()
	return b.moves
}

// relieve looks for the best copy to add for each overloaded target, the most
// overloaded first.
func (b *board) relieve() {
	order := make([]int, 0, len(b.targets))
	for t := range b.targets {
		if b.excess(t) > 0 && !b.targets[t].Out {
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

func (b *board) excess(t int) float64 { return b.loads[t] - highWater*b.capacity(t) }

// candidate is a copy that would relieve a target.
type candidate struct {
	k     orders.Resource
	to    int
	evict []orders.Resource
	shift float64
	net   float64
}

func (b *board) relieveTarget(t int) {
	var best candidate
	for _, h := range b.targets[t].Holdings {
		if h.State != Sure || !b.known[h.Resource] || b.inService(h.Resource, Coming) > 0 {
			continue
		}
		for _, u := range b.coolest(h.Resource) {
			if c := b.weigh(t, u, h.Resource); c.net > best.net {
				best = c
			}
		}
	}
	if best.net <= 0 {
		return
	}
	for _, k := range best.evict {
		b.clearSurplus(best.to, k)
	}
	if len(best.evict) == 0 && b.load(best.to, best.k, ReasonDemand) {
		b.loads[t] -= best.shift
		b.loads[best.to] += best.shift
	}
}

// coolest returns the least loaded targets that could take a copy.
func (b *board) coolest(k orders.Resource) []int {
	var out []int
	for u := range b.targets {
		if b.canLoad(u, k) && b.excess(u) < 0 {
			out = append(out, u)
		}
	}
	slices.SortStableFunc(out, func(x, y int) int {
		return cmp.Compare(b.loads[x]/b.capacity(x), b.loads[y]/b.capacity(y))
	})
	return out[:min(targetsTried, len(out))]
}

// weigh prices a further copy on u of a resource that loads t too much.
func (b *board) weigh(t, u int, k orders.Resource) candidate {
	c := candidate{k: k, to: u}
	c.shift = min(b.excess(t), b.share(t, k), -b.excess(u))
	price := loadPrice
	if k.Adapter != "" {
		price = adapterPrice
	}
	loss := 0.0
	if need := b.memoryMB(k); b.targets[u].FreeMB < need {
		var ok bool
		if c.evict, loss, ok = b.evictions(u, need); !ok {
			return candidate{}
		}
	}
	c.net = (c.shift-hysteresis*loss)*horizon.Seconds() - price
	return c
}

// evictions returns surplus copies on a target whose loss makes room, and the
// calls at once that the copies left could not take over.
func (b *board) evictions(u int, need int64) ([]orders.Resource, float64, bool) {
	var options []Holding
	free := b.targets[u].FreeMB
	for _, h := range b.targets[u].Holdings {
		if h.State == Going {
			free += h.MemoryMB
		} else if h.Adapter == "" && b.isSurplus(u, h) {
			options = append(options, h)
		}
	}
	slices.SortStableFunc(options, func(x, y Holding) int {
		return cmp.Compare(b.loss(u, x.Resource), b.loss(u, y.Resource))
	})
	var out []orders.Resource
	lost := 0.0
	for _, h := range options {
		if free >= need {
			break
		}
		free += b.withAdaptersMB(u, h)
		lost += b.loss(u, h.Resource)
		out = append(out, h.Resource)
	}
	return out, lost, free >= need
}

// isSurplus reports whether a model's copy, with its adapters, has others that
// stand in for it and has stayed for long enough.
func (b *board) isSurplus(u int, h Holding) bool {
	if h.State != Sure || b.state.Now.Sub(h.Since) < minResidence || b.isGoing(h.Resource) {
		return false
	}
	if b.inService(h.Resource, Sure) <= b.minCopies(h.Resource) {
		return false
	}
	for _, a := range b.targets[u].Holdings {
		if a.Model == h.Model && a.Adapter != "" && b.inService(a.Resource, Sure) < 2 {
			return false
		}
	}
	return true
}

// loss is what the other targets of a model could not take over.
func (b *board) loss(u int, k orders.Resource) float64 {
	spare := 0.0
	for _, t := range b.serving(k) {
		if t != u {
			spare += max(0, -b.excess(t))
		}
	}
	return max(0, b.share(u, k)-spare)
}

// clearSurplus unloads a model's adapters on a target, then the model.
func (b *board) clearSurplus(u int, k orders.Resource) {
	for _, h := range slices.Clone(b.targets[u].Holdings) {
		if h.Model == k.Model && h.Adapter != "" {
			b.unload(u, h.Resource, ReasonDemand)
		}
	}
	b.unload(u, k, ReasonDemand)
}
