package relay

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits of the retry budget of an instance.
const (
	// retriesPerCall is the number of retries that each call adds to the budget.
	retriesPerCall = 0.1
	// baseRetriesPerSecond is added independently of calls, so that an instance with
	// little load can retry as well.
	baseRetriesPerSecond = 1
	// retryBucketCapacity limits the burst of retries after a time with few retries.
	retryBucketCapacity = 20
)

// retryBucket is a token bucket of retries. In any window it allows at most
// retriesPerCall for each call and baseRetriesPerSecond for each second, plus
// retryBucketCapacity.
type retryBucket struct {
	tokens     float64
	refilledAt time.Time
}

func newRetryBucket(now time.Time) retryBucket {
	return retryBucket{tokens: retryBucketCapacity, refilledAt: now}
}

func (b *retryBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.add(baseRetriesPerSecond * elapsed.Seconds())
		b.refilledAt = now
	}
}

func (b *retryBucket) add(retries float64) {
	b.tokens = min(retryBucketCapacity, b.tokens+retries)
}

// take takes one retry from the bucket and reports whether one was available.
func (b *retryBucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryBudget is a retryBucket that all calls of an instance share.
type retryBudget struct {
	clock clockwork.Clock

	mu     sync.Mutex
	bucket retryBucket
}

func newRetryBudget(clock clockwork.Clock) *retryBudget {
	return &retryBudget{clock: clock, bucket: newRetryBucket(clock.Now())}
}

// recordCall adds retriesPerCall to the budget.
func (b *retryBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(retriesPerCall)
}

func (b *retryBudget) tryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(b.clock.Now())
}
