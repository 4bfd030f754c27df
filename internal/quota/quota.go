// Package quota limits the token rate and burst of each client account across
// all instances.
package quota

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRefused means that a request for tokens was refused.
var ErrRefused = merry.Sentinel("quota: not enough tokens")

// Reason is the reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	// ReasonRate means that the instance has too few tokens and peers lent too
	// little, for example because the rate and burst of the account are used up.
	ReasonRate Reason = "rate"
	// ReasonTooLarge means that the request exceeds the whole burst and can
	// never be admitted.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoAccount means that the document does not contain the account.
	ReasonNoAccount Reason = "no-account"
	// ReasonNoShare means that the instance holds no share yet, or its lease has
	// expired, and peers lent too little.
	ReasonNoShare Reason = "no-share"
)

// RefusedError reports a refusal and when to retry. It unwraps to ErrRefused.
// RetryAfter is zero if the request can never be admitted.
type RefusedError struct {
	Account    string
	Tokens     int64
	Reason     Reason
	RetryAfter time.Duration
}

// RetryAfterHint returns the time after which a retry may be admitted.
func (e *RefusedError) RetryAfterHint() time.Duration { return e.RetryAfter }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("quota: %d tokens not available (%s), retry after %v", e.Tokens, e.Reason, e.RetryAfter)
}

// Unwrap makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Reservation holds tokens for one request. Settle must be called exactly once.
type Reservation interface {
	// Settle refunds the tokens reserved beyond those used.
	Settle(used int64)
}

// Limiter admits requests within the quotas of their accounts.
type Limiter interface {
	// Reserve reserves tokens, an upper bound on what the request can use, or
	// returns a RefusedError. It does not wait for tokens to accrue.
	Reserve(ctx context.Context, account string, tokens int64) (Reservation, error)
}
