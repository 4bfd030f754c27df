package coldstart

import (
	"maps"
	"time"
)

// Holder keeps the leases of one instance and counts its calls. It is a state
// machine without locks or clock.
//
// Invariant: an ask returns all unspent permits, so between an ask and its
// answer calls start only on targets under an unexpired warm lease.
type Holder struct {
	incarnation uint64
	seq         uint64
	zones       map[string]*zoneLease
	targets     map[string]*held
}

// zoneLease is what the grantor of one availability zone has lent.
type zoneLease struct {
	epoch        uint64
	version      uint64
	warm         map[string]bool
	warmUntil    time.Time
	permitsUntil time.Time
	// asking is the number of the ask under way, 0 without one.
	asking  uint64
	askedAt time.Time
}

// held is what the instance does on one target.
type held struct {
	zone     string
	inFlight int
	// ending holds the times until which calls given up count as running.
	ending  []time.Time
	permits int
	// wanted counts calls started or refused since the last ask.
	wanted int
	// wish is the number last wanted, kept until wishUntil.
	wish      int
	wishUntil time.Time
	completed int
	suspect   bool
	// asked are the counts sent with the ask under way.
	asked Entry
}

// NewHolder returns a holder without leases.
func NewHolder(incarnation uint64) *Holder {
	return &Holder{incarnation: incarnation, zones: make(map[string]*zoneLease), targets: make(map[string]*held)}
}

func (h *Holder) zone(name string) *zoneLease {
	z := h.zones[name]
	if z == nil {
		z = &zoneLease{}
		h.zones[name] = z
	}
	return z
}

func (h *Holder) target(name, zone string) *held {
	t := h.targets[name]
	if t == nil {
		t = &held{zone: zone}
		h.targets[name] = t
	}
	return t
}

// count is the number of calls that may be running at now.
func (t *held) count(now time.Time) int {
	n := 0
	for n < len(t.ending) && !now.Before(t.ending[n]) {
		n++
	}
	t.ending = t.ending[n:]
	return t.inFlight + len(t.ending)
}

// IsWarm reports whether the target needs no permits.
func (h *Holder) IsWarm(target, zone string, now time.Time) bool {
	z := h.zones[zone]
	if z == nil || !z.warm[target] || !now.Before(z.warmUntil) {
		return false
	}
	t := h.targets[target]
	return t == nil || !t.suspect
}

// WarmTargets returns a copy of the zone's last list of warm targets, or nil if
// the holder never had one.
func (h *Holder) WarmTargets(zone string) map[string]bool {
	z := h.zones[zone]
	if z == nil {
		return nil
	}
	return maps.Clone(z.warm)
}

// CanAcquire reports whether a call may start now.
func (h *Holder) CanAcquire(target, zone string, now time.Time) bool {
	if h.IsWarm(target, zone, now) {
		return true
	}
	z, t := h.zones[zone], h.targets[target]
	if z == nil || t == nil || z.asking != 0 || !now.Before(z.permitsUntil) {
		return false
	}
	return t.count(now) < t.permits
}

// Acquire starts a call if the leases allow it and notes the wish if not.
func (h *Holder) Acquire(target, zone string, now time.Time) bool {
	t := h.target(target, zone)
	if !h.CanAcquire(target, zone, now) {
		t.wanted++
		return false
	}
	t.inFlight++
	t.wanted++
	return true
}

// Release ends a call. One that did not complete counts for EndingGrace more.
func (h *Holder) Release(target string, completed bool, now time.Time) {
	t := h.targets[target]
	t.inFlight--
	if completed {
		t.completed++
		return
	}
	t.ending = append(t.ending, now.Add(EndingGrace))
}

// Suspect notes that the target slows or fails like a cold one. It reports
// whether the target was warm until now.
func (h *Holder) Suspect(target, zone string, now time.Time) bool {
	wasWarm := h.IsWarm(target, zone, now)
	h.target(target, zone).suspect = true
	return wasWarm
}

// Find takes a finding of the grantor. It reports whether it was news.
func (h *Holder) Find(f Finding) bool {
	z := h.zones[f.Zone]
	if z == nil || z.epoch != f.Epoch {
		return false
	}
	news := false
	for _, name := range f.Targets {
		news = news || z.warm[name]
		delete(z.warm, name)
	}
	return news
}

// Ask returns all unspent permits of the zone and makes the next ask.
// It replaces an ask under way.
func (h *Holder) Ask(zone string, now time.Time) Ask {
	z := h.zone(zone)
	h.seq++
	z.asking, z.askedAt = h.seq, now
	ask := Ask{Zone: zone, Incarnation: h.incarnation, Seq: h.seq, Epoch: z.epoch, Version: z.version}
	for name, t := range h.targets {
		if t.zone != zone {
			continue
		}
		t.permits = 0
		t.asked = t.entry(name, now)
		// Completions told in a lost ask are not told again.
		t.completed = 0
		if t.asked == (Entry{Target: name}) {
			delete(h.targets, name)
			continue
		}
		ask.Entries = append(ask.Entries, t.asked)
	}
	return ask
}

func (t *held) entry(name string, now time.Time) Entry {
	if t.wanted > 0 {
		t.wish, t.wishUntil = t.wanted, now.Add(wishTTL)
	}
	if !now.Before(t.wishUntil) {
		t.wish = 0
	}
	t.wanted = 0
	count := t.count(now)
	return Entry{
		Target:    name,
		InFlight:  count,
		Want:      min(maxWant, count+t.wish),
		Completed: t.completed,
		Suspect:   t.suspect,
	}
}

const (
	// maxWant bounds the permits asked for.
	maxWant = 1 << 10
	// wishTTL is how long permits are asked for after the last call that wanted
	// one.
	wishTTL = time.Second
)

// Answered adopts the answer to the ask under way. Answers to other asks are
// dropped. It reports whether the list of warm targets changed.
func (h *Holder) Answered(zone string, a Answer) bool {
	z := h.zone(zone)
	if z.asking == 0 || a.Seq != z.asking {
		return false
	}
	z.asking = 0
	z.warmUntil = z.askedAt.Add(WarmTTL)
	z.permitsUntil = z.askedAt.Add(GrantTTL)
	changed := a.Epoch != z.epoch || a.Version != z.version
	if changed {
		z.epoch, z.version = a.Epoch, a.Version
		z.warm = make(map[string]bool, len(a.Warm))
		for _, name := range a.Warm {
			z.warm[name] = true
		}
	}
	for name, t := range h.targets {
		if t.zone == zone {
			t.settle(name)
		}
	}
	for _, g := range a.Grants {
		if t := h.targets[g.Target]; t != nil {
			t.permits = g.Permits
		}
	}
	return changed
}

// settle takes off what the answered ask told.
func (t *held) settle(name string) {
	if t.asked.Target != name {
		return
	}
	t.suspect = t.suspect && !t.asked.Suspect
	t.asked = Entry{}
}

// Failed ends the ask under way without an answer. The permits stay returned.
func (h *Holder) Failed(zone string, seq uint64) {
	z := h.zone(zone)
	if z.asking == seq {
		z.asking = 0
		z.permitsUntil = time.Time{}
	}
}

// InFlight returns the calls that may be running on the target.
func (h *Holder) InFlight(target string, now time.Time) int {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	return t.count(now)
}

// Permits returns the calls that the holder may have in flight on the target
// under unexpired permits.
func (h *Holder) Permits(target string, now time.Time) int {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	z := h.zones[t.zone]
	if z == nil || z.asking != 0 || !now.Before(z.permitsUntil) {
		return 0
	}
	return t.permits
}
