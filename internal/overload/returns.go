package overload

import (
	"math"
	"time"
)

const (
	// minReturn and maxReturn bound the time after which a refused caller should come back.
	// Callers of streams wait 6 to 15 s in all.
	minReturn = 700 * time.Millisecond
	maxReturn = 10 * time.Second
	// returnShare is the part of the engine time that is kept in mind for callers that come
	// back.
	returnShare = 0.25
	// lastingShare is the time to the return relative to the time that the shortage has
	// lasted: one that has lasted long is expected to go on.
	lastingShare = 0.5
	// spreadShare is the part of the longest time to the return over which returns are spread
	// that would be later; they would otherwise all come after the same time.
	spreadShare = 0.5
	// spreadStep is the golden ratio's fraction, whose multiples modulo 1 are evenly spread.
	spreadStep = 0.6180339887
)

// retryAfter returns when a refused caller should come back: after those who were refused
// before it, so that the returns need no more than returnShare of the engine time. No caller
// should come back after the time that it has left, except that minReturn always passes.
func (s *service) retryAfter(cost float64, left time.Duration, now time.Time) time.Duration {
	earliest := minReturn
	if s.short {
		earliest = max(earliest, time.Duration(lastingShare*float64(now.Sub(s.beganAt))))
	}
	wait := min(max(earliest, s.returnsUntil.Sub(now)), maxReturn)
	s.returnsUntil = now.Add(wait + time.Duration(cost/(returnShare*s.perInstance())*float64(time.Second)))
	latest := maxReturn
	if left > 0 {
		latest = min(latest, max(left, minReturn))
	}
	if wait < latest {
		return wait
	}
	s.spread = math.Mod(s.spread+spreadStep, 1)
	return max(minReturn, time.Duration((1-spreadShare*s.spread)*float64(latest)))
}
