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
	id    string
	part  Share
	until time.Time
	// epoch is that of the lender's bucket at the grant. Tokens come back only to
	// a bucket of the same epoch.
	epoch uint64
	// returned is the number of tokens that the borrower has given back;
	// credited is the part of it that is in the lender's bucket.
	returned float64
	credited float64
}

// borrowedLoan is a loan as the borrower keeps it. At its end the bucket
// freezes: nothing is taken from it and no tokens accrue, but refunds of
// running requests still come in. Its level is what is given back.
type borrowedLoan struct {
	id     string
	lender string
	bucket *bucket
	until  time.Time
	// told is the level that the lender has confirmed.
	told float64
}

// loanReturn gives tokens of an ended loan back. Returned is the sum so far, so
// that lost, repeated and reordered messages do no harm.
type loanReturn struct {
	Account  string  `msgpack:"a"`
	ID       string  `msgpack:"i"`
	Returned float64 `msgpack:"r"`
}

// endLent takes back the capacity of loans that are over.
func (a *accountLedger) endLent(now time.Time) {
	for len(a.lent) > 0 && !a.lent[0].until.After(now) {
		loan := a.lent[0]
		a.own.advance(loan.until)
		a.lent = a.lent[1:]
		a.fit()
		a.ended = append(a.ended, loan)
		a.credit(loan)
	}
	a.ended = slices.DeleteFunc(a.ended, func(l *lentLoan) bool { return now.Sub(l.until) > returnWindow })
}

// credit puts returned tokens into the own bucket.
func (a *accountLedger) credit(loan *lentLoan) {
	more := loan.returned - loan.credited
	loan.credited = loan.returned
	a.own.settle(loan.epoch, 0, more)
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
		isDone := l.bucket.outstanding <= tokenEpsilon && l.told >= l.bucket.level
		return isDone || now.Sub(l.until) > returnWindow
	})
}

// Returns lists by lender the returns that lenders have not confirmed.
func (l *Ledger) Returns(now time.Time) map[string][]loanReturn {
	out := make(map[string][]loanReturn)
	for name := range l.accounts {
		for _, loan := range l.account(now, name).frozen {
			if loan.bucket.level > loan.told {
				out[loan.lender] = append(out[loan.lender], loanReturn{Account: name, ID: loan.id, Returned: loan.bucket.level})
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
				loan.told = max(loan.told, r.Returned)
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
	return true
}
