package dispatch

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/zones"
)

// zoneRule replaces crossZoneCost by the rule of package zones.
type zoneRule struct {
	view *zones.View
	// byteCost is the price of 1,024 bytes between zones, in milliseconds.
	byteCost float64
	onLeave  func(zones.Reason)
}

// leave counts a call that is sent to another zone.
func (r *zoneRule) leave(p Pick, now time.Time) {
	if p.LeavesZone == zones.Short {
		r.view.Take(p.Target.Service, p.Target.Zone, p.Cost, now)
	}
	r.onLeave(p.LeavesZone)
}

// UseZones lets calls leave their zone by the rule of package zones. onLeave is called for
// each send to another zone and must not block. It is to be called before the first Pick.
func (d *Dispatcher) UseZones(view *zones.View, byteCostMSPerKB float64, onLeave func(zones.Reason)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones = &zoneRule{view, byteCostMSPerKB, onLeave}
}

// crossing returns the cost of a call to another zone. It requires d.mu.
func (d *Dispatcher) crossing(q *Query) time.Duration {
	if d.zones == nil {
		return crossZoneCost
	}
	return zones.Cost(zones.Bytes(q.BodyBytes, q.Work.OutputTokens, q.Engine.KVTokens), d.zones.byteCost)
}

// pickByZone is Pick after UseZones. It requires d.mu.
func (d *Dispatcher) pickByZone(candidates []Candidate, q Query, idle *Pick) (Pick, bool) {
	var best [zones.Unreachable + 1]Pick
	var options zones.Options
	var p Pick
	for i := range candidates {
		if candidates[i].Target.Zone == q.Zone {
			options.HasCopy = true
			if d.consider(&candidates[i], &q, &p) {
				best[zones.Own].offer(&p)
				idle.offerIdle(&candidates[i], &p)
			}
		}
	}
	options.Own = option(&best[zones.Own])
	if zones.Suffices(options.Own, q.TargetLatency) {
		return best[zones.Own], true
	}
	var known rooms
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Target.Zone == q.Zone || !d.consider(c, &q, &p):
		case c.ZoneUnreachable:
			best[zones.Unreachable].offer(&p)
		default:
			best[zones.Reachable].offer(&p)
			if p.Cost <= known.of(d.zones, &p, q.Now) {
				best[zones.Granted].offer(&p)
			}
		}
	}
	options.Granted, options.Reachable, options.Unreachable = option(&best[zones.Granted]), option(&best[zones.Reachable]), option(&best[zones.Unreachable])
	group, reason := zones.Choose(options, q.TargetLatency)
	best[group].LeavesZone = reason
	return best[group], group != zones.None
}

// rooms holds the room of zones during one decision, so that each is looked up once.
type rooms struct {
	known [cachedRooms]struct {
		zone string
		room time.Duration
	}
	count int
}

// cachedRooms is the number of zones for which a decision looks the room up once. The targets
// of a model are in few zones.
const cachedRooms = 8

// of returns the room for calls of the cost of a pick in its zone. The cost matters only for
// the first call after the zone has granted room.
func (r *rooms) of(rule *zoneRule, p *Pick, now time.Time) time.Duration {
	for i := range r.known[:r.count] {
		if r.known[i].zone == p.Target.Zone {
			return r.known[i].room
		}
	}
	room := rule.view.Room(p.Target.Service, p.Target.Zone, p.Cost, now)
	if r.count < cachedRooms {
		r.known[r.count].zone, r.known[r.count].room = p.Target.Zone, room
		r.count++
	}
	return room
}

// consider scores a candidate. It returns false if the candidate may not get the call. It
// requires d.mu.
func (d *Dispatcher) consider(c *Candidate, q *Query, p *Pick) bool {
	if c.Limited || q.Excluded[c.Target.ID] {
		return false
	}
	s := d.state(c.Target.ID)
	if s.lacks(q) {
		return false
	}
	d.score(c, s, q, p)
	return true
}

// offer replaces a pick by a better one.
func (p *Pick) offer(other *Pick) {
	if p.Target == nil || other.Score < p.Score {
		*p = *other
	}
}

func option(p *Pick) zones.Option {
	return zones.Option{Found: p.Target != nil, Expected: p.Expected, Score: p.Score, Penalty: p.Penalty, Down: p.Down}
}

// Wait returns the predicted time until a target begins a further call of a model, which is
// empty for plain services, and the part of the target that is in use, from 0 to 1.
func (d *Dispatcher) Wait(t *fleet.Target, model string, e Engine, now time.Time) (time.Duration, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(t.ID)
	var p Pick
	d.score(&Candidate{Target: t}, s, &Query{Work: Work{Model: model}, Zone: t.Zone, Engine: e, Now: now}, &p)
	if model != "" {
		busy := 0.0
		if p.Load.Waiting > 0 {
			busy = 1
		}
		if e.Slots > 0 {
			busy = max(busy, float64(p.Load.Running)/float64(e.Slots))
		}
		return p.Expected, busy
	}
	slots := max(1, t.Slots)
	over := max(0, p.Load.Running+1-slots)
	return p.Expected * time.Duration(over) / time.Duration(over+slots), min(1, float64(p.Load.Running)/float64(slots))
}
