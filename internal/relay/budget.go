package relay

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Terms of the retry budget of an instance.
const (
	// retryShare is the part of a retry that each call earns.
	retryShare = 0.1
	// retryFloorPerSecond is earned by time alone, so that a quiet instance can
	// retry as well.
	retryFloorPerSecond = 1
	// maxSavedRetries bounds the retries after a quiet time.
	maxSavedRetries = 20
)

// retryBucket is a token bucket of retries. Over any window it admits at most
// retryShare of the window's calls, retryFloorPerSecond and maxSavedRetries.
type retryBucket struct {
	saved float64
	at    time.Time
}

func newRetryBucket(now time.Time) retryBucket {
	return retryBucket{saved: maxSavedRetries, at: now}
}

func (b *retryBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.add(retryFloorPerSecond * elapsed.Seconds())
		b.at = now
	}
}

func (b *retryBucket) add(retries float64) {
	b.saved = min(maxSavedRetries, b.saved+retries)
}

// take removes one retry and reports whether there was one.
func (b *retryBucket) take(now time.Time) bool {
	b.refill(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// retryBudget is a retryBucket shared by all calls of an instance.
type retryBudget struct {
	clock clockwork.Clock

	mu     sync.Mutex
	bucket retryBucket
}

func newRetryBudget(clock clockwork.Clock) *retryBudget {
	return &retryBudget{clock: clock, bucket: newRetryBucket(clock.Now())}
}

// noteCall earns a part of a retry.
func (b *retryBudget) noteCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.add(retryShare)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.take(b.clock.Now())
}
