package residency

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

// planZone plans and starts moves for the targets of one service in one zone.
func (c *Controller) planZone(zone, service string, engine *catalog.Engine, view *fleet.View, list []*managedTarget, now time.Time) {
	key := zoneService{zone, service}
	in := PlanInput{Engine: engine, Loading: make(map[string]int), StoreLoadBudget: c.availableLoads(key, engine, view, now)}
	in.Demand, in.Unserved = c.demand.Rates(service, now)
	in.IdleFor, in.Scarce = c.demand.IdleFor(service, now), isScarce(engine, len(view.ByService[service]))
	in.TargetsKnown = c.targetsKnown(service, len(view.ByService[service]), now)
	in.SpareCopies = c.wantsSpares(key, now)
	c.addOtherZones(&in, zone, service, view, now)
	byID := make(map[string]*managedTarget, len(list))
	for _, m := range list {
		byID[m.id] = m
		m.mu.Lock()
		if m.moveFinished(now) {
			c.logMoveEnd(m, now)
			m.move, m.changed = nil, true
		}
		target := c.targetState(m, view, now)
		target.AcceptsOrders = target.AcceptsOrders && c.mayOrder(m)
		in.Targets = append(in.Targets, target)
		if m.move != nil && !slices.Contains(m.models, m.move.Load) {
			in.Loading[m.move.Load]++
			if m.move.FromStore && m.move.loadAcceptedAt.IsZero() {
				in.StoreLoadBudget--
			}
		}
		m.mu.Unlock()
	}
	c.logDemand(key, in, now)
	for _, step := range Plan(in) {
		c.startMove(byID[step.TargetID], step, engine, now)
	}
}

// isScarce reports whether a number of targets cannot hold a copy of each model.
func isScarce(engine *catalog.Engine, targets int) bool {
	total := 0.0
	for _, m := range engine.Models {
		total += m.WeightsMB
	}
	mean := total / float64(max(1, len(engine.Models)))
	if mean <= 0 {
		return false
	}
	each := int((engine.WeightsMB - engine.AdapterReserveMB()) / mean)
	return targets > 0 && len(engine.Models) > targets*each
}

// demandLogInterval is the time between log lines on the demand in a zone.
const demandLogInterval = 2 * time.Second

// logDemand logs the input of the planner for a zone.
func (c *Controller) logDemand(key zoneService, in PlanInput, now time.Time) {
	c.mu.Lock()
	due := now.Sub(c.demandLoggedAt[key]) >= demandLogInterval
	if due {
		c.demandLoggedAt[key] = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	copies := newPlanner(in).copies
	free := 0
	for _, target := range in.Targets {
		if target.AcceptsOrders && !target.Draining {
			free++
		}
	}
	missing, single := 0, 0
	for model := range in.Engine.Models {
		switch copies[model] {
		case 0:
			missing++
		case 1:
			single++
		}
	}
	fields := log.Fields{
		"zone": key.zone, "store_loads": in.StoreLoadBudget, "targets": len(in.Targets), "free": free,
		"models": len(in.Engine.Models), "missing": missing, "single": single,
	}
	for model, work := range in.Demand {
		if work >= minWorkPerCopy {
			fields[model] = fmt.Sprintf("%.2f/%d", work, copies[model])
		}
	}
	c.log.WithFields(fields).Info("residency: Demand in engines and copies of each model.")
}

// addOtherZones adds the copies in reachable other zones to the input of the planner,
// and the rules by which zones agree on unloading and restoring models.
func (c *Controller) addOtherZones(in *PlanInput, zone, service string, view *fleet.View, now time.Time) {
	reachable := c.reachableZones()
	in.CopiesElsewhere, in.LoadedElsewhere = make(map[string]int), make(map[string]int)
	holdingZones := make(map[string][]string)
	zones := map[string]bool{zone: true}
	for _, t := range view.ByService[service] {
		if t.Zone != zone && !reachable[t.Zone] {
			continue
		}
		zones[t.Zone] = true
		for _, model := range c.view.Models(t) {
			holds := t.Holds(model)
			if holds {
				holdingZones[model] = append(holdingZones[model], t.Zone)
			}
			if t.Zone == zone {
				continue
			}
			in.CopiesElsewhere[model]++
			if holds {
				in.LoadedElsewhere[model]++
			}
		}
	}
	in.MayUnloadLast = func(model string) bool { return retainingZone(model, holdingZones[model]) != zone }
	zoneNames := slices.Sorted(maps.Keys(zones))
	in.MayRestore = func(model string) bool { return c.mayRestore(zoneModel{zone, service, model}, zoneNames, now) }
}

// retainingZone returns the zone that keeps its copy of a model. The choice is a hash,
// so that all zones that see the same copies agree on it.
func retainingZone(model string, zones []string) string {
	best, highest := "", uint64(0)
	for _, zone := range zones {
		if r := xxhash.Sum64String(model + "\x00" + zone); best == "" || r > highest {
			best, highest = zone, r
		}
	}
	return best
}

// restoreDelay is the additional time that each further zone, in the order of mayRestore,
// waits before it restores a model without a copy: the zones before it may be unable to.
const restoreDelay = 1500 * time.Millisecond

// mayRestore reports whether a model without a copy may be loaded in the zone now. The
// zones are ordered by a hash, as in retainingZone; the first may load it at once.
func (c *Controller) mayRestore(key zoneModel, zones []string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.absences[key]
	// An absence for which mayRestore was not asked for this long no longer counts.
	if now.Sub(seen.last) > restoreDelay {
		seen.since = now
	}
	seen.last = now
	c.absences[key] = seen
	ranked := slices.Clone(zones)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key.model+"\x00"+b), xxhash.Sum64String(key.model+"\x00"+a))
	})
	return now.Sub(seen.since) >= time.Duration(slices.Index(ranked, key.zone))*restoreDelay
}

// zoneService, zoneModel and absence are keys and values of the controller's maps. An
// absence lasts from since; last is when mayRestore last asked for the model.
type (
	zoneService struct{ zone, service string }
	zoneModel   struct{ zone, service, model string }
	absence     struct{ since, last time.Time }
)

// targetsSettleTime is how long the list of targets must not have grown before models
// without a copy are restored even if no call needs them: targets announce themselves
// one after the other.
const targetsSettleTime = 2500 * time.Millisecond

// targetsKnown reports whether the list of targets is complete enough to tell that a
// model has no copy.
func (c *Controller) targetsKnown(service string, count int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.growth[service]
	if count > seen.count {
		seen.at = now
	}
	seen.count = count
	c.growth[service] = seen
	return now.Sub(seen.at) >= targetsSettleTime
}

// growth is the last known number of targets and when it last rose.
type growth struct {
	count int
	at    time.Time
}

// targetState requires m.mu. It returns the planner's view of a target.
func (c *Controller) targetState(m *managedTarget, view *fleet.View, now time.Time) TargetState {
	models := slices.Clone(m.models)
	if !m.hasReport {
		for _, a := range m.target.Models {
			models = append(models, a.Name)
		}
	}
	if m.move != nil {
		models = slices.DeleteFunc(models, func(name string) bool { return name == m.move.Unload })
	}
	return TargetState{
		TargetID: m.id, Zone: m.target.Zone, Models: models, CachedModels: m.cachedModels,
		AcceptsOrders: m.readyForModelOrder(now) && m.move == nil,
		Draining:      !m.target.Usable() || view.Evacuated[m.target.Zone] || c.isReclaimed(m.target, now),
		QueuedWork:    c.queuedWork(m.id),
	}
}

// availableLoads returns the number of loads from the weight store that may start in a
// zone now. The rate of the store is divided equally among the zones with targets.
func (c *Controller) availableLoads(key zoneService, engine *catalog.Engine, view *fleet.View, now time.Time) int {
	zones := make(map[string]bool)
	for _, t := range view.Targets {
		if t.Service == key.service {
			zones[t.Zone] = true
		}
	}
	zoneCount := float64(max(1, len(zones)))
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.loadBuckets[key]
	if b == nil {
		// The loads of the previous holder are unknown: the bucket starts empty.
		b = &loadBucket{updatedAt: now}
		c.loadBuckets[key] = b
	}
	if engine.LoadsPerSecond <= 0 {
		// No limit, as Plan makes at most one step per target.
		return len(c.targets)
	}
	b.tokens = math.Min(max(1, storeLoadBurst/zoneCount), b.tokens+now.Sub(b.updatedAt).Seconds()*engine.LoadsPerSecond/zoneCount)
	b.updatedAt = now
	return int(b.tokens)
}

// takeLoad takes one load from the bucket when its order is sent, not when it is
// planned: an unload or the wait after a takeover may come in between.
func (c *Controller) takeLoad(key zoneService, engine *catalog.Engine, now time.Time) bool {
	if c.availableLoads(key, engine, c.fleet.View(), now) < 1 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadBuckets[key].tokens--
	return true
}

func (c *Controller) startMove(m *managedTarget, step Step, engine *catalog.Engine, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.move = &move{Step: step, startedAt: now, loadTime: cachedLoadTime}
	if step.FromStore {
		m.move.loadTime = engine.Models[step.Load].LoadTime
	}
	m.changed = true
	c.triggerBroadcast()
	c.log.WithFields(log.Fields{
		"target": m.id, "load": step.Load, "unload": step.Unload, "from_store": step.FromStore, "orders": m.orderCount,
	}).Info("residency: Model move started.")
}

// logMoveEnd requires m.mu.
func (c *Controller) logMoveEnd(m *managedTarget, now time.Time) {
	c.log.WithFields(log.Fields{
		"target": m.id, "load": m.move.Load, "unload": m.move.Unload,
		"held": slices.Contains(m.models, m.move.Load), "after_ms": now.Sub(m.move.startedAt).Milliseconds(),
	}).Info("residency: Model move ended.")
}
