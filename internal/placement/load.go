package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/orders"
)

// spreadDemand returns the calls at once that each target gets if routing keeps
// targets even: resources with few copies are put first, the others fill the
// least loaded of their targets.
func (b *board) spreadDemand() []float64 {
	loads := make([]float64, len(b.targets))
	type placed struct {
		slots   float64
		targets []int
	}
	var all []placed
	for _, k := range b.resources() {
		if slots := b.demand[k.Served()].Slots; slots > 0 {
			all = append(all, placed{slots, b.serving(k)})
		}
	}
	slices.SortStableFunc(all, func(x, y placed) int { return cmp.Compare(len(x.targets), len(y.targets)) })
	for _, p := range all {
		fill(loads, p.targets, p.slots, b.capacity)
	}
	return loads
}

// serving returns the targets whose copies take calls or soon will.
func (b *board) serving(k orders.Resource) []int {
	var out []int
	for _, t := range b.copies[k] {
		if b.isServing(t, k) {
			out = append(out, t)
		}
	}
	return out
}

func (b *board) isServing(t int, k orders.Resource) bool {
	s := b.holding(t, k).State
	return !b.targets[t].Out && s != Going && s != Lost
}

func (b *board) capacity(t int) float64 { return max(1, float64(b.targets[t].Concurrency)) }

// fill adds an amount to the targets so that their load by capacity is as even
// as it can be.
func fill(loads []float64, targets []int, amount float64, capacity func(int) float64) {
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

// share is the part of a resource's demand that the target gets, adapters of a
// model included.
func (b *board) share(t int, k orders.Resource) float64 {
	out := b.ownShare(k)
	if k.Adapter == "" {
		for _, a := range b.adapters[k.Model] {
			if ak := (orders.Resource{Model: a.Model, Adapter: a.Name}); b.holding(t, ak) != nil {
				out += b.ownShare(ak)
			}
		}
	}
	return out
}

func (b *board) ownShare(k orders.Resource) float64 {
	n := 0
	for _, t := range b.copies[k] {
		if b.isServing(t, k) {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	d := b.demand[k.Served()]
	return max(d.Slots, d.LongSlots) / float64(n)
}
