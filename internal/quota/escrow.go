package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// Config configures an Escrow.
type Config struct {
	Environment string
	Mesh        mesh.Mesh
	Objects     platform.Objects
	Views       func() *environment.View
	Members     func() []membership.Member
	Clock       clockwork.Clock
	Log         *log.Logger
	Metrics     prometheus.Registerer
	// Random shuffles the peers that are asked for loans. If it is nil, New
	// uses a random seed.
	Random *rand.Rand
}

// Escrow enforces the rate and burst of each account across all instances. It
// follows the escrow method: the rate and burst are divided among availability
// zones and their instances, and each instance spends at most the share that it
// holds and the loans of its peers. Escrow implements Limiter and is safe for
// concurrent use.
//
// Lock order: syncMu before mu. No remote call is made while mu is held.
type Escrow struct {
	config   Config
	self     mesh.Peer
	metrics  *metrics
	notified chan struct{}

	// syncMu guards sync and serializes writes of divisions.
	syncMu sync.Mutex
	sync   syncState

	mu     sync.Mutex
	ledger *Ledger
	// loanBackoffs holds the loan backoff of each account.
	loanBackoffs map[string]loanBackoff
	slowUntil    map[string]time.Time
	// appliedGeneration is the newest generation of the zone's division that
	// the ledger has applied.
	appliedGeneration uint64
	incarnation       string
}

// loanBackoff is a time without loan requests after no peer lent tokens. It
// lasts wait and ends at until.
type loanBackoff struct {
	until time.Time
	wait  time.Duration
}

var _ Limiter = (*Escrow)(nil)

// New returns an escrow without shares and registers its handlers on the mesh.
func New(c Config) *Escrow {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &Escrow{
		config:       c,
		self:         c.Mesh.Self(),
		metrics:      newMetrics(c.Metrics),
		notified:     make(chan struct{}, 1),
		sync:         newSyncState(),
		ledger:       NewLedger(),
		loanBackoffs: make(map[string]loanBackoff),
		slowUntil:    make(map[string]time.Time),
		incarnation:  uuid.NewString(),
	}
	mesh.Handle(c.Mesh, methodLoan, e.onLoan)
	mesh.Handle(c.Mesh, methodReturn, e.onReturn)
	mesh.Handle(c.Mesh, methodApplied, e.onApplied)
	return e
}

// Reserve implements Limiter. If the instance has too few tokens, it asks peers
// for loans for at most borrowTimeout.
func (e *Escrow) Reserve(ctx context.Context, account string, tokens int64) (Reservation, error) {
	record := e.config.Views().Account(account)
	if record == nil {
		return nil, e.refuse(account, tokens, ReasonNoAccount, time.Second)
	}
	if tokens > record.BurstTokens {
		return nil, e.refuse(account, tokens, ReasonTooLarge, 0)
	}
	tokens = max(0, tokens)
	e.recordDemand(account, tokens)
	if r := e.tryReserve(account, tokens); r != nil {
		return r, nil
	}
	if e.mayBorrow(account) {
		borrowed := e.borrowFromPeers(ctx, account, tokens)
		if r := e.tryReserve(account, tokens); r != nil {
			e.updateLoanBackoff(account, true)
			return r, nil
		}
		e.updateLoanBackoff(account, borrowed)
	}
	return nil, e.refuseShortfall(account, tokens, record)
}

func (e *Escrow) recordDemand(account string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.RecordDemand(e.now(), account, tokens)
}

// tryReserve reserves tokens that the instance owns or has borrowed. It returns
// nil if they do not suffice.
func (e *Escrow) tryReserve(account string, tokens int64) Reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	reservation := e.ledger.Reserve(e.now(), account, tokens)
	if reservation == nil {
		return nil
	}
	e.metrics.reserved.WithLabelValues(account).Add(float64(tokens))
	return &escrowReservation{escrow: e, reservation: reservation}
}

// refuseShortfall refuses a request that exceeds the available tokens.
// RetryAfter is the time in which the account's whole rate adds the missing
// tokens.
func (e *Escrow) refuseShortfall(account string, tokens int64, record *environment.Account) error {
	e.mu.Lock()
	now := e.now()
	shortfall := e.ledger.Shortfall(now, account, tokens)
	reason := ReasonRate
	if !e.ledger.isLeased(now) {
		reason = ReasonNoShare
	}
	e.mu.Unlock()
	after := time.Duration(shortfall / float64(record.RateTokensPerSecond) * float64(time.Second))
	return e.refuse(account, tokens, reason, max(minRetryAfter, after))
}

// minRetryAfter is the minimum of RetryAfter for refusals because of missing
// tokens.
const minRetryAfter = 100 * time.Millisecond

func (e *Escrow) refuse(account string, tokens int64, reason Reason, after time.Duration) error {
	label := account
	if reason == ReasonNoAccount {
		label = ""
	}
	e.metrics.refused.WithLabelValues(label, string(reason)).Inc()
	return &RefusedError{Account: account, Tokens: tokens, Reason: reason, RetryAfter: after}
}

func (e *Escrow) now() time.Time { return e.config.Clock.Now() }

type escrowReservation struct {
	escrow      *Escrow
	reservation *LedgerReservation
}

// Settle implements Reservation.
func (r *escrowReservation) Settle(used int64) {
	e := r.escrow
	e.mu.Lock()
	defer e.mu.Unlock()
	e.metrics.settled.WithLabelValues(r.reservation.account).Add(float64(max(0, used)))
	e.ledger.Settle(e.now(), r.reservation, max(0, used))
}
