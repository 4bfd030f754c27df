package passthrough

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// firstEventShare is the share of the remaining time after which a resumable stream
	// without any event from its target is moved, and idempotentShare that after which an
	// idempotent call without an answer is.
	firstEventShare = 0.5
	idempotentShare = 0.55
	// stallRecheck is the time between two searches for a target that can take over.
	stallRecheck = 100 * time.Millisecond
	// maxStallShareOfWait and maxFirstEventShare bound the same shares for an attempt at a
	// target that reports a slow pace. The rest is what a successor needs.
	maxStallShareOfWait = 0.5
	maxFirstEventShare  = 0.7
	// refusalTimeout is the time within which a target refuses a call that it cannot take,
	// from the time at which it is connected. It bounds the time for which two targets may
	// work on the call.
	refusalTimeout = 250 * time.Millisecond
)

// stallWatch moves a call whose attempt yields nothing for too long. It sends the call to
// another target and ends the attempt once that one has not refused it: a sound target may
// be silent for a while, so that without another one waiting is the best choice.
type stallWatch struct {
	ctx       context.Context
	abort     func()
	startedAt time.Time
	// timeout is the time without a further event after which the attempt counts as
	// stalled.
	timeout time.Duration
	// dueAfter is the time.Duration from startedAt after which the attempt counts as
	// stalled. Each event moves it, and it is out of reach while one is written to the caller.
	dueAfter atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// lastEventID is the ID of the last relayed event.
	lastEventID string
	// successor is the send to the target that is to take over, nil while there is none.
	// committed is set once the attempt was ended for it.
	successor *try
	committed bool
	// tried holds the IDs of the targets of former successors. runs counts those that may
	// have run the call, unreachable those that accepted no connection.
	tried       map[string]bool
	runs        int
	unreachable int
}

// watchStall starts to watch the attempt that is about to be sent. abort ends it.
func (f *forwarder) watchStall(ctx context.Context, abort func()) *stallWatch {
	w := &stallWatch{
		ctx: ctx, abort: abort, startedAt: f.Now(), lastEventID: f.lastEventID, tried: make(map[string]bool),
		timeout: f.route.StallTimeout(),
	}
	share := f.stallShare()
	if share == 0 {
		return w
	}
	if pace, known := f.Dispatcher.Pace(f.target.ID, w.timeout, w.startedAt); known && pace > 1 {
		// A target that says that its machine is slow is not silent, and a second one would
		// do its work again. Over this time the pace is the mean of its readings.
		atMost := max(w.timeout, time.Duration(maxStallShareOfWait*float64(f.route.CallerWait())))
		w.timeout = min(time.Duration(pace*float64(w.timeout)), atMost)
		share = min(pace*share, maxFirstEventShare)
	}
	after := time.Duration(share * float64(f.deadline.Sub(w.startedAt)))
	w.dueAfter.Store(int64(after))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(after, f.recheckAfter(w)), func() { f.checkStall(w) })
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

// received records that an event of the attempt has arrived, or that the last one was written to
// the caller.
func (w *stallWatch) received(now time.Time) {
	w.dueAfter.Store(int64(now.Sub(w.startedAt) + w.timeout))
}

// relaying records that the attempt waits for the caller, which may read slowly, until
// received is called.
func (w *stallWatch) relaying() { w.dueAfter.Store(math.MaxInt64) }

// relayed records the ID of an event that the caller gets.
func (w *stallWatch) relayed(eventID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventID = eventID
}

// due returns how much longer the attempt does not count as stalled.
func (w *stallWatch) due(now time.Time) time.Duration {
	return time.Duration(w.dueAfter.Load()) - now.Sub(w.startedAt)
}

// checkStall sends a stalled call to another target, or ends the attempt if that target
// was sent the call before and has not refused it. It runs beside the attempt, so it reads
// only fields of f that do not change until endWatch.
func (f *forwarder) checkStall(w *stallWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.committed {
		return
	}
	now := f.Now()
	if left := f.dueIn(w, now); left > 0 {
		w.dropSuccessor(now)
		// An event may move the time forward as well as back.
		w.timer.Reset(min(left, f.recheckAfter(w)))
		return
	}
	if w.successor != nil {
		if left := w.successor.refusableFor(now); left > 0 {
			w.timer.Reset(left)
			return
		}
		w.commit()
		return
	}
	pick, ok := f.reserveSuccessor(w, now)
	if !ok {
		w.timer.Reset(stallRecheck)
		return
	}
	t := f.newTry(w.ctx, pick, f.sends+len(w.tried)+1, w.lastEventID)
	w.successor = t
	w.timer.Reset(refusalTimeout)
	go func() {
		f.send(t)
		f.checkSuccessor(w, t)
	}()
}

// checkSuccessor ends the attempt if the successor has accepted the call, and gives the
// successor up if it has not.
func (f *forwarder) checkSuccessor(w *stallWatch, t *try) {
	if !f.successorFailed(w, t) {
		return
	}
	if t.response != nil {
		t.response.Discard(maxRejection, rejectionTimeout)
		t.response.Close()
	}
	t.cancel()
}

// successorFailed judges a successor whose head or error has come, and reports whether it
// has not taken the call over.
func (f *forwarder) successorFailed(w *stallWatch, t *try) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.committed || w.successor != t {
		return false
	}
	now, next := f.Now(), stallRecheck
	result := f.successorResult(t)
	switch {
	case result == dispatch.Unreachable:
		// The call did not arrive, and the next target may take it at once.
		w.unreachable++
		next = 0
		f.Rates.Return(t.pick.Target.ID, now)
		f.suspectRestart(t.pick.Target.ID, t.err)
	case result == dispatch.Failed:
		w.runs++
		if t.err != nil {
			f.reportCrash(t.pick.Target, t.ticket, t.err, false)
		}
	case result == dispatch.Served && f.dueIn(w, now) > 0:
		w.dropSuccessor(now)
		return false
	case result == dispatch.Served:
		w.commit()
		return false
	}
	t.ticket.End(result, now)
	w.tried[t.pick.Target.ID], w.successor = true, nil
	w.timer.Reset(next)
	f.metrics.attempts.WithLabelValues("successor").Inc()
	f.Log.WithFields(log.Fields{"call": f.call.ID, "target": t.pick.Target.ID}).Info("passthrough: Target does not take the call over.")
	return true
}

// successorResult returns how a send to a successor ended, Served if it accepted the call.
func (f *forwarder) successorResult(t *try) dispatch.Result {
	switch {
	case errors.Is(t.err, upstream.ErrNotSent):
		return dispatch.Unreachable
	case t.err != nil:
		return dispatch.Failed
	}
	outcome := f.Dialect.Outcome(t.response.Status, t.response.Header)
	f.OnNotice(t.pick.Target, outcome.Notice, t.sentAt)
	f.readPace(t.pick.Target, outcome)
	switch {
	case outcome.NotRun && outcome.WrongTarget:
		return dispatch.NotHeld
	case outcome.NotRun:
		return dispatch.Rejected
	case t.response.Status < http.StatusMultipleChoices && outcome.Authentic:
		return dispatch.Served
	}
	return dispatch.Failed
}

// commit requires w.mu. It ends the attempt for its successor.
func (w *stallWatch) commit() {
	w.committed = true
	w.abort()
}

// dropSuccessor requires w.mu. It gives up the successor, which may have run the call.
func (w *stallWatch) dropSuccessor(now time.Time) {
	if w.successor == nil {
		return
	}
	w.tried[w.successor.pick.Target.ID] = true
	w.runs++
	w.successor.discard(now)
	w.successor = nil
}

// endWatch ends the watch of an attempt that has ended. It returns the successor if there
// is one and take is set. Further uses have no effect.
func (f *forwarder) endWatch(w *stallWatch, take bool) *try {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil
	}
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	t := w.successor
	if !take {
		w.dropSuccessor(f.Now())
		t = nil
	}
	for id := range w.tried {
		f.excluded[id] = true
	}
	f.sends += len(w.tried)
	f.runs += w.runs
	f.connectFailures += w.unreachable
	return t
}

// reserveSuccessor picks another target that can take the call over in time, and takes the
// retry from the budget. It requires w.mu.
func (f *forwarder) reserveSuccessor(w *stallWatch, now time.Time) (dispatch.Pick, bool) {
	service := f.state.Services[f.service]
	connectFailures := f.connectFailures + w.unreachable
	if service == nil || connectFailures >= maxConnectFailures || f.sends+len(w.tried)-connectFailures >= catalog.MaxSends ||
		f.runs+1+w.runs >= f.route.MaxAttempts {
		return dispatch.Pick{}, false
	}
	if _, quarantined := f.Quarantine.Check(f.call.Prefix, now); quarantined || f.endTrial != nil {
		return dispatch.Pick{}, false
	}
	if hold, _ := f.checkRequest(); hold != quarantine.Free {
		return dispatch.Pick{}, false
	}
	candidates, _ := f.candidates(service)
	for i, c := range candidates {
		// The load of an adapter takes time, and may fail.
		candidates[i].Limited = c.Limited || c.NeedsAdapter || c.ZoneUnreachable || w.tried[c.Target.ID]
	}
	pick, ok := f.Dispatcher.Pick(candidates, f.query(service, now))
	// The bounds of the target are taken last: that of a cold one has no way back.
	if !ok || pick.Down || pick.Expected > f.firstAnswerBudget(now) || !f.spendRetry(now) || !f.reserveCall(pick) {
		return dispatch.Pick{}, false
	}
	return pick, true
}
