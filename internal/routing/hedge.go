package routing

import "time"

// Hedge is what the decision to send a second attempt depends on.
type Hedge struct {
	// Idempotent is set if a second run is harmless.
	Idempotent bool
	// Waited is the time without a first token.
	Waited time.Duration
	// Usual is the usual time to the first token on the target.
	Usual time.Duration
	// Remaining is the time left to the deadline.
	Remaining time.Duration
	// Budget is the number of repeated attempts that the retry budget allows now.
	Budget int
	// HasRoom is set if another warm target has room.
	HasRoom bool
}

// hedgeFactor is the multiple of the usual time after which to hedge.
const hedgeFactor = 3

// ShouldHedge decides whether to send the call to a second target while the
// first is silent.
func ShouldHedge(h Hedge) bool {
	if !h.Idempotent || !h.HasRoom || h.Budget < 1 || h.Usual <= 0 {
		return false
	}
	return h.Waited >= hedgeFactor*h.Usual && h.Remaining > h.Usual
}
