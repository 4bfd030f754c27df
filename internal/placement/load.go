package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// distributeDemand returns the concurrent calls that each target gets if routing
// balances relative load. It assigns the resources with the fewest copies first;
// each resource fills the least loaded of its targets.
func (b *planBuilder) distributeDemand() []float64 {
	loads := make([]float64, len(b.targets))
	type placedDemand struct {
		slots   float64
		targets []int
	}
	var all []placedDemand
	for _, k := range b.resources() {
		if slots := b.demand[k.Served()].Slots; slots > 0 {
			all = append(all, placedDemand{slots, b.serving(k)})
		}
	}
	slices.SortStableFunc(all, func(x, y placedDemand) int { return cmp.Compare(len(x.targets), len(y.targets)) })
	for _, p := range all {
		fillEvenly(loads, p.targets, p.slots, b.capacity)
	}
	return loads
}

// serving returns the targets whose copies serve calls or soon will.
func (b *planBuilder) serving(k orders.Resource) []int {
	var out []int
	for _, t := range b.targetsWith[k] {
		if b.isServing(t, k) {
			out = append(out, t)
		}
	}
	return out
}

func (b *planBuilder) isServing(t int, k orders.Resource) bool {
	s := b.copyOn(t, k).State
	return !b.targets[t].Draining && s != Unloading && s != Lost
}

func (b *planBuilder) capacity(t int) float64 { return max(1, float64(b.targets[t].Concurrency)) }

// fillEvenly adds amount to the loads of the targets so that their ratios of load
// to capacity become as even as possible (water-filling).
func fillEvenly(loads []float64, targets []int, amount float64, capacity func(int) float64) {
	if amount <= 0 || len(targets) == 0 {
		return
	}
	order := slices.Clone(targets)
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(loads[x]/capacity(x), loads[y]/capacity(y)), cmp.Compare(x, y))
	})
	var loadSum, capacitySum float64
	n := 0
	for n < len(order) {
		t := order[n]
		if n > 0 && (loadSum+amount)/capacitySum <= loads[t]/capacity(t) {
			break
		}
		loadSum += loads[t]
		capacitySum += capacity(t)
		n++
	}
	level := (loadSum + amount) / capacitySum
	for _, t := range order[:n] {
		loads[t] = level * capacity(t)
	}
}

// share returns the target's equal share of the demand for a resource of which it
// has a copy. For a model it includes the model's adapters on the target.
func (b *planBuilder) share(t int, k orders.Resource) float64 {
	out := b.sharePerCopy(k)
	if k.Adapter == "" {
		for _, a := range b.adapters[k.Model] {
			if ak := (orders.Resource{Model: a.Model, Adapter: a.Name}); b.copyOn(t, ak) != nil {
				out += b.sharePerCopy(ak)
			}
		}
	}
	return out
}

// sharePerCopy returns the demand for a resource, without adapters, divided by the
// number of its serving copies. The demand is the larger of Slots and LongTermSlots.
func (b *planBuilder) sharePerCopy(k orders.Resource) float64 {
	n := 0
	for _, t := range b.targetsWith[k] {
		if b.isServing(t, k) {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	d := b.demand[k.Served()]
	return max(d.Slots, d.LongTermSlots) / float64(n)
}
