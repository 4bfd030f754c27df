package routing

import "time"

const (
	// openAfter is the number of failures in a row that opens a breaker.
	openAfter = 3
	minOpen   = time.Second
	maxOpen   = 30 * time.Second
	// penaltyFor is how long a failure counts against a target that is not
	// ejected.
	penaltyFor = 5 * time.Second
	// ejectedShare is the inverse of the largest share of the targets of one
	// model or service that may be ejected.
	ejectedShare = 3
)

// breaker is the circuit breaker of one target: closed, open until a time, then
// half open with one probe at a time.
type breaker struct {
	failures int
	failedAt time.Time
	open     bool
	openFor  time.Duration
	until    time.Time
	probing  bool
}

// isEjected reports whether the target gets no calls now.
func (b *breaker) isEjected(now time.Time) bool {
	return b.open && (now.Before(b.until) || b.probing)
}

// recentFailures is the number of failures in a row, up to openAfter, that still
// count.
func (b *breaker) recentFailures(now time.Time) int {
	if now.Sub(b.failedAt) > penaltyFor {
		return 0
	}
	return min(b.failures, openAfter)
}

// started notes a call; on a half-open breaker it is the probe.
func (b *breaker) started(now time.Time) {
	if b.open && !now.Before(b.until) {
		b.probing = true
	}
}

// note takes the outcome of a call. It opens the breaker only if mayOpen says
// that enough other targets are left.
func (b *breaker) note(outcome Outcome, now time.Time, mayOpen func() bool) {
	switch outcome {
	case Completed:
		*b = breaker{}
	case Cancelled, NotResident:
		b.probing = false
	default:
		b.failures++
		b.failedAt = now
		b.fail(now, mayOpen)
	}
}

func (b *breaker) fail(now time.Time, mayOpen func() bool) {
	b.probing = false
	if b.failures < openAfter || b.isEjected(now) {
		return
	}
	if !b.open && !mayOpen() {
		return
	}
	b.open = true
	b.openFor = min(maxOpen, max(minOpen, 2*b.openFor))
	b.until = now.Add(b.openFor)
}
