package routing

import "time"

// Hedge holds the inputs of the decision to send a second attempt.
type Hedge struct {
	// Idempotent is set if the call may safely run twice.
	Idempotent bool
	// Waited is the time spent waiting for the first token.
	Waited time.Duration
	// Expected is the expected time to first token on the target.
	Expected time.Duration
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Budget is the number of retries that the retry budget allows now.
	Budget int
	// HasCapacity is set if another warm target has free capacity.
	HasCapacity bool
}

// hedgeFactor is the multiple of the expected time to first token after which
// to hedge.
const hedgeFactor = 3

// ShouldHedge reports whether to send the call to a second target while the
// first has not responded.
func ShouldHedge(h Hedge) bool {
	if !h.Idempotent || !h.HasCapacity || h.Budget < 1 || h.Expected <= 0 {
		return false
	}
	return h.Waited >= hedgeFactor*h.Expected && h.Remaining > h.Expected
}
