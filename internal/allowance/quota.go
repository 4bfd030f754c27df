// Package allowance keeps what all instances together may spend: the units of
// client accounts, repeated calls, and calls to targets in cold start. Each
// instance decides alone from its own spending and what peers told; the slack of
// each bound covers the delay of their word.
package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// AccountLimit is the rate and burst of a client account, in units.
type AccountLimit struct {
	Rate  float64
	Burst float64
}

// QuotaBounds widens the limits of accounts: in any window, an account may use
// (Rate x Window + Burst) x (1 + Overshoot) + Slack units.
type QuotaBounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// slackKept is the part of the slack that covers the time between a call and the
// word of it.
const slackKept = 0.75

// widen returns the limit that keeps within the bounds. What one instance may
// spend before it misses the others is kept free; lag is the usual time between two
// words of a peer.
func (b QuotaBounds) widen(l AccountLimit, lag time.Duration) AccountLimit {
	if b.Window <= 0 {
		return l
	}
	unheard := paceDepth*l.Burst + l.Rate*SpendingTimeout(lag).Seconds()
	spare := (1-slackKept)*b.Slack + b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) - unheard
	return AccountLimit{Rate: l.Rate + max(0, spare)/b.Window.Seconds(), Burst: l.Burst}
}

const (
	// minSpendingHeardFor is the least time for which a peer counts as heard where
	// both spend from the same units: two missed keep-alives of 300 ms.
	minSpendingHeardFor = 650 * time.Millisecond
	// lagsHeard is the same in words of a large fleet, and lagsAssumed the time for
	// which a silent peer is taken to go on spending.
	lagsHeard   = 1.25
	lagsAssumed = 2.8
)

// SpendingTimeout returns how long a peer counts as heard where both spend from the
// same units, given the usual time between two words of a peer: each moment of doubt
// is spent twice, but one word that is a little late must not make the peer unheard.
func SpendingTimeout(lag time.Duration) time.Duration {
	return max(minSpendingHeardFor, time.Duration(lagsHeard*float64(lag)))
}

// assumedFor returns how long a silent peer is taken to go on spending: by then it
// counts as cut off, and spends from its own share.
func assumedFor(lag time.Duration) time.Duration {
	return max(minAssumedFor, time.Duration(lagsAssumed*float64(lag)))
}

// bucket is a token bucket that all instances share: spending of peers is
// deducted when it becomes known, so the level may be negative.
type bucket struct {
	limit AccountLimit
	level float64
	at    time.Time
	// pace is the level of the own part.
	pace    float64
	pacedAt time.Time
	// rate is how fast this instance spends, as of ratedAt.
	rate       float64
	ratedAt    time.Time
	ratedSpent float64
	// spent counts all units that this instance spent, toldSpent those that were
	// told to peers.
	spent, toldSpent float64
	// peers holds the newest word of each run of a peer.
	peers map[string]peerSpending
}

// peerSpending is what a peer told last, and how fast it has been spending.
type peerSpending struct {
	units float64
	rate  float64
	at    time.Time
	// silent is set once the peer counts as cut off: it spends from its own share.
	silent bool
}

const (
	// rateWeight is the weight of the newest word in a peer's rate.
	rateWeight = 0.3
	// minAssumedFor is the least time for which a silent peer is taken to go on
	// spending.
	minAssumedFor = 1500 * time.Millisecond
)

// assumed returns what peers have probably spent since their last word.
func (b *bucket) assumed(now time.Time, lasting time.Duration) float64 {
	sum := 0.0
	for run, p := range b.peers {
		if p.silent {
			continue
		}
		if silent := now.Sub(p.at); silent < lasting {
			sum += p.rate * silent.Seconds()
			continue
		}
		b.level -= p.rate * lasting.Seconds()
		p.silent = true
		b.peers[run] = p
	}
	return sum
}

// told takes the newest count of a peer's run and returns what it adds to what
// was known. The first count of a run that was not met before tells of spending
// that lies before this instance's own knowledge.
func (b *bucket) told(run string, metBefore bool, units float64, now time.Time) float64 {
	before, known := b.peers[run]
	if !known && !metBefore {
		b.peers[run] = peerSpending{units: units, at: now}
		return 0
	}
	if !known {
		before.at = now.Add(-wordInterval)
	}
	if before.silent {
		// What it spent meanwhile came from its own share.
		b.peers[run] = peerSpending{units: units, rate: before.rate, at: now}
		return 0
	}
	added := units - before.units
	passed := now.Sub(before.at).Seconds()
	rate := before.rate
	if passed > 0 {
		weight := min(1, rateWeight*max(1, passed/wordInterval.Seconds()))
		rate += weight * (added/passed - rate)
	}
	b.peers[run] = peerSpending{units: units, rate: max(0, rate), at: now}
	return added
}

// wordInterval is the usual time between two words of a busy peer.
const wordInterval = 100 * time.Millisecond

// Quota bounds what client accounts use over all instances. It is safe for
// concurrent use.
type Quota struct {
	bounds  QuotaBounds
	started time.Time
	random  func() float64

	mu       sync.Mutex
	accounts map[string]*bucket
	// runs gives the time of the newest word of each run of a peer.
	runs map[string]time.Time
	// lag is the usual time between two words of a peer.
	lag time.Duration
	// heard is the number of instances that spend from this bucket.
	heard int
	// share is the part of each rate that this instance counts on: 1 while all
	// instances hear one another.
	share float64
}

// NewQuota returns a quota that nothing was spent of.
func NewQuota(b QuotaBounds, now time.Time) *Quota {
	return &Quota{bounds: b, started: now, random: rand.Float64, accounts: make(map[string]*bucket), runs: make(map[string]time.Time), share: 1, heard: 1}
}

// Suspend has nothing spent until the next SetShare: an instance that does not know
// yet how many others there are would take itself for the only one, and after a
// loss of all instances each would spend the whole rate.
func (q *Quota) Suspend() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share = 0
}

// suspendedWait is the time to come back for calls of a suspended quota: an
// instance learns of the others in some ten milliseconds from the store, or at the
// first statuses.
const suspendedWait = 300 * time.Millisecond

// SetShare sets the part of each rate that may be spent by this instance and the
// peers that it hears, above 0 to 1, and their number. The others are taken to spend
// the rest.
// The lag is the usual time between two words of a peer.
func (q *Quota) SetShare(share float64, heard int, lag time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.share == 0 {
		q.started = now
	}
	q.heard, q.lag = max(1, heard), lag
	if share == q.share {
		return
	}
	for _, b := range q.accounts {
		b.refill(now, q.share)
		// Of what is left of the burst, each side of a cut has its own part.
		if share < q.share && b.level > 0 {
			b.level *= share / q.share
		}
	}
	q.share = share
}

// bucket requires q.mu.
func (q *Quota) bucket(account string, limit AccountLimit, now time.Time) *bucket {
	b := q.accounts[account]
	if b == nil {
		// Others, or a run of this instance before, may have spent the burst: it is
		// earned from the start.
		earned := now.Sub(q.started).Seconds() * limit.Rate * q.share
		b = &bucket{limit: limit, level: min(limit.Burst, earned), at: now, peers: make(map[string]peerSpending)}
		q.accounts[account] = b
	}
	if b.limit != limit {
		b.refill(now, q.share)
		b.limit = limit
		b.level = min(b.level, limit.Burst)
	}
	return b
}

func (b *bucket) refill(now time.Time, share float64) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.level+passed*b.limit.Rate*share, b.limit.Burst*share)
		b.at = now
	}
}

// Spend takes units of an account if it has them. If not, it returns the time
// until they are there. A call larger than the burst passes on a full bucket.
func (q *Quota) Spend(account string, limit AccountLimit, units float64, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	limit = q.bounds.widen(limit, q.lag)
	if q.share == 0 {
		return suspendedWait, false
	}
	b := q.bucket(account, limit, now)
	b.refill(now, q.share)
	need := min(units, limit.Burst*q.share)
	left := b.level - b.assumed(now, assumedFor(q.lag))
	rate := max(b.limit.Rate*q.share, 1)
	if left < need {
		return time.Duration((need - left) / rate * float64(time.Second)), false
	}
	if q.heard > 1 {
		if wait := b.paced(need, rate, q.paceFactor(), q.heard, now); wait > 0 {
			return wait, false
		}
		if reserve := min(reserveCalls*need, reserveShare*b.limit.Burst); left < reserve && q.random() > left/reserve {
			return time.Duration(need / rate * float64(time.Second)), false
		}
	}
	b.level -= units
	b.pace -= units
	b.spent += units
	return 0, true
}

const (
	// reserveCalls and reserveShare say when a bucket counts as nearly empty: in
	// calls, and as a part of its burst. Several instances see the same units until
	// they hear of one another, so that each then takes them with a probability
	// that falls with what is left.
	reserveCalls = 3
	reserveShare = 0.3
	// paceFactor is how far the parts of the rate add up to more than the whole
	// while words come every wordInterval, and paceDepth the part of a burst that
	// one instance may take at once.
	paceFactor = 3
	paceDepth  = 0.4
)

// paceFactor returns how far the parts of the rate add up to more than the whole:
// what is beyond it is spent until the next word, so that it shrinks as words get
// rare in a large fleet.
func (q *Quota) paceFactor() float64 {
	return 1 + (paceFactor-1)*min(1, wordInterval.Seconds()/max(q.lag, wordInterval).Seconds())
}

// paced returns the time until this instance may spend by its own part of the
// rate, 0 if it may now. The part follows what it has spent beside its peers, so
// that an account may send all its calls to one instance.
func (b *bucket) paced(need, rate, factor float64, heard int, now time.Time) time.Duration {
	depth := max(need, paceDepth*b.limit.Burst)
	if b.pacedAt.IsZero() {
		b.pace, b.pacedAt = depth, now
	}
	passed := now.Sub(b.pacedAt).Seconds()
	others := 0.0
	for _, p := range b.peers {
		if !p.silent {
			others += p.rate
		}
	}
	own := b.ownRate(now)
	part := factor * rate * (own + rate/float64(heard)) / (own + others + rate)
	if passed > 0 {
		b.pace = min(b.pace+passed*part, depth)
		b.pacedAt = now
	}
	if b.pace >= need {
		return 0
	}
	return time.Duration((need - b.pace) / part * float64(time.Second))
}

// ownRateSpan is the time over which the own rate of spending is taken.
const ownRateSpan = time.Second

// ownRate returns how fast this instance spends, in units a second.
func (b *bucket) ownRate(now time.Time) float64 {
	if passed := now.Sub(b.ratedAt); passed >= ownRateSpan/4 {
		keep := math.Exp2(-2 * passed.Seconds() / ownRateSpan.Seconds())
		b.rate = b.rate*keep + (1-keep)*(b.spent-b.ratedSpent)/passed.Seconds()
		b.ratedAt, b.ratedSpent = now, b.spent
	}
	return b.rate
}

// Refund gives back units of a call that did not run.
func (q *Quota) Refund(account string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		b.level = min(b.level+units, b.limit.Burst*q.share)
		b.pace += units
		b.spent -= units
	}
}

// Spending is the count of units that an instance spent of an account since it
// started.
type Spending struct {
	Account string  `msgpack:"a"`
	Units   float64 `msgpack:"u"`
}

// SpendingUpdate returns the counts of this instance that changed since the last call, or
// all.
func (q *Quota) SpendingUpdate(all bool) []Spending {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Spending
	for name, b := range q.accounts {
		if all && b.spent > 0 || b.spent != b.toldSpent {
			out = append(out, Spending{name, b.spent})
			b.toldSpent = b.spent
		}
	}
	return out
}

// runsKept is how long the word of a silent run is kept.
const runsKept = time.Minute

// Track makes an account known, so that what peers spend of it counts before its
// first call at this instance.
func (q *Quota) Track(account string, limit AccountLimit, now time.Time) {
	if limit.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(account, q.bounds.widen(limit, q.lag), now)
	for run, at := range q.runs {
		if now.Sub(at) > runsKept {
			delete(b.peers, run)
			delete(q.runs, run)
		}
	}
}

// ApplyPeerSpending takes the counts of one run of a peer. What a run had spent before its
// first word is not deducted, unless the run itself is new.
func (q *Quota) ApplyPeerSpending(run string, list []Spending, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, met := q.runs[run]
	q.runs[run] = now
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		if b := q.accounts[s.Account]; b != nil {
			b.level -= b.told(run, met, s.Units, now)
			listed[s.Account] = true
		}
	}
	// What is not listed has not changed.
	for name, b := range q.accounts {
		if p, known := b.peers[run]; known && !listed[name] {
			b.level -= b.told(run, true, p.units, now)
		}
	}
}
