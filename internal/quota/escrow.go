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

// Config is what an Escrow works with.
type Config struct {
	Environment string
	Mesh        mesh.Mesh
	Objects     platform.Objects
	Views       func() *environment.View
	Members     func() []membership.Member
	Clock       clockwork.Clock
	Log         *log.Logger
	Metrics     prometheus.Registerer
	// Random orders the peers that are asked for loans; nil stands for a random
	// seed.
	Random *rand.Rand
}

// Escrow bounds each account over all instances: the rate and burst are divided
// among availability zones and their instances, and no instance spends more
// than it holds. It implements Limiter and is safe for concurrent use.
//
// Lock order: syncMu before mu. No call leaves the process while mu is held.
type Escrow struct {
	config   Config
	self     mesh.Peer
	metrics  *metrics
	notified chan struct{}

	// syncMu orders the work on divisions.
	syncMu sync.Mutex
	sync   syncState

	mu     sync.Mutex
	ledger *Ledger
	// loanBackoffs tells until when no peer is asked for tokens of an account again.
	loanBackoffs map[string]loanBackoff
	slow         map[string]time.Time
	// keptGeneration is the newest generation of the zone's division that the
	// ledger keeps.
	keptGeneration uint64
	incarnation    string
}

// loanBackoff backs off from asking peers that had nothing to spare.
type loanBackoff struct {
	until time.Time
	wait  time.Duration
}

var _ Limiter = (*Escrow)(nil)

// New returns an escrow without shares and sets its handlers on the mesh.
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
		slow:         make(map[string]time.Time),
		incarnation:  uuid.NewString(),
	}
	mesh.Handle(c.Mesh, methodLoan, e.onLoan)
	mesh.Handle(c.Mesh, methodReturn, e.onReturn)
	mesh.Handle(c.Mesh, methodKept, e.onKept)
	return e
}

// Reserve implements Limiter. If the instance has too few tokens, it asks peers
// for loans for at most gatherLimit.
func (e *Escrow) Reserve(ctx context.Context, account string, tokens int64) (Reservation, error) {
	record := e.config.Views().Account(account)
	if record == nil {
		return nil, e.refuse(account, tokens, ReasonNoAccount, time.Second)
	}
	if tokens > record.BurstTokens {
		return nil, e.refuse(account, tokens, ReasonTooLarge, 0)
	}
	tokens = max(0, tokens)
	e.noteDemand(account, tokens)
	if r := e.take(account, tokens); r != nil {
		return r, nil
	}
	if e.mayAsk(account) {
		gathered := e.gather(ctx, account, tokens)
		if r := e.take(account, tokens); r != nil {
			e.noteGathered(account, true)
			return r, nil
		}
		e.noteGathered(account, gathered)
	}
	return nil, e.refuseFor(account, tokens, record)
}

func (e *Escrow) noteDemand(account string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.NoteDemand(e.now(), account, tokens)
}

// take reserves at hand tokens or returns nil.
func (e *Escrow) take(account string, tokens int64) Reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.ledger.Reserve(e.now(), account, tokens)
	if held == nil {
		return nil
	}
	e.metrics.reserved.WithLabelValues(account).Add(float64(tokens))
	return &escrowReservation{escrow: e, held: held}
}

// refuseFor refuses a request that is larger than what is at hand. The time to
// come back is that in which the account's whole rate brings what is missing.
func (e *Escrow) refuseFor(account string, tokens int64, record *environment.Account) error {
	e.mu.Lock()
	now := e.now()
	missing := e.ledger.Missing(now, account, tokens)
	reason := ReasonRate
	if !e.ledger.isLeased(now) {
		reason = ReasonNoShare
	}
	e.mu.Unlock()
	after := time.Duration(missing / float64(record.RateTokensPerSecond) * float64(time.Second))
	return e.refuse(account, tokens, reason, max(minRetryAfter, after))
}

// minRetryAfter is the shortest time to come back after a refusal.
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
	escrow *Escrow
	held   *Held
}

// Settle implements Reservation.
func (r *escrowReservation) Settle(used int64) {
	e := r.escrow
	e.mu.Lock()
	defer e.mu.Unlock()
	e.metrics.settled.WithLabelValues(r.held.account).Add(float64(max(0, used)))
	e.ledger.Settle(e.now(), r.held, max(0, used))
}
