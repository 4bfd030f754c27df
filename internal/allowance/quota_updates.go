package allowance

import "time"

// peerSpending is the total that a peer reported last, how fast it spends, and how fast
// its callers ask.
type peerSpending struct {
	units     float64
	asked     float64
	rate      float64
	askRate   float64
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

// applyPeerTotal stores the newest totals of a peer's run and returns the increase
// of its spending over the one known before. A first total is a baseline: it includes
// spending from before this instance knew the run.
func (b *bucket) applyPeerTotal(run string, newest Spending, now time.Time) float64 {
	previous, known := b.peers[run]
	next := peerSpending{units: newest.Units, asked: newest.Asked, updatedAt: now}
	if !known {
		b.peers[run] = next
		return 0
	}
	if previous.spendsOwnShare {
		// What it spent since its last update was deducted by assumption or came from its
		// own share.
		next.rate, next.askRate = previous.rate, previous.askRate
		b.peers[run] = next
		return 0
	}
	increase := newest.Units - previous.units
	elapsed := now.Sub(previous.updatedAt).Seconds()
	next.rate, next.askRate = previous.rate, previous.askRate
	if elapsed > 0 {
		weight := min(1, peerRateWeight*max(1, elapsed/busyUpdateInterval.Seconds()))
		next.rate = max(0, next.rate+weight*(increase/elapsed-next.rate))
		next.askRate = max(0, next.askRate+weight*((newest.Asked-previous.asked)/elapsed-next.askRate))
	}
	b.peers[run] = next
	return increase
}

// Spending holds totals of units of an account since an instance started: those that it
// admitted, and those that its callers asked for.
type Spending struct {
	Account string  `msgpack:"a"`
	Units   float64 `msgpack:"u"`
	Asked   float64 `msgpack:"k"`
}

// SpendingUpdate returns the totals of this instance that changed since the last
// call. If all is set, it returns the unchanged ones above 0 too.
func (q *Quota) SpendingUpdate(all bool) []Spending {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Spending
	for name, b := range q.accounts {
		newest := Spending{name, b.spent, b.asked}
		if all && b.asked > 0 || newest != b.reported {
			out = append(out, newest)
			b.reported = newest
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
	q.bucket(account, limit, now)
	for run, r := range q.runs {
		if now.Sub(r.updatedAt) > runRetention {
			q.removeRun(run)
		}
	}
}

// removeRun requires q.mu.
func (q *Quota) removeRun(run string) {
	delete(q.runs, run)
	for _, b := range q.accounts {
		delete(b.peers, run)
	}
}

// ApplyPeerSpending deducts what one run of a peer has spent since its last update,
// given its totals. The first total of an account is not deducted, because it includes
// what the run spent before this instance knew it, unless an earlier update was complete:
// an account that it did not list was unused then. complete is set if the list holds all
// accounts that the run has used.
func (q *Quota) ApplyPeerSpending(run string, list []Spending, complete bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.runs[run]
	if r == nil {
		r = &peerRun{totals: make(map[string]Spending)}
		q.runs[run] = r
	}
	r.updatedAt = now
	for _, s := range list {
		r.totals[s.Account] = s
	}
	for account, b := range q.accounts {
		// The totals of accounts that are not listed have not changed.
		total, known := r.totals[account]
		if known || r.complete {
			b.level -= b.applyPeerTotal(run, total, now)
		}
		if complete && !known {
			b.peers[run] = peerSpending{updatedAt: now}
		}
	}
	r.complete = r.complete || complete
}

// AccountLevel is what one instance believes to be left of an account's units.
type AccountLevel struct {
	Account string `msgpack:"a"`
	// Units is the level of the bucket; negative if more was spent than the limit allows.
	Units float64 `msgpack:"u"`
	// Rate is how fast all instances together spend, in units a second.
	Rate float64 `msgpack:"r"`
}

// Levels returns the levels of all accounts, for an instance that has just started.
// They are unknown while spending is suspended.
func (q *Quota) Levels(now time.Time) []AccountLevel {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.share == 0 {
		return nil
	}
	var out []AccountLevel
	for name, b := range q.accounts {
		b.refill(now, q.share)
		rate := b.spendRate.update(b.spent, now)
		for _, p := range b.peers {
			if !p.spendsOwnShare {
				rate += p.rate
			}
		}
		out = append(out, AccountLevel{name, b.level - b.assumedSpending(now, assumedSpendingPeriod(q.updateInterval)), rate})
	}
	return out
}

// adoptionPeriod is how long after its start an instance adopts the levels of a peer.
const adoptionPeriod = 3 * time.Second

// Adopt raises the levels of an instance that has just started to those of a peer, less
// what is spent until the updates of all peers arrive. Without it the instance would
// have to earn the units anew that the account has left. It has an effect once, on
// tracked accounts, and only soon after the start.
func (q *Quota) Adopt(list []AccountLevel, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(list) == 0 || q.adopted || now.Sub(q.created) > adoptionPeriod {
		return
	}
	q.adopted = true
	for _, l := range list {
		b := q.accounts[l.Account]
		if b == nil {
			continue
		}
		unseen := l.Rate * 2 * max(q.updateInterval, busyUpdateInterval).Seconds()
		b.level = max(b.level, min(l.Units, b.limit.Burst)-unseen)
	}
}
