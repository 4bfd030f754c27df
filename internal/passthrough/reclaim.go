package passthrough

import (
	"math"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// reclaimMargin is how much earlier than known a target may be gone: targets announce
	// themselves every 1.2 s, and the announcement takes up to 300 ms to arrive here.
	reclaimMargin = 1500 * time.Millisecond
	// moveLead is how long before its target is gone a running call begins to move. Its
	// successor may refuse it within refusalTimeout and then needs its first event.
	moveLead = reclaimMargin + 2*refusalTimeout
	// reclaimRecheck is the time between two looks at whether the target of a running call
	// is reclaimed. The notice may be shorter than the time after which a call is stalled.
	reclaimRecheck = 200 * time.Millisecond
	// longestTokenTime bounds the time per token of the answer: 5.47 ms at an engine of speed 1,
	// 24.9 ms at one of speed 0.55 in a phase that is 2.5 times slower.
	longestTokenTime = 25 * time.Millisecond
)

// outlasts reports whether the call, sent to the target now, could still run when the
// platform takes the target away.
func (f *forwarder) outlasts(t *fleet.Target, now time.Time) bool {
	return f.state.Scales() && t.Reclaimed() && now.Add(f.longestRun(now)+reclaimMargin).After(t.GoneAt)
}

// longestRun bounds the time for which the call runs if it is sent now.
func (f *forwarder) longestRun(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if f.call.Model == "" || f.work.OutputTokens <= 0 {
		return left
	}
	return min(left, f.firstAnswerBudget(now)+time.Duration(call.BoundTokens(f.work.OutputTokens, f.memoryTokens()))*longestTokenTime)
}

// untilMove returns how long the running attempt may stay at its target before it has to move
// because the target is reclaimed.
func (f *forwarder) untilMove(now time.Time) time.Duration {
	if !f.state.Scales() {
		return math.MaxInt64
	}
	t := f.Fleet.View().Targets[f.target.ID]
	if t == nil || t.BornMS != f.target.BornMS || !t.Reclaimed() || !f.deadline.Add(reclaimMargin).After(t.GoneAt) {
		return math.MaxInt64
	}
	return t.GoneAt.Add(-moveLead).Sub(now)
}

// dueIn returns how much longer the attempt need not be moved.
func (f *forwarder) dueIn(w *stallWatch, now time.Time) time.Duration {
	return min(w.due(now), f.untilMove(now))
}

// recheckAfter bounds the time until the next look at an attempt that need not be moved.
func (f *forwarder) recheckAfter(w *stallWatch) time.Duration {
	if f.state.Scales() {
		return min(w.timeout, reclaimRecheck)
	}
	return w.timeout
}
