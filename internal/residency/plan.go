package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/catalog"
)

const (
	// minLoad is the work for a model on each of its copies, in engines, below
	// which no further copy is made: the copies answer without waiting.
	minLoad = 0.08
	// minStoreLoad is the same for loads from the weight store. They are few a
	// second, and those for a model that becomes busy must not wait for others.
	minStoreLoad = 0.14
	// soleFactor weighs the work for a model with one copy, and soleWork is the
	// least work that counts so.
	soleFactor = 2.0
	soleWork   = 0.05
	// gainFactor is how much busier the copies of a model have to be than those
	// of the model that makes way. It keeps placements from swinging.
	gainFactor = 2.0
)

// Slot is one target as the planner sees it.
type Slot struct {
	TargetID string
	Zone     string
	// Held are the models that the target holds.
	Held []string
	// AtHand are the models of which it keeps copies that load fast.
	AtHand []string
	Busy   bool
	// Free is false while the target carries out an order or must not get one.
	Free bool
	// Leaving targets count for nothing.
	Leaving bool
	// Work is the load of the target; among equals the least loaded is chosen.
	Work time.Duration
}

// Situation is what the planner decides on.
type Situation struct {
	Engine *catalog.Engine
	Slots  []Slot
	// Coming counts copies under way by model.
	Coming map[string]int
	// Elsewhere counts the copies at targets that others place, and that callers
	// of this zone reach.
	Elsewhere map[string]int
	// HeldElsewhere is the part of Elsewhere that is loaded, not under way.
	HeldElsewhere map[string]int
	// MayDrop reports whether the last copy in these slots may make way while
	// there are others elsewhere. Of two zones with one copy each, one may not.
	MayDrop func(model string) bool
	// Restore reports whether a model without a copy is placed here; nil means
	// that all are.
	Restore func(model string) bool
	// Demand is the work for each model, in engines: 1 keeps one engine busy.
	Demand map[string]float64
	// Wanted are models for which calls found no target.
	Wanted map[string]bool
	// Settled is set once all targets are known, so that a model that none holds
	// has no copy.
	Settled bool
	// StoreLoads is the number of loads from the weight store allowed now.
	StoreLoads int
}

// Step is one order of a plan.
type Step struct {
	TargetID string
	// Unload names the model that makes way, empty if there is room.
	Unload string
	Load   string
	// FromStore is set if the load counts against the weight store's rate.
	FromStore bool
}

// Plan returns the next steps, at most one a target. It first restores models of
// which no copy is left, then adds copies where work waits.
func Plan(s Situation) []Step {
	p := newPlanning(s)
	for _, model := range p.missing() {
		if (s.Settled || s.Wanted[model]) && (s.Restore == nil || s.Restore(model)) {
			p.place(model, 0)
		}
	}
	for range s.Slots {
		model, load := p.busiest()
		if model == "" || !p.place(model, load) {
			break
		}
	}
	return p.steps
}

// planning is a plan under way.
type planning struct {
	Situation
	// copies counts those held and under way, here and elsewhere; own those here.
	copies map[string]int
	own    map[string]int
	// held counts those loaded now, here and elsewhere: only they let another make
	// way, as a load may fail.
	held    map[string]int
	used    map[string]bool
	steps   []Step
	skipped map[string]bool
}

func newPlanning(s Situation) *planning {
	p := &planning{Situation: s, copies: make(map[string]int), own: make(map[string]int), held: make(map[string]int), used: make(map[string]bool), skipped: make(map[string]bool)}
	for model, n := range s.Coming {
		p.copies[model] += n
		p.own[model] += n
	}
	for model, n := range s.Elsewhere {
		p.copies[model] += n
	}
	for model, n := range s.HeldElsewhere {
		p.held[model] += n
	}
	for _, slot := range s.Slots {
		if slot.Leaving {
			continue
		}
		for _, model := range slot.Held {
			p.copies[model]++
			p.own[model]++
			p.held[model]++
		}
	}
	return p
}

// missing lists models without a copy: those asked for in vain first, then by
// demand.
func (p *planning) missing() []string {
	var out []string
	for name := range p.Engine.Models {
		if p.copies[name] == 0 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if p.Wanted[a] != p.Wanted[b] {
			if p.Wanted[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.Demand[b], p.Demand[a]), cmp.Compare(a, b))
	})
	return out
}

// loadOf returns the work on each copy of a model if it had n.
func (p *planning) loadOf(model string, n int) float64 {
	if n <= 0 {
		return math.Inf(1)
	}
	return p.Demand[model] / float64(n)
}

// busiest returns the model whose copies have most work, empty if none needs
// another.
func (p *planning) busiest() (string, float64) {
	best, most := "", minLoad
	for name := range p.Engine.Models {
		n := p.copies[name]
		if n == 0 || p.skipped[name] {
			continue
		}
		load := p.loadOf(name, n)
		if n == 1 && p.Demand[name] >= soleWork {
			load *= soleFactor
		}
		if load > most || load == most && name < best {
			best, most = name, load
		}
	}
	return best, most
}

// option is a way to place a model.
type option struct {
	slot   Slot
	unload string
	// cost is the work on each remaining copy of the model that makes way.
	cost float64
	// spare is the number of copies of that model.
	spare  int
	atHand bool
}

// place adds a step for the model, whose copies have the given work each; 0
// means that it has none and is placed at any cost.
func (p *planning) place(model string, load float64) bool {
	best, found := option{}, false
	for _, slot := range p.Slots {
		if slot.Leaving || !slot.Free || p.used[slot.TargetID] || slices.Contains(slot.Held, model) {
			continue
		}
		o, ok := p.optionAt(slot, model)
		if !ok || load > 0 && o.unload != "" && o.cost*gainFactor > load {
			continue
		}
		if !o.atHand && (p.StoreLoads <= 0 || load > 0 && load < minStoreLoad) {
			continue
		}
		if !found || p.better(o, best) {
			best, found = o, true
		}
	}
	if !found {
		p.skipped[model] = true
		return load > 0 && len(p.skipped) < len(p.Engine.Models)
	}
	p.take(best, model)
	return true
}

func (p *planning) take(o option, model string) {
	if !o.atHand {
		p.StoreLoads--
	}
	if o.unload != "" {
		p.copies[o.unload]--
		p.own[o.unload]--
		p.held[o.unload]--
	}
	p.copies[model]++
	p.own[model]++
	p.used[o.slot.TargetID] = true
	p.steps = append(p.steps, Step{TargetID: o.slot.TargetID, Unload: o.unload, Load: model, FromStore: !o.atHand})
}

// optionAt returns how the model could be placed on the target, false if no
// model may make way.
func (p *planning) optionAt(slot Slot, model string) (option, bool) {
	o := option{slot: slot, atHand: slices.Contains(slot.AtHand, model)}
	if p.room(slot, "") >= p.Engine.Models[model].WeightsMB {
		return o, true
	}
	o.cost = math.Inf(1)
	for _, held := range slot.Held {
		if !p.droppable(held) || p.room(slot, held) < p.Engine.Models[model].WeightsMB {
			continue
		}
		cost, spare := p.loadOf(held, p.copies[held]-1), p.copies[held]
		if cost < o.cost || cost == o.cost && spare > o.spare {
			o.unload, o.cost, o.spare = held, cost, spare
		}
	}
	return o, o.unload != ""
}

// droppable reports whether a copy of the model may make way.
func (p *planning) droppable(model string) bool {
	if p.held[model] < 2 {
		return false
	}
	return p.own[model] > 1 || p.MayDrop != nil && p.MayDrop(model)
}

// room returns the memory left on the target, without the model that makes way,
// in megabytes. Places for adapters are kept free.
func (p *planning) room(slot Slot, without string) float64 {
	left := p.Engine.WeightsMB
	largest := 0.0
	for _, name := range slot.Held {
		if name == without {
			continue
		}
		m, ok := p.Engine.Models[name]
		if !ok {
			return 0
		}
		left -= m.WeightsMB
	}
	for _, m := range p.Engine.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return left - largest*float64(p.Engine.AdapterSlots)
}

// better prefers room over a model that makes way, then fast loads, then the
// cheaper one, then the less loaded target.
func (p *planning) better(a, b option) bool {
	if (a.unload == "") != (b.unload == "") {
		return a.unload == ""
	}
	if a.atHand != b.atHand {
		return a.atHand
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.spare != b.spare {
		return a.spare > b.spare
	}
	if a.slot.Work != b.slot.Work {
		return a.slot.Work < b.slot.Work
	}
	return a.slot.TargetID < b.slot.TargetID
}
