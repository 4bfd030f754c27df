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
	methodLoan   = "quota.loan"
	methodReturn = "quota.return"
	methodKept   = "quota.kept"

	// gatherLimit bounds the time that a request waits for loans.
	gatherLimit = 100 * time.Millisecond
	// loanTimeout bounds the answer of one peer.
	loanTimeout = 30 * time.Millisecond
	// maxAsked bounds the peers asked for one request.
	maxAsked = 24
	// slowFor is how long a peer that did not answer is not asked again.
	slowFor = time.Second
	// returnInterval is the time between messages that give tokens back.
	returnInterval = 500 * time.Millisecond
	// returnTimeout bounds the answer to one of them.
	returnTimeout = 200 * time.Millisecond
	// minLoanBackoff and maxLoanBackoff bound the time without asking after all peers had too
	// little.
	minLoanBackoff = 50 * time.Millisecond
	maxLoanBackoff = time.Second
)

// gather asks peers one after the other until the request can be reserved. It
// reports whether any gave something.
func (e *Escrow) gather(ctx context.Context, account string, tokens int64) bool {
	ctx, cancel := context.WithTimeout(ctx, gatherLimit)
	defer cancel()
	gathered := false
	for _, peer := range e.lenders() {
		wanted, ok := e.wanted(account, tokens)
		if !ok || ctx.Err() != nil {
			break
		}
		if e.borrow(ctx, peer, account, wanted) {
			gathered = true
		}
	}
	return gathered
}

// wanted returns what to ask the next peer for; false if nothing is missing.
func (e *Escrow) wanted(account string, tokens int64) (Share, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	missing := e.ledger.Missing(now, account, tokens)
	if missing == 0 {
		return Share{}, false
	}
	return e.ledger.Wanted(now, account, missing), true
}

// borrow asks one peer and reports whether it gave something.
func (e *Escrow) borrow(ctx context.Context, peer, account string, wanted Share) bool {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	asked := e.now()
	request := &loanRequest{ID: uuid.NewString(), Account: account, Wanted: wanted}
	answer, err := mesh.Call[loanRequest, loanAnswer](ctx, e.config.Mesh, peer, methodLoan, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if err != nil {
		e.slow[peer] = now.Add(slowFor)
		return false
	}
	e.ledger.Accept(now, asked, peer, request, answer)
	e.metrics.borrowed.WithLabelValues(account).Add(answer.Tokens)
	return answer.Tokens > 0
}

// onLoan lends to a peer.
func (e *Escrow) onLoan(_ context.Context, _ mesh.Peer, r *loanRequest) (*loanAnswer, error) {
	if e.config.Views().Account(r.Account) == nil {
		return &loanAnswer{}, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := e.ledger.Grant(e.now(), r)
	e.metrics.lent.WithLabelValues(r.Account).Add(answer.Tokens)
	return answer, nil
}

// returnMessage gives tokens of ended loans back.
type returnMessage struct {
	Returns []loanReturn `msgpack:"r"`
}

type returnAnswer struct{}

// ReturnLoans gives back what is left of ended loans. Returns that are not
// confirmed are repeated by the next call.
func (e *Escrow) ReturnLoans(ctx context.Context) {
	e.mu.Lock()
	returns := e.ledger.Returns(e.now())
	e.mu.Unlock()
	for _, lender := range slices.Sorted(maps.Keys(returns)) {
		list := returns[lender]
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		_, err := mesh.Call[returnMessage, returnAnswer](ctx, e.config.Mesh, lender, methodReturn, &returnMessage{Returns: list})
		cancel()
		if err == nil {
			e.mu.Lock()
			e.ledger.Told(e.now(), list)
			e.mu.Unlock()
		}
	}
}

func (e *Escrow) onReturn(_ context.Context, _ mesh.Peer, m *returnMessage) (*returnAnswer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.TakeBack(e.now(), m.Returns)
	return &returnAnswer{}, nil
}

// returnRegularly gives loans back until ctx ends.
func (e *Escrow) returnRegularly(ctx context.Context) {
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

// lenders returns the peers to ask, those of the own zone first, in random
// order within each part, so that loans spread.
func (e *Escrow) lenders() []string {
	var near, far []string
	members := e.config.Members()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, m := range members {
		if m.Name == e.self.Name || now.Before(e.slow[m.Name]) {
			continue
		}
		if m.Zone == e.self.Zone {
			near = append(near, m.Name)
		} else {
			far = append(far, m.Name)
		}
	}
	e.config.Random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	e.config.Random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near, far...)
	return all[:min(maxAsked, len(all))]
}

// mayAsk reports whether peers may have tokens of the account.
func (e *Escrow) mayAsk(account string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.now().Before(e.loanBackoffs[account].until)
}

// noteGathered backs off from asking while peers have nothing.
func (e *Escrow) noteGathered(account string, gathered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if gathered {
		delete(e.loanBackoffs, account)
		return
	}
	wait := min(maxLoanBackoff, max(minLoanBackoff, 2*e.loanBackoffs[account].wait))
	e.loanBackoffs[account] = loanBackoff{until: e.now().Add(wait), wait: wait}
}
