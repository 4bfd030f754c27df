package placement

import (
	"cmp"
	"slices"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/target"
)

// board is a working copy of the state on which a policy makes moves. It keeps
// the rules that bind every policy:
//   - a load fits the free memory and the weight store's budget;
//   - an adapter is loaded only beside its model;
//   - one copy of a resource at a time is taken away, and never the last that is
//     sure on a target in service, nor one below the model's least number.
type board struct {
	state    *State
	targets  []Target
	all      []int
	loads    []float64
	demand   map[string]Demand
	models   map[string]*environment.Model
	adapters map[string][]*environment.Adapter
	known    map[orders.Resource]bool
	copies   map[orders.Resource][]int
	budget   Budget
	moves    []orders.Move
}

func newBoard(s *State) *board {
	b := &board{
		state:    s,
		targets:  slices.Clone(s.Targets),
		demand:   make(map[string]Demand, len(s.Demand)),
		models:   make(map[string]*environment.Model, len(s.Models)),
		adapters: make(map[string][]*environment.Adapter),
		known:    make(map[orders.Resource]bool),
		copies:   make(map[orders.Resource][]int),
		budget:   s.Budget,
	}
	for _, d := range s.Demand {
		b.demand[d.Served] = d
	}
	for i := range s.Models {
		b.models[s.Models[i].Name] = &s.Models[i]
		b.known[orders.Resource{Model: s.Models[i].Name}] = true
	}
	for i := range s.Adapters {
		a := &s.Adapters[i]
		b.adapters[a.Model] = append(b.adapters[a.Model], a)
		b.known[orders.Resource{Model: a.Model, Adapter: a.Name}] = true
	}
	for t := range b.targets {
		b.all = append(b.all, t)
		b.targets[t].Holdings = slices.Clone(b.targets[t].Holdings)
		for _, h := range b.targets[t].Holdings {
			b.copies[h.Resource] = append(b.copies[h.Resource], t)
		}
	}
	b.loads = b.spreadDemand()
	return b
}

// holding returns the resource's holding on a target or nil.
func (b *board) holding(t int, k orders.Resource) *Holding {
	for i := range b.targets[t].Holdings {
		if h := &b.targets[t].Holdings[i]; h.Resource == k {
			return h
		}
	}
	return nil
}

// inService returns the number of copies in the states on targets that are not
// out.
func (b *board) inService(k orders.Resource, states ...HoldingState) int {
	n := 0
	for _, t := range b.copies[k] {
		if !b.targets[t].Out && slices.Contains(states, b.holding(t, k).State) {
			n++
		}
	}
	return n
}

// isReachable reports whether the resource has a copy or is about to get one.
func (b *board) isReachable(k orders.Resource) bool {
	return b.inService(k, Sure, Coming, Doubtful) > 0
}

// canLoad reports whether the rules allow a load but for free memory.
func (b *board) canLoad(t int, k orders.Resource) bool {
	target := &b.targets[t]
	if h := b.holding(t, k); target.Out || !target.Fresh || (h != nil && h.State != Lost) {
		return false
	}
	if k.Adapter == "" {
		return b.budget.Loads > 0
	}
	base := b.holding(t, orders.Resource{Model: k.Model})
	return b.budget.AdapterLoads > 0 && base != nil && base.State == Sure
}

// load decides a load if the rules and the memory allow it.
func (b *board) load(t int, k orders.Resource, reason string) bool {
	mb := b.memoryMB(k)
	lost := b.holding(t, k)
	if !b.canLoad(t, k) || (lost == nil && b.targets[t].FreeMB < mb) {
		return false
	}
	if lost != nil {
		lost.State = Coming
	} else {
		b.targets[t].FreeMB -= mb
		b.targets[t].Holdings = append(b.targets[t].Holdings, Holding{Resource: k, MemoryMB: mb, State: Coming, Since: b.state.Now})
		b.copies[k] = append(b.copies[k], t)
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

// canUnload reports whether the rules allow the copy to be taken away.
func (b *board) canUnload(t int, k orders.Resource) bool {
	h := b.holding(t, k)
	if h == nil || h.State != Sure || !b.targets[t].Fresh || b.isGoing(k) {
		return false
	}
	if k.Adapter == "" && b.hasAdapters(t, k.Model) {
		return false
	}
	if !b.known[k] {
		return h.Retired
	}
	left := b.inService(k, Sure)
	if !b.targets[t].Out {
		left--
	}
	return left >= b.minCopies(k)
}

func (b *board) isGoing(k orders.Resource) bool {
	for _, t := range b.copies[k] {
		if b.holding(t, k).State == Going {
			return true
		}
	}
	return false
}

func (b *board) hasAdapters(t int, model string) bool {
	for _, h := range b.targets[t].Holdings {
		if h.Model == model && h.Adapter != "" {
			return true
		}
	}
	return false
}

func (b *board) minCopies(k orders.Resource) int {
	if m := b.models[k.Model]; k.Adapter == "" && m != nil {
		return max(1, m.MinCopies)
	}
	return 1
}

// unload decides an unload if the rules allow it. Its memory is free only once
// the orderer's record says so.
func (b *board) unload(t int, k orders.Resource, reason string) bool {
	if !b.canUnload(t, k) {
		return false
	}
	h := b.holding(t, k)
	h.State = Going
	action := target.ActionUnloadModel
	if k.Adapter != "" {
		action = target.ActionUnloadAdapter
	}
	b.moves = append(b.moves, orders.Move{Target: b.targets[t].Name, Action: action, Resource: k, MemoryMB: h.MemoryMB, Reason: reason})
	return true
}

func (b *board) memoryMB(k orders.Resource) int64 {
	if k.Adapter == "" {
		return b.models[k.Model].MemoryMB
	}
	if a := b.adapter(k); a != nil {
		return a.MemoryMB
	}
	return 0
}

func (b *board) version(k orders.Resource) string {
	if a := b.adapter(k); a != nil {
		return a.Version
	}
	return b.models[k.Model].Version
}

func (b *board) adapter(k orders.Resource) *environment.Adapter {
	for _, a := range b.adapters[k.Model] {
		if a.Name == k.Adapter {
			return a
		}
	}
	return nil
}

// resources returns all models, then all adapters, of the document.
func (b *board) resources() []orders.Resource {
	out := make([]orders.Resource, 0, len(b.known))
	for i := range b.state.Models {
		out = append(out, orders.Resource{Model: b.state.Models[i].Name})
	}
	for i := range b.state.Adapters {
		a := &b.state.Adapters[i]
		out = append(out, orders.Resource{Model: a.Model, Adapter: a.Name})
	}
	return out
}

// byDemand orders resources by falling demand, models first.
func (b *board) byDemand(ks []orders.Resource) []orders.Resource {
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
