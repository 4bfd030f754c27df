package allowance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// RateBounds limits the requests to a target that names a limit of its request rate: all
// instances together may send it rate x Window x Overshoot + Slack in any Window.
type RateBounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	// minTargetRate is the rate, in requests a second, that a target gets if it names a
	// lower one. Only an answer shows that a limit has ended.
	minTargetRate = 0.45
	// confirmInterval is the time within which each instance with a part sends a request, if
	// it has calls, so that the end of a limit is noticed.
	confirmInterval = 2250 * time.Millisecond
	// unconfirmedDelay is the time without an answer that names the limit, and without a
	// request of this instance, after which a target is preferred for one call. It leaves
	// half of the 3 s, within which an ended limit has to be in full use again, for the
	// token, the answer and the message to the peers.
	unconfirmedDelay = 1500 * time.Millisecond
	// rateWindowMargin widens the window in which requests are counted, because they may
	// arrive later than they are sent.
	rateWindowMargin = 1.1
	// minControlRate and controlShare are the rate of reports and orders, in requests a
	// second and as a share of the target's rate.
	minControlRate = 0.2
	controlShare   = 0.05
	// Urgencies is the number of urgencies that are told apart; 0 goes first.
	Urgencies = 10
	// demandTTL is how long tokens are reserved for an urgency without a call.
	demandTTL = 5 * time.Second
	// probeDelay is how long a limit is not confirmed by an answer before instances without
	// a part send single calls. probeStagger is added for each instance before this one in
	// the order of the target, up to maxProbeStagger; probeInterval is the time between two.
	probeDelay      = 6 * time.Second
	probeStagger    = 2 * time.Second
	maxProbeStagger = 10 * time.Second
	probeInterval   = 4 * time.Second
	// maxProbes is the number of such calls in a window, over all instances.
	maxProbes = 2
	// rateTransit is the assumed longest time between the answer that a peer's update
	// describes and the arrival of the update, beyond the age that it states.
	rateTransit = 300 * time.Millisecond
	// endedRateTTL is how long the end of a limit is repeated to peers.
	endedRateTTL = 3 * time.Second
)

// RateMembers lists the instances that share a target's rate.
type RateMembers interface {
	Self() string
	Names() []string
	// AllKnown reports whether Names is known to be complete.
	AllKnown() bool
}

// TargetRates divides the request rates that targets name among the instances. What one
// instance learns from an answer goes to all, so that a target's rate is kept by those
// too that it has not told. It is safe for concurrent use.
type TargetRates struct {
	bounds  RateBounds
	members RateMembers
	// startedAt is when the instance started. Before that, an earlier run of it may have
	// used its part.
	startedAt time.Time
	// limited is the number of targets with a limit.
	limited atomic.Int32

	mu       sync.Mutex
	division division
	targets  map[string]*targetRate
	// changed is set if a limit has changed since the last Updates.
	changed bool
}

// targetRate is the limit of one target and what this instance has left of its part.
type targetRate struct {
	// rate is the limit in requests a second.
	rate float64
	// confirmedAt is when an answer last named the limit, at any instance. endedAt is when
	// one did not, and zero while the limit is in force.
	confirmedAt, endedAt time.Time
	// inReports is set if reports or answers to orders name the limit too.
	inReports bool

	part           ratePart
	partGeneration uint64
	hasPart        bool

	calls, control tokens
	probedAt       time.Time
	// sentAt is when this instance last took a request.
	sentAt time.Time
	// askedAt is when a call of each urgency last considered the target.
	askedAt [Urgencies]time.Time
	// returnsUntil is when the next refused caller of each urgency should come back.
	returnsUntil [Urgencies]time.Time
}

// ratePart is the part of a rate that one instance has.
type ratePart struct {
	// held is false if the instance has no part. holders is the number of instances that
	// have one, position the number of instances before this one in the order of the target.
	held              bool
	holders, position int
	// perSecond and burst are the rate, in requests a second, and the size of the bucket.
	perSecond, burst float64
}

// tokens is a token bucket.
type tokens struct {
	level      float64
	refilledAt time.Time
}

func (t *tokens) refill(perSecond, burst float64, now time.Time) {
	t.level = min(burst, t.level+perSecond*max(0, now.Sub(t.refilledAt).Seconds()))
	t.refilledAt = now
}

// NewTargetRates returns the rates of an instance that started at the time startedAt. It
// sends no requests to targets with a limit within the first window.
func NewTargetRates(b RateBounds, members RateMembers, startedAt time.Time) *TargetRates {
	r := &TargetRates{bounds: b, members: members, startedAt: startedAt, targets: make(map[string]*targetRate)}
	r.division.span = r.window()
	return r
}

func (r *TargetRates) window() time.Duration {
	return time.Duration(rateWindowMargin * float64(r.bounds.Window))
}

// controlRate and controlBurst return the rate and the burst of reports and orders.
func controlRate(rate float64) float64  { return minControlRate + controlShare*rate }
func controlBurst(rate float64) float64 { return 1 + controlShare*rate }

// most returns the largest number of requests that a bucket allows in a window.
func (r *TargetRates) most(perSecond, burst float64) float64 {
	return math.Floor(burst + perSecond*r.window().Seconds())
}

// minHolders is the number of instances that a rate is divided among at least, if it
// suffices for as many: callers of the others are served elsewhere or not at all.
const minHolders = 3

// divide returns the number of instances that have a part of a rate, and the burst of each.
// A burst above one request lets some be kept for urgent calls.
func (r *TargetRates) divide(rate float64, members int) (holders int, burst float64) {
	allowed := math.Floor(rate*r.bounds.Window.Seconds()*r.bounds.Overshoot+r.bounds.Slack) - r.most(controlRate(rate), controlBurst(rate)) - maxProbes
	effective := max(rate, minTargetRate)
	members = min(members, max(1, int(min(effective*confirmInterval.Seconds(), math.MaxInt32))))
	for _, least := range []float64{2, 1.5, 1} {
		for n := members; n >= min(members, minHolders); n-- {
			burst = least
			if least > 1 {
				burst = max(least, 1+effective/float64(n))
			}
			if float64(n)*r.most(effective/float64(n), burst) <= allowed {
				return n, burst
			}
		}
	}
	return 1, 1
}

// partOf returns the part of this instance by one list of members.
func (r *TargetRates) partOf(target string, rate float64, members []string) ratePart {
	holders, burst := r.divide(rate, max(1, len(members)))
	p := ratePart{holders: holders, position: position(target, r.members.Self(), members), burst: burst}
	p.held = p.position < holders
	p.perSecond = max(rate, minTargetRate) / float64(holders)
	return p
}

// refresh requires r.mu. It updates the part of this instance and refills its buckets.
func (r *TargetRates) refresh(id string, t *targetRate, now time.Time) {
	if !t.hasPart || t.partGeneration != r.division.generation {
		t.part = r.partOf(id, t.rate, r.division.members)
		for _, f := range r.division.former {
			former := r.partOf(id, t.rate, f.members)
			t.part.held = t.part.held && former.held
			t.part.perSecond, t.part.burst = min(t.part.perSecond, former.perSecond), min(t.part.burst, former.burst)
		}
		t.hasPart, t.partGeneration = true, r.division.generation
	}
	t.calls.refill(t.part.perSecond, t.part.burst, now)
	t.control.refill(controlRate(t.rate), controlBurst(t.rate), now)
}

// find requires r.mu. It returns a target with a limit, or nil.
func (r *TargetRates) find(id string, now time.Time) *targetRate {
	t := r.targets[id]
	if t == nil || !t.endedAt.IsZero() {
		return nil
	}
	r.division.update(r.members.Names(), now)
	r.refresh(id, t, now)
	return t
}

// Count returns the number of targets with a limit.
func (r *TargetRates) Count() int { return int(r.limited.Load()) }

// Limited reports whether a target names a limit.
func (r *TargetRates) Limited(id string) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	return t != nil && t.endedAt.IsZero()
}

// Wait returns how long a call of an urgency has to wait for the part of this instance
// of the target's rate: 0 if it may be sent now. Without a part it is the time between
// two requests of an equal part.
func (r *TargetRates) Wait(id string, urgency int, now time.Time) time.Duration {
	if r.limited.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id, now)
	if t == nil {
		return 0
	}
	t.askedAt[urgencyOf(urgency)] = now
	return r.wait(t, urgencyOf(urgency), now)
}

// wait requires r.mu.
func (r *TargetRates) wait(t *targetRate, urgency int, now time.Time) time.Duration {
	if left := r.window() - now.Sub(r.startedAt); left > 0 {
		return left
	}
	if !r.members.AllKnown() || !t.part.held {
		if t.probeDue(now) {
			return 0
		}
		return secondsOf(float64(max(1, len(r.division.members))) / max(t.rate, minTargetRate))
	}
	if lacks := t.threshold(urgency, now) - t.calls.level; lacks > rateEpsilon {
		return max(time.Millisecond, secondsOf(lacks/t.part.perSecond))
	}
	return 0
}

// rateEpsilon is the rounding error of a bucket.
const rateEpsilon = 1e-9

// probeDue reports whether an instance without a part may send one call: no answer has
// confirmed the limit for a while, so that it may have ended unseen.
func (t *targetRate) probeDue(now time.Time) bool {
	delay := probeDelay + min(time.Duration(t.part.position)*probeStagger, maxProbeStagger)
	return now.Sub(t.confirmedAt) >= delay && now.Sub(t.probedAt) >= probeInterval
}

// minReserve is the number of tokens that are kept for more urgent calls, if the bucket holds
// as many. Of a larger bucket half is kept.
const minReserve = 2

// threshold returns the level that the bucket must have for a call of an urgency. A part of
// the bucket is kept for more urgent calls while there are any.
func (t *targetRate) threshold(urgency int, now time.Time) float64 {
	more, others := 0, 0
	for u, at := range t.askedAt {
		if u == urgency || at.IsZero() || now.Sub(at) > demandTTL {
			continue
		}
		others++
		if u < urgency {
			more++
		}
	}
	if more == 0 {
		return 1
	}
	reserve := min(t.part.burst-1, max(minReserve, (t.part.burst-1)/2))
	return 1 + reserve*float64(more)/float64(others)
}

// Unconfirmed reports whether the limit of a target has not been confirmed for a while, so
// that it may have ended: only an answer shows it, and a target that others are preferred to
// gives none. The next call for which Wait is 0 should go there.
func (r *TargetRates) Unconfirmed(id string, now time.Time) bool {
	if r.limited.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	return t != nil && t.endedAt.IsZero() && now.Sub(later(t.confirmedAt, t.sentAt)) >= unconfirmedDelay
}

// Take takes one request from the part of this instance, and reports whether it could.
func (r *TargetRates) Take(id string, urgency int, now time.Time) bool {
	if r.limited.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id, now)
	if t == nil {
		return true
	}
	if r.wait(t, urgencyOf(urgency), now) > 0 {
		return false
	}
	t.sentAt = now
	if !t.part.held {
		t.probedAt = now
		// A part that the instance gets next does not come on top.
		t.calls.level = 0
		return true
	}
	t.calls.level--
	return true
}

// Return gives back a request that was taken and not sent.
func (r *TargetRates) Return(id string, now time.Time) {
	if r.limited.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.find(id, now); t != nil {
		t.calls.level = min(t.part.burst, t.calls.level+1)
	}
}

// TakeControl takes one report or order to the target, and reports whether it could. Only
// the holder of the placement lease sends any.
func (r *TargetRates) TakeControl(id string, now time.Time) bool {
	if r.limited.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id, now)
	if t == nil {
		return true
	}
	if now.Sub(r.startedAt) < r.window() || t.control.level < 1 {
		return false
	}
	t.control.level--
	return true
}

// ReturnAfter returns when a caller should come back that was refused because of the
// target's rate: once this instance earns a request for it, after those of the same or a
// higher urgency that were refused before it.
func (r *TargetRates) ReturnAfter(id string, urgency int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.find(id, now)
	if t == nil {
		return 0
	}
	urgency = urgencyOf(urgency)
	wait := r.wait(t, urgency, now)
	for u := range urgency + 1 {
		wait = max(wait, t.returnsUntil[u].Sub(now))
	}
	wait = min(wait, maxReturnDelay)
	t.returnsUntil[urgency] = now.Add(wait + secondsOf(1/t.part.perSecond))
	return wait
}

func urgencyOf(urgency int) int { return min(max(0, urgency), Urgencies-1) }

// maxRateSeconds keeps numbers of seconds within a time.Duration.
const maxRateSeconds = 1e6

func secondsOf(s float64) time.Duration {
	return time.Duration(min(s, maxRateSeconds) * float64(time.Second))
}
