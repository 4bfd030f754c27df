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
	"github.com/google/uuid"
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
		finished: make(chan struct{}, sweepEvery),
	}
}

// Invoke implements Invoker. Calls without a key and idempotent calls go
// through without a claim.
func (c *Claims) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	if call.IdempotencyKey == "" || call.Idempotent {
		return c.next.Invoke(ctx, call)
	}
	claim, answer, err := c.begin(ctx, call)
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

// claim is a key held by this instance for one call. It is used by one
// goroutine.
type claim struct {
	owner    *Claims
	key      string
	nonce    string
	hash     []byte
	deadline time.Time
	version  platform.Version
	// isSending is set once the record is known to be in StateSending by this
	// claim.
	isSending bool
}

func (c *Claims) newClaim(call *relay.ServiceCall) *claim {
	return &claim{owner: c, key: objectKey(call), nonce: uuid.NewString(), hash: requestHash(call), deadline: call.Deadline}
}

// write moves the record to state if its version is expected.
func (c *claim) write(ctx context.Context, state State, answer *Answer, expected platform.Version) error {
	now := c.owner.clock.Now()
	lease := now.Add(claimLease)
	if state != StateClaimed {
		lease = c.deadline.Add(leaseSlack)
	}
	record := Record{
		State: state, Nonce: c.nonce, Holder: c.owner.holder, RequestHash: c.hash,
		LeaseUntilMS: lease.UnixMilli(), ExpiresMS: now.Add(Retention).UnixMilli(), Answer: answer,
	}
	value, err := record.encode()
	if err != nil {
		return err
	}
	object, err := platform.PutSettled(ctx, c.owner.objects, c.owner.clock, c.key, value, expected, isWrite(c.nonce, state))
	if err == nil {
		c.version = object.Version
	}
	return err
}

// sending is called before the first byte of the call is sent, and again before
// each further target. Without its success nothing is sent. The last check of
// the monotonic clock keeps a holder that was paused beyond its deadline, for
// up to the whole retention, from sending.
func (c *claim) sending(ctx context.Context) error {
	if !c.isSending {
		if err := c.writeSending(ctx); err != nil {
			return err
		}
	}
	if !c.owner.clock.Now().Before(c.deadline) {
		return merry.Wrap(relay.ErrNotRun, merry.WithCause(context.DeadlineExceeded))
	}
	return nil
}

func (c *claim) writeSending(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := c.write(ctx, StateSending, nil, c.version)
	switch {
	case err == nil:
		c.isSending = true
		return nil
	case errors.Is(err, platform.ErrConflict):
		return &BusyError{}
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}

// finish stores the outcome. The caller gets its answer also if that fails;
// repeats then get an unknown outcome once the lease has passed.
func (c *claim) finish(ctx context.Context, reply *target.ServiceReply, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	switch {
	case err == nil:
		err = c.storeAnswer(ctx, reply)
	case errors.Is(err, ErrInProgress):
		// Another instance took the key over.
		return
	case errors.Is(err, relay.ErrNotRun), errors.Is(err, ErrUnavailable):
		err = c.release(ctx)
	default:
		err = c.write(ctx, StateUnknown, nil, c.version)
	}
	if err != nil {
		c.owner.metrics.unstored.Inc()
		c.owner.log.Warnf("Outcome of a claim not stored: %v.", err)
	}
}

func (c *claim) storeAnswer(ctx context.Context, reply *target.ServiceReply) error {
	if len(reply.Body) > maxAnswerBytes {
		return c.write(ctx, StateDone, nil, c.version)
	}
	return c.write(ctx, StateDone, newAnswer(reply), c.version)
}

// release deletes the record of a call that did not run, so that a repeat can
// run it. A record that stays because the platform fails can be taken over or
// leads to unknown outcomes.
func (c *claim) release(ctx context.Context) error {
	err := c.owner.objects.Delete(ctx, c.key, c.version)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	// The write to StateSending took effect after its answer was lost.
	object, err := c.owner.objects.Get(ctx, c.key)
	if err != nil || !isWrite(c.nonce, StateSending)(object.Value) {
		return nil
	}
	return c.owner.objects.Delete(ctx, c.key, object.Version)
}
