// Package idempotency lets a non-idempotent service call run at most once under
// a caller's Idempotency-Key, over all instances: the key is claimed by a
// conditional create in the platform before the call and holds its outcome
// afterwards.
package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// HeaderReplayed marks an answer that was kept from an earlier request under
// the same key.
const HeaderReplayed = "Idempotency-Replayed"

// Errors of claims. Requests that end with one of them were not sent to a
// target by this instance.
var (
	// ErrInProgress means that a request under the key is running.
	ErrInProgress = merry.Sentinel("idempotency: a request under this key is running")
	// ErrMismatch means that another request was made under the key.
	ErrMismatch = merry.Sentinel("idempotency: the key was used for another request")
	// ErrUnavailable means that the key could not be claimed.
	ErrUnavailable = merry.Sentinel("idempotency: claim not possible")
)

// Times and sizes of claims.
const (
	// Retention is how long an outcome is kept.
	Retention = 24 * time.Hour
	// claimLease is how long a claim is kept for a holder that has sent nothing.
	claimLease = 15 * time.Second
	// leaseSlack is added to a call's deadline before its outcome counts as lost.
	leaseSlack = 5 * time.Second
	// platformTimeout bounds each claim and each store of an outcome.
	platformTimeout = 2 * time.Second
	// maxTries bounds the claims tried when other instances change the record.
	maxTries = 3
	// maxAnswerBytes is the largest body kept; the rest of a record stays well
	// below platform.MaxValueBytes.
	maxAnswerBytes = 768 << 10
	// retryAfter is the hint given while a request under the key runs.
	retryAfter = time.Second
)

// Invoker runs service calls; relay.Relay is one.
type Invoker interface {
	Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error)
}

// Claims guards the calls of an Invoker. It is safe for concurrent use.
type Claims struct {
	next     Invoker
	objects  platform.Objects
	holder   string
	clock    clockwork.Clock
	log      *log.Logger
	metrics  *metrics
	gate     gate
	finished chan struct{}
}

// New returns claims of the instance holder around next.
func New(next Invoker, objects platform.Objects, holder string, clock clockwork.Clock, logger *log.Logger, registerer prometheus.Registerer) *Claims {
	return &Claims{
		next:     next,
		objects:  objects,
		holder:   holder,
		clock:    clock,
		log:      logger,
		metrics:  newMetrics(registerer),
		gate:     gate{clock: clock},
		finished: make(chan struct{}, sweepEvery),
	}
}

// Invoke implements Invoker. Calls without a key and idempotent calls go
// through without a claim.
func (c *Claims) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	if call.IdempotencyKey == "" || call.Idempotent {
		return c.next.Invoke(ctx, call)
	}
	claim, answer, err := c.tryBegin(ctx, call)
	if err != nil {
		c.metrics.count(err)
		return nil, err
	}
	if answer != nil {
		c.metrics.claims.WithLabelValues("replayed").Inc()
		return answer.reply(), nil
	}
	c.metrics.claims.WithLabelValues("claimed").Inc()
	c.noteClaim()
	guarded := *call
	guarded.BeforeSend = claim.sending
	reply, err := c.next.Invoke(ctx, &guarded)
	claim.finish(ctx, reply, err)
	return reply, err
}

// tryBegin calls begin unless the platform has just failed.
func (c *Claims) tryBegin(ctx context.Context, call *relay.ServiceCall) (*claim, *Answer, error) {
	if !c.gate.admits() {
		return nil, nil, merry.Wrap(ErrUnavailable)
	}
	claim, answer, err := c.begin(ctx, call)
	if ctx.Err() == nil {
		c.gate.note(!errors.Is(err, ErrUnavailable))
	}
	return claim, answer, err
}

// begin claims the key, or returns the answer kept under it, or the reason why
// neither is possible.
func (c *Claims) begin(ctx context.Context, call *relay.ServiceCall) (*claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	claim := c.newClaim(call)
	var expected platform.Version
	for range maxTries {
		err := claim.write(ctx, StateClaimed, nil, expected)
		if err == nil {
			return claim, nil, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return nil, nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
		}
		object, err := c.objects.Get(ctx, claim.key)
		if errors.Is(err, platform.ErrNotFound) {
			expected = 0
			continue
		}
		if err != nil {
			return nil, nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
		}
		answer, err := c.meet(object.Value, claim)
		if answer != nil || err != nil {
			return nil, answer, err
		}
		expected = object.Version
	}
	return nil, nil, &BusyError{}
}

// meet returns what a record of another claim means for this request; nil and
// nil mean that it can be taken over.
func (c *Claims) meet(value []byte, mine *claim) (*Answer, error) {
	record, err := decode(value)
	if err != nil {
		return nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	switch judge(record, mine.hash, c.clock.Now()) {
	case verdictTake:
		return nil, nil
	case verdictReplay:
		if record.Answer == nil {
			return nil, merry.Wrap(relay.ErrOutcomeUnknown, merry.AppendMessage("the call ran, its answer was too large to keep"))
		}
		return record.Answer, nil
	case verdictMismatch:
		return nil, merry.Wrap(ErrMismatch)
	case verdictUnknown:
		return nil, merry.Wrap(relay.ErrOutcomeUnknown, merry.AppendMessage("lost by an earlier request under this key"))
	}
	return nil, &BusyError{}
}

// BusyError tells when to come back while a request under the key runs. It
// unwraps to ErrInProgress.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return ErrInProgress.Error() }

// Unwrap makes errors.Is(err, ErrInProgress) true.
func (*BusyError) Unwrap() error { return ErrInProgress }

// RetryAfterHint returns when a repeat may find the outcome.
func (*BusyError) RetryAfterHint() time.Duration { return retryAfter }
