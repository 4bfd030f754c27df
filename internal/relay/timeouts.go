package relay

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/routing"
)

// Inactivity timeouts of responses.
const (
	interactiveFirstChunkTimeout = 10 * time.Second
	interactiveChunkTimeout      = 5 * time.Second
	batchFirstChunkTimeout       = 60 * time.Second
	batchChunkTimeout            = 20 * time.Second
	// unstreamedTimeoutPerToken is added to the timeout of the first chunk for each
	// token that may be generated. It applies only to responses that are not
	// streamed.
	unstreamedTimeoutPerToken = 200 * time.Millisecond
	// minFirstChunkTimeout applies even if the deadline is nearer.
	minFirstChunkTimeout = 100 * time.Millisecond
)

// inactivityTimeouts holds the limits on the wait for the first chunk of a response
// and for each further chunk.
type inactivityTimeouts struct {
	firstChunk    time.Duration
	betweenChunks time.Duration
}

// timeoutsOf returns the timeouts of a call by its class and deadline. The first
// chunk of a stream gets at most half of the remaining time, so that another target
// can still be tried, but not less than minFirstChunkTimeout.
func timeoutsOf(call *Call, now time.Time) inactivityTimeouts {
	timeouts := inactivityTimeouts{firstChunk: interactiveFirstChunkTimeout, betweenChunks: interactiveChunkTimeout}
	if call.Class == routing.ClassBatch {
		timeouts = inactivityTimeouts{firstChunk: batchFirstChunkTimeout, betweenChunks: batchChunkTimeout}
	}
	if !call.Stream {
		timeouts.firstChunk += time.Duration(call.MaxTokens) * unstreamedTimeoutPerToken
		return timeouts
	}
	if !call.Deadline.IsZero() {
		timeouts.firstChunk = min(timeouts.firstChunk, max(minFirstChunkTimeout, call.Deadline.Sub(now)/2))
	}
	return timeouts
}

// Backoff before a call is retried or a stream is resumed.
const (
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// backoff returns the wait before retry or resumption number try, counted from 0.
// The jitter is from 0 to 1. The wait is between 50% and 100% of a bound that
// doubles with each try up to maxBackoff.
func backoff(try int, jitter float64) time.Duration {
	bound := maxBackoff
	if try < 4 {
		bound = initialBackoff << try
	}
	return bound/2 + time.Duration(jitter*float64(bound/2))
}
