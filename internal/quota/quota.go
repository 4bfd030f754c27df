// Package quota bounds the tokens of each client account over all instances
// together.
package quota

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRefused means that the client account has no tokens for the request now.
var ErrRefused = merry.Sentinel("quota: not enough tokens")

// Reason tells why tokens were refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonRate means that the rate and burst of the account are used up.
	ReasonRate Reason = "rate"
	// ReasonTooLarge means that the request exceeds the whole burst and cannot
	// be admitted at any time.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoAccount means that the document has no such account.
	ReasonNoAccount Reason = "no-account"
	// ReasonNoShare means that the instance holds no share yet, or its lease has
	// expired, and peers lent too little.
	ReasonNoShare Reason = "no-share"
)

// RefusedError tells when to come back. It unwraps to ErrRefused. RetryAfter is
// zero if the request can never be admitted.
type RefusedError struct {
	Account    string
	Tokens     int64
	Reason     Reason
	RetryAfter time.Duration
}

// RetryAfterHint returns the time after which a repeat may be admitted.
func (e *RefusedError) RetryAfterHint() time.Duration { return e.RetryAfter }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("quota: %d tokens not available (%s), retry after %v", e.Tokens, e.Reason, e.RetryAfter)
}

// Unwrap makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Reservation holds tokens for one request. Settle is called exactly once.
type Reservation interface {
	// Settle returns what was reserved above the tokens used.
	Settle(used int64)
}

// Limiter admits requests.
type Limiter interface {
	// Reserve takes tokens, an upper bound of what the request can use, or
	// returns a RefusedError at once.
	Reserve(ctx context.Context, account string, tokens int64) (Reservation, error)
}
