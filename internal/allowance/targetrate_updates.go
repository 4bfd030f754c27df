package allowance

import (
	"math"
	"time"
)

// RateChange is a change of what is known about a target's limit.
type RateChange int

// Changes of limits.
const (
	RateUnchanged RateChange = iota
	// RateBegan means that the target names a limit, or another one than before.
	RateBegan
	// RateEnded means that the target no longer names a limit.
	RateEnded
)

// Named records that an answer of the target names a limit, in requests a second.
// inReport is set for answers to reports and orders.
func (r *TargetRates) Named(id string, rate float64, inReport bool, now time.Time) RateChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Peers that have not heard of the limit for long are about to probe it.
	if t := r.targets[id]; t != nil && now.Sub(t.confirmedAt) > probeDelay/2 {
		r.changed = true
	}
	change := r.begin(id, rate, now, now)
	r.targets[id].inReports = r.targets[id].inReports || inReport
	r.changed = r.changed || change != RateUnchanged
	return change
}

// begin requires r.mu. It puts a limit in force that an answer named at the time at.
func (r *TargetRates) begin(id string, rate float64, at, now time.Time) RateChange {
	t := r.targets[id]
	if t != nil && t.endedAt.IsZero() {
		t.confirmedAt = later(t.confirmedAt, at)
		if t.rate == rate {
			return RateUnchanged
		}
		t.rate, t.hasPart = rate, false
		return RateBegan
	}
	if t == nil {
		t = &targetRate{}
		r.targets[id] = t
	}
	*t = targetRate{rate: rate, confirmedAt: at, calls: tokens{refilledAt: now}, control: tokens{refilledAt: now}}
	r.limited.Add(1)
	r.division.update(r.members.Names(), now)
	r.refresh(id, t, now)
	// Parts that are filled in turn spread the first requests of the instances.
	t.calls.level = (float64(t.part.position) + 0.5) / float64(t.part.holders)
	return RateBegan
}

// Unlimited records that an answer to a request sent at the time sentAt names no limit. It
// ends a limit that was known when the request was sent; an answer that was on its way
// before says nothing. Reports and orders end it only if they name limits at all.
func (r *TargetRates) Unlimited(id string, sentAt time.Time, inReport bool, now time.Time) RateChange {
	if r.limited.Load() == 0 {
		return RateUnchanged
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || !t.endedAt.IsZero() || !sentAt.After(t.confirmedAt) || inReport && !t.inReports {
		return RateUnchanged
	}
	r.end(t, now)
	r.changed = true
	return RateEnded
}

// end requires r.mu.
func (r *TargetRates) end(t *targetRate, at time.Time) {
	t.endedAt = at
	r.limited.Add(-1)
}

// RateUpdate tells peers that a target names a limit or no longer does.
type RateUpdate struct {
	TargetID string `msgpack:"t"`
	// PerSecond is the limit in requests a second.
	PerSecond float64 `msgpack:"p"`
	// AgeMS is how long ago an answer last named the limit, or showed its end if Ended is
	// set, in milliseconds.
	AgeMS int64 `msgpack:"a"`
	Ended bool  `msgpack:"e,omitempty"`
}

// Pending reports whether a limit has changed since the last Updates.
func (r *TargetRates) Pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Updates returns the limits for the status of this instance: those in force and the ends
// of others, if one has changed since the last call or full is set.
func (r *TargetRates) Updates(full bool, now time.Time) []RateUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed && !full {
		return nil
	}
	r.changed = false
	var out []RateUpdate
	for id, t := range r.targets {
		switch {
		case t.endedAt.IsZero():
			out = append(out, RateUpdate{TargetID: id, PerSecond: t.rate, AgeMS: now.Sub(t.confirmedAt).Milliseconds()})
		case now.Sub(t.endedAt) < endedRateTTL:
			out = append(out, RateUpdate{TargetID: id, PerSecond: t.rate, AgeMS: now.Sub(t.endedAt).Milliseconds(), Ended: true})
		}
	}
	return out
}

// Apply records the limits that a peer reports, unless this instance knows newer ones.
func (r *TargetRates) Apply(list []RateUpdate, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list {
		if !(u.PerSecond >= 0) || math.IsInf(u.PerSecond, 0) {
			continue
		}
		at := now.Add(-time.Duration(max(0, u.AgeMS)) * time.Millisecond)
		t := r.targets[u.TargetID]
		switch {
		case u.Ended:
			if t != nil && t.endedAt.IsZero() && at.Sub(t.confirmedAt) > rateTransit {
				r.end(t, at)
			}
		case t == nil || !t.endedAt.IsZero() && at.Sub(t.endedAt) > rateTransit || t.endedAt.IsZero() && at.After(t.confirmedAt):
			r.begin(u.TargetID, u.PerSecond, at, now)
		}
	}
}

// unlistedRateTTL is how long the limit of a target is kept that is not listed. A target
// may be listed again once the store has recovered.
const unlistedRateTTL = time.Minute

// Prune drops limits that have ended and those of targets that are no longer listed.
func (r *TargetRates) Prune(listed func(target string) bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.targets {
		ended := !t.endedAt.IsZero()
		dropped := ended && now.Sub(t.endedAt) > endedRateTTL || !listed(id) && now.Sub(t.confirmedAt) > unlistedRateTTL
		if !dropped {
			continue
		}
		if !ended {
			r.limited.Add(-1)
		}
		delete(r.targets, id)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
