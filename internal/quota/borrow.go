package quota

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	methodLoan    = "quota.loan"
	methodReturn  = "quota.return"
	methodApplied = "quota.kept"

	// borrowTimeout bounds the time that a request spends on borrowing.
	borrowTimeout = 100 * time.Millisecond
	// loanTimeout is the timeout of one loan request to a peer.
	loanTimeout = 30 * time.Millisecond
	// maxLenders is the maximum number of peers asked for one request.
	maxLenders = 24
	// slowPeerBackoff is how long a peer is not asked after a failed loan
	// request.
	slowPeerBackoff = time.Second
	// returnInterval is the time between two rounds of returning loans.
	returnInterval = 500 * time.Millisecond
	// returnTimeout is the timeout of one return request.
	returnTimeout = 200 * time.Millisecond
	// minLoanBackoff and maxLoanBackoff bound the time without loan requests
	// after no peer lent anything.
	minLoanBackoff = 50 * time.Millisecond
	maxLoanBackoff = time.Second
)

// borrowFromPeers asks peers one after the other until the request can be
// reserved. It reports whether any peer lent tokens.
func (e *Escrow) borrowFromPeers(ctx context.Context, account string, tokens int64) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	borrowed := false
	for _, peer := range e.lenders() {
		wanted, ok := e.wantedLoan(account, tokens)
		if !ok || ctx.Err() != nil {
			break
		}
		if e.borrow(ctx, peer, account, wanted) {
			borrowed = true
		}
	}
	return borrowed
}

// wantedLoan returns the loan to request from the next peer, or false if no
// tokens are missing.
func (e *Escrow) wantedLoan(account string, tokens int64) (Share, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	shortfall := e.ledger.Shortfall(now, account, tokens)
	if shortfall == 0 {
		return Share{}, false
	}
	return e.ledger.WantedLoan(now, account, shortfall), true
}

// borrow asks one peer for a loan and reports whether it lent tokens.
func (e *Escrow) borrow(ctx context.Context, peer, account string, wanted Share) bool {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	requestedAt := e.now()
	request := &loanRequest{ID: uuid.NewString(), Account: account, Wanted: wanted}
	response, err := mesh.Call[loanRequest, loanResponse](ctx, e.config.Mesh, peer, methodLoan, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if err != nil {
		e.slowUntil[peer] = now.Add(slowPeerBackoff)
		return false
	}
	e.ledger.Accept(now, requestedAt, peer, request, response)
	e.metrics.borrowed.WithLabelValues(account).Add(response.Tokens)
	return response.Tokens > 0
}

// onLoan handles the loan request of a peer.
func (e *Escrow) onLoan(_ context.Context, _ mesh.Peer, r *loanRequest) (*loanResponse, error) {
	if e.config.Views().Account(r.Account) == nil {
		return &loanResponse{}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	response := e.ledger.Grant(e.now(), r)
	e.metrics.lent.WithLabelValues(r.Account).Add(response.Tokens)
	return response, nil
}

// returnRequest returns tokens of ended loans to their lender.
type returnRequest struct {
	Returns []loanReturn `msgpack:"r"`
}

type returnResponse struct{}

// ReturnLoans returns the unused tokens of ended loans to their lenders. The
// next call retries returns that were not confirmed.
func (e *Escrow) ReturnLoans(ctx context.Context) {
	e.mu.Lock()
	returns := e.ledger.UnconfirmedReturns(e.now())
	e.mu.Unlock()
	for _, lender := range slices.Sorted(maps.Keys(returns)) {
		list := returns[lender]
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		_, err := mesh.Call[returnRequest, returnResponse](ctx, e.config.Mesh, lender, methodReturn, &returnRequest{Returns: list})
		cancel()
		if err == nil {
			e.mu.Lock()
			e.ledger.ConfirmReturns(e.now(), list)
			e.mu.Unlock()
		}
	}
}

func (e *Escrow) onReturn(_ context.Context, _ mesh.Peer, r *returnRequest) (*returnResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.ApplyReturns(e.now(), r.Returns)
	return &returnResponse{}, nil
}

// returnLoop returns the tokens of ended loans regularly until ctx ends.
func (e *Escrow) returnLoop(ctx context.Context) {
	ticker := e.config.Clock.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			e.ReturnLoans(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// lenders returns the peers to ask for loans: those of the own zone first, then
// those of other zones. The order within both groups is random, so that the
// load of lending spreads over the peers.
func (e *Escrow) lenders() []string {
	var sameZone, otherZones []string
	members := e.config.Members()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, m := range members {
		if m.Name == e.self.Name || now.Before(e.slowUntil[m.Name]) {
			continue
		}
		if m.Zone == e.self.Zone {
			sameZone = append(sameZone, m.Name)
		} else {
			otherZones = append(otherZones, m.Name)
		}
	}
	e.config.Random.Shuffle(len(sameZone), func(i, j int) { sameZone[i], sameZone[j] = sameZone[j], sameZone[i] })
	e.config.Random.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	all := append(sameZone, otherZones...)
	return all[:min(maxLenders, len(all))]
}

// mayBorrow reports whether the loan backoff of the account is over.
func (e *Escrow) mayBorrow(account string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.now().Before(e.loanBackoffs[account].until)
}

// updateLoanBackoff resets the loan backoff of the account if the request was
// reserved or peers lent tokens, and doubles it otherwise.
func (e *Escrow) updateLoanBackoff(account string, succeeded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if succeeded {
		delete(e.loanBackoffs, account)
		return
	}
	wait := min(maxLoanBackoff, max(minLoanBackoff, 2*e.loanBackoffs[account].wait))
	e.loanBackoffs[account] = loanBackoff{until: e.now().Add(wait), wait: wait}
}
