package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/catalog"
)

const (
	// minWorkPerCopy is the work per copy of a model, in engines, below which it gets no
	// further copy: its copies answer without waiting.
	minWorkPerCopy = 0.08
	// minWorkPerCopyFromStore is the same for loads from the weight store. Only a few a
	// second are allowed, and those for a model that becomes busy must not wait for others.
	minWorkPerCopyFromStore = 0.14
	// singleCopyFactor multiplies the work of a model with a single copy, if that work
	// is at least singleCopyMinWork.
	singleCopyFactor  = 2.0
	singleCopyMinWork = 0.05
	// minGainFactor is how many times busier the copies of a model must be than the
	// remaining copies of the model unloaded for it. It prevents oscillation.
	minGainFactor = 2.0
	// minIdle is how long a model must have had no demand before its last copy gives way to
	// a model with demand, if memory is scarce.
	minIdle = 4 * time.Second
)

// TargetState is the planner's view of one target.
type TargetState struct {
	TargetID string
	Zone     string
	// Models are the models that the target holds.
	Models []string
	// CachedModels are the models that the target can load from its own cache.
	CachedModels []string
	Busy         bool
	// AcceptsOrders is false while the target executes an order or must not get one.
	AcceptsOrders bool
	// Draining targets are ignored, and so are the copies on them.
	Draining bool
	// QueuedWork breaks ties between equal targets.
	QueuedWork time.Duration
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Engine  *catalog.Engine
	Targets []TargetState
	// Loading counts the copies being loaded, by model.
	Loading map[string]int
	// CopiesElsewhere counts the copies on targets of other zones that callers of this
	// zone can reach.
	CopiesElsewhere map[string]int
	// LoadedElsewhere is the part of CopiesElsewhere that is already loaded.
	LoadedElsewhere map[string]int
	// MayUnloadLast reports whether the last copy on Targets may be unloaded while there
	// are copies elsewhere. Of two zones with one copy each, only one may unload it.
	MayUnloadLast func(model string) bool
	// MayRestore reports whether a model without a copy may be loaded here; nil allows
	// all.
	MayRestore func(model string) bool
	// Demand is the work for each model, in engines: 1 keeps one engine busy.
	Demand map[string]float64
	// Unserved are the models for which calls found no target.
	Unserved map[string]bool
	// IdleFor is how long each model has had no demand; it lacks models that never had any.
	IdleFor map[string]time.Duration
	// Scarce is set if the targets of all zones cannot hold a copy of each model. Models
	// without demand then give way to those with demand, and are loaded when calls ask for
	// them.
	Scarce bool
	// TargetsKnown is set once all targets are known, so that a model that none of them
	// holds has no copy.
	TargetsKnown bool
	// SpareCopies is set while a target of the zone may be given up, which can be any of them:
	// models with a single copy then get another one.
	SpareCopies bool
	// StoreLoadBudget is the number of loads from the weight store allowed now.
	StoreLoadBudget int
}

// Step loads a model on a target and unloads another one first if memory is short.
type Step struct {
	TargetID string
	// Unload is the model to unload first, empty if there is enough memory.
	Unload string
	Load   string
	// FromStore is set if the load counts against the rate of the weight store.
	FromStore bool
}

// Plan returns the next steps, at most one per target. It first restores models
// without a copy, then adds copies of busy models.
func Plan(in PlanInput) []Step {
	p := newPlanner(in)
	for _, model := range p.missingModels() {
		if p.mustRestore(model) && (in.MayRestore == nil || in.MayRestore(model)) {
			p.placeModel(model, 0)
		}
	}
	for range in.Targets {
		model, work := p.busiestModel()
		if model == "" || !p.placeModel(model, work) {
			break
		}
	}
	if in.SpareCopies {
		p.placeSpares()
	}
	return p.steps
}

// minCopiesToUnload is the number of copies of a model of which one may give way to the
// second copy of another model.
const minCopiesToUnload = 3

// placeSpares adds a copy of models that have a single one, which is here. It unloads only
// models that keep two.
func (p *planner) placeSpares() {
	for _, model := range slices.Sorted(maps.Keys(p.Engine.Models)) {
		if p.copies[model] != 1 || p.localCopies[model] != 1 {
			continue
		}
		best, found := placementOption{}, false
		for _, target := range p.Targets {
			if target.Draining || !target.AcceptsOrders || p.assigned[target.TargetID] || slices.Contains(target.Models, model) {
				continue
			}
			o, ok := p.bestOptionAt(target, model)
			if !ok || o.unload != "" && p.loadedCopies[o.unload] < minCopiesToUnload || !o.cached && p.StoreLoadBudget <= 0 {
				continue
			}
			if !found || p.isBetter(o, best) {
				best, found = o, true
			}
		}
		if found {
			p.applyOption(best, model)
		}
	}
}

// mustRestore reports whether a model without a copy is loaded now. If memory is scarce,
// only calls for the model are a reason to.
func (p *planner) mustRestore(model string) bool {
	return p.Unserved[model] || p.TargetsKnown && !p.Scarce
}

// isIdle reports whether a model has had no demand for so long that its last copy may give
// way to a model with demand.
func (p *planner) isIdle(model string) bool {
	idle, known := p.IdleFor[model]
	return p.Scarce && !p.Unserved[model] && (!known || idle >= minIdle)
}

// planner holds the state of a plan that is being made.
type planner struct {
	PlanInput
	// copies counts the copies loaded and being loaded, here and elsewhere; localCopies
	// only those here.
	copies      map[string]int
	localCopies map[string]int
	// loadedCopies counts the copies loaded now, here and elsewhere. Only they allow
	// another copy to be unloaded, as a load may fail.
	loadedCopies map[string]int
	assigned     map[string]bool
	steps        []Step
	unplaceable  map[string]bool
}

func newPlanner(in PlanInput) *planner {
	p := &planner{PlanInput: in, copies: make(map[string]int), localCopies: make(map[string]int), loadedCopies: make(map[string]int), assigned: make(map[string]bool), unplaceable: make(map[string]bool)}
	for model, n := range in.Loading {
		p.copies[model] += n
		p.localCopies[model] += n
	}
	for model, n := range in.CopiesElsewhere {
		p.copies[model] += n
	}
	for model, n := range in.LoadedElsewhere {
		p.loadedCopies[model] += n
	}
	for _, target := range in.Targets {
		if target.Draining {
			continue
		}
		for _, model := range target.Models {
			p.copies[model]++
			p.localCopies[model]++
			p.loadedCopies[model]++
		}
	}
	return p
}

// missingModels lists the models without a copy: unserved ones first, then by demand.
func (p *planner) missingModels() []string {
	var out []string
	for name := range p.Engine.Models {
		if p.copies[name] == 0 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if p.Unserved[a] != p.Unserved[b] {
			if p.Unserved[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.Demand[b], p.Demand[a]), cmp.Compare(a, b))
	})
	return out
}

// workPerCopy returns the work on each copy of a model that has n copies.
func (p *planner) workPerCopy(model string, n int) float64 {
	if n <= 0 {
		return math.Inf(1)
	}
	return p.Demand[model] / float64(n)
}

// busiestModel returns the model with the most work per copy and that work. The model
// is empty if none needs another copy.
func (p *planner) busiestModel() (string, float64) {
	best, highest := "", minWorkPerCopy
	for name := range p.Engine.Models {
		n := p.copies[name]
		if n == 0 || p.unplaceable[name] {
			continue
		}
		work := p.workPerCopy(name, n)
		if n == 1 && p.Demand[name] >= singleCopyMinWork {
			work *= singleCopyFactor
		}
		if work > highest || work == highest && name < best {
			best, highest = name, work
		}
	}
	return best, highest
}

// placementOption is one way to place a model on a target.
type placementOption struct {
	target TargetState
	unload string
	// cost is the work on each remaining copy of the model to unload.
	cost float64
	// copies is the current number of copies of the model to unload, idle how long it has
	// had no demand if it is its last one.
	copies int
	idle   time.Duration
	cached bool
}

// placeModel adds a step for a model with the given work per copy; 0 means that the
// model has no copy and is placed regardless of the cost. It reports whether the
// planner should go on with the next model.
func (p *planner) placeModel(model string, work float64) bool {
	best, found := placementOption{}, false
	for _, target := range p.Targets {
		if target.Draining || !target.AcceptsOrders || p.assigned[target.TargetID] || slices.Contains(target.Models, model) {
			continue
		}
		o, ok := p.bestOptionAt(target, model)
		if !ok || work > 0 && o.unload != "" && o.cost*minGainFactor > work {
			continue
		}
		if !o.cached && (p.StoreLoadBudget <= 0 || work > 0 && work < minWorkPerCopyFromStore) {
			continue
		}
		if !found || p.isBetter(o, best) {
			best, found = o, true
		}
	}
	if !found {
		p.unplaceable[model] = true
		return work > 0 && len(p.unplaceable) < len(p.Engine.Models)
	}
	p.applyOption(best, model)
	return true
}

func (p *planner) applyOption(o placementOption, model string) {
	if !o.cached {
		p.StoreLoadBudget--
	}
	if o.unload != "" {
		p.copies[o.unload]--
		p.localCopies[o.unload]--
		p.loadedCopies[o.unload]--
	}
	p.copies[model]++
	p.localCopies[model]++
	p.assigned[o.target.TargetID] = true
	p.steps = append(p.steps, Step{TargetID: o.target.TargetID, Unload: o.unload, Load: model, FromStore: !o.cached})
}

// bestOptionAt returns the cheapest way to place the model on the target, or false if
// memory is short and no model may be unloaded.
func (p *planner) bestOptionAt(target TargetState, model string) (placementOption, bool) {
	o := placementOption{target: target, cached: slices.Contains(target.CachedModels, model)}
	if p.freeMemoryMB(target, "") >= p.Engine.Models[model].WeightsMB {
		return o, true
	}
	o.cost = math.Inf(1)
	for _, held := range target.Models {
		if !p.mayUnload(held) || p.freeMemoryMB(target, held) < p.Engine.Models[model].WeightsMB {
			continue
		}
		cost, copies, idle := p.workPerCopy(held, p.copies[held]-1), p.copies[held], time.Duration(0)
		if p.loadedCopies[held] < 2 {
			cost, idle = 0, p.idleTime(held)
		}
		if cost < o.cost || cost == o.cost && (copies > o.copies || copies == o.copies && idle > o.idle) {
			o.unload, o.cost, o.copies, o.idle = held, cost, copies, idle
		}
	}
	return o, o.unload != ""
}

// idleTime returns how long a model has had no demand.
func (p *planner) idleTime(model string) time.Duration {
	if idle, known := p.IdleFor[model]; known {
		return idle
	}
	return math.MaxInt64
}

// mayUnload reports whether a copy of the model may be unloaded.
func (p *planner) mayUnload(model string) bool {
	if p.loadedCopies[model] < 2 {
		return p.isIdle(model) && p.copies[model] < 2
	}
	return p.localCopies[model] > 1 || p.MayUnloadLast != nil && p.MayUnloadLast(model)
}

// freeMemoryMB returns the free memory of the target in megabytes, as if the excluded
// model were unloaded. Memory for all adapter slots is reserved.
func (p *planner) freeMemoryMB(target TargetState, excluded string) float64 {
	free := p.Engine.WeightsMB
	for _, name := range target.Models {
		if name == excluded {
			continue
		}
		m, ok := p.Engine.Models[name]
		if !ok {
			return 0
		}
		free -= m.WeightsMB
	}
	return free - p.Engine.AdapterReserveMB()
}

// isBetter prefers options without an unload, then loads from the cache, then the
// lower cost, then more copies of the model to unload, then less queued work.
func (p *planner) isBetter(a, b placementOption) bool {
	if (a.unload == "") != (b.unload == "") {
		return a.unload == ""
	}
	if a.cached != b.cached {
		return a.cached
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.copies != b.copies {
		return a.copies > b.copies
	}
	if a.idle != b.idle {
		return a.idle > b.idle
	}
	if a.target.QueuedWork != b.target.QueuedWork {
		return a.target.QueuedWork < b.target.QueuedWork
	}
	return a.target.TargetID < b.target.TargetID
}
