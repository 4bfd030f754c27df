package relay

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/routing"
)

// Inactivity timeouts of answers.
const (
	interactiveFirst   = 10 * time.Second
	interactiveBetween = 5 * time.Second
	batchFirst         = 60 * time.Second
	batchBetween       = 20 * time.Second
	// wholePerToken is added to the first timeout for each token of an answer
	// that comes in one part.
	wholePerToken = 200 * time.Millisecond
	// leastFirst is allowed however near the deadline is.
	leastFirst = 100 * time.Millisecond
)

// inactivityTimeouts holds the inactivity timeouts of one attempt.
type inactivityTimeouts struct {
	first   time.Duration
	between time.Duration
}

// timeoutsOf returns the timeouts of a call by its class and deadline. The first
// token of a stream gets at most half of the time left, so that another target
// can still be tried.
func timeoutsOf(call *Call, now time.Time) inactivityTimeouts {
	p := inactivityTimeouts{first: interactiveFirst, between: interactiveBetween}
	if call.Class == routing.ClassBatch {
		p = inactivityTimeouts{first: batchFirst, between: batchBetween}
	}
	if !call.Stream {
		p.first += time.Duration(call.MaxTokens) * wholePerToken
		return p
	}
	if !call.Deadline.IsZero() {
		p.first = min(p.first, max(leastFirst, call.Deadline.Sub(now)/2))
	}
	return p
}

// Waits before a call is tried again.
const (
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// backoff returns the wait before try, counted from 0. The jitter is from 0 to
// 1; the wait is between half and the whole of an exponentially growing bound.
func backoff(try int, jitter float64) time.Duration {
	bound := maxBackoff
	if try < 4 {
		bound = firstBackoff << try
	}
	return bound/2 + time.Duration(jitter*float64(bound/2))
}
