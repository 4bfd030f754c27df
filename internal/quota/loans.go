package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// keepAhead is the time for whose demand a lender keeps tokens.
	keepAhead = 500 * time.Millisecond
	// borrowAhead is the time for whose demand a borrower asks tokens beyond the
	// request at hand.
	borrowAhead = 500 * time.Millisecond
	// rateCapacity is the time for whose tokens a lent rate comes with capacity.
	// Calls that last longer may lose some of their refunds.
	rateCapacity = 4 * time.Second
	// demandMargin is the factor on a lender's demand for the rate that it keeps.
	demandMargin = 1.2
)

// loanRequest asks a peer for tokens and rate.
type loanRequest struct {
	// ID makes a repeat of the request get the same loan.
	ID      string `msgpack:"i"`
	Account string `msgpack:"a"`
	// Wanted.Burst is the number of tokens wanted.
	Wanted Share `msgpack:"w"`
}

// loanAnswer is what a lender gives. It has deducted Part already.
type loanAnswer struct {
	Part Share `msgpack:"p"`
	// Tokens come with the loan; the rest of its capacity is empty.
	Tokens float64 `msgpack:"t"`
	// LastsMS is the duration of the loan in milliseconds. The borrower counts it
	// from when it asked.
	LastsMS int64 `msgpack:"l"`
}

// Wanted returns what to ask peers for, given the tokens that a request misses.
func (l *Ledger) Wanted(now time.Time, name string, missing float64) Share {
	a := l.account(now, name)
	a.decayDemand(now)
	rate := a.demand*demandMargin - a.own.share.Rate
	for _, b := range a.borrowed {
		rate -= b.bucket.share.Rate
	}
	rate = math.Max(0, rate)
	return Share{Rate: rate, Burst: missing + rate*borrowAhead.Seconds()}
}

// Grant lends what the instance can spare. The same request within the time of
// the loan gets the same loan.
func (l *Ledger) Grant(now time.Time, r *loanRequest) *loanAnswer {
	a := l.account(now, r.Account)
	for _, known := range a.lent {
		if known.id == r.ID {
			return &loanAnswer{Part: known.part, Tokens: known.tokens, LastsMS: known.until.Sub(now).Milliseconds()}
		}
	}
	lasts := min(loanDuration, l.leaseUntil.Sub(now))
	if lasts <= 0 {
		return &loanAnswer{}
	}
	part, tokens := a.spare(now, r.Wanted)
	if part.Burst <= 0 {
		return &loanAnswer{}
	}
	a.own.moveOut(part, tokens)
	a.lent = append(a.lent, &lentLoan{id: r.ID, part: part, tokens: tokens, most: part.Burst, until: now.Add(lasts)})
	sort.SliceStable(a.lent, func(i, j int) bool { return a.lent[i].until.Before(a.lent[j].until) })
	return &loanAnswer{Part: part, Tokens: tokens, LastsMS: lasts.Milliseconds()}
}

// spare returns what of wanted the instance does not need soon itself. A rate
// comes with capacity for what it brings.
func (a *accountLedger) spare(now time.Time, wanted Share) (part Share, tokens float64) {
	a.decayDemand(now)
	keep := a.demand * keepAhead.Seconds()
	tokens = math.Max(0, math.Min(wanted.Burst, math.Min(a.own.level, a.own.share.Burst)-keep))
	part.Rate = math.Max(0, math.Min(wanted.Rate, a.own.share.Rate-a.demand*demandMargin))
	part.Burst = tokens + math.Min(a.own.room(), part.Rate*rateCapacity.Seconds())
	return part, tokens
}

// Accept takes a loan that lender was asked for at asked. A loan that is over
// already is lost.
func (l *Ledger) Accept(now, asked time.Time, lender string, r *loanRequest, answer *loanAnswer) {
	until := asked.Add(time.Duration(answer.LastsMS) * time.Millisecond)
	if answer.Part.Burst <= 0 || !until.After(now) {
		return
	}
	a := l.account(now, r.Account)
	a.borrowed = append(a.borrowed, &borrowedLoan{
		id:     r.ID,
		lender: lender,
		bucket: newBucket(now, answer.Part, min(answer.Tokens, answer.Part.Burst)),
		until:  until,
	})
	sort.SliceStable(a.borrowed, func(i, j int) bool { return a.borrowed[i].until.Before(a.borrowed[j].until) })
}
