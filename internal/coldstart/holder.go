package coldstart

import (
	"maps"
	"time"
)

// Holder keeps the leases of one instance and counts its calls. It is a state
// machine without locks or clock.
//
// Invariant: a request returns all unused permits of a zone, so while it is in
// flight calls start only on targets with an unexpired warm lease.
type Holder struct {
	incarnation uint64
	seq         uint64
	zones       map[string]*zoneLease
	targets     map[string]*heldTarget
}

// zoneLease holds the leases from the grantor of one availability zone.
type zoneLease struct {
	epoch        uint64
	version      uint64
	warm         map[string]bool
	warmUntil    time.Time
	permitsUntil time.Time
	// pendingSeq is the sequence number of the request in flight, or 0.
	pendingSeq uint64
	sentAt     time.Time
}

// heldTarget tracks the instance's calls and permits on one target.
type heldTarget struct {
	zone     string
	inFlight int
	// abandoned lists the times until which abandoned calls count as running.
	abandoned []time.Time
	permits   int
	// attempts counts calls started or refused since the last request.
	attempts int
	// demand is the last nonzero number of attempts, kept until demandUntil.
	demand      int
	demandUntil time.Time
	completed   int
	suspect     bool
	// reported is the usage sent with the request in flight.
	reported TargetUsage
}

// NewHolder returns a holder without leases.
func NewHolder(incarnation uint64) *Holder {
	return &Holder{incarnation: incarnation, zones: make(map[string]*zoneLease), targets: make(map[string]*heldTarget)}
}

func (h *Holder) zone(name string) *zoneLease {
	z := h.zones[name]
	if z == nil {
		z = &zoneLease{}
		h.zones[name] = z
	}
	return z
}

func (h *Holder) target(name, zone string) *heldTarget {
	t := h.targets[name]
	if t == nil {
		t = &heldTarget{zone: zone}
		h.targets[name] = t
	}
	return t
}

// countRunning returns the number of calls that may be running at now and drops
// abandoned calls whose grace has ended.
func (t *heldTarget) countRunning(now time.Time) int {
	n := 0
	for n < len(t.abandoned) && !now.Before(t.abandoned[n]) {
		n++
	}
	t.abandoned = t.abandoned[n:]
	return t.inFlight + len(t.abandoned)
}

// IsWarm reports whether calls on the target need no permits.
func (h *Holder) IsWarm(target, zone string, now time.Time) bool {
	z := h.zones[zone]
	if z == nil || !z.warm[target] || !now.Before(z.warmUntil) {
		return false
	}
	t := h.targets[target]
	return t == nil || !t.suspect
}

// WarmTargets returns a copy of the zone's last list of warm targets, or nil if
// the holder has never received one.
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
	if z == nil || t == nil || z.pendingSeq != 0 || !now.Before(z.permitsUntil) {
		return false
	}
	return t.countRunning(now) < t.permits
}

// Acquire counts a new call if the leases allow it. Refused calls count as demand
// in the next request, as started ones do.
func (h *Holder) Acquire(target, zone string, now time.Time) bool {
	t := h.target(target, zone)
	if !h.CanAcquire(target, zone, now) {
		t.attempts++
		return false
	}
	t.inFlight++
	t.attempts++
	return true
}

// Release ends a call. A call that did not complete counts as running for
// AbandonedCallGrace longer.
func (h *Holder) Release(target string, completed bool, now time.Time) {
	t := h.targets[target]
	t.inFlight--
	if completed {
		t.completed++
		return
	}
	t.abandoned = append(t.abandoned, now.Add(AbandonedCallGrace))
}

// Suspect records that the target is slow or fails, as a cold target does. It
// reports whether the target was warm until now.
func (h *Holder) Suspect(target, zone string, now time.Time) bool {
	wasWarm := h.IsWarm(target, zone, now)
	h.target(target, zone).suspect = true
	return wasWarm
}

// Revoke removes the targets of a grantor's revocation from the warm list. It
// reports whether the list changed.
func (h *Holder) Revoke(r Revocation) bool {
	z := h.zones[r.Zone]
	if z == nil || z.epoch != r.Epoch {
		return false
	}
	changed := false
	for _, name := range r.Targets {
		changed = changed || z.warm[name]
		delete(z.warm, name)
	}
	return changed
}

// NewRequest gives up all unused permits of the zone and returns the next request
// to its grantor. It supersedes a request in flight.
func (h *Holder) NewRequest(zone string, now time.Time) Request {
	z := h.zone(zone)
	h.seq++
	z.pendingSeq, z.sentAt = h.seq, now
	request := Request{Zone: zone, Incarnation: h.incarnation, Seq: h.seq, Epoch: z.epoch, Version: z.version}
	for name, t := range h.targets {
		if t.zone != zone {
			continue
		}
		t.permits = 0
		t.reported = t.usage(name, now)
		// Completions in a request that gets lost are not reported again.
		t.completed = 0
		if t.reported == (TargetUsage{Target: name}) {
			delete(h.targets, name)
			continue
		}
		request.Usage = append(request.Usage, t.reported)
	}
	return request
}

// usage returns the report on the target for the next request and resets the
// attempts.
func (t *heldTarget) usage(name string, now time.Time) TargetUsage {
	if t.attempts > 0 {
		t.demand, t.demandUntil = t.attempts, now.Add(demandTTL)
	}
	if !now.Before(t.demandUntil) {
		t.demand = 0
	}
	t.attempts = 0
	running := t.countRunning(now)
	return TargetUsage{
		Target:    name,
		InFlight:  running,
		Want:      min(maxWant, running+t.demand),
		Completed: t.completed,
		Suspect:   t.suspect,
	}
}

const (
	// maxWant limits the permits requested for a target.
	maxWant = 1 << 10
	// demandTTL is how long the demand of a request is repeated in the requests
	// that follow it without new attempts.
	demandTTL = time.Second
)

// ApplyResponse applies the response to the request in flight and ignores
// responses to other requests. It reports whether the warm list got a new version.
func (h *Holder) ApplyResponse(zone string, response Response) bool {
	z := h.zone(zone)
	if z.pendingSeq == 0 || response.Seq != z.pendingSeq {
		return false
	}
	z.pendingSeq = 0
	z.warmUntil = z.sentAt.Add(WarmTTL)
	z.permitsUntil = z.sentAt.Add(GrantTTL)
	changed := response.Epoch != z.epoch || response.Version != z.version
	if changed {
		z.epoch, z.version = response.Epoch, response.Version
		z.warm = make(map[string]bool, len(response.Warm))
		for _, name := range response.Warm {
			z.warm[name] = true
		}
	}
	for name, t := range h.targets {
		if t.zone == zone {
			t.acknowledge(name)
		}
	}
	for _, g := range response.Grants {
		if t := h.targets[g.Target]; t != nil {
			t.permits = g.Permits
		}
	}
	return changed
}

// acknowledge clears a suspicion that the answered request reported.
func (t *heldTarget) acknowledge(name string) {
	if t.reported.Target != name {
		return
	}
	t.suspect = t.suspect && !t.reported.Suspect
	t.reported = TargetUsage{}
}

// FailRequest ends the request in flight without a response. The permits that it
// returned stay returned.
func (h *Holder) FailRequest(zone string, seq uint64) {
	z := h.zone(zone)
	if z.pendingSeq == seq {
		z.pendingSeq = 0
		z.permitsUntil = time.Time{}
	}
}

// InFlight returns the number of calls that may be running on the target.
func (h *Holder) InFlight(target string, now time.Time) int {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	return t.countRunning(now)
}

// Permits returns the number of calls that the holder may have in flight on the
// target under unexpired permits.
func (h *Holder) Permits(target string, now time.Time) int {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	z := h.zones[t.zone]
	if z == nil || z.pendingSeq != 0 || !now.Before(z.permitsUntil) {
		return 0
	}
	return t.permits
}
