// Package allowance keeps what all instances together may spend: the units of
// client accounts, repeated calls, and calls to targets in cold start. Each
// instance decides alone from its own spending and what peers told; the slack of
// each bound covers the delay of their word.
package allowance

import (
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

// slackUsed is the part of the slack that is given to accounts. The rest covers
// what peers spend before their word arrives.
const slackUsed = 0.7

// widen returns the limit that keeps within the bounds.
func (b QuotaBounds) widen(l AccountLimit) AccountLimit {
	if b.Window <= 0 {
		return l
	}
	return AccountLimit{
		Rate:  l.Rate*(1+b.Overshoot) + slackUsed*b.Slack/b.Window.Seconds(),
		Burst: l.Burst * (1 + b.Overshoot),
	}
}

// bucket is a token bucket that all instances share: spending of peers is
// deducted when it becomes known, so the level may be negative.
type bucket struct {
	limit AccountLimit
	level float64
	at    time.Time
	// spent counts all units that this instance spent.
	spent float64
	// peers holds the newest count of each peer.
	peers map[string]float64
}

// Quota bounds what client accounts use over all instances. It is safe for
// concurrent use.
type Quota struct {
	bounds  QuotaBounds
	started time.Time

	mu       sync.Mutex
	accounts map[string]*bucket
	// share is the part of each rate that this instance counts on: 1 while all
	// instances hear one another.
	share float64
}

// NewQuota returns a quota that nothing was spent of.
func NewQuota(b QuotaBounds, now time.Time) *Quota {
	return &Quota{bounds: b, started: now, accounts: make(map[string]*bucket), share: 1}
}

// SetShare sets the part of each rate that may be spent by this instance and the
// peers that it hears, 0 to 1. The others are taken to spend the rest.
func (q *Quota) SetShare(share float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if share == q.share {
		return
	}
	for _, b := range q.accounts {
		b.refill(now, q.share)
	}
	q.share = share
}

// Share returns the part of each rate in use.
func (q *Quota) Share() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.share
}

// bucket requires q.mu.
func (q *Quota) bucket(account string, limit AccountLimit, now time.Time) *bucket {
	b := q.accounts[account]
	if b == nil {
		// Others, or a run of this instance before, may have spent the burst: it is
		// earned from the start.
		earned := now.Sub(q.started).Seconds() * limit.Rate * q.share
		b = &bucket{limit: limit, level: min(limit.Burst, earned), at: now, peers: make(map[string]float64)}
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
		b.level = min(b.level+passed*b.limit.Rate*share, b.limit.Burst)
		b.at = now
	}
}

// Spend takes units of an account if it has them. If not, it returns the time
// until they are there. A call larger than the burst passes on a full bucket.
func (q *Quota) Spend(account string, limit AccountLimit, units float64, now time.Time) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	limit = q.bounds.widen(limit)
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(account, limit, now)
	b.refill(now, q.share)
	need := min(units, limit.Burst)
	if b.level < need {
		rate := max(b.limit.Rate*q.share, 1)
		return time.Duration((need - b.level) / rate * float64(time.Second)), false
	}
	b.level -= units
	b.spent += units
	return 0, true
}

// Return gives back units of a call that did not run.
func (q *Quota) Return(account string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		b.level = min(b.level+units, b.limit.Burst)
		b.spent -= units
	}
}

// Spending is the count of units that an instance spent of an account since it
// started.
type Spending struct {
	Account string  `msgpack:"a"`
	Units   float64 `msgpack:"u"`
}

// Spent returns the counts of this instance.
func (q *Quota) Spent() []Spending {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Spending
	for name, b := range q.accounts {
		if b.spent > 0 {
			out = append(out, Spending{name, b.spent})
		}
	}
	return out
}

// PeerSpent takes the counts of one run of a peer. The first count of a run that
// was met late is not deducted: its spending lies before this instance's own
// knowledge.
func (q *Quota) PeerSpent(run string, first bool, list []Spending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range list {
		b := q.accounts[s.Account]
		if b == nil {
			continue
		}
		if before, known := b.peers[run]; known || !first {
			b.level -= s.Units - before
		}
		b.peers[run] = s.Units
	}
}

// PeerGone forgets the counts of a run that has ended.
func (q *Quota) PeerGone(run string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.accounts {
		delete(b.peers, run)
	}
}
