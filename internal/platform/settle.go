package platform

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
)

// Backoff of PutSettled.
const (
	settleFirstWait = 50 * time.Millisecond
	settleMaxWait   = 2 * time.Second
)

// PutSettled writes like Objects.Put and learns the outcome of a write whose
// answer was lost. It repeats the same conditional write, of which at most one
// can take effect, and reads back after a conflict. The function isMine reports
// whether a stored value contains this write, for example by its nonce.
//
// A read that is older than the conflict is repeated. The outcome stays
// ErrOutcomeUnknown only if ctx ends first, or if another writer has replaced the
// value and isMine does not find this write in it; ErrReplaced is then among the
// causes. Give ctx a deadline.
func PutSettled(ctx context.Context, objects Objects, clock clockwork.Clock, key string, value []byte, expected Version, isMine func(value []byte) bool) (Object, error) {
	object, err := objects.Put(ctx, key, value, expected)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return object, err
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = settleFirstWait
	retry.MaxInterval = settleMaxWait
	for {
		select {
		case <-clock.After(retry.NextBackOff()):
		case <-ctx.Done():
			return Object{}, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(ctx.Err()))
		}
		object, err := objects.Put(ctx, key, value, expected)
		if err == nil {
			return object, nil
		}
		if errors.Is(err, ErrConflict) {
			object, err = readBack(ctx, objects, key, expected, isMine)
		}
		if err == nil || errors.Is(err, ErrReplaced) {
			return object, settled(err)
		}
	}
}

// ErrReplaced means that another value stands in the place of a write whose
// answer was lost, so that the write has been replaced or never took effect.
var ErrReplaced = merry.Sentinel("platform: value replaced by another writer")

// errStaleRead means that a read shows the version that a conflict has ruled
// out.
var errStaleRead = merry.Sentinel("platform: stale read")

func readBack(ctx context.Context, objects Objects, key string, expected Version, isMine func([]byte) bool) (Object, error) {
	object, err := objects.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return Object{}, merry.Wrap(ErrReplaced)
	case err != nil:
		return Object{}, err
	case object.Version <= expected:
		return Object{}, merry.Wrap(errStaleRead)
	case !isMine(object.Value):
		return Object{}, merry.Wrap(ErrReplaced)
	}
	return object, nil
}

func settled(err error) error {
	if err != nil {
		return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	return nil
}
