package quota

import (
	"math"
	"slices"
	"time"
)

// returnWindow is how long after its end a loan's tokens are given back.
const returnWindow = 2 * time.Minute

// lentLoan is a loan as the lender keeps it.
type lentLoan struct {
	id   string
	part Share
	// tokens were lent with the capacity in part.
	tokens float64
	until  time.Time
	// hold is what may come back after the end.
	hold *hold
	// returned is the number of tokens that the borrower has given back;
	// credited is the part of it that is in the lender's bucket. No more than
	// most will ever have been given back.
	returned float64
	credited float64
	most     float64
}

// borrowedLoan is a loan as the borrower keeps it. At its end the bucket
// freezes: nothing is taken from it and no tokens accrue, but refunds of
// running requests still come in. Its level is what is given back.
type borrowedLoan struct {
	id     string
	lender string
	bucket *bucket
	until  time.Time
	// told is the newest return that the lender has confirmed.
	told loanReturn
	// isTold tells that there is one.
	isTold bool
}

// loanReturn gives tokens of an ended loan back. Returned is the sum so far, so
// that lost, repeated and reordered messages do no harm.
type loanReturn struct {
	Account  string  `msgpack:"a"`
	ID       string  `msgpack:"i"`
	Returned float64 `msgpack:"r"`
	// Open is the most that may still be added to Returned. The sum of both never
	// rises.
	Open float64 `msgpack:"o"`
}

// endLent takes back the capacity of loans that are over.
func (a *accountLedger) endLent(now time.Time) {
	for len(a.lent) > 0 && !a.lent[0].until.After(now) {
		loan := a.lent[0]
		a.own.advance(loan.until)
		a.lent = a.lent[1:]
		a.fit()
		loan.hold = a.own.expect(loan.part.Burst)
		a.ended = append(a.ended, loan)
		a.credit(loan)
	}
	for len(a.ended) > 0 && now.Sub(a.ended[0].until) > returnWindow {
		a.own.release(a.ended[0].hold)
		a.ended = a.ended[1:]
	}
}

// credit puts returned tokens into the own bucket.
func (a *accountLedger) credit(loan *lentLoan) {
	more := loan.returned - loan.credited
	loan.credited = loan.returned
	a.own.refund(loan.hold, more)
	a.own.lower(loan.hold, loan.most-loan.credited)
}

// freeze ends borrowed loans.
func (a *accountLedger) freeze(now time.Time) {
	for len(a.borrowed) > 0 && !a.borrowed[0].until.After(now) {
		loan := a.borrowed[0]
		a.borrowed = a.borrowed[1:]
		loan.bucket.advance(loan.until)
		loan.bucket.share.Rate = 0
		a.frozen = append(a.frozen, loan)
	}
	a.frozen = slices.DeleteFunc(a.frozen, func(l *borrowedLoan) bool {
		isDone := l.bucket.refundable <= tokenEpsilon && l.isTold && l.told == l.state(l.told.Account)
		return isDone || now.Sub(l.until) > returnWindow
	})
}

// state is what the lender is to know of an ended loan.
func (l *borrowedLoan) state(account string) loanReturn {
	return loanReturn{Account: account, ID: l.id, Returned: max(0, l.bucket.level), Open: l.bucket.refundable}
}

// Returns lists by lender the returns that lenders have not confirmed.
func (l *Ledger) Returns(now time.Time) map[string][]loanReturn {
	out := make(map[string][]loanReturn)
	for name := range l.accounts {
		for _, loan := range l.account(now, name).frozen {
			if state := loan.state(name); !loan.isTold || loan.told != state {
				out[loan.lender] = append(out[loan.lender], state)
			}
		}
	}
	return out
}

// Told notes returns that a lender has confirmed.
func (l *Ledger) Told(now time.Time, returns []loanReturn) {
	for _, r := range returns {
		for _, loan := range l.account(now, r.Account).frozen {
			if loan.id == r.ID {
				loan.told, loan.isTold = r, true
			}
		}
	}
}

// TakeBack credits what a borrower gives back, never more than was lent.
func (l *Ledger) TakeBack(now time.Time, returns []loanReturn) {
	for _, r := range returns {
		a := l.account(now, r.Account)
		for _, loan := range a.lent {
			loan.take(&r)
		}
		for _, loan := range a.ended {
			if loan.take(&r) {
				a.credit(loan)
			}
		}
	}
}

// take notes a return of this loan.
func (l *lentLoan) take(r *loanReturn) bool {
	if l.id != r.ID {
		return false
	}
	l.returned = max(l.returned, math.Min(r.Returned, l.part.Burst))
	l.most = math.Min(l.most, r.Returned+r.Open)
	return true
}
