package idempotency

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds of the pauses between the claims that are tried while the platform fails.
const (
	initialPause = 250 * time.Millisecond
	maxPause     = 4 * time.Second
)

// breakerState is the state of a breaker: the number of consecutive failures and the
// end of the current pause. The zero value allows all claims.
type breakerState struct {
	failures  int
	openUntil time.Time
}

// allows reports whether a claim may be tried. While the platform fails, it allows
// one claim after each pause. It rejects further claims until the result of that
// claim is recorded, but for at most maxPause.
func (b *breakerState) allows(now time.Time) bool {
	if b.failures == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(maxPause)
	return true
}

func (b *breakerState) recordSuccess() { *b = breakerState{} }

// recordFailure starts a pause between 50% and 100% of a bound that doubles with
// each failure up to maxPause. The jitter is from 0 to 1.
func (b *breakerState) recordFailure(now time.Time, jitter float64) {
	bound := maxPause
	if b.failures < 4 {
		bound = initialPause << b.failures
	}
	b.failures++
	b.openUntil = now.Add(bound/2 + time.Duration(jitter*float64(bound/2)))
}

// breaker is a circuit breaker that rejects claims immediately while the platform
// fails, so that callers do not wait for it and it gets no burst of calls when it
// recovers. It is safe for concurrent use.
type breaker struct {
	clock clockwork.Clock

	mu    sync.Mutex
	state breakerState
}

func (b *breaker) allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.allows(b.clock.Now())
}

// record records whether the platform answered a claim.
func (b *breaker) record(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.state.recordSuccess()
		return
	}
	b.state.recordFailure(b.clock.Now(), rand.Float64())
}
