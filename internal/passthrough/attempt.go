package passthrough

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely
	// before its head is relayed, so that a truncated answer can be replaced. It bounds the
	// memory of a call whose target sends bytes without end.
	maxBufferedAnswer = 64 << 10
	// maxAnswer is the size in bytes from which an answer counts as one without end.
	maxAnswer = 256 << 20
	// maxRejection and rejectionTimeout bound what is read of the answer of a target that
	// has not run the call.
	maxRejection     = 16 << 10
	rejectionTimeout = 50 * time.Millisecond
)

// attempt makes one attempt and reports whether another must follow.
func (f *forwarder) attempt(ctx context.Context) bool {
	if f.successor == nil && (f.refuseQuarantined() || f.refuseHeldRequest(ctx)) {
		return false
	}
	t, ok := f.nextTry(ctx)
	if !ok {
		return false
	}
	defer t.cancel()
	f.countSend()
	watch := f.watchStall(ctx, t.cancel)
	defer f.endWatch(watch, false)
	if t == f.successor {
		f.successor = nil
		<-t.done
	} else {
		f.send(t)
	}
	if t.err != nil {
		return f.sendFailed(ctx, t.ticket, watch, t.err)
	}
	return f.relay(ctx, t, watch)
}

// relay relays the answer to a try, and reports whether another attempt must follow.
func (f *forwarder) relay(ctx context.Context, t *try, watch *stallWatch) bool {
	response := t.response
	defer response.Close()
	outcome := f.Dialect.Outcome(response.Status, response.Header)
	f.OnNotice(t.pick.Target, outcome.Notice, t.sentAt)
	f.readPace(t.pick.Target, outcome)
	switch {
	case outcome.NotRun:
		return f.attemptRejected(t.ticket, watch, response, outcome)
	case response.Status < http.StatusMultipleChoices && !outcome.Authentic:
		return f.attemptBroken(ctx, t.ticket, watch, errNotAuthentic)
	case promisesNotRun(response.Status):
		return f.attemptBroken(ctx, t.ticket, watch, errFalsePromise)
	case response.Status >= http.StatusMultipleChoices && f.headSent:
		return f.attemptBroken(ctx, t.ticket, watch, errNotContinued)
	}
	response.Limit(maxAnswer)
	if f.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices {
		return f.relayStream(ctx, t.ticket, watch, response)
	}
	return f.relayAnswer(ctx, t.ticket, watch, response)
}

// readPace records the pace that an answer reports, if the target of the call made it.
func (f *forwarder) readPace(t *fleet.Target, o call.Outcome) {
	if o.Pace > 0 && !o.WrongTarget && (o.Authentic || o.NotRun) {
		f.Dispatcher.ReadPace(t.ID, o.Pace, f.Now())
	}
}

// nextTry returns the successor of the last attempt, or picks a target for a new try.
func (f *forwarder) nextTry(ctx context.Context) (*try, bool) {
	if f.successor != nil && !f.continues(f.successor.pick.Target) {
		// The stream has begun at another version since.
		f.dropSuccessor()
	}
	t := f.successor
	if t == nil {
		pick, ok := f.pick(ctx)
		if !ok {
			return nil, false
		}
		t = f.newTry(ctx, pick, f.sends+1, f.lastEventID)
	}
	f.sends++
	f.target, f.sentAt, f.expectedFirst = t.pick.Target, t.sentAt, t.pick.Expected
	f.excluded[t.pick.Target.ID] = true
	return t, true
}

// promisesNotRun reports whether a status tells a caller that its call has not run and
// never will.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// errFalsePromise means that a target answered with a status that promises that the call
// has not run, without saying so itself. Such an answer is not relayed.
var errFalsePromise = errors.New("status promises that the call has not run, the answer does not")

// errNotContinued means that a target that was to continue a stream answered with an error.
var errNotContinued = errors.New("stream is not continued, the target answered with an error")

// errMoved means that an attempt was ended because another target has accepted the call.
var errMoved = errors.New("another target has accepted the call")

var errNotAuthentic = errors.New("answer lacks the target's authentication")

// mayRetry reports whether the route allows another run after the next one.
func (f *forwarder) mayRetry() bool { return f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts }

// sendFailed handles a send that got no answer and reports whether another attempt
// must follow.
func (f *forwarder) sendFailed(ctx context.Context, ticket *dispatch.Ticket, watch *stallWatch, err error) bool {
	if errors.Is(err, upstream.ErrNotSent) {
		f.uncountSend()
	}
	if errors.Is(err, upstream.ErrNotSent) && f.r.Context().Err() == nil {
		if f.successor = f.endWatch(watch, true); watch.committed && f.successor != nil {
			// The connection was not opened because the attempt was ended.
			ticket.End(dispatch.Abandoned, f.Now())
			return true
		}
		f.connectFailures++
		ticket.End(dispatch.Unreachable, f.Now())
		f.Rates.Return(ticket.TargetID(), f.Now())
		f.suspectRestart(ticket.TargetID(), err)
		f.metrics.attempts.WithLabelValues("unreachable").Inc()
		f.logAttempt("unreachable", err)
		if f.successor != nil {
			return true
		}
		return f.retryOrGiveUp(ctx, "unreachable", false)
	}
	return f.attemptBroken(ctx, ticket, watch, err)
}

// suspectRestart marks a target that refused the connection as possibly cold: its
// process is gone, and after a restart it may serve before its announcement shows
// the cold start. Services with an engine are left out because a restarted engine holds
// no model until that announcement.
func (f *forwarder) suspectRestart(targetID string, err error) {
	service := f.state.Services[f.service]
	if service != nil && service.Engine == nil && service.ColdRate > 0 && errors.Is(err, syscall.ECONNREFUSED) {
		f.Dispatcher.SuspectCold(targetID, f.Now())
	}
}

// attemptBroken handles an attempt that may have run but has no complete answer, and
// reports whether another attempt must follow.
func (f *forwarder) attemptBroken(ctx context.Context, ticket *dispatch.Ticket, watch *stallWatch, err error) bool {
	result := f.classify(err)
	ticket.End(result, f.Now())
	if t := f.endWatch(watch, result != dispatch.Abandoned && ctx.Err() == nil); t != nil {
		f.successor = t
	}
	f.runs++
	name := "broken"
	if watch.committed {
		name = "stalled"
	}
	f.metrics.attempts.WithLabelValues(name).Inc()
	f.logAttempt(name, err)
	if result == dispatch.Abandoned {
		f.finish("caller_left", err)
		panic(http.ErrAbortHandler)
	}
	again := f.route.Repeatable() && f.runs < f.route.MaxAttempts
	f.reportCrash(f.target, ticket, err, again && f.successor == nil)
	if f.successor != nil {
		return true
	}
	if !again {
		f.giveUp("target_failed", 0)
		return false
	}
	return f.retryOrGiveUp(ctx, "target_failed", true)
}

// attemptRejected handles a target's statement that the call did not run, and reports
// whether another attempt must follow.
func (f *forwarder) attemptRejected(ticket *dispatch.Ticket, watch *stallWatch, response *upstream.Response, outcome call.Outcome) bool {
	result := dispatch.Rejected
	if outcome.WrongTarget {
		result = dispatch.NotHeld
	}
	f.uncountSend()
	response.Discard(maxRejection, rejectionTimeout)
	ticket.End(result, f.Now())
	f.metrics.attempts.WithLabelValues("rejected").Inc()
	f.logAttempt("rejected", nil)
	if f.successor = f.endWatch(watch, true); f.successor != nil {
		return true
	}
	return f.retryOrGiveUp(f.r.Context(), "targets_full", true)
}

// retryOrGiveUp reports whether one more send may be made, and gives up if not. The
// send is charged to the retry budget if the previous one arrived at a target.
func (f *forwarder) retryOrGiveUp(ctx context.Context, reason string, arrived bool) bool {
	now := f.Now()
	allowed := ctx.Err() == nil && now.Before(f.deadline) && f.sends-f.connectFailures < catalog.MaxSends && f.connectFailures < maxConnectFailures
	if allowed && arrived {
		allowed = f.spendRetry(now)
	}
	if !allowed {
		f.giveUp(reason, noTargetRetryAfter)
	}
	return allowed
}

// spendRetry takes one retry from this instance's share of the retry budget. The share
// is unknown, and no retry is made, until all instances are known.
func (f *forwarder) spendRetry(now time.Time) bool {
	return f.Members.AllKnown() && f.Retries.TryRetry(f.service, len(f.Members.Names()), now)
}

func (f *forwarder) logAttempt(result string, err error) {
	fields := log.Fields{
		"call": f.call.ID, "result": result, "send": f.sends, "target": f.target.ID,
		"silent_ms": f.Now().Sub(later(f.sentAt, f.lastEventTime())).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
		if cause := merry.Cause(err); cause != nil {
			fields["cause"] = cause.Error()
		}
	}
	f.Log.WithFields(fields).Info("passthrough: Attempt failed.")
}

// relayAnswer relays an answer that is not a stream. An incomplete answer or a server
// error leads to a retry if one is allowed.
func (f *forwarder) relayAnswer(ctx context.Context, ticket *dispatch.Ticket, watch *stallWatch, response *upstream.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedAnswer))
	if err != nil {
		return f.attemptBroken(ctx, ticket, watch, err)
	}
	large := len(body) == maxBufferedAnswer
	f.room.Force(int64(len(body)))
	f.successor = f.endWatch(watch, large || response.Status >= http.StatusInternalServerError)
	if large && watch.committed {
		// The rest of the answer cannot be read.
		return f.attemptBroken(ctx, ticket, watch, errMoved)
	}
	f.runs++
	now := f.Now()
	ticket.FirstAnswer(now)
	f.recordFirstAnswer(now)
	a := &answer{status: response.Status, header: response.Header, body: body}
	if large {
		f.dropSuccessor()
		return f.relayLargeAnswer(ticket, response, a)
	}
	if a.status >= http.StatusInternalServerError && (f.successor != nil || f.retryTargetError()) {
		ticket.End(dispatch.Served, now)
		f.targetError = a
		f.logAttempt("target_error", nil)
		return true
	}
	result := dispatch.Served
	if a.status >= http.StatusInternalServerError && f.route.Kind == catalog.Stream {
		result = dispatch.Failed
	}
	ticket.End(result, now)
	f.recordAnswered(f.target, ticket, response)
	f.deliver(a)
	return false
}

// retryTargetError reports whether a call that a target answered with a server error
// is sent once more. It takes the retry from the budget. Unlike in retryOrGiveUp, sends
// that reached no target count towards catalog.MaxSends too.
func (f *forwarder) retryTargetError() bool {
	now := f.Now()
	return f.route.Repeatable() && f.runs < f.route.MaxAttempts && f.sends < catalog.MaxSends &&
		now.Before(f.deadline) && f.spendRetry(now)
}

// recordFirstAnswer records the time of the first event or answer and its ratio to
// the expected time.
func (f *forwarder) recordFirstAnswer(now time.Time) {
	f.firstAnswerAt = now
	f.metrics.first.Observe(now.Sub(f.call.Arrived).Seconds())
	if f.expectedFirst > 0 {
		f.metrics.estimate.Observe(float64(now.Sub(f.sentAt)) / float64(f.expectedFirst))
	}
}

// relayLargeAnswer relays an answer that is too large to be buffered.
func (f *forwarder) relayLargeAnswer(ticket *dispatch.Ticket, response *upstream.Response, a *answer) bool {
	f.writeHead(a.status, a.header)
	_, err := f.w.Write(a.body)
	if err == nil {
		_, err = io.Copy(f.w, response)
	}
	if err != nil {
		result := f.classify(err)
		ticket.End(result, f.Now())
		if result != dispatch.Abandoned {
			f.reportCrash(f.target, ticket, err, false)
		}
		f.finish("cut", err)
		panic(http.ErrAbortHandler)
	}
	ticket.End(dispatch.Served, f.Now())
	f.recordAnswered(f.target, ticket, response)
	f.finish("served", nil)
	return false
}

// relayStream relays events as they arrive. A stream that breaks off continues at
// another target if the route allows it.
func (f *forwarder) relayStream(ctx context.Context, ticket *dispatch.Ticket, watch *stallWatch, response *upstream.Response) bool {
	err := f.copyEvents(ticket, watch, response)
	if err == nil && !f.headSent && response.EndsWithConnection {
		err = errNoEvent
	}
	if err == nil {
		f.recordAnswered(f.target, ticket, response)
		f.endWatch(watch, false)
		f.runs++
		ticket.End(dispatch.Served, f.Now())
		if !f.headSent {
			f.writeHead(response.Status, response.Header)
		}
		f.finish("served", nil)
		return false
	}
	response.Close()
	return f.attemptBroken(ctx, ticket, watch, err)
}

// copyEvents relays complete events until the stream ends.
func (f *forwarder) copyEvents(ticket *dispatch.Ticket, watch *stallWatch, response *upstream.Response) error {
	events := newEventReader(response)
	flusher := http.NewResponseController(f.w)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		now := f.Now()
		watch.received(now)
		next, duplicate := e.follows(f.lastEventID)
		if duplicate {
			continue
		}
		if !next {
			return errMissingEvent
		}
		if !f.headSent {
			f.startStream(response)
		}
		ticket.FirstAnswer(now)
		if e.id != "" {
			f.lastEventID = e.id
			watch.relayed(e.id)
		}
		watch.relaying()
		if _, err := f.w.Write(e.raw); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
		// What the caller took to read the event is not part of its wait for the next one.
		written := f.Now()
		watch.received(written)
		f.lastEventAfter.Store(int64(written.Sub(f.call.Arrived)))
	}
}

// errNoEvent means that a stream whose end is the end of its connection had no event. A
// target that ends before it begins the stream closes the connection too.
var errNoEvent = fmt.Errorf("stream ended with its connection before the first event: %w", io.ErrUnexpectedEOF)

var errMissingEvent = errors.New("event missing from stream")

func (f *forwarder) startStream(response *upstream.Response) {
	now := f.Now()
	f.recordFirstAnswer(now)
	f.recordVersion(now)
	f.countStream(now)
	f.writeHead(response.Status, response.Header)
}

// lastEventTime returns when the last event was relayed, or when the call arrived if none
// was.
func (f *forwarder) lastEventTime() time.Time {
	return f.call.Arrived.Add(time.Duration(f.lastEventAfter.Load()))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
