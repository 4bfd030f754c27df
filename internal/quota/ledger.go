package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// demandTimeConstant is the decay time constant of the demand estimate.
	demandTimeConstant = time.Second
	// maxLoanDuration is the maximum duration of a loan.
	maxLoanDuration = 2 * time.Second
)

// Ledger tracks the tokens of all accounts at one instance: its own shares, the
// tokens it lent and the tokens it borrowed. It is a state machine without
// locks. Callers pass the current time of the instance's monotonic clock.
//
// Invariant: the own bucket of an account and its unexpired loans to peers
// together never allow more than the newest share that has taken effect (see
// SetShare), measured by the lender's clock. A loan ends at the borrower no
// later than in the lender's records.
type Ledger struct {
	// leaseUntil is the time from which own shares may not be spent.
	leaseUntil time.Time
	accounts   map[string]*accountLedger
}

// accountLedger is the state of one account in a Ledger.
type accountLedger struct {
	own *bucket
	// share is the newest share that was set, including what is lent.
	share    Share
	lent     []*lentLoan
	borrowed []*borrowedLoan
	// endedLent holds ended loans to peers whose tokens can still be returned.
	// endedBorrowed holds ended loans from peers whose tokens are still to be
	// returned.
	endedLent     []*lentLoan
	endedBorrowed []*borrowedLoan
	// demand is the estimated demand in tokens per second.
	demand   float64
	demandAt time.Time
}

// NewLedger returns a ledger without shares.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*accountLedger)} }

// ExtendLease allows own shares to be spent until the given time. It never
// shortens the lease.
func (l *Ledger) ExtendLease(until time.Time) {
	if until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// DropShares gives up all own shares and the lease. Borrowed tokens remain.
func (l *Ledger) DropShares(now time.Time) {
	l.leaseUntil = time.Time{}
	for name := range l.accounts {
		l.SetShare(now, name, Share{}, false)
	}
}

func (l *Ledger) account(now time.Time, name string) *accountLedger {
	a := l.accounts[name]
	if a == nil {
		a = &accountLedger{own: newBucket(now, Share{}, 0), demandAt: now}
		l.accounts[name] = a
	}
	a.advance(now)
	return a
}

// advance ends expired loans and adds accrued tokens.
func (a *accountLedger) advance(now time.Time) {
	a.endLent(now)
	a.own.advance(now)
	a.endBorrowed(now)
	for _, b := range a.borrowed {
		b.bucket.advance(now)
	}
}

// lentShare returns the sum of the unexpired loans to peers.
func (a *accountLedger) lentShare() Share {
	var sum Share
	for _, l := range a.lent {
		sum.Rate += l.share.Rate
		sum.Burst += l.share.Burst
	}
	return sum
}

// resizeOwn sets the own bucket to the share less what is lent.
func (a *accountLedger) resizeOwn() {
	lent := a.lentShare()
	a.own.resize(Share{
		Rate:  math.Max(0, a.share.Rate-lent.Rate),
		Burst: math.Max(0, a.share.Burst-lent.Burst),
	})
}

// SetShare changes the share of an account. With startFull, an account that had
// no share starts with a full bucket; otherwise the level does not rise.
// SetShare reports whether the new share has taken effect. If more is lent than
// the new share, it takes effect only once enough of those loans have ended.
func (l *Ledger) SetShare(now time.Time, name string, share Share, startFull bool) bool {
	a := l.account(now, name)
	isNew := a.share == Share{} && len(a.lent) == 0
	a.share = share
	a.resizeOwn()
	if startFull && isNew {
		a.own.level = a.own.share.Burst
	}
	lent := a.lentShare()
	return lent.Rate <= share.Rate+tokenEpsilon && lent.Burst <= share.Burst+tokenEpsilon
}

// Share returns the share of an account that the instance holds.
func (l *Ledger) Share(name string) Share {
	if a := l.accounts[name]; a != nil {
		return a.share
	}
	return Share{}
}

// Accounts returns the sorted names of the known accounts.
func (l *Ledger) Accounts() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Prune removes an account without shares or loans.
func (l *Ledger) Prune(now time.Time, name string) {
	a := l.account(now, name)
	if a.share == (Share{}) && len(a.lent)+len(a.borrowed)+len(a.endedLent)+len(a.endedBorrowed) == 0 {
		delete(l.accounts, name)
	}
}

// HasLent reports whether any loan to a peer has not expired.
func (l *Ledger) HasLent(now time.Time) bool {
	for name := range l.accounts {
		if len(l.account(now, name).lent) > 0 {
			return true
		}
	}
	return false
}

// isLeased reports whether own shares may be spent.
func (l *Ledger) isLeased(now time.Time) bool { return now.Before(l.leaseUntil) }

// RecordDemand adds the tokens of a request to the demand estimate.
func (l *Ledger) RecordDemand(now time.Time, name string, tokens int64) {
	a := l.account(now, name)
	a.decayDemand(now)
	a.demand += float64(tokens) / demandTimeConstant.Seconds()
}

func (a *accountLedger) decayDemand(now time.Time) {
	if now.After(a.demandAt) {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandTimeConstant.Seconds())
		a.demandAt = now
	}
}

// Shortfall returns the number of tokens by which a request exceeds the
// available ones, or zero if it can be reserved.
func (l *Ledger) Shortfall(now time.Time, name string, tokens int64) float64 {
	a := l.account(now, name)
	shortfall := float64(tokens)
	for _, b := range a.borrowed {
		shortfall -= math.Max(0, b.bucket.level)
	}
	if l.isLeased(now) {
		shortfall -= math.Max(0, a.own.level)
	}
	if shortfall <= tokenEpsilon {
		return 0
	}
	return shortfall
}

// LedgerReservation is a reservation in a Ledger.
type LedgerReservation struct {
	account string
	tokens  int64
	parts   []bucketReservation
}

type bucketReservation struct {
	bucket  *bucket
	pending *pendingRefund
	tokens  float64
}

// Reserve takes tokens from loans first, in order of expiry, then from the own
// bucket. It returns nil if too few tokens are available.
func (l *Ledger) Reserve(now time.Time, name string, tokens int64) *LedgerReservation {
	if l.Shortfall(now, name, tokens) > 0 {
		return nil
	}
	a := l.account(now, name)
	h := &LedgerReservation{account: name, tokens: tokens}
	remaining := float64(tokens)
	for _, b := range a.borrowed {
		remaining -= h.takeFrom(b.bucket, remaining)
	}
	if l.isLeased(now) {
		h.takeFrom(a.own, remaining)
	}
	return h
}

// takeFrom takes at most wanted tokens and returns the number taken.
func (h *LedgerReservation) takeFrom(b *bucket, wanted float64) float64 {
	taken := math.Min(wanted, math.Max(0, b.level))
	if taken <= 0 {
		return 0
	}
	h.parts = append(h.parts, bucketReservation{bucket: b, pending: b.take(taken), tokens: taken})
	return taken
}

// Settle refunds the tokens reserved beyond used to the buckets that they were
// taken from. A refund is lost where its bucket no longer accepts it, for
// example after the share was given up. Tokens used beyond the reservation are
// debited from the own bucket.
func (l *Ledger) Settle(now time.Time, h *LedgerReservation, used int64) {
	a := l.account(now, h.account)
	refund := math.Max(0, float64(h.tokens-used))
	for i := len(h.parts) - 1; i >= 0; i-- {
		p := h.parts[i]
		back := math.Min(refund, p.tokens)
		p.bucket.advance(now)
		p.bucket.refund(p.pending, back)
		p.bucket.cancelRefund(p.pending)
		refund -= back
	}
	if used > h.tokens {
		a.own.debit(float64(used - h.tokens))
	}
	h.parts = nil
}
