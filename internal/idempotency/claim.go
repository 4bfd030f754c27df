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
