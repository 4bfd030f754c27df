package quota

import (
	"math"
	"slices"
	"time"
)

// returnWindow is how long after the end of a loan its tokens can be returned.
const returnWindow = 2 * time.Minute

// lentLoan is the lender's record of a loan.
type lentLoan struct {
	id    string
	share Share
	// tokens is the initial level of the loan.
	tokens    float64
	expiresAt time.Time
	// pendingRefund is what can still be returned after the loan has ended.
	pendingRefund *pendingRefund
	// returned is the number of tokens that the borrower has returned. credited
	// is the number of those that the lender has added to its bucket.
	// maxReturned bounds the final value of returned.
	returned    float64
	credited    float64
	maxReturned float64
}

// borrowedLoan is the borrower's record of a loan. When the loan ends, its
// bucket no longer accrues tokens or serves reservations, but still accepts
// refunds of requests in flight. Its level is what is returned to the lender.
type borrowedLoan struct {
	id        string
	lender    string
	bucket    *bucket
	expiresAt time.Time
	// confirmed is the newest return that the lender has confirmed.
	confirmed loanReturn
	// hasConfirmed is set once the lender has confirmed a return.
	hasConfirmed bool
}

// loanReturn returns tokens of an ended loan. Returned is cumulative, so lost,
// repeated and reordered messages do no harm.
type loanReturn struct {
	Account  string  `msgpack:"a"`
	ID       string  `msgpack:"i"`
	Returned float64 `msgpack:"r"`
	// Pending is the most that can still be added to Returned. The sum of both
	// never increases.
	Pending float64 `msgpack:"o"`
}

// endLent adds the shares of expired loans back to the own bucket. It stops
// waiting for returned tokens after returnWindow.
func (a *accountLedger) endLent(now time.Time) {
	for len(a.lent) > 0 && !a.lent[0].expiresAt.After(now) {
		loan := a.lent[0]
		a.own.advance(loan.expiresAt)
		a.lent = a.lent[1:]
		a.resizeOwn()
		loan.pendingRefund = a.own.expectRefund(loan.share.Burst)
		a.endedLent = append(a.endedLent, loan)
		a.creditReturned(loan)
	}
	for len(a.endedLent) > 0 && now.Sub(a.endedLent[0].expiresAt) > returnWindow {
		a.own.cancelRefund(a.endedLent[0].pendingRefund)
		a.endedLent = a.endedLent[1:]
	}
}

// creditReturned adds returned tokens to the own bucket.
func (a *accountLedger) creditReturned(loan *lentLoan) {
	added := loan.returned - loan.credited
	loan.credited = loan.returned
	a.own.refund(loan.pendingRefund, added)
	a.own.reduceRefund(loan.pendingRefund, loan.maxReturned-loan.credited)
}

// endBorrowed moves expired loans to endedBorrowed. It removes ended loans that
// are fully returned and confirmed, or that ended more than returnWindow ago.
func (a *accountLedger) endBorrowed(now time.Time) {
	for len(a.borrowed) > 0 && !a.borrowed[0].expiresAt.After(now) {
		loan := a.borrowed[0]
		a.borrowed = a.borrowed[1:]
		loan.bucket.advance(loan.expiresAt)
		loan.bucket.share.Rate = 0
		a.endedBorrowed = append(a.endedBorrowed, loan)
	}
	a.endedBorrowed = slices.DeleteFunc(a.endedBorrowed, func(l *borrowedLoan) bool {
		isDone := l.bucket.refundable <= tokenEpsilon && l.hasConfirmed && l.confirmed == l.returnState(l.confirmed.Account)
		return isDone || now.Sub(l.expiresAt) > returnWindow
	})
}

// returnState returns the current loanReturn of an ended loan.
func (l *borrowedLoan) returnState(account string) loanReturn {
	return loanReturn{Account: account, ID: l.id, Returned: max(0, l.bucket.level), Pending: l.bucket.refundable}
}

// UnconfirmedReturns returns, by lender, the returns that the lender has not
// confirmed.
func (l *Ledger) UnconfirmedReturns(now time.Time) map[string][]loanReturn {
	out := make(map[string][]loanReturn)
	for name := range l.accounts {
		for _, loan := range l.account(now, name).endedBorrowed {
			if state := loan.returnState(name); !loan.hasConfirmed || loan.confirmed != state {
				out[loan.lender] = append(out[loan.lender], state)
			}
		}
	}
	return out
}

// ConfirmReturns records returns that a lender has confirmed.
func (l *Ledger) ConfirmReturns(now time.Time, returns []loanReturn) {
	for _, r := range returns {
		for _, loan := range l.account(now, r.Account).endedBorrowed {
			if loan.id == r.ID {
				loan.confirmed, loan.hasConfirmed = r, true
			}
		}
	}
}

// ApplyReturns credits returned tokens. It never credits more than the burst of
// the loan.
func (l *Ledger) ApplyReturns(now time.Time, returns []loanReturn) {
	for _, r := range returns {
		a := l.account(now, r.Account)
		for _, loan := range a.lent {
			loan.applyReturn(&r)
		}
		for _, loan := range a.endedLent {
			if loan.applyReturn(&r) {
				a.creditReturned(loan)
			}
		}
	}
}

// applyReturn records r and returns true if r belongs to this loan.
func (l *lentLoan) applyReturn(r *loanReturn) bool {
	if l.id != r.ID {
		return false
	}
	l.returned = max(l.returned, math.Min(r.Returned, l.share.Burst))
	l.maxReturned = math.Min(l.maxReturned, r.Returned+r.Pending)
	return true
}
