package passthrough

import (
	"context"
	"errors"
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

// maxBufferedAnswer is the size up to which an answer is read whole before its
// head is relayed, so that a cut one can be replaced, in bytes.
const maxBufferedAnswer = 1 << 20

// attempt makes one attempt and reports whether another has to follow.
func (f *flight) attempt(ctx context.Context) bool {
	pick, ok := f.pick(ctx)
	if !ok {
		return false
	}
	attemptCtx, cancel := f.attemptContext(ctx)
	defer cancel()
	response, ticket, err := f.send(attemptCtx, pick)
	if err != nil {
		return f.sendFailed(ctx, ticket, err)
	}
	defer response.Close()
	outcome := f.Dialect.Outcome(response.Status, response.Header)
	switch {
	case outcome.NotRun:
		return f.rejected(ticket, response, outcome)
	case response.Status < http.StatusMultipleChoices && !outcome.Authentic:
		f.runs++
		return f.broken(ctx, ticket, errNotAuthentic)
	}
	f.runs++
	if f.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices {
		return f.relayStream(ctx, cancel, ticket, response)
	}
	return f.relayAnswer(ctx, ticket, response)
}

var errNotAuthentic = errors.New("answer without the target's mark")

// attemptContext bounds one attempt, leaving time for another if one is allowed.
func (f *flight) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.route.Kind == catalog.Idempotent && f.mayRepeat() {
		left := f.ends.Sub(f.Now())
		return context.WithTimeout(ctx, time.Duration(attemptShare*float64(left)))
	}
	return context.WithCancel(ctx)
}

// mayRepeat reports whether the route allows a run at one more target after the
// next.
func (f *flight) mayRepeat() bool { return f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts }

// send sends the call to the target picked.
func (f *flight) send(ctx context.Context, pick dispatch.Pick) (*upstream.Response, *dispatch.Ticket, error) {
	ctx, span := f.Tracer.Start(ctx, "attempt")
	defer span.End()
	now := f.Now()
	f.sends++
	f.sentAt, f.expected = now, pick.Expected
	f.excluded[pick.Target.ID] = true
	ticket := f.Dispatcher.Begin(pick, f.work, now)
	f.logSend(pick, now)
	deadline, _ := ctx.Deadline()
	idle := freshIdle
	if f.route.Repeatable() {
		idle = repeatableIdle
	}
	response, err := f.Upstream.Do(ctx, &upstream.Request{
		TargetID: pick.Target.ID, Address: pick.Target.Address,
		Method: f.call.Method, URI: f.call.URI, Host: f.call.Host,
		Header: f.Dialect.AttemptHeader(f.call, f.attemptOf(pick, deadline.Sub(now))),
		Body:   f.call.Body, HasBody: f.call.HasBody, MaxIdle: idle, Deadline: deadline,
		Belongs: func(h http.Header) bool { return f.Dialect.Outcome(http.StatusOK, h).ID == f.call.ID },
	})
	return response, ticket, err
}

func (f *flight) attemptOf(pick dispatch.Pick, remaining time.Duration) call.Attempt {
	a := call.Attempt{TargetID: pick.Target.ID, Remaining: remaining, Urgency: f.route.Priority, LastEventID: f.lastEvent}
	if f.account != nil {
		a.Account = f.account.Name
		if f.account.Priority != nil {
			a.Urgency = *f.account.Priority
		}
	}
	return a
}

func (f *flight) logSend(pick dispatch.Pick, now time.Time) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "route": f.route.Name, "target": pick.Target.ID, "zone": pick.Target.Zone,
		"expected_ms": pick.Expected.Milliseconds(), "running": pick.Load.Running,
		"waiting_ms": pick.Load.Waiting.Milliseconds(), "kept_tokens": pick.KeptTokens,
		"model": f.call.Model, "adapter": f.call.Adapter, "version": f.state.Version,
		"send": f.sends, "after_ms": now.Sub(f.call.Arrived).Milliseconds(),
	}).Info("passthrough: Call sent.")
}

// sendFailed decides what follows a send without an answer.
func (f *flight) sendFailed(ctx context.Context, ticket *dispatch.Ticket, err error) bool {
	if errors.Is(err, upstream.ErrNotSent) && f.r.Context().Err() == nil {
		f.unreached++
		ticket.End(dispatch.Unreachable, f.Now())
		f.suspectRestart(ticket.TargetID(), err)
		f.metrics.attempts.WithLabelValues("unreachable").Inc()
		f.logAttempt("unreachable", err)
		return f.another(ctx, "unreachable", false)
	}
	f.runs++
	return f.broken(ctx, ticket, err)
}

// suspectRestart notes that a target whose process is gone may come back cold, and
// serve before its announcement says so. An engine holds no model until then.
func (f *flight) suspectRestart(targetID string, err error) {
	service := f.state.Services[f.service]
	if service != nil && service.Engine == nil && service.ColdRate > 0 && errors.Is(err, syscall.ECONNREFUSED) {
		f.Dispatcher.SuspectCold(targetID, f.Now())
	}
}

// broken decides what follows a call that may have run and has no whole answer.
func (f *flight) broken(ctx context.Context, ticket *dispatch.Ticket, err error) bool {
	result := f.classify(err)
	ticket.End(result, f.Now())
	f.metrics.attempts.WithLabelValues("broken").Inc()
	f.logAttempt("broken", err)
	if result == dispatch.Abandoned {
		f.end("caller_left", err)
		panic(http.ErrAbortHandler)
	}
	if !f.route.Repeatable() || f.runs >= f.route.MaxAttempts {
		f.giveUp("target_failed", 0)
		return false
	}
	return f.another(ctx, "target_failed", true)
}

// rejected decides what follows a statement that the call did not run.
func (f *flight) rejected(ticket *dispatch.Ticket, response *upstream.Response, outcome call.Outcome) bool {
	result := dispatch.Rejected
	if outcome.WrongTarget {
		result = dispatch.NotHeld
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxBufferedAnswer)); err != nil {
		f.logAttempt("rejection_unread", err)
	}
	ticket.End(result, f.Now())
	f.metrics.attempts.WithLabelValues("rejected").Inc()
	f.logAttempt("rejected", nil)
	return f.another(f.r.Context(), "targets_full", true)
}

// another reports whether one more send may be made, and gives up if not. A
// send after one that arrived counts as a repeat.
func (f *flight) another(ctx context.Context, reason string, arrived bool) bool {
	now := f.Now()
	allowed := ctx.Err() == nil && now.Before(f.ends) && f.sends-f.unreached < maxSends && f.unreached < maxUnreached
	if allowed && arrived {
		allowed = f.takeRepeat(now)
	}
	if !allowed {
		f.giveUp(reason, noTargetRetry)
	}
	return allowed
}

// takeRepeat takes a repeat of the own part of the budget, which is not known before
// the other instances are.
func (f *flight) takeRepeat(now time.Time) bool {
	return f.Members.AllKnown() && f.Retries.TryRetry(f.service, len(f.Members.Names()), now)
}

func (f *flight) logAttempt(result string, err error) {
	fields := log.Fields{"call": f.call.ID, "result": result, "send": f.sends}
	if err != nil {
		fields["error"] = err.Error()
		if cause := merry.Cause(err); cause != nil {
			fields["cause"] = cause.Error()
		}
	}
	f.Log.WithFields(fields).Info("passthrough: Attempt ended without an answer.")
}

// relayAnswer relays a plain answer, whole.
func (f *flight) relayAnswer(ctx context.Context, ticket *dispatch.Ticket, response *upstream.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedAnswer))
	if err != nil {
		return f.broken(ctx, ticket, err)
	}
	now := f.Now()
	ticket.FirstAnswer(now)
	f.noteFirst(now)
	a := &answer{status: response.Status, header: response.Header, body: body}
	if len(body) == maxBufferedAnswer {
		return f.relayLong(ticket, response, a)
	}
	if a.status >= http.StatusInternalServerError && f.repeatError() {
		ticket.End(dispatch.Served, now)
		f.kept = a
		f.logAttempt("target_error", nil)
		return true
	}
	result := dispatch.Served
	if a.status >= http.StatusInternalServerError && f.route.Kind == catalog.Stream {
		result = dispatch.Failed
	}
	ticket.End(result, now)
	f.deliver(a)
	return false
}

// repeatError reports whether a call that a target answered with an error is
// sent once more, and takes the repeat from the budget.
func (f *flight) repeatError() bool {
	now := f.Now()
	return f.route.Repeatable() && f.runs < f.route.MaxAttempts && f.sends < maxSends &&
		now.Before(f.ends) && f.takeRepeat(now)
}

// noteFirst notes the time of the first event or answer, and how well it was
// predicted.
func (f *flight) noteFirst(now time.Time) {
	f.firstAt = now
	f.metrics.first.Observe(now.Sub(f.call.Arrived).Seconds())
	if f.expected > 0 {
		f.metrics.estimate.Observe(float64(now.Sub(f.sentAt)) / float64(f.expected))
	}
}

// relayLong relays an answer that is too long to be kept.
func (f *flight) relayLong(ticket *dispatch.Ticket, response *upstream.Response, a *answer) bool {
	f.copyHead(a.status, a.header)
	_, err := f.w.Write(a.body)
	if err == nil {
		_, err = io.Copy(f.w, response)
	}
	if err != nil {
		ticket.End(f.classify(err), f.Now())
		f.end("cut", err)
		panic(http.ErrAbortHandler)
	}
	ticket.End(dispatch.Served, f.Now())
	f.end("served", nil)
	return false
}

// relayStream relays events as they come. A stream that breaks goes on at
// another target if the route allows it.
func (f *flight) relayStream(ctx context.Context, abort func(), ticket *dispatch.Ticket, response *upstream.Response) bool {
	err := f.copyEvents(abort, ticket, response)
	if err == nil {
		ticket.End(dispatch.Served, f.Now())
		if !f.started {
			f.copyHead(response.Status, response.Header)
		}
		f.end("served", nil)
		return false
	}
	response.Close()
	return f.broken(ctx, ticket, err)
}

// copyEvents relays whole events until the stream ends.
func (f *flight) copyEvents(abort func(), ticket *dispatch.Ticket, response *upstream.Response) error {
	events := newEventReader(response)
	flusher := http.NewResponseController(f.w)
	watch := f.watchStall(abort)
	defer watch.stop()
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		watch.progress()
		fits, repeated := e.follows(f.lastEvent)
		if repeated {
			continue
		}
		if !fits {
			return errGap
		}
		if !f.started {
			f.firstEvent(ticket, response)
		}
		ticket.FirstAnswer(f.Now())
		if e.id != "" {
			f.lastEvent = e.id
		}
		if _, err := f.w.Write(e.raw); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

var errGap = errors.New("an event is missing")

// watchStall ends an attempt of a resumable stream that brings nothing for long.
// The first event may take half of the time left.
func (f *flight) watchStall(abort func()) stallWatch {
	if !f.route.Resumable || f.runs >= f.route.MaxAttempts {
		return stallWatch{}
	}
	return stallWatch{time.AfterFunc(f.ends.Sub(f.Now())/2, abort)}
}

// stallWatch is a timer that may be absent.
type stallWatch struct{ timer *time.Timer }

func (s stallWatch) progress() {
	if s.timer != nil {
		s.timer.Reset(stalledAfter)
	}
}

func (s stallWatch) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (f *flight) firstEvent(ticket *dispatch.Ticket, response *upstream.Response) {
	now := f.Now()
	f.noteFirst(now)
	f.copyHead(response.Status, response.Header)
}
