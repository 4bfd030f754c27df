package zones

import (
	"slices"
	"sync"
	"time"
)

// View is what an instance has heard from the announcers of all zones, and its part of the
// grants for its own zone. It is safe for concurrent use.
type View struct {
	self string

	mu sync.RWMutex
	// heard holds the last announcements of the announcers of each zone.
	heard map[string][]heard
	// instances is the number of reachable instances of the own zone, rank the place of
	// this one among them.
	instances, rank int
	// ttl is how long announcements count.
	ttl     time.Duration
	buckets map[pair]*bucket
}

type heard struct {
	instance  string
	byService map[string]Announcement
	at        time.Time
}

// pair is a service and the zone that grants room for it.
type pair struct{ service, zone string }

// bucket holds the target time that this instance may still use. Instances begin at evenly
// spread levels, so that together they use the grant at an even rate from the start.
type bucket struct {
	level time.Duration
	at    time.Time
	// largest is the highest cost of a call so far. The level may reach it however small the
	// share, so that such calls are sent once their cost was earned.
	largest time.Duration
}

// NewView returns the view of an instance of the zone self.
func NewView(self string) *View {
	return &View{self: self, heard: make(map[string][]heard), instances: 1, ttl: minTTL, buckets: make(map[pair]*bucket)}
}

// SetInstances sets the number of reachable instances of the own zone and the rank of this
// one among them, from 0, and how long an announcement counts, at least minTTL.
func (v *View) SetInstances(instances, rank int, ttl time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.instances, v.rank, v.ttl = max(1, instances), rank, max(ttl, minTTL)
}

// Apply records the announcements of an instance, those of this one too. Announcements that
// are missing in a later list have ended.
func (v *View) Apply(zone, instance string, list []Announcement, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	others := slices.DeleteFunc(v.heard[zone], func(h heard) bool { return h.instance == instance || now.Sub(h.at) >= v.ttl })
	if len(list) > 0 {
		h := heard{instance: instance, byService: make(map[string]Announcement, len(list)), at: now}
		for _, a := range list {
			h.byService[a.Service] = a
		}
		others = append(others, h)
	}
	v.heard[zone] = others
}

// need returns what a zone needs of a service. If two instances announce for the zone, as
// while it is partitioned, nothing counts that both do not say. It requires v.mu.
func (v *View) need(zone, service string, now time.Time) int {
	need, found := 0, false
	list := v.heard[zone]
	for i := range list {
		if now.Sub(list[i].at) >= v.ttl {
			continue
		}
		if n := list[i].byService[service].NeedMS; !found || n < need {
			need, found = n, true
		}
	}
	return need
}

// granted is need for what a zone grants to the own one. It requires v.mu.
func (v *View) granted(zone, service string, now time.Time) int {
	granted, found := 0, false
	list := v.heard[zone]
	for i := range list {
		if now.Sub(list[i].at) >= v.ttl {
			continue
		}
		if n := list[i].byService[service].GrantsMS[v.self]; !found || n < granted {
			granted, found = n, true
		}
	}
	return granted
}

// Needs returns the needs that other zones announce for a service.
func (v *View) Needs(service string, now time.Time) map[string]int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make(map[string]int)
	for zone := range v.heard {
		if need := v.need(zone, service, now); zone != v.self && need > 0 {
			out[zone] = need
		}
	}
	return out
}

// Room returns the target time that this instance may use at a zone now for calls of a
// service, and -1 if it may send none: the own zone is not short, it is not free to send to
// that zone, or nothing is granted. cost is that of a call, which sets the level of the first
// room after a time without.
func (v *View) Room(service, zone string, cost time.Duration, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.maySend(service, zone, now) {
		return -1
	}
	if b := v.fill(service, zone, cost, now); b != nil {
		return b.level
	}
	return -1
}

// maySend reports whether the own zone is short of a service and free to send to a zone. It
// requires v.mu.
func (v *View) maySend(service, zone string, now time.Time) bool {
	found := false
	list := v.heard[v.self]
	for i := range list {
		if now.Sub(list[i].at) >= v.ttl {
			continue
		}
		a := list[i].byService[service]
		if a.NeedMS <= 0 || slices.Contains(a.NotTo, zone) {
			return false
		}
		found = true
	}
	return found
}

// Take counts a call against the room of a zone.
func (v *View) Take(service, zone string, cost time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if b := v.fill(service, zone, cost, now); b != nil {
		b.level -= cost
	}
}

// fill returns the bucket for the room of a zone, nil if it grants none. It requires v.mu.
func (v *View) fill(service, zone string, cost time.Duration, now time.Time) *bucket {
	grantMS := v.granted(zone, service, now)
	if grantMS <= 0 {
		return nil
	}
	share := float64(grantMS) / float64(v.instances)
	b := v.buckets[pair{service, zone}]
	if b == nil {
		b = &bucket{}
		v.buckets[pair{service, zone}] = b
	}
	if now.Sub(b.at) >= v.ttl {
		*b = bucket{level: cost * time.Duration(v.rank+1) / time.Duration(v.instances), at: now}
	}
	earned := time.Duration(share * float64(now.Sub(b.at)) / 1000)
	b.largest = max(b.largest, cost)
	b.level, b.at = min(b.level+earned, max(b.largest, time.Duration(share)*time.Millisecond)), now
	return b
}
