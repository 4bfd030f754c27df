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

// planZone makes moves for the targets of one service in one zone.
func (k *Controller) planZone(zone, service string, engine *catalog.Engine, view *fleet.View, list []*managed, now time.Time) {
	key := zoneService{zone, service}
	s := Situation{Engine: engine, Coming: make(map[string]int), StoreLoads: k.loadsLeft(key, engine, view, now)}
	s.Demand, s.Wanted = k.demand.Rates(service, now)
	s.Settled = k.settled(service, len(view.ByService[service]), now)
	k.lookElsewhere(&s, zone, service, view, now)
	byID := make(map[string]*managed, len(list))
	for _, m := range list {
		byID[m.id] = m
		m.mu.Lock()
		if m.finished(now) {
			k.logMove(m, now)
			m.move, m.changed = nil, true
		}
		slot := k.slot(m, view, now)
		slot.Free = slot.Free && k.mayOrder(m)
		s.Slots = append(s.Slots, slot)
		if m.move != nil && !slices.Contains(m.models, m.move.Load) {
			s.Coming[m.move.Load]++
			if m.move.FromStore && m.move.loadFrom.IsZero() {
				s.StoreLoads--
			}
		}
		m.mu.Unlock()
	}
	k.logDemand(key, s, now)
	for _, step := range Plan(s) {
		k.begin(byID[step.TargetID], step, engine, now)
	}
}

// demandLogEvery is the time between log lines on the demand of a zone.
const demandLogEvery = 2 * time.Second

// logDemand logs what the planner of a zone decides on.
func (k *Controller) logDemand(key zoneService, s Situation, now time.Time) {
	k.mu.Lock()
	due := now.Sub(k.loggedAt[key]) >= demandLogEvery
	if due {
		k.loggedAt[key] = now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	copies := newPlanning(s).copies
	free := 0
	for _, slot := range s.Slots {
		if slot.Free && !slot.Leaving {
			free++
		}
	}
	fields := log.Fields{"zone": key.zone, "store_loads": s.StoreLoads, "targets": len(s.Slots), "free": free}
	for model, work := range s.Demand {
		if work >= minLoad {
			fields[model] = fmt.Sprintf("%.2f/%d", work, copies[model])
		}
	}
	k.log.WithFields(fields).Info("residency: Demand in engines by copies.")
}

// lookElsewhere adds the copies in other zones that are not cut off.
func (k *Controller) lookElsewhere(s *Situation, zone, service string, view *fleet.View, now time.Time) {
	heard := k.zonesHeard()
	s.Elsewhere, s.HeldElsewhere = make(map[string]int), make(map[string]int)
	holders := make(map[string][]string)
	zones := map[string]bool{zone: true}
	for _, t := range view.ByService[service] {
		if t.Zone != zone && !heard[t.Zone] {
			continue
		}
		zones[t.Zone] = true
		for _, model := range k.view.Models(t) {
			holds := t.Holds(model)
			if holds {
				holders[model] = append(holders[model], t.Zone)
			}
			if t.Zone == zone {
				continue
			}
			s.Elsewhere[model]++
			if holds {
				s.HeldElsewhere[model]++
			}
		}
	}
	s.MayDrop = func(model string) bool { return firstZone(model, holders[model]) != zone }
	all := slices.Sorted(maps.Keys(zones))
	s.Restore = func(model string) bool { return k.restores(zoneModel{zone, service, model}, all, now) }
}

// firstZone returns the zone that keeps its copy of a model: all zones that see
// the same copies agree on it.
func firstZone(model string, zones []string) string {
	best, most := "", uint64(0)
	for _, zone := range zones {
		if r := xxhash.Sum64String(model + "\x00" + zone); best == "" || r > most {
			best, most = zone, r
		}
	}
	return best
}

// restoreDelay is the time that each further zone waits before it restores a
// model that has no copy: the first may be unable to.
const restoreDelay = 1500 * time.Millisecond

// restores reports whether a model without a copy is placed in the zone now.
func (k *Controller) restores(key zoneModel, zones []string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.missing[key]
	if now.Sub(seen.last) > restoreDelay {
		seen.since = now
	}
	seen.last = now
	k.missing[key] = seen
	order := slices.Clone(zones)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key.model+"\x00"+b), xxhash.Sum64String(key.model+"\x00"+a))
	})
	return now.Sub(seen.since) >= time.Duration(slices.Index(order, key.zone))*restoreDelay
}

// zoneService, zoneModel and absence are keys and values of what a keeper notes.
type (
	zoneService struct{ zone, service string }
	zoneModel   struct{ zone, service, model string }
	absence     struct{ since, last time.Time }
)

// settleTime is how long the list of targets must not have grown before models
// without a copy are restored for their own sake: targets announce themselves one
// after the other.
const settleTime = 2500 * time.Millisecond

// settled reports whether the targets are known well enough to tell that a model
// has no copy.
func (k *Controller) settled(service string, count int, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.grown[service]
	if count > seen.count {
		seen.at = now
	}
	seen.count = count
	k.grown[service] = seen
	return now.Sub(seen.at) >= settleTime
}

// growth is when the list of targets last grew.
type growth struct {
	count int
	at    time.Time
}

// slot requires m.mu.
func (k *Controller) slot(m *managed, view *fleet.View, now time.Time) Slot {
	held := slices.Clone(m.models)
	if !m.known {
		for _, a := range m.target.Models {
			held = append(held, a.Name)
		}
	}
	if m.move != nil {
		held = slices.DeleteFunc(held, func(name string) bool { return name == m.move.Unload })
	}
	return Slot{
		TargetID: m.id, Zone: m.target.Zone, Held: held, AtHand: m.atHand,
		Free:    m.fresh(now) && m.move == nil,
		Leaving: !m.target.Usable() || view.Evacuated[m.target.Zone],
		Work:    k.work(m.id),
	}
}

// loadsLeft returns the number of loads from the weight store that may begin in a
// zone. The rate of the store is divided among the zones that have targets.
func (k *Controller) loadsLeft(key zoneService, engine *catalog.Engine, view *fleet.View, now time.Time) int {
	zones := make(map[string]bool)
	for _, t := range view.Targets {
		if t.Service == key.service {
			zones[t.Zone] = true
		}
	}
	parts := float64(max(1, len(zones)))
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.loads[key]
	if b == nil {
		// Loads of the holder before are not known: the first one waits.
		b = &loadBudget{at: now}
		k.loads[key] = b
	}
	if engine.LoadsPerSecond <= 0 {
		return len(k.targets)
	}
	b.left = math.Min(max(1, storeLoadBurst/parts), b.left+now.Sub(b.at).Seconds()*engine.LoadsPerSecond/parts)
	b.at = now
	return int(b.left)
}

// takeLoad takes one load from the budget at the time of its order: between the
// plan and the order there may be an unload, or the wait after a takeover.
func (k *Controller) takeLoad(key zoneService, engine *catalog.Engine, now time.Time) bool {
	if k.loadsLeft(key, engine, k.fleet.View(), now) < 1 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loads[key].left--
	return true
}

func (k *Controller) begin(m *managed, step Step, engine *catalog.Engine, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.move = &move{Step: step, startedAt: now, eta: fastLoad}
	if step.FromStore {
		m.move.eta = engine.Models[step.Load].LoadTime
	}
	m.changed = true
	k.poke()
	k.log.WithFields(log.Fields{
		"target": m.id, "load": step.Load, "unload": step.Unload, "from_store": step.FromStore, "orders": m.orders,
	}).Info("residency: Move begins.")
}

// logMove requires m.mu.
func (k *Controller) logMove(m *managed, now time.Time) {
	k.log.WithFields(log.Fields{
		"target": m.id, "load": m.move.Load, "unload": m.move.Unload,
		"held": slices.Contains(m.models, m.move.Load), "after_ms": now.Sub(m.move.startedAt).Milliseconds(),
	}).Info("residency: Move ended.")
}
