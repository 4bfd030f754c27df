package passthrough

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
)

const (
	// minStallTimeout and stallShareOfWait bound the time without an event after which a
	// resumable stream is moved to another target: a share of the time that its caller
	// waits for an event, which is two seconds or more.
	minStallTimeout  = 1500 * time.Millisecond
	stallShareOfWait = 0.3
	// firstEventShare is the share of the remaining time after which a resumable stream
	// without any event from its target is moved, and idempotentShare that after which an
	// idempotent call without an answer is.
	firstEventShare = 0.5
	idempotentShare = 0.55
	// stallRecheck is the time between two searches for a target that can take over.
	stallRecheck = 100 * time.Millisecond
)

// stallWatch aborts an attempt that yields nothing for too long, but only once another
// target is reserved for the call. A sound target may be silent for a while, so that
// without another one waiting is the best choice.
type stallWatch struct {
	startedAt time.Time
	// timeout is the time without a further event after which the attempt counts as
	// stalled.
	timeout time.Duration
	// dueAfter is the time.Duration from startedAt after which the attempt counts as
	// stalled. Each event moves it.
	dueAfter atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// standby is the target that takes over, nil while there is none.
	standby *dispatch.Pick
}

// watchStall starts to watch the attempt that is about to be sent. abort ends it.
func (f *forwarder) watchStall(abort func()) *stallWatch {
	w := &stallWatch{startedAt: f.Now(), timeout: max(minStallTimeout, time.Duration(stallShareOfWait*float64(f.callerWait())))}
	share := f.stallShare()
	if share == 0 {
		return w
	}
	after := time.Duration(share * float64(f.deadline.Sub(w.startedAt)))
	w.dueAfter.Store(int64(after))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, func() { f.checkStall(w, abort) })
	return w
}

// stallShare returns the share of the remaining time that the next attempt gets for its
// first event or its answer, 0 if the call must not be moved after that attempt.
func (f *forwarder) stallShare() float64 {
	switch {
	case !f.mayRetry():
		return 0
	case f.route.Kind == catalog.Idempotent:
		return idempotentShare
	case f.route.Resumable:
		return firstEventShare
	}
	return 0
}

// checkStall reserves a target for a stalled attempt and aborts it, or looks again later.
func (f *forwarder) checkStall(w *stallWatch, abort func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := f.Now()
	if left := time.Duration(w.dueAfter.Load()) - now.Sub(w.startedAt); left > 0 {
		w.timer.Reset(left)
		return
	}
	pick, ok := f.reserveStandby(now)
	if !ok {
		w.timer.Reset(stallRecheck)
		return
	}
	w.standby = &pick
	abort()
}

// received records an event of the attempt.
func (w *stallWatch) received(now time.Time) {
	w.dueAfter.Store(int64(now.Sub(w.startedAt) + w.timeout))
}

// stop ends the watch and returns the target that takes over, or nil.
func (w *stallWatch) stop() *dispatch.Pick {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.standby
}

// reserveStandby picks another target that can take the call over in time, and takes the
// retry from the budget. It runs beside an attempt, so it reads only fields of f that do
// not change until the attempt ends.
func (f *forwarder) reserveStandby(now time.Time) (dispatch.Pick, bool) {
	service := f.state.Services[f.service]
	if service == nil || f.sends-f.connectFailures >= maxSends {
		return dispatch.Pick{}, false
	}
	candidates, _ := f.candidates(service)
	for i := range candidates {
		// A load takes time, and its failure would leave the call without any target.
		candidates[i].Limited = candidates[i].Limited || candidates[i].NeedsAdapter
	}
	pick, ok := f.Dispatcher.Pick(candidates, f.query(service, now))
	if !ok || pick.Expected > f.firstAnswerBudget(now) || !f.reserveColdCall(pick) || !f.spendRetry(now) {
		return dispatch.Pick{}, false
	}
	return pick, true
}
