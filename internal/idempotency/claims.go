// Package idempotency ensures that a non-idempotent service call runs at most once
// per Idempotency-Key of its caller, across all instances. The key is claimed by a
// conditional create in the platform before the call, and its record holds the
// outcome afterwards.
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

// HeaderReplayed marks a response that was stored by an earlier request under the
// same key.
const HeaderReplayed = "Idempotency-Replayed"

// Errors of claims. A request that ends with one of them was not sent to a target
// by this instance.
var (
	// ErrInProgress means that a request under the key is running.
	ErrInProgress = merry.Sentinel("idempotency: a request under this key is running")
	// ErrMismatch means that the key was used for a different request.
	ErrMismatch = merry.Sentinel("idempotency: the key was used for another request")
	// ErrUnavailable means that the key could not be claimed.
	ErrUnavailable = merry.Sentinel("idempotency: claim not possible")
)

// Durations and limits of claims.
const (
	// Retention is how long an outcome is stored.
	Retention = 24 * time.Hour
	// claimLease is the lease of a claim whose holder has sent nothing yet.
	claimLease = 15 * time.Second
	// leaseSlack is the time after a call's deadline until a missing outcome counts
	// as lost.
	leaseSlack = 5 * time.Second
	// platformTimeout limits each claim, each later write of its record and the
	// release of the key.
	platformTimeout = 2 * time.Second
	// maxClaimAttempts limits the attempts to claim a key while other instances
	// change its record.
	maxClaimAttempts = 3
	// maxResponseBytes is the largest body that is stored. It leaves room for the
	// rest of the record below platform.MaxValueBytes.
	maxResponseBytes = 768 << 10
	// retryAfter is the retry delay reported while a request under the key runs.
	retryAfter = time.Second
)

// Invoker runs service calls. It is implemented by relay.Relay.
type Invoker interface {
	Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error)
}

// Claims wraps an Invoker and claims the idempotency keys of calls before they are
// sent. It is safe for concurrent use.
type Claims struct {
	next    Invoker
	objects platform.Objects
	holder  string
	clock   clockwork.Clock
	log     *log.Logger
	metrics *metrics
	breaker breaker
	claimed chan struct{}
}

// New returns Claims that wrap next. The argument holder is the name of this
// instance.
func New(next Invoker, objects platform.Objects, holder string, clock clockwork.Clock, logger *log.Logger, registerer prometheus.Registerer) *Claims {
	return &Claims{
		next:    next,
		objects: objects,
		holder:  holder,
		clock:   clock,
		log:     logger,
		metrics: newMetrics(registerer),
		breaker: breaker{clock: clock},
		claimed: make(chan struct{}, claimsPerSweep),
	}
}

// Invoke implements Invoker. Calls without a key and idempotent calls are passed to
// the wrapped Invoker without a claim.
func (c *Claims) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	if call.IdempotencyKey == "" || call.Idempotent {
		return c.next.Invoke(ctx, call)
	}
	claim, response, err := c.tryAcquire(ctx, call)
	if err != nil {
		c.metrics.countRejection(err)
		return nil, err
	}
	if response != nil {
		c.metrics.claims.WithLabelValues("replayed").Inc()
		return response.reply(), nil
	}
	c.metrics.claims.WithLabelValues("claimed").Inc()
	c.notifySweeper()
	claimedCall := *call
	claimedCall.BeforeSend = func(ctx context.Context) error {
		if err := claim.beforeSend(ctx); err != nil || call.BeforeSend == nil {
			return err
		}
		// The caller's BeforeSend runs last, because writing the claim takes time.
		return call.BeforeSend(ctx)
	}
	reply, err := c.next.Invoke(ctx, &claimedCall)
	claim.finish(ctx, reply, err)
	return reply, err
}

// tryAcquire calls acquire unless the breaker rejects the claim.
func (c *Claims) tryAcquire(ctx context.Context, call *relay.ServiceCall) (*claim, *Response, error) {
	if !c.breaker.allows() {
		return nil, nil, merry.Wrap(ErrUnavailable)
	}
	claim, response, err := c.acquire(ctx, call)
	if ctx.Err() == nil {
		c.breaker.record(!errors.Is(err, ErrUnavailable))
	}
	return claim, response, err
}

// acquire claims the key or returns the response stored under it. If it can do
// neither, it returns an error.
func (c *Claims) acquire(ctx context.Context, call *relay.ServiceCall) (*claim, *Response, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	claim := c.newClaim(call)
	var expected platform.Version
	for range maxClaimAttempts {
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
		response, err := c.checkExisting(object.Value, claim)
		if response != nil || err != nil {
			return nil, response, err
		}
		expected = object.Version
	}
	return nil, nil, &BusyError{}
}

// checkExisting evaluates the record of another claim for the request of own. It
// returns the stored response, an error, or nil and nil if own can take over the
// record.
func (c *Claims) checkExisting(value []byte, own *claim) (*Response, error) {
	record, err := decode(value)
	if err != nil {
		return nil, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	switch evaluate(record, own.hash, c.clock.Now()) {
	case verdictClaimable:
		return nil, nil
	case verdictReplay:
		if record.Response == nil {
			return nil, merry.Wrap(relay.ErrOutcomeUnknown, merry.AppendMessage("the call ran, its answer was too large to keep"))
		}
		return record.Response, nil
	case verdictMismatch:
		return nil, merry.Wrap(ErrMismatch)
	case verdictUnknown:
		return nil, merry.Wrap(relay.ErrOutcomeUnknown, merry.AppendMessage("lost by an earlier request under this key"))
	}
	return nil, &BusyError{}
}

// BusyError means that a request under the key is running, and has a hint when to
// retry. It unwraps to ErrInProgress.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return ErrInProgress.Error() }

// Unwrap makes errors.Is(err, ErrInProgress) true.
func (*BusyError) Unwrap() error { return ErrInProgress }

// RetryAfterHint returns the delay after which a retry may find the outcome.
func (*BusyError) RetryAfterHint() time.Duration { return retryAfter }
