package routing

import "time"

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen  = 3
	minOpenDuration = time.Second
	maxOpenDuration = 30 * time.Second
	// failurePenaltyDuration is the time after the last failure during which
	// consecutive failures count against a target that is not ejected.
	failurePenaltyDuration = 5 * time.Second
	// ejectionDivisor limits ejection to 1/ejectionDivisor of the targets of a
	// model or service.
	ejectionDivisor = 3
)

// breaker is the circuit breaker of one target. It is closed or open. From
// openUntil on, an open breaker is half-open: it admits one probe at a time.
type breaker struct {
	consecutiveFailures int
	lastFailureAt       time.Time
	open                bool
	openDuration        time.Duration
	openUntil           time.Time
	probeInFlight       bool
}

// isEjected reports whether the breaker rejects calls now.
func (b *breaker) isEjected(now time.Time) bool {
	return b.open && (now.Before(b.openUntil) || b.probeInFlight)
}

// recentFailures returns the number of consecutive failures, at most
// failuresToOpen, or 0 if the last one is older than failurePenaltyDuration.
func (b *breaker) recentFailures(now time.Time) int {
	if now.Sub(b.lastFailureAt) > failurePenaltyDuration {
		return 0
	}
	return min(b.consecutiveFailures, failuresToOpen)
}

// recordStart records the start of a call. On a half-open breaker the call is
// the probe.
func (b *breaker) recordStart(now time.Time) {
	if b.open && !now.Before(b.openUntil) {
		b.probeInFlight = true
	}
}

// recordOutcome records the outcome of a call. A closed breaker opens only if
// mayOpen returns true, that is, if enough other targets are left.
func (b *breaker) recordOutcome(outcome Outcome, now time.Time, mayOpen func() bool) {
	switch outcome {
	case Completed:
		*b = breaker{}
	case Cancelled, NotResident:
		b.probeInFlight = false
	default:
		b.consecutiveFailures++
		b.lastFailureAt = now
		b.openIfFailing(now, mayOpen)
	}
}

// openIfFailing opens the breaker, or opens it again after a failure while
// half-open, if there are enough consecutive failures.
func (b *breaker) openIfFailing(now time.Time, mayOpen func() bool) {
	b.probeInFlight = false
	if b.consecutiveFailures < failuresToOpen || b.isEjected(now) {
		return
	}
	if !b.open && !mayOpen() {
		return
	}
	b.open = true
	b.openDuration = min(maxOpenDuration, max(minOpenDuration, 2*b.openDuration))
	b.openUntil = now.Add(b.openDuration)
}
