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
	if f.refuseQuarantined() {
		return false
	}
	pick, ok := f.nextPick(ctx)
	if !ok {
		return false
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticket := f.begin(pick)
	watch := f.watchStall(cancel)
	defer watch.stop()
	response, err := f.send(attemptCtx, pick)
	if err != nil {
		return f.sendFailed(ctx, ticket, watch, err)
	}
	defer response.Close()
	outcome := f.Dialect.Outcome(response.Status, response.Header)
	f.OnNotice(pick.Target, outcome.Notice)
	switch {
	case outcome.NotRun:
		watch.stop()
		return f.attemptRejected(ticket, response, outcome)
	case response.Status < http.StatusMultipleChoices && !outcome.Authentic:
		return f.attemptBroken(ctx, ticket, watch, errNotAuthentic)
	case promisesNotRun(response.Status):
		return f.attemptBroken(ctx, ticket, watch, errFalsePromise)
	}
	response.Limit(maxAnswer)
	if f.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices {
		return f.relayStream(ctx, ticket, watch, response)
	}
	return f.relayAnswer(ctx, ticket, watch, response)
}

// nextPick returns the target that was reserved for the call during the last attempt, or
// picks one.
func (f *forwarder) nextPick(ctx context.Context) (dispatch.Pick, bool) {
	if reserved := f.reserved; reserved != nil {
		f.reserved = nil
		return *reserved, true
	}
	return f.pick(ctx)
}

// begin records that the next attempt goes to the picked target.
func (f *forwarder) begin(pick dispatch.Pick) *dispatch.Ticket {
	now := f.Now()
	f.sends++
	f.target, f.sentAt, f.expectedFirst = pick.Target, now, pick.Expected
	f.excluded[pick.Target.ID] = true
	f.logSend(pick, now)
	return f.Dispatcher.Begin(pick, f.work, now)
}

// promisesNotRun reports whether a status tells a caller that its call has not run and
// never will.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// errFalsePromise means that a target answered with a status that promises that the call
// has not run, without saying so itself. Such an answer is not relayed.
var errFalsePromise = errors.New("status promises that the call has not run, the answer does not")

var errNotAuthentic = errors.New("answer lacks the target's authentication")

// mayRetry reports whether the route allows another run after the next one.
func (f *forwarder) mayRetry() bool { return f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts }

// send sends the call to the picked target.
func (f *forwarder) send(ctx context.Context, pick dispatch.Pick) (*upstream.Response, error) {
	ctx, span := f.Tracer.Start(ctx, "attempt")
	defer span.End()
	idle := maxIdleNonRepeatable
	if f.route.Repeatable() {
		idle = maxIdleRepeatable
	}
	return f.Upstream.Do(ctx, &upstream.Request{
		CallID: f.call.ID, TargetID: pick.Target.ID, Address: pick.Target.Address,
		Method: f.call.Method, URI: f.call.URI, Host: f.call.Host,
		Header: f.Dialect.AttemptHeader(f.call, f.attemptInfo(pick, f.deadline.Sub(f.sentAt))),
		Body:   f.call.Body, HasBody: f.call.HasBody, MaxIdle: idle, Deadline: f.deadline,
		MatchesCall: func(h http.Header) bool { return f.Dialect.Outcome(http.StatusOK, h).ID == f.call.ID },
	})
}

func (f *forwarder) attemptInfo(pick dispatch.Pick, remaining time.Duration) call.Attempt {
	a := call.Attempt{TargetID: pick.Target.ID, Remaining: remaining, Urgency: f.route.Priority, LastEventID: f.lastEventID}
	if f.account != nil {
		a.Account = f.account.Name
		if f.account.Priority != nil {
			a.Urgency = *f.account.Priority
		}
	}
	return a
}

func (f *forwarder) logSend(pick dispatch.Pick, now time.Time) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "route": f.route.Name, "target": pick.Target.ID, "zone": pick.Target.Zone,
		"expected_ms": pick.Expected.Milliseconds(), "running": pick.Load.Running,
		"waiting_ms": pick.Load.Waiting.Milliseconds(), "kept_tokens": pick.CachedTokens,
		"model": f.call.Model, "adapter": f.call.Adapter, "version": f.state.Version,
		"send": f.sends, "after_ms": now.Sub(f.call.Arrived).Milliseconds(),
	}).Info("passthrough: Call sent.")
}

// sendFailed handles a send that got no answer and reports whether another attempt
// must follow.
func (f *forwarder) sendFailed(ctx context.Context, ticket *dispatch.Ticket, watch *stallWatch, err error) bool {
	if errors.Is(err, upstream.ErrNotSent) && f.r.Context().Err() == nil {
		watch.stop()
		f.connectFailures++
		ticket.End(dispatch.Unreachable, f.Now())
		f.suspectRestart(ticket.TargetID(), err)
		f.metrics.attempts.WithLabelValues("unreachable").Inc()
		f.logAttempt("unreachable", err)
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
	standby := watch.stop()
	f.runs++
	result := f.classify(err)
	ticket.End(result, f.Now())
	name := "broken"
	if standby != nil {
		name = "stalled"
	}
	f.metrics.attempts.WithLabelValues(name).Inc()
	f.logAttempt(name, err)
	if result == dispatch.Abandoned {
		f.finish("caller_left", err)
		panic(http.ErrAbortHandler)
	}
	if standby != nil && ctx.Err() == nil {
		f.reserved = standby
		return true
	}
	again := f.route.Repeatable() && f.runs < f.route.MaxAttempts
	f.reportCrash(ticket, err, again)
	if !again {
		f.giveUp("target_failed", 0)
		return false
	}
	return f.retryOrGiveUp(ctx, "target_failed", true)
}

// attemptRejected handles a target's statement that the call did not run, and reports
// whether another attempt must follow.
func (f *forwarder) attemptRejected(ticket *dispatch.Ticket, response *upstream.Response, outcome call.Outcome) bool {
	result := dispatch.Rejected
	if outcome.WrongTarget {
		result = dispatch.NotHeld
	}
	response.Discard(maxRejection, rejectionTimeout)
	ticket.End(result, f.Now())
	f.metrics.attempts.WithLabelValues("rejected").Inc()
	f.logAttempt("rejected", nil)
	return f.retryOrGiveUp(f.r.Context(), "targets_full", true)
}

// retryOrGiveUp reports whether one more send may be made, and gives up if not. The
// send is charged to the retry budget if the previous one arrived at a target.
func (f *forwarder) retryOrGiveUp(ctx context.Context, reason string, arrived bool) bool {
	now := f.Now()
	allowed := ctx.Err() == nil && now.Before(f.deadline) && f.sends-f.connectFailures < maxSends && f.connectFailures < maxConnectFailures
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
		"call": f.call.ID, "result": result, "send": f.sends,
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
	watch.stop()
	f.runs++
	now := f.Now()
	ticket.FirstAnswer(now)
	f.recordFirstAnswer(now)
	a := &answer{status: response.Status, header: response.Header, body: body}
	if len(body) == maxBufferedAnswer {
		return f.relayLargeAnswer(ticket, response, a)
	}
	if a.status >= http.StatusInternalServerError && f.retryTargetError() {
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
	f.recordAnswered(ticket, response)
	f.deliver(a)
	return false
}

// retryTargetError reports whether a call that a target answered with a server error
// is sent once more. It takes the retry from the budget. Unlike in retryOrGiveUp, sends
// that reached no target count towards maxSends too.
func (f *forwarder) retryTargetError() bool {
	now := f.Now()
	return f.route.Repeatable() && f.runs < f.route.MaxAttempts && f.sends < maxSends &&
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
		ticket.End(f.classify(err), f.Now())
		f.finish("cut", err)
		panic(http.ErrAbortHandler)
	}
	ticket.End(dispatch.Served, f.Now())
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
		f.recordAnswered(ticket, response)
		watch.stop()
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
		f.lastEventAfter.Store(int64(now.Sub(f.call.Arrived)))
		if e.id != "" {
			f.lastEventID = e.id
		}
		if _, err := f.w.Write(e.raw); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

// errNoEvent means that a stream whose end is the end of its connection had no event. A
// target that ends before it begins the stream closes the connection too.
var errNoEvent = fmt.Errorf("stream ended with its connection before the first event: %w", io.ErrUnexpectedEOF)

var errMissingEvent = errors.New("event missing from stream")

func (f *forwarder) startStream(response *upstream.Response) {
	now := f.Now()
	f.recordFirstAnswer(now)
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
