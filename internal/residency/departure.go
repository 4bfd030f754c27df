package residency

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// reclaimHorizon is how long before a target is gone its copies no longer count, so that
	// they are restored elsewhere: a load from the weight store takes about four seconds and
	// may have to wait for others.
	reclaimHorizon = 12 * time.Second
	// sparesWanted is how long a call of WantSpares holds.
	sparesWanted = 5 * time.Second
)

// isReclaimed reports whether the platform takes the target away soon, where the number of
// targets is ours to change.
func (c *Controller) isReclaimed(t *fleet.Target, now time.Time) bool {
	state := c.catalog.Current()
	return state != nil && state.Scales() && t.Reclaimed() && t.GoneAt.Sub(now) < reclaimHorizon
}

// WantSpares makes the controller load a second copy of models with a single one in a zone,
// so that any of its targets may be given up. It holds for some seconds.
func (c *Controller) WantSpares(zone, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sparesWantedAt[zoneService{zone, service}] = c.now()
}

func (c *Controller) wantsSpares(key zoneService, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sparesWantedAt[key]
	return ok && now.Sub(at) < sparesWanted
}

// MayLoseTarget reports whether any target of a service in a zone may leave without taking
// the last copy of a model with it. It is false while a model has no copy, except if memory
// is scarce: models without demand have none then, and only those with demand count.
func (c *Controller) MayLoseTarget(zone, service string, now time.Time) bool {
	state := c.catalog.Current()
	if state == nil || state.Services[service] == nil {
		return false
	}
	engine := state.Services[service].Engine
	if engine == nil {
		return true
	}
	view, reachable := c.fleet.View(), c.reachableZones()
	copies, local := make(map[string]int), make(map[string]int)
	usable := 0
	for _, t := range view.ByService[service] {
		if t.Zone != zone && !reachable[t.Zone] || t.Lapsed || c.isReclaimed(t, now) {
			continue
		}
		usable++
		for _, m := range t.Models {
			if holds, _ := c.view.Holds(t, m.Name, ""); !holds {
				continue
			}
			copies[m.Name]++
			if t.Zone == zone {
				local[m.Name]++
			}
		}
	}
	scarce, idle := isScarce(engine, usable-1), c.demand.IdleFor(service, now)
	for model := range engine.Models {
		if copies[model] >= 2 || copies[model] == 1 && local[model] == 0 {
			continue
		}
		if since, known := idle[model]; scarce && (!known || since >= minIdle) {
			continue
		}
		return false
	}
	return true
}
