package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// Static gives each instance an equal, fixed share of every account's rate and
// burst. It implements Limiter and serves as a baseline in comparisons.
type Static struct {
	views  func() *environment.View
	shares int64
	clock  clockwork.Clock

	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewStatic returns a limiter with a share of 1/shares of every account's rate
// and burst.
func NewStatic(views func() *environment.View, shares int, clock clockwork.Clock) *Static {
	return &Static{views: views, shares: int64(shares), clock: clock, buckets: make(map[string]*bucket)}
}

// Reserve implements Limiter.
func (s *Static) Reserve(_ context.Context, account string, tokens int64) (Reservation, error) {
	record := s.views().Account(account)
	if record == nil {
		return nil, &RefusedError{Account: account, Tokens: tokens, Reason: ReasonNoAccount, RetryAfter: time.Second}
	}
	rate := float64(record.RateTokensPerSecond) / float64(s.shares)
	burst := float64(record.BurstTokens) / float64(s.shares)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	b := s.buckets[account]
	if b == nil {
		b = newBucket(now, Share{}, burst)
		s.buckets[account] = b
	}
	b.resize(Share{Rate: rate, Burst: burst})
	b.advance(now)
	if b.level < float64(tokens) {
		waitSeconds := (float64(tokens) - b.level) / rate
		return nil, &RefusedError{Account: account, Tokens: tokens, Reason: ReasonRate, RetryAfter: time.Duration(waitSeconds * float64(time.Second))}
	}
	return &staticReservation{limiter: s, bucket: b, pendingRefund: b.take(float64(tokens)), tokens: tokens}, nil
}

type staticReservation struct {
	limiter       *Static
	bucket        *bucket
	pendingRefund *pendingRefund
	tokens        int64
}

// Settle implements Reservation.
func (r *staticReservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.bucket.advance(r.limiter.clock.Now())
	r.bucket.refund(r.pendingRefund, float64(max(0, r.tokens-used)))
	r.bucket.cancelRefund(r.pendingRefund)
}
