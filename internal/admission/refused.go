package admission

import (
	"fmt"
	"time"
)

// Reason is the reason why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverloaded means that the request would have to wait too long.
	ReasonOverloaded Reason = "overloaded"
	// ReasonExpired means that the request has waited for its maximum time.
	ReasonExpired Reason = "expired"
	// ReasonNoTarget means that no target serves the request now.
	ReasonNoTarget Reason = "no-target"
)

// RefusedError is returned for a refused request. No part of the request was run.
// It unwraps to routing.ErrNoCapacity or routing.ErrNoTarget.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("admission: refused (%s), retry after %v", e.Reason, e.RetryAfter)
}

// Unwrap returns the routing error behind the refusal.
func (e *RefusedError) Unwrap() error { return e.cause }

// RetryAfterHint returns the time after which a retry may be admitted.
func (e *RefusedError) RetryAfterHint() time.Duration { return e.RetryAfter }
