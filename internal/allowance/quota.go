// Package allowance enforces the limits that all instances share: the units of
// client accounts, retries, and calls to targets in cold start. Each instance
// decides locally: on units from its own spending and the updates of its peers,
// on the others by its share of the bound. The slack of the bound on units covers
// the delay of these updates.
package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// AccountLimit is the rate, in units a second, and the burst, in units, of a client
// account.
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

// propagationSlack is the fraction of the slack that is reserved for spending that
// peers don't know of yet, between a call and the update that reports it.
const propagationSlack = 0.75

// widen adds the overshoot and the unreserved part of the slack to the rate, less
// what one instance can spend before it notices that its peers are unreachable.
// updateInterval is the usual time between two updates of a peer.
func (b QuotaBounds) widen(l AccountLimit, updateInterval time.Duration) AccountLimit {
	if b.Window <= 0 {
		return l
	}
	undetected := paceBurstFraction*l.Burst + l.Rate*SpendingTimeout(updateInterval).Seconds()
	spare := (1-propagationSlack)*b.Slack + b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) - undetected
	return AccountLimit{Rate: l.Rate + max(0, spare)/b.Window.Seconds(), Burst: l.Burst}
}

const (
	// minSpendingTimeout is the lower bound of SpendingTimeout: two missed heartbeats
	// of 300 ms.
	minSpendingTimeout = 650 * time.Millisecond
	// spendingTimeoutIntervals and assumedSpendingIntervals are SpendingTimeout and
	// assumedSpendingPeriod in update intervals, which apply in a large fleet.
	spendingTimeoutIntervals = 1.25
	assumedSpendingIntervals = 2.8
)

// SpendingTimeout returns how long after its last update a peer counts as reachable
// for shared spending, given the usual time between two updates of a peer. Until
// the timeout, both sides of a partition spend the same units, so it is short, but
// longer than an interval, so that one delayed update doesn't make the peer
// unreachable.
func SpendingTimeout(updateInterval time.Duration) time.Duration {
	return max(minSpendingTimeout, time.Duration(spendingTimeoutIntervals*float64(updateInterval)))
}

// assumedSpendingPeriod returns how long a peer that sends no updates is assumed to
// go on spending from the shared units. After that it is assumed to spend from its
// own share. The period is longer than SpendingTimeout.
func assumedSpendingPeriod(updateInterval time.Duration) time.Duration {
	return max(minAssumedSpendingPeriod, time.Duration(assumedSpendingIntervals*float64(updateInterval)))
}

// bucket is a token bucket that all instances share. What peers spend is deducted
// when their updates arrive, so the level may be negative.
type bucket struct {
	limit      AccountLimit
	level      float64
	refilledAt time.Time
	// paceLevel is the level of a second token bucket, which limits how fast this
	// instance spends.
	paceLevel      float64
	paceRefilledAt time.Time
	// spendRate is how fast this instance spends, in units a second, as of
	// rateUpdatedAt, when spent was spentAtRateUpdate.
	spendRate         float64
	rateUpdatedAt     time.Time
	spentAtRateUpdate float64
	// spent is the total of units that this instance spent; reportedSpent is the
	// total last reported to peers.
	spent, reportedSpent float64
	// peers holds the last update of each run of a peer. A run is one process lifetime
	// of an instance; its totals start at 0.
	peers map[string]peerSpending
}

// peerSpending is the total that a peer reported last, and how fast it spends.
type peerSpending struct {
	units     float64
	rate      float64
	updatedAt time.Time
	// spendsOwnShare is set once no update has arrived for the assumed spending period:
	// the peer is then assumed to spend from its own share.
	spendsOwnShare bool
}

const (
	// peerRateWeight is the weight of the newest update in the EWMA of a peer's rate.
	// It rises with the time since the update before, above busyUpdateInterval.
	peerRateWeight = 0.3
	// minAssumedSpendingPeriod is the lower bound of assumedSpendingPeriod.
	minAssumedSpendingPeriod = 1500 * time.Millisecond
)

// assumedSpending returns what peers have probably spent since their last updates.
// If a peer sent none for the period, its assumed spending is deducted from the
// level once and the peer is then assumed to spend from its own share.
func (b *bucket) assumedSpending(now time.Time, period time.Duration) float64 {
	sum := 0.0
	for run, p := range b.peers {
		if p.spendsOwnShare {
			continue
		}
		if sinceUpdate := now.Sub(p.updatedAt); sinceUpdate < period {
			sum += p.rate * sinceUpdate.Seconds()
			continue
		}
		b.level -= p.rate * period.Seconds()
		p.spendsOwnShare = true
		b.peers[run] = p
	}
	return sum
}

// applyPeerTotal stores the newest total of a peer's run and returns the increase
// over the one known before. The first total of an unknown run includes spending
// from before this instance knew the run, so its increase is 0.
func (b *bucket) applyPeerTotal(run string, runKnown bool, units float64, now time.Time) float64 {
	previous, known := b.peers[run]
	if !known && !runKnown {
		b.peers[run] = peerSpending{units: units, updatedAt: now}
		return 0
	}
	if !known {
		// When the run began to use this account is unknown: assume one interval ago.
		previous.updatedAt = now.Add(-busyUpdateInterval)
	}
	if previous.spendsOwnShare {
		// What it spent since its last update was deducted by assumption or came from its
		// own share.
		b.peers[run] = peerSpending{units: units, rate: previous.rate, updatedAt: now}
		return 0
	}
	increase := units - previous.units
	elapsed := now.Sub(previous.updatedAt).Seconds()
	rate := previous.rate
	if elapsed > 0 {
		weight := min(1, peerRateWeight*max(1, elapsed/busyUpdateInterval.Seconds()))
		rate += weight * (increase/elapsed - rate)
	}
	b.peers[run] = peerSpending{units: units, rate: max(0, rate), updatedAt: now}
	return increase
}

// busyUpdateInterval is the usual time between two updates of a busy peer in a
// small fleet.
const busyUpdateInterval = 100 * time.Millisecond

// Quota limits what client accounts use over all instances. It is safe for
// concurrent use.
type Quota struct {
	bounds QuotaBounds
	// started is when the quota was created or its last suspension ended: new buckets
	// fill from then on.
	started time.Time
	random  func() float64

	mu       sync.Mutex
	accounts map[string]*bucket
	// runUpdatedAt holds the time of the last update of each run of a peer.
	runUpdatedAt map[string]time.Time
	// updateInterval is the usual time between two updates of a peer.
	updateInterval time.Duration
	// reachable is the number of instances that share the buckets, self included.
	reachable int
	// share is the fraction of each rate that these instances may spend: 1 while
	// all instances are reachable, 0 while suspended.
	share float64
}

// NewQuota returns a quota whose buckets are empty at now and fill from then on.
func NewQuota(b QuotaBounds, now time.Time) *Quota {
	return &Quota{bounds: b, started: now, random: rand.Float64, accounts: make(map[string]*bucket), runUpdatedAt: make(map[string]time.Time), share: 1, reachable: 1}
}

// Suspend refuses all spending until the next SetShare. An instance that doesn't
// know yet how many others there are would assume that it is the only one: after
// a restart of all instances, each would spend the whole rate.
func (q *Quota) Suspend() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share = 0
}

// suspendedRetryAfter is the retry delay of calls while the quota is suspended. An
// instance learns of the others in some ten milliseconds from the store, or from
// the first status messages of its peers.
const suspendedRetryAfter = 300 * time.Millisecond

// SetShare sets the fraction of each rate, above 0 and at most 1, that this instance
// and its reachable peers may spend, and their number. The unreachable instances
// are assumed to spend the rest. updateInterval is the usual time between two
// updates of a peer.
func (q *Quota) SetShare(share float64, reachable int, updateInterval time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.share == 0 {
		q.started = now
	}
	q.reachable, q.updateInterval = max(1, reachable), updateInterval
	if share == q.share {
		return
	}
	for _, b := range q.accounts {
		b.refill(now, q.share)
		// Each side of a partition keeps its own share of what is left of the burst.
		if share < q.share && b.level > 0 {
			b.level *= share / q.share
		}
	}
	q.share = share
}

// bucket returns the bucket of an account. It requires q.mu.
func (q *Quota) bucket(account string, limit AccountLimit, now time.Time) *bucket {
	b := q.accounts[account]
	if b == nil {
		// Peers, or an earlier run of this instance, may have spent the burst already:
		// only what was earned since q.started is available.
		earned := now.Sub(q.started).Seconds() * limit.Rate * q.share
		b = &bucket{limit: limit, level: min(limit.Burst, earned), refilledAt: now, peers: make(map[string]peerSpending)}
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
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*b.limit.Rate*share, b.limit.Burst*share)
		b.refilledAt = now
	}
}

// Spend takes units of an account if the bucket holds them and the instance's pace
// and the reserve admit the call. If not, it returns the retry delay. A call
// larger than the burst is admitted on a full bucket.
func (q *Quota) Spend(account string, limit AccountLimit, units float64, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	limit = q.bounds.widen(limit, q.updateInterval)
	if q.share == 0 {
		return suspendedRetryAfter, false
	}
	b := q.bucket(account, limit, now)
	b.refill(now, q.share)
	need := min(units, limit.Burst*q.share)
	left := b.level - b.assumedSpending(now, assumedSpendingPeriod(q.updateInterval))
	rate := max(b.limit.Rate*q.share, 1)
	if left < need {
		return time.Duration((need - left) / rate * float64(time.Second)), false
	}
	if q.reachable > 1 {
		if wait := b.paceWait(need, rate, q.paceFactor(), q.reachable, now); wait > 0 {
			return wait, false
		}
		if reserve := min(reserveCalls*need, reserveBurstFraction*b.limit.Burst); left < reserve && q.random() > left/reserve {
			return time.Duration(need / rate * float64(time.Second)), false
		}
	}
	b.level -= units
	b.paceLevel -= units
	b.spent += units
	return 0, true
}

const (
	// reserveCalls and reserveBurstFraction define when a bucket counts as nearly
	// empty: below this number of calls or fraction of its burst, whichever is less.
	// Several instances see the same units until they receive one another's
	// updates, so each then admits a call with a probability that falls with the
	// units left.
	reserveCalls         = 3
	reserveBurstFraction = 0.3
	// maxPaceFactor is paceFactor while updates arrive every busyUpdateInterval.
	// paceBurstFraction is the fraction of a burst that one instance may spend at
	// once.
	maxPaceFactor     = 3
	paceBurstFraction = 0.4
)

// paceFactor returns the sum of the paces of all instances as a multiple of the
// rate. What exceeds the rate can be overspent until the next update, so the
// factor falls towards 1 as updates get rarer in a large fleet.
func (q *Quota) paceFactor() float64 {
	return 1 + (maxPaceFactor-1)*min(1, busyUpdateInterval.Seconds()/max(q.updateInterval, busyUpdateInterval).Seconds())
}

// paceWait returns the time until this instance's pace admits a call, 0 if it does
// now. The pace follows what the instance spends relative to its peers, so that an
// account may send all its calls to one instance.
func (b *bucket) paceWait(need, rate, factor float64, reachable int, now time.Time) time.Duration {
	capacity := max(need, paceBurstFraction*b.limit.Burst)
	if b.paceRefilledAt.IsZero() {
		b.paceLevel, b.paceRefilledAt = capacity, now
	}
	elapsed := now.Sub(b.paceRefilledAt).Seconds()
	peerRate := 0.0
	for _, p := range b.peers {
		if !p.spendsOwnShare {
			peerRate += p.rate
		}
	}
	own := b.ownRate(now)
	paceRate := factor * rate * (own + rate/float64(reachable)) / (own + peerRate + rate)
	if elapsed > 0 {
		b.paceLevel = min(b.paceLevel+elapsed*paceRate, capacity)
		b.paceRefilledAt = now
	}
	if b.paceLevel >= need {
		return 0
	}
	return time.Duration((need - b.paceLevel) / paceRate * float64(time.Second))
}

// ownRateWindow is the averaging window of the instance's own spending rate, an
// EWMA with a half-life of half the window.
const ownRateWindow = time.Second

// ownRate returns how fast this instance spends, in units a second.
func (b *bucket) ownRate(now time.Time) float64 {
	if elapsed := now.Sub(b.rateUpdatedAt); elapsed >= ownRateWindow/4 {
		decay := math.Exp2(-2 * elapsed.Seconds() / ownRateWindow.Seconds())
		b.spendRate = b.spendRate*decay + (1-decay)*(b.spent-b.spentAtRateUpdate)/elapsed.Seconds()
		b.rateUpdatedAt, b.spentAtRateUpdate = now, b.spent
	}
	return b.spendRate
}

// Refund gives back the units of a call that did not run.
func (q *Quota) Refund(account string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		b.level = min(b.level+units, b.limit.Burst*q.share)
		b.paceLevel += units
		b.spent -= units
	}
}

// Spending is the total of units of an account that an instance spent since it
// started.
type Spending struct {
	Account string  `msgpack:"a"`
	Units   float64 `msgpack:"u"`
}

// SpendingUpdate returns the totals of this instance that changed since the last
// call. If all is set, it returns the unchanged ones above 0 too.
func (q *Quota) SpendingUpdate(all bool) []Spending {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Spending
	for name, b := range q.accounts {
		if all && b.spent > 0 || b.spent != b.reportedSpent {
			out = append(out, Spending{name, b.spent})
			b.reportedSpent = b.spent
		}
	}
	return out
}

// runRetention is how long a run that sends no updates is kept.
const runRetention = time.Minute

// Track adds an account, so that spending by peers counts before the first call at
// this instance. It drops runs that sent no update for runRetention.
func (q *Quota) Track(account string, limit AccountLimit, now time.Time) {
	if limit.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(account, q.bounds.widen(limit, q.updateInterval), now)
	for run, at := range q.runUpdatedAt {
		if now.Sub(at) > runRetention {
			delete(b.peers, run)
			delete(q.runUpdatedAt, run)
		}
	}
}

// ApplyPeerSpending deducts what one run of a peer has spent since its last update,
// given its totals. Totals in the first update of a run are not deducted, because
// they include what it spent before this instance knew it. An account that first
// appears in a later update is deducted in full.
func (q *Quota) ApplyPeerSpending(run string, list []Spending, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, runKnown := q.runUpdatedAt[run]
	q.runUpdatedAt[run] = now
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		if b := q.accounts[s.Account]; b != nil {
			b.level -= b.applyPeerTotal(run, runKnown, s.Units, now)
			listed[s.Account] = true
		}
	}
	// The totals of accounts that are not listed have not changed.
	for name, b := range q.accounts {
		if p, known := b.peers[run]; known && !listed[name] {
			b.level -= b.applyPeerTotal(run, true, p.units, now)
		}
	}
}
