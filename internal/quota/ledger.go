package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// loanDuration is how long a loan lasts at most.
	loanDuration = 2 * time.Second
)

// Ledger holds the tokens of all accounts at one instance: its own shares, what
// it lent and what it borrowed. It is a state machine without locks; each call
// passes the time of the instance's monotonic clock.
//
// Invariant: what the own buckets and the unexpired loans of an account allow
// never exceeds the account's share in force, by the lender's time; a borrower's
// loan ends no later than the lender's record of it.
type Ledger struct {
	// leaseUntil is the time after which own shares are not spent.
	leaseUntil time.Time
	accounts   map[string]*accountLedger
}

// accountLedger is the part of a Ledger for one account.
type accountLedger struct {
	own *bucket
	// share is the part held of the division in force, lent parts included.
	share    Share
	lent     []*lentLoan
	borrowed []*borrowedLoan
	// ended holds loans given back, whose tokens may still come; frozen holds
	// borrowed loans that are over, with tokens to return.
	ended  []*lentLoan
	frozen []*borrowedLoan
	// demand is the estimate of tokens asked for per second.
	demand   float64
	demandAt time.Time
}

// NewLedger returns a ledger without shares.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*accountLedger)} }

// ExtendLease lets own shares be spent until the given time. An earlier time
// than the present one is ignored.
func (l *Ledger) ExtendLease(until time.Time) {
	if until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// Drop gives up all own shares and the lease. Borrowed tokens stay.
func (l *Ledger) Drop(now time.Time) {
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

// advance ends loans that are over and adds accrued tokens.
func (a *accountLedger) advance(now time.Time) {
	a.endLent(now)
	a.own.advance(now)
	a.freeze(now)
	for _, b := range a.borrowed {
		b.bucket.advance(now)
	}
}

// lentPart returns the sum of what is lent.
func (a *accountLedger) lentPart() Share {
	var sum Share
	for _, l := range a.lent {
		sum.Rate += l.part.Rate
		sum.Burst += l.part.Burst
	}
	return sum
}

// fit makes the own bucket the share less what is lent.
func (a *accountLedger) fit() {
	lent := a.lentPart()
	a.own.resize(Share{
		Rate:  math.Max(0, a.share.Rate-lent.Rate),
		Burst: math.Max(0, a.share.Burst-lent.Burst),
	})
}

// SetShare changes the share of an account. With full, an account that had no
// share starts with a full bucket; else tokens come by time alone. It reports
// whether the share is kept already: if more is lent than the new share holds,
// it is only once those loans have ended.
func (l *Ledger) SetShare(now time.Time, name string, share Share, full bool) bool {
	a := l.account(now, name)
	isNew := a.share == Share{} && len(a.lent) == 0
	a.share = share
	a.fit()
	if full && isNew {
		a.own.level = a.own.share.Burst
	}
	lent := a.lentPart()
	return lent.Rate <= share.Rate+tokenEpsilon && lent.Burst <= share.Burst+tokenEpsilon
}

// Share returns the share that the instance holds of an account.
func (l *Ledger) Share(name string) Share {
	if a := l.accounts[name]; a != nil {
		return a.share
	}
	return Share{}
}

// Accounts returns the names of the accounts known, in order.
func (l *Ledger) Accounts() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Forget drops an account without shares or loans.
func (l *Ledger) Forget(now time.Time, name string) {
	a := l.account(now, name)
	if a.share == (Share{}) && len(a.lent)+len(a.borrowed)+len(a.ended)+len(a.frozen) == 0 {
		delete(l.accounts, name)
	}
}

// HasLent reports whether any loan is still out.
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

// NoteDemand counts tokens asked for by a request.
func (l *Ledger) NoteDemand(now time.Time, name string, tokens int64) {
	a := l.account(now, name)
	a.decayDemand(now)
	a.demand += float64(tokens) / demandWindow.Seconds()
}

func (a *accountLedger) decayDemand(now time.Time) {
	if now.After(a.demandAt) {
		a.demand *= math.Exp(-now.Sub(a.demandAt).Seconds() / demandWindow.Seconds())
		a.demandAt = now
	}
}

// Missing returns the tokens by which a request exceeds what is at hand; zero
// if it can be reserved.
func (l *Ledger) Missing(now time.Time, name string, tokens int64) float64 {
	a := l.account(now, name)
	missing := float64(tokens)
	for _, b := range a.borrowed {
		missing -= math.Max(0, b.bucket.level)
	}
	if l.isLeased(now) {
		missing -= math.Max(0, a.own.level)
	}
	if missing <= tokenEpsilon {
		return 0
	}
	return missing
}

// Held is a reservation in a ledger.
type Held struct {
	account string
	tokens  int64
	parts   []heldPart
}

type heldPart struct {
	bucket *bucket
	hold   *hold
	tokens float64
}

// Reserve takes tokens, borrowed ones first, those that expire first before
// others. It returns nil if too few are at hand.
func (l *Ledger) Reserve(now time.Time, name string, tokens int64) *Held {
	if l.Missing(now, name, tokens) > 0 {
		return nil
	}
	a := l.account(now, name)
	h := &Held{account: name, tokens: tokens}
	left := float64(tokens)
	for _, b := range a.borrowed {
		left -= h.takeFrom(b.bucket, left)
	}
	if l.isLeased(now) {
		h.takeFrom(a.own, left)
	}
	return h
}

// takeFrom takes at most wanted tokens and returns how many.
func (h *Held) takeFrom(b *bucket, wanted float64) float64 {
	taken := math.Min(wanted, math.Max(0, b.level))
	if taken <= 0 {
		return 0
	}
	h.parts = append(h.parts, heldPart{bucket: b, hold: b.take(taken), tokens: taken})
	return taken
}

// Settle returns what was reserved above used, to where it came from. Parts of
// ended loans and of shares given up are lost. Tokens used beyond the
// reservation are taken from the own share.
func (l *Ledger) Settle(now time.Time, h *Held, used int64) {
	a := l.account(now, h.account)
	refund := math.Max(0, float64(h.tokens-used))
	for i := len(h.parts) - 1; i >= 0; i-- {
		p := h.parts[i]
		back := math.Min(refund, p.tokens)
		p.bucket.advance(now)
		p.bucket.refund(p.hold, back)
		p.bucket.release(p.hold)
		refund -= back
	}
	if used > h.tokens {
		a.own.debit(float64(used - h.tokens))
	}
	h.parts = nil
}
