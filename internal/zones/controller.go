package zones

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shortFrom and shortUntil are the waits, as shares of the target latency, from which a
	// zone is short and below which it no longer is. They are low because a zone sends only
	// calls for which its own targets do not suffice: with 0.3 and 0.15, 0.007 more calls were
	// late in the simulation of three zones at a load of 0.5.
	shortFrom  = 0.1
	shortUntil = 0.05
	// fullFrom is the utilization up to which calls of other zones may fill a target. The
	// waits of the zone's own calls grow steeply beyond it.
	fullFrom = 0.9
	// overcommit is by how much the grants of a second exceed the spare time. Only calls that
	// would be late are sent, and the parts of instances without such calls stay unused; what
	// does arrive lowers the next grants within two statuses.
	overcommit = 4
	// busyHalfLife smooths the utilization of a target, which is sampled with each status.
	// It is much shorter than a wave of load of 15 s.
	busyHalfLife = time.Second
	// pressureHalfLife smooths the pressure, so that a few large calls or one slow phase do
	// not make a zone short.
	pressureHalfLife = 300 * time.Millisecond
	// minShort is how long a zone stays short at least. A wave of load of 15 s has one
	// change in each direction; waits of single large calls are shorter than this.
	minShort = time.Second
	// minTTL is how long an announcement is acted on at least: two statuses at rest, which are
	// 300 ms apart. ttlIntervals is the same in status intervals. Directions change only after
	// an announcement has ended: with 1,300 ms, 0.01 to 0.03 more calls were late at a load of 0.8.
	minTTL       = 650 * time.Millisecond
	ttlIntervals = 2.5
	// turnTTLs is the time, in TTLs, between the last grant of a zone to another one and its
	// first call to that one, and back. It exceeds one by the time that a status takes, so that
	// no instance acts on both at once: two zones would send to each other.
	turnTTLs = 1.5
)

// Announcement is what a zone says about a service. A service that is missing is neither
// short nor has room. It is sent in the statuses of the zone's announcer.
type Announcement struct {
	Service string `msgpack:"s"`
	// NeedMS is the smoothed wait in the zone, in milliseconds; 0 if it is not short. Only a
	// zone that is short sends calls to another one, and only to one with a shorter wait.
	NeedMS int `msgpack:"n,omitempty"`
	// NotTo are zones to which it must not send, because their wait is longer or it granted
	// them room lately.
	NotTo []string `msgpack:"x,omitempty"`
	// GrantsMS is the target time that each other zone may use, in milliseconds a second.
	GrantsMS map[string]int `msgpack:"g,omitempty"`
}

// Observation is the state of a service in the own zone.
type Observation struct {
	// TargetLatency is the shortest one of the routes to the service.
	TargetLatency time.Duration
	Targets       []TargetObservation
	// Pressure is the longest wait for any model at its best target in the zone.
	Pressure time.Duration
	// NeedsMS are the needs that other reachable zones announce.
	NeedsMS map[string]int
}

// TargetObservation is the state of one target.
type TargetObservation struct {
	ID string
	// Busy is the part of the target that is in use now, from 0 to 1.
	Busy float64
}

// Controller decides what the own zone announces about its services. Only the announcer of
// the zone uses it; a new announcer begins with Reset.
type Controller struct {
	// TTL is how long announcements are acted on, at least minTTL.
	TTL      time.Duration
	services map[string]*serviceState
	resetAt  time.Time
}

type serviceState struct {
	short   bool
	shortAt time.Time
	// announcedAt is when the zone last announced that it is short. turns holds, for each
	// zone that needed room, when it was last granted and when the own zone was last free to
	// send to it.
	announcedAt time.Time
	turns       map[string]turn
	// busy is the smoothed utilization of each target.
	busy map[string]float64
	// pressure is the smoothed Observation.Pressure.
	pressure   time.Duration
	observedAt time.Time
}

type turn struct{ granted, free time.Time }

// TTL returns how long an announcement is acted on if statuses are this far apart.
func TTL(statusInterval time.Duration) time.Duration {
	return max(minTTL, time.Duration(ttlIntervals*float64(statusInterval)))
}

// turnTime returns the time between grants to a zone and calls to it.
func (c *Controller) turnTime() time.Duration {
	return time.Duration(turnTTLs * float64(max(c.TTL, minTTL)))
}

// Reset forgets everything. Nothing is announced for turnTime, as the former announcer may
// have announced anything.
func (c *Controller) Reset(now time.Time) {
	c.services, c.resetAt = make(map[string]*serviceState), now
}

// Step returns the announcement about a service. It is called again for each status.
func (c *Controller) Step(service string, o Observation, now time.Time) Announcement {
	a := Announcement{Service: service}
	s := c.services[service]
	if s == nil {
		s = &serviceState{busy: make(map[string]float64), turns: make(map[string]turn)}
		c.services[service] = s
	}
	if o.TargetLatency <= 0 || len(o.Targets) == 0 {
		s.short = false
		return a
	}
	s.observe(o, now)
	pressure := float64(s.pressure) / float64(o.TargetLatency)
	switch {
	case !s.short && pressure >= shortFrom:
		s.short, s.shortAt = true, now
	case s.short && pressure < shortUntil && now.Sub(s.shortAt) >= minShort:
		s.short = false
	}
	if now.Sub(c.resetAt) < c.turnTime() {
		return a
	}
	for zone := range o.NeedsMS {
		if _, ok := s.turns[zone]; !ok {
			s.turns[zone] = turn{free: s.announcedAt}
		}
	}
	wait := int(s.pressure / time.Millisecond)
	if s.short {
		a.NeedMS = max(1, wait)
		a.NotTo = s.announceShort(wait, o.NeedsMS, c.turnTime(), now)
	}
	a.GrantsMS = s.grant(wait, o, c.turnTime(), now)
	return a
}

// announceShort records that the zone may send from now on and returns the zones to which
// it may not.
func (s *serviceState) announceShort(wait int, needsMS map[string]int, turnTime time.Duration, now time.Time) (notTo []string) {
	s.announcedAt = now
	for zone, t := range s.turns {
		if wait < needsMS[zone] || now.Sub(t.granted) < turnTime {
			notTo = append(notTo, zone)
			continue
		}
		t.free = now
		s.turns[zone] = t
	}
	return notTo
}

// grant divides the spare target time among the zones whose wait is longer and to which the
// own zone was not free to send lately.
func (s *serviceState) grant(wait int, o Observation, turnTime time.Duration, now time.Time) map[string]int {
	needs := make(map[string]int, len(o.NeedsMS))
	for zone, need := range o.NeedsMS {
		if need > wait && now.Sub(s.turns[zone].free) >= turnTime {
			needs[zone] = need
		}
	}
	grants := divide(s.spareMS(o), needs)
	for zone := range grants {
		t := s.turns[zone]
		t.granted = now
		s.turns[zone] = t
	}
	return grants
}

// observe updates the pressure and the utilization of the targets.
func (s *serviceState) observe(o Observation, now time.Time) {
	elapsed := float64(now.Sub(s.observedAt))
	s.pressure += time.Duration(float64(o.Pressure-s.pressure) * (1 - math.Exp2(-elapsed/float64(pressureHalfLife))))
	weight := 1 - math.Exp2(-elapsed/float64(busyHalfLife))
	before := s.busy
	s.busy, s.observedAt = make(map[string]float64, len(o.Targets)), now
	for _, t := range o.Targets {
		busy, known := before[t.ID]
		if !known {
			// A new target may be cold. It has room once it was seen idle for a while.
			busy = 1
		}
		s.busy[t.ID] = busy + (min(max(t.Busy, 0), 1)-busy)*weight
	}
}

// spareMS returns the target time that is free for other zones, in milliseconds a second.
func (s *serviceState) spareMS(o Observation) int {
	sum := 0.0
	for _, t := range o.Targets {
		sum += max(0, fullFrom-s.busy[t.ID])
	}
	return int(overcommit * 1000 * sum)
}

// divide divides room among the zones that need it, in proportion to their needs. It
// returns nil if there is nothing to divide.
func divide(room int, needs map[string]int) map[string]int {
	total := 0
	for _, n := range needs {
		total += n
	}
	if room <= 0 || total <= 0 {
		return nil
	}
	out := make(map[string]int, len(needs))
	for _, zone := range slices.Sorted(maps.Keys(needs)) {
		if part := int(math.Floor(float64(room) * float64(needs[zone]) / float64(total))); part > 0 {
			out[zone] = part
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
