// Package allowance enforces the limits that all instances share: the units of
// client accounts, retries, calls to targets in cold start, and requests to targets that
// limit their rate. Each instance decides locally: on units from its own spending and the
// updates of its peers, on the others by its share of the bound. The slack of the bound on units covers
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

// spareFraction is the fraction of the overshoot and the slack that a bucket may be
// overdrawn by. The rest is for what instances admit before they hear of one another.
const spareFraction = 0.4

// overdraft returns how far the bucket of an account may be overdrawn, in units.
func (b QuotaBounds) overdraft(l AccountLimit) float64 {
	if b.Window <= 0 {
		return 0
	}
	return spareFraction * (b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack)
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
	// spent and asked are the totals of units that this instance admitted and that its
	// callers asked for; reported holds the totals last reported to peers.
	spent, asked float64
	reported     Spending
	// spendRate and askRate are how fast spent and asked rise, in units a second.
	spendRate, askRate risingRate
	// returnsUntil is when the next caller that is refused here should come back.
	returnsUntil time.Time
	// peers holds the last update of each run of a peer. A run is one process lifetime
	// of an instance; its totals start at 0.
	peers map[string]peerSpending
}

// risingRate estimates how fast a total rises, in units a second.
type risingRate struct {
	rate      float64
	total     float64
	updatedAt time.Time
}

const (
	// rateWindow is the averaging window of an instance's own rates, an EWMA with a
	// half-life of half the window; rateStep is the time between two updates.
	rateWindow = time.Second
	rateStep   = rateWindow / 10
)

// update returns the rate, given the newest total.
func (r *risingRate) update(total float64, now time.Time) float64 {
	if r.updatedAt.IsZero() {
		r.updatedAt, r.total = now.Add(-rateWindow), 0
	}
	if elapsed := now.Sub(r.updatedAt); elapsed >= rateStep {
		decay := math.Exp2(-2 * elapsed.Seconds() / rateWindow.Seconds())
		r.rate = r.rate*decay + (1-decay)*max(0, total-r.total)/elapsed.Seconds()
		r.updatedAt, r.total = now, total
	}
	return r.rate
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
	created time.Time
	random  func() float64

	mu       sync.Mutex
	accounts map[string]*bucket
	// runs holds what is known of each run of a peer.
	runs map[string]*peerRun
	// updateInterval is the usual time between two updates of a peer.
	updateInterval time.Duration
	// reachable is the number of instances that share the buckets, self included.
	reachable int
	// share is the fraction of each rate that these instances may spend: 1 while
	// all instances are reachable, 0 while suspended.
	share float64
	// sharedAt is when SetShare or Spend was last called. resumesAt is when spending
	// goes on after a pause of the process.
	sharedAt, resumesAt time.Time
	// adopted is set once the levels of a peer were adopted.
	adopted bool
}

// peerRun is one run of a peer.
type peerRun struct {
	updatedAt time.Time
	// complete is set once an update has listed all accounts that the run has used: all
	// others are then known to be unused.
	complete bool
	// totals holds the newest totals of each account, also of those without a bucket yet.
	totals map[string]Spending
}

// NewQuota returns a quota whose buckets are empty at now and fill from then on.
func NewQuota(b QuotaBounds, now time.Time) *Quota {
	return &Quota{bounds: b, started: now, created: now, random: rand.Float64, accounts: make(map[string]*bucket), runs: make(map[string]*peerRun), share: 1, reachable: 1}
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
	q.noticePause(now)
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
		for run, r := range q.runs {
			if total, listed := r.totals[account]; listed || r.complete {
				b.peers[run] = peerSpending{units: total.Units, asked: total.Asked, updatedAt: r.updatedAt}
			}
		}
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

// Spend takes units of an account if the bucket holds them, and if what all instances
// may admit before they hear of one another fits into it. If not, it returns the retry
// delay. A call larger than the burst is admitted on a full bucket.
func (q *Quota) Spend(account string, limit AccountLimit, units float64, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.share == 0 {
		return suspendedRetryAfter, false
	}
	q.noticePause(now)
	b := q.bucket(account, limit, now)
	b.refill(now, q.share)
	b.asked += units
	if left := q.resumesAt.Sub(now); left > 0 {
		return left, false
	}
	need := min(units, limit.Burst*q.share)
	left := b.level - b.assumedSpending(now, assumedSpendingPeriod(q.updateInterval))
	rate := limit.Rate * q.share
	least := need - q.overdraft(limit, need)
	own, all := b.askRates(now)
	// This instance's callers get the part of the rate that they ask for.
	earned := secondsOf(need / rate * max(1, all/max(own, 1)))
	if left < least {
		return b.returnAfter(secondsOf((least-left)/rate), earned, now), false
	}
	if q.reachable > 1 && q.random() >= q.admittedFraction(b, need, left, own, all) {
		return b.returnAfter(earned, earned, now), false
	}
	b.level -= units
	b.spent += units
	return 0, true
}

// overdraft returns how far the bucket may be overdrawn for a call. A single instance
// sees all spending and needs no overdraft.
func (q *Quota) overdraft(limit AccountLimit, need float64) float64 {
	if q.reachable <= 1 {
		return 0
	}
	return min(need, q.share*q.bounds.overdraft(limit))
}

// askRates returns how fast the callers of this instance and those of all instances ask,
// in units a second.
func (b *bucket) askRates(now time.Time) (own, all float64) {
	own = b.askRate.update(b.asked, now)
	all = own
	for _, p := range b.peers {
		if !p.spendsOwnShare {
			all += p.askRate
		}
	}
	return own, all
}

// admittedFraction returns the fraction of calls that all instances may admit now, given
// how fast callers ask at this instance and at all. What callers ask for until the
// instances have heard of one another must fit into what is left and what is earned
// meanwhile. All instances use the same fraction, so that callers fare the same at each
// of them.
func (q *Quota) admittedFraction(b *bucket, need, left, own, all float64) float64 {
	unheard := (propagationIntervals*max(q.updateInterval, busyUpdateInterval) + propagationDelay).Seconds()
	expected := unheard * all
	if all == own {
		// Calls may begin at all instances at the same moment.
		expected = max(expected, need*float64(q.reachable))
	}
	return (left + unheard*b.limit.Rate*q.share) / max(expected, 1)
}

const (
	// propagationIntervals and propagationDelay are the time until what an instance
	// admits is known to the others: the mean age of updates, and their way.
	propagationIntervals = 1
	propagationDelay     = 20 * time.Millisecond
	// maxReturnDelay bounds the time after which a refused caller is told to come back.
	maxReturnDelay = 20 * time.Second
)

// returnAfter returns when a refused caller should come back: not before earliest, and
// after those who were refused before it, as callers that come back together would be
// refused again. earned is the time in which the callers of this instance earn the units
// of the call.
func (b *bucket) returnAfter(earliest, earned time.Duration, now time.Time) time.Duration {
	wait := min(max(earliest, b.returnsUntil.Sub(now)), maxReturnDelay)
	b.returnsUntil = now.Add(wait + earned)
	return wait
}

const (
	// pauseTimeout is the time without a call of SetShare after which the process counts
	// as having been paused.
	pauseTimeout = 900 * time.Millisecond
	// minResumeDelay is the shortest time after a pause in which updates of all peers
	// arrive.
	minResumeDelay = 200 * time.Millisecond
)

// noticePause suspends spending for a moment if the process was paused: what the peers
// have spent meanwhile is not known until their next updates. It requires q.mu.
func (q *Quota) noticePause(now time.Time) {
	paused := !q.sharedAt.IsZero() && now.Sub(q.sharedAt) > pauseTimeout
	q.sharedAt = now
	if !paused || q.reachable <= 1 {
		return
	}
	q.resumesAt = now.Add(max(minResumeDelay, 2*q.updateInterval))
	for _, b := range q.accounts {
		for run, p := range b.peers {
			// The increase since the last update is then deducted in full.
			p.updatedAt = now
			b.peers[run] = p
		}
	}
}

// Refund gives back the units of a call that did not run.
func (q *Quota) Refund(account string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		b.level = min(b.level+units, b.limit.Burst*q.share)
		b.spent -= units
	}
}
