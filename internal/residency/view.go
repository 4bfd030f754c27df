// Package residency decides which models and adapters each target holds. The holder
// of the placement lease carries this out, and every instance learns what targets hold
// beyond their own announcements.
package residency

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/peers"
)

// View is what an instance knows about the models and adapters on targets. It is safe
// for concurrent use.
type View struct {
	mu      sync.Mutex
	targets map[string]*targetPlacement
	now     func() time.Time
}

// targetPlacement is what the holder of the placement lease reports about one target.
type targetPlacement struct {
	bornMS          int64
	adapters        map[string]bool
	unloadingModels []string
	// readyAt is when each model being loaded is expected to be ready.
	readyAt map[string]time.Time
}

// NewView returns a View that relies on announcements only.
func NewView() *View { return &View{targets: make(map[string]*targetPlacement), now: time.Now} }

// Apply replaces the placement of a target by the one reported by the holder of the
// placement lease.
func (v *View) Apply(p peers.Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	placement := &targetPlacement{bornMS: p.BornMS, adapters: make(map[string]bool, len(p.Adapters)), unloadingModels: p.Unloading, readyAt: make(map[string]time.Time)}
	for _, a := range p.Adapters {
		placement.adapters[a] = true
	}
	for model, ms := range p.Loading {
		placement.readyAt[model] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	v.targets[p.TargetID] = placement
}

// AdapterLoaded records that a target holds an adapter.
func (v *View) AdapterLoaded(targetID string, bornMS int64, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.targets[targetID]
	if p == nil || p.bornMS != bornMS {
		p = &targetPlacement{bornMS: bornMS, adapters: make(map[string]bool)}
		v.targets[targetID] = p
	}
	p.adapters[adapter] = true
}

// placementOf requires v.mu. It returns the placement reported for this incarnation of
// a target, or nil.
func (v *View) placementOf(t *fleet.Target) *targetPlacement {
	if p := v.targets[t.ID]; p != nil && p.bornMS == t.BornMS {
		return p
	}
	return nil
}

// Holds reports whether the target holds the model and, if one is given, the adapter.
// Calls without a model can go to any target.
func (v *View) Holds(t *fleet.Target, model, adapter string) (hasModel, hasAdapter bool) {
	if model == "" {
		return true, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.placementOf(t)
	if !t.Holds(model) || p != nil && slices.Contains(p.unloadingModels, model) {
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

// Models lists the models that a target holds or is loading, without those that are
// being unloaded.
func (v *View) Models(t *fleet.Target) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.placementOf(t)
	var out []string
	for _, m := range t.Models {
		if p == nil || !slices.Contains(p.unloadingModels, m.Name) {
			out = append(out, m.Name)
		}
	}
	if p != nil {
		for model := range p.readyAt {
			if !slices.Contains(out, model) {
				out = append(out, model)
			}
		}
	}
	return out
}

// ExpectedLoad returns the expected time until one of the targets has loaded the model,
// or false if none is loading it.
func (v *View) ExpectedLoad(targets []*fleet.Target, model string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	var best time.Duration
	found := false
	for _, t := range targets {
		p := v.placementOf(t)
		if p == nil {
			continue
		}
		if at, ok := p.readyAt[model]; ok {
			if left := max(0, at.Sub(now)); !found || left < best {
				best, found = left, true
			}
		}
	}
	return best, found
}

// MovesEnd returns the expected time until the first of the targets that hold the model
// has finished its move; until then it accepts no adapters. It returns false if no
// target holds the model, or if one that does has no move.
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
		p := v.placementOf(t)
		if p == nil || len(p.readyAt) == 0 {
			return 0, false
		}
		var left time.Duration
		for _, at := range p.readyAt {
			left = max(left, at.Sub(now))
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}

// Prune drops the targets that are no longer listed.
func (v *View) Prune(listed func(id string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range v.targets {
		if !listed(id) {
			delete(v.targets, id)
		}
	}
}
