package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/target"
)

// planBuilder collects the moves of a policy and applies them to a working copy of
// the state. It enforces the rules for every policy:
//   - A load fits the free memory and the weight store's budget.
//   - An adapter is loaded only on a target with a confirmed copy of its model.
//   - At most one copy of a resource is unloaded at a time.
//   - An unload leaves at least one confirmed copy of the resource, and the minimum
//     number of confirmed copies of a model. Copies on draining targets do not count.
//   - A resource that the document no longer names is unloaded only once it is
//     retired. Its last copy may be unloaded too.
type planBuilder struct {
	state *State
	// targets is the working copy. Targets are referred to by their indexes in it.
	targets    []Target
	allTargets []int
	// targetLoads holds the concurrent calls expected at each target.
	targetLoads []float64
	demand      map[string]Demand
	models      map[string]*environment.Model
	adapters    map[string][]*environment.Adapter
	declared    map[orders.Resource]bool
	// targetsWith holds the targets that have a copy of a resource, in any state.
	targetsWith map[orders.Resource][]int
	budget      Budget
	moves       []orders.Move
}

func newPlanBuilder(s *State) *planBuilder {
	b := &planBuilder{
		state:       s,
		targets:     slices.Clone(s.Targets),
		demand:      make(map[string]Demand, len(s.Demand)),
		models:      make(map[string]*environment.Model, len(s.Models)),
		adapters:    make(map[string][]*environment.Adapter),
		declared:    make(map[orders.Resource]bool),
		targetsWith: make(map[orders.Resource][]int),
		budget:      s.Budget,
	}
	for _, d := range s.Demand {
		b.demand[d.Served] = d
	}
	for i := range s.Models {
		b.models[s.Models[i].Name] = &s.Models[i]
		b.declared[orders.Resource{Model: s.Models[i].Name}] = true
	}
	for i := range s.Adapters {
		a := &s.Adapters[i]
		b.adapters[a.Model] = append(b.adapters[a.Model], a)
		b.declared[orders.Resource{Model: a.Model, Adapter: a.Name}] = true
	}
	for t := range b.targets {
		b.allTargets = append(b.allTargets, t)
		b.targets[t].Copies = slices.Clone(b.targets[t].Copies)
		for _, c := range b.targets[t].Copies {
			b.targetsWith[c.Resource] = append(b.targetsWith[c.Resource], t)
		}
	}
	b.targetLoads = b.distributeDemand()
	return b
}

// copyOn returns the copy of the resource on a target or nil.
func (b *planBuilder) copyOn(t int, k orders.Resource) *Copy {
	for i := range b.targets[t].Copies {
		if c := &b.targets[t].Copies[i]; c.Resource == k {
			return c
		}
	}
	return nil
}

// countInService returns the number of copies in the given states on targets that
// are not draining.
func (b *planBuilder) countInService(k orders.Resource, states ...CopyState) int {
	n := 0
	for _, t := range b.targetsWith[k] {
		if !b.targets[t].Draining && slices.Contains(states, b.copyOn(t, k).State) {
			n++
		}
	}
	return n
}

// isReachable reports whether the resource has a copy, or is getting one, on a
// target that is not draining.
func (b *planBuilder) isReachable(k orders.Resource) bool {
	return b.countInService(k, Confirmed, Loading, Unconfirmed) > 0
}

// canLoad reports whether the rules allow a load, apart from free memory.
func (b *planBuilder) canLoad(t int, k orders.Resource) bool {
	target := &b.targets[t]
	if c := b.copyOn(t, k); target.Draining || !target.Fresh || (c != nil && c.State != Lost) {
		return false
	}
	if k.Adapter == "" {
		return b.budget.Loads > 0
	}
	base := b.copyOn(t, orders.Resource{Model: k.Model})
	return b.budget.AdapterLoads > 0 && base != nil && base.State == Confirmed
}

// load plans a load if the rules and the free memory allow it, and reports whether
// it did. Reloading a lost copy needs no free memory, as it is still charged.
func (b *planBuilder) load(t int, k orders.Resource, reason string) bool {
	mb := b.memoryMB(k)
	lost := b.copyOn(t, k)
	if !b.canLoad(t, k) || (lost == nil && b.targets[t].FreeMB < mb) {
		return false
	}
	if lost != nil {
		lost.State = Loading
	} else {
		b.targets[t].FreeMB -= mb
		b.targets[t].Copies = append(b.targets[t].Copies, Copy{Resource: k, MemoryMB: mb, State: Loading, FirstSeenAt: b.state.Now})
		b.targetsWith[k] = append(b.targetsWith[k], t)
	}
	action := target.ActionLoadModel
	if k.Adapter != "" {
		action = target.ActionLoadAdapter
		b.budget.AdapterLoads--
	} else {
		b.budget.Loads--
	}
	b.moves = append(b.moves, orders.Move{Target: b.targets[t].Name, Action: action, Resource: k, Version: b.version(k), MemoryMB: mb, Reason: reason})
	return true
}

// canUnload reports whether the rules allow the copy to be unloaded.
func (b *planBuilder) canUnload(t int, k orders.Resource) bool {
	c := b.copyOn(t, k)
	if c == nil || c.State != Confirmed || !b.targets[t].Fresh || b.isUnloading(k) {
		return false
	}
	if k.Adapter == "" && b.hasAdapters(t, k.Model) {
		return false
	}
	if !b.declared[k] {
		return c.Retired
	}
	remaining := b.countInService(k, Confirmed)
	if !b.targets[t].Draining {
		remaining--
	}
	return remaining >= b.minCopies(k)
}

func (b *planBuilder) isUnloading(k orders.Resource) bool {
	for _, t := range b.targetsWith[k] {
		if b.copyOn(t, k).State == Unloading {
			return true
		}
	}
	return false
}

func (b *planBuilder) hasAdapters(t int, model string) bool {
	for _, c := range b.targets[t].Copies {
		if c.Model == model && c.Adapter != "" {
			return true
		}
	}
	return false
}

func (b *planBuilder) minCopies(k orders.Resource) int {
	if m := b.models[k.Model]; k.Adapter == "" && m != nil {
		return max(1, m.MinCopies)
	}
	return 1
}

// unload plans an unload if the rules allow it, and reports whether it did. The
// memory stays charged until the orderer's record frees it.
func (b *planBuilder) unload(t int, k orders.Resource, reason string) bool {
	if !b.canUnload(t, k) {
		return false
	}
	c := b.copyOn(t, k)
	c.State = Unloading
	action := target.ActionUnloadModel
	if k.Adapter != "" {
		action = target.ActionUnloadAdapter
	}
	b.moves = append(b.moves, orders.Move{Target: b.targets[t].Name, Action: action, Resource: k, MemoryMB: c.MemoryMB, Reason: reason})
	return true
}

func (b *planBuilder) memoryMB(k orders.Resource) int64 {
	if k.Adapter == "" {
		return b.models[k.Model].MemoryMB
	}
	if a := b.adapter(k); a != nil {
		return a.MemoryMB
	}
	return 0
}

func (b *planBuilder) version(k orders.Resource) string {
	if a := b.adapter(k); a != nil {
		return a.Version
	}
	return b.models[k.Model].Version
}

func (b *planBuilder) adapter(k orders.Resource) *environment.Adapter {
	for _, a := range b.adapters[k.Model] {
		if a.Name == k.Adapter {
			return a
		}
	}
	return nil
}

// resources returns all models, then all adapters of the document.
func (b *planBuilder) resources() []orders.Resource {
	out := make([]orders.Resource, 0, len(b.declared))
	for i := range b.state.Models {
		out = append(out, orders.Resource{Model: b.state.Models[i].Name})
	}
	for i := range b.state.Adapters {
		a := &b.state.Adapters[i]
		out = append(out, orders.Resource{Model: a.Model, Adapter: a.Name})
	}
	return out
}

// byDemand sorts resources in place, models first, each in descending order of
// demand.
func (b *planBuilder) byDemand(ks []orders.Resource) []orders.Resource {
	slices.SortStableFunc(ks, func(x, y orders.Resource) int {
		if c := cmp.Compare(len(x.Adapter), len(y.Adapter)); x.Adapter == "" || y.Adapter == "" {
			if c != 0 {
				return c
			}
		}
		return cmp.Compare(b.demand[y.Served()].Slots, b.demand[x.Served()].Slots)
	})
	return ks
}
