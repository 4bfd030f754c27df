package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// claim is an idempotency key that this instance holds for one call. It is used by
// one goroutine.
type claim struct {
	claims   *Claims
	key      string
	nonce    string
	hash     []byte
	deadline time.Time
	version  platform.Version
	// isSending is set once this claim is known to have moved the record to
	// StateSending.
	isSending bool
}

func (c *Claims) newClaim(call *relay.ServiceCall) *claim {
	return &claim{claims: c, key: objectKey(call), nonce: uuid.NewString(), hash: requestHash(call), deadline: call.Deadline}
}

// write moves the record to state if its stored version equals expected.
func (c *claim) write(ctx context.Context, state State, response *Response, expected platform.Version) error {
	now := c.claims.clock.Now()
	leaseUntil := now.Add(claimLease)
	if state != StateClaimed {
		leaseUntil = c.deadline.Add(leaseSlack)
	}
	record := Record{
		State: state, Nonce: c.nonce, Holder: c.claims.holder, RequestHash: c.hash,
		LeaseUntilMS: leaseUntil.UnixMilli(), ExpiresMS: now.Add(Retention).UnixMilli(), Response: response,
	}
	value, err := record.encode()
	if err != nil {
		return err
	}
	object, err := platform.PutSettled(ctx, c.claims.objects, c.claims.clock, c.key, value, expected, isOwnWrite(c.nonce, state))
	if err == nil {
		c.version = object.Version
	}
	return err
}

// beforeSend is called before the call is sent to each target. If it fails, nothing
// is sent to that target. The final check of the deadline, by the monotonic clock,
// prevents a holder that was paused beyond its deadline from sending. The pause may
// have been so long that the record of the claim has expired.
func (c *claim) beforeSend(ctx context.Context) error {
	if !c.isSending {
		if err := c.writeSending(ctx); err != nil {
			return err
		}
	}
	if !c.claims.clock.Now().Before(c.deadline) {
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

// finish stores the outcome. If that fails, the caller still gets its response;
// retries get an unknown outcome once the lease has expired.
func (c *claim) finish(ctx context.Context, reply *target.ServiceReply, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	switch {
	case err == nil:
		err = c.storeResponse(ctx, reply)
	case errors.Is(err, ErrInProgress):
		// Another instance took over the key.
		return
	case errors.Is(err, relay.ErrNotRun), errors.Is(err, ErrUnavailable):
		err = c.release(ctx)
	default:
		err = c.write(ctx, StateUnknown, nil, c.version)
	}
	if err != nil {
		c.claims.metrics.unstored.Inc()
		c.claims.log.Warnf("Could not store the outcome of a claimed call: %v.", err)
	}
}

func (c *claim) storeResponse(ctx context.Context, reply *target.ServiceReply) error {
	if len(reply.Body) > maxResponseBytes {
		return c.write(ctx, StateDone, nil, c.version)
	}
	return c.write(ctx, StateDone, newResponse(reply), c.version)
}

// release deletes the record of a call that did not run, so that a retry can run
// it. If the platform fails, the record remains: a claimed record can be taken over,
// and a record in StateSending leads to an unknown outcome.
func (c *claim) release(ctx context.Context) error {
	err := c.claims.objects.Delete(ctx, c.key, c.version)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	// The write to StateSending may have taken effect although its response was
	// lost; c.version is then out of date.
	object, err := c.claims.objects.Get(ctx, c.key)
	if err != nil || !isOwnWrite(c.nonce, StateSending)(object.Value) {
		return nil
	}
	return c.claims.objects.Delete(ctx, c.key, object.Version)
}
