// Package residency decides which model and adapter lives on which target, has
// that carried out by the holder of the placement lease, and tells all instances
// what a target holds beyond its own announcement.
package residency

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/peers"
)

// View is what an instance believes that targets hold. It is safe for concurrent
// use.
type View struct {
	mu      sync.Mutex
	targets map[string]*placed
	now     func() time.Time
}

// placed is what the holder of the placement lease told of one target.
type placed struct {
	bornMS   int64
	adapters map[string]bool
	leaving  []string
	// coming gives the time at which a model is expected to be loaded.
	coming map[string]time.Time
}

// NewView returns a view that knows nothing beyond announcements.
func NewView() *View { return &View{targets: make(map[string]*placed), now: time.Now} }

// Apply takes what the holder of the placement lease tells of a target.
func (v *View) Apply(p peers.Placed) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	next := &placed{bornMS: p.BornMS, adapters: make(map[string]bool, len(p.Adapters)), leaving: p.Leaving, coming: make(map[string]time.Time)}
	for _, a := range p.Adapters {
		next.adapters[a] = true
	}
	for model, ms := range p.Coming {
		next.coming[model] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	v.targets[p.TargetID] = next
}

// AdapterLoaded notes that a target holds an adapter.
func (v *View) AdapterLoaded(targetID string, bornMS int64, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.targets[targetID]
	if p == nil || p.bornMS != bornMS {
		p = &placed{bornMS: bornMS, adapters: make(map[string]bool)}
		v.targets[targetID] = p
	}
	p.adapters[adapter] = true
}

// of requires v.mu. It returns what was told of this incarnation of a target, nil if
// nothing.
func (v *View) of(t *fleet.Target) *placed {
	if p := v.targets[t.ID]; p != nil && p.bornMS == t.BornMS {
		return p
	}
	return nil
}

// Holds reports whether the target holds the model and, if one is asked for,
// the adapter. Plain calls ask for no model, which all targets hold.
func (v *View) Holds(t *fleet.Target, model, adapter string) (hasModel, hasAdapter bool) {
	if model == "" {
		return true, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.of(t)
	if !t.Holds(model) || p != nil && slices.Contains(p.leaving, model) {
		return false, false
	}
	if adapter == "" {
		return true, true
	}
	if p != nil {
		return true, p.adapters[model+"/"+adapter]
	}
	return true, announcesAdapter(t, model, adapter)
}

func announcesAdapter(t *fleet.Target, model, adapter string) bool {
	for _, m := range t.Models {
		if m.Name == model {
			return slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// Models lists the models that a target holds or is being given.
func (v *View) Models(t *fleet.Target) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.of(t)
	var out []string
	for _, m := range t.Models {
		if p == nil || !slices.Contains(p.leaving, m.Name) {
			out = append(out, m.Name)
		}
	}
	if p != nil {
		for model := range p.coming {
			if !slices.Contains(out, model) {
				out = append(out, model)
			}
		}
	}
	return out
}

// ExpectedLoad returns the time until one of the targets holds the model, or
// false if no load of it is under way.
func (v *View) ExpectedLoad(targets []*fleet.Target, model string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	var best time.Duration
	found := false
	for _, t := range targets {
		p := v.of(t)
		if p == nil {
			continue
		}
		if at, ok := p.coming[model]; ok {
			if left := max(0, at.Sub(now)); !found || left < best {
				best, found = left, true
			}
		}
	}
	return best, found
}

// MovesEnd returns the time until one of the targets that hold the model carries out
// no move any more: until then they take no adapters. It returns false if no move is
// known, or one of them has none.
func (v *View) MovesEnd(targets []*fleet.Target, model string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	var first time.Duration
	found := false
	for _, t := range targets {
		if !t.Holds(model) {
			continue
		}
		p := v.of(t)
		if p == nil || len(p.coming) == 0 {
			return 0, false
		}
		var left time.Duration
		for _, at := range p.coming {
			left = max(left, at.Sub(now))
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}

// Prune drops targets that are no longer listed.
func (v *View) Prune(listed func(id string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range v.targets {
		if !listed(id) {
			delete(v.targets, id)
		}
	}
}
