package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// lenderDemandHorizon is the time for which a lender keeps the tokens of its
	// estimated demand.
	lenderDemandHorizon = 500 * time.Millisecond
	// borrowerDemandHorizon is the time for which a borrower requests, beyond
	// the current request, the tokens of the demand that its own rate and the
	// borrowed rates do not cover.
	borrowerDemandHorizon = 500 * time.Millisecond
	// lentRateHorizon is how long an unused loan accrues tokens at the lent rate
	// before its burst is full, if the lender has the headroom. Requests that
	// last longer may lose some of their refunds.
	lentRateHorizon = 4 * time.Second
	// demandMargin is the factor on the demand estimate that gives the rate
	// which a lender keeps and a borrower aims at.
	demandMargin = 1.2
)

// loanRequest asks a peer to lend tokens and rate.
type loanRequest struct {
	// ID identifies the request. A retry with the same ID gets the same loan.
	ID      string `msgpack:"i"`
	Account string `msgpack:"a"`
	// Wanted.Burst is the number of tokens wanted.
	Wanted Share `msgpack:"w"`
}

// loanResponse is the loan that a lender grants. The lender has already
// deducted Share.
type loanResponse struct {
	Share Share `msgpack:"p"`
	// Tokens is the initial level of the loan. The rest of its burst is empty.
	Tokens float64 `msgpack:"t"`
	// DurationMS is the duration of the loan in milliseconds. The borrower
	// counts it from the time of its request.
	DurationMS int64 `msgpack:"l"`
}

// WantedLoan returns the loan to request from peers for a request that lacks
// shortfall tokens.
func (l *Ledger) WantedLoan(now time.Time, name string, shortfall float64) Share {
	a := l.account(now, name)
	a.decayDemand(now)
	rate := a.demand*demandMargin - a.own.share.Rate
	for _, b := range a.borrowed {
		rate -= b.bucket.share.Rate
	}
	rate = math.Max(0, rate)
	return Share{Rate: rate, Burst: shortfall + rate*borrowerDemandHorizon.Seconds()}
}

// Grant lends what the instance can spare. A retry of a request gets the same
// loan until the loan expires.
func (l *Ledger) Grant(now time.Time, r *loanRequest) *loanResponse {
	a := l.account(now, r.Account)
	for _, known := range a.lent {
		if known.id == r.ID {
			return &loanResponse{Share: known.share, Tokens: known.tokens, DurationMS: known.expiresAt.Sub(now).Milliseconds()}
		}
	}
	duration := min(maxLoanDuration, l.leaseUntil.Sub(now))
	if duration <= 0 {
		return &loanResponse{}
	}
	share, tokens := a.lendable(now, r.Wanted)
	if share.Burst <= 0 {
		return &loanResponse{}
	}
	a.own.withdraw(share, tokens)
	a.lent = append(a.lent, &lentLoan{id: r.ID, share: share, tokens: tokens, maxReturned: share.Burst, expiresAt: now.Add(duration)})
	sort.SliceStable(a.lent, func(i, j int) bool { return a.lent[i].expiresAt.Before(a.lent[j].expiresAt) })
	return &loanResponse{Share: share, Tokens: tokens, DurationMS: duration.Milliseconds()}
}

// lendable returns the part of wanted that the instance does not expect to need
// soon. A rate is lent together with burst for the tokens that it adds.
func (a *accountLedger) lendable(now time.Time, wanted Share) (share Share, tokens float64) {
	a.decayDemand(now)
	ownDemand := a.demand * lenderDemandHorizon.Seconds()
	tokens = math.Max(0, math.Min(wanted.Burst, math.Min(a.own.level, a.own.share.Burst)-ownDemand))
	share.Rate = math.Max(0, math.Min(wanted.Rate, a.own.share.Rate-a.demand*demandMargin))
	share.Burst = tokens + math.Min(a.own.headroom(), share.Rate*lentRateHorizon.Seconds())
	return share, tokens
}

// Accept adds a loan that was requested from lender at requestedAt. A loan that
// has already expired is lost.
func (l *Ledger) Accept(now, requestedAt time.Time, lender string, r *loanRequest, response *loanResponse) {
	expiresAt := requestedAt.Add(time.Duration(response.DurationMS) * time.Millisecond)
	if response.Share.Burst <= 0 || !expiresAt.After(now) {
		return
	}
	a := l.account(now, r.Account)
	a.borrowed = append(a.borrowed, &borrowedLoan{
		id:        r.ID,
		lender:    lender,
		bucket:    newBucket(now, response.Share, min(response.Tokens, response.Share.Burst)),
		expiresAt: expiresAt,
	})
	sort.SliceStable(a.borrowed, func(i, j int) bool { return a.borrowed[i].expiresAt.Before(a.borrowed[j].expiresAt) })
}
