package passthrough

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// answerMargin is kept of the time left for the final answer to travel.
	answerMargin = 15 * time.Millisecond
	// maxSends bounds the sends of one call that reached a target, those that did not
	// run included.
	maxSends = 4
	// maxUnreached bounds the targets that took no connection: when a zone's targets
	// are lost at once, their entries stay for seconds, and a refused connection costs
	// a millisecond.
	maxUnreached = 12
	// freshIdle is the longest idle time of a connection used for a call that
	// must not run twice: targets drop idle connections without notice.
	freshIdle = 1500 * time.Millisecond
	// repeatableIdle is the same for calls that may be sent again.
	repeatableIdle = 4 * time.Second
	// attemptShare is the part of the time left that one attempt gets if another
	// may follow.
	attemptShare = 0.55
	// stalledAfter is the pause after which a resumable stream is taken from its
	// target: callers give up after two seconds or more.
	stalledAfter = 1500 * time.Millisecond
)

// flight is the life of one call. It is used by one goroutine.
type flight struct {
	*Server
	w    http.ResponseWriter
	r    *http.Request
	call *call.Call

	state   *catalog.State
	route   *catalog.Route
	service string
	account *catalog.Account
	units   float64
	work    dispatch.Work
	// ends is when the caller's patience or the route's time-out is over.
	ends time.Time

	// excluded holds the targets that had the call.
	excluded map[string]bool
	sends    int
	// unreached counts sends to targets that took no connection.
	unreached int
	// runs counts sends after which the call has run or may have.
	runs int
	// lastEvent is the id of the last event relayed; started is set once the
	// head of the answer was relayed.
	lastEvent string
	started   bool
	// sentAt is when the newest attempt was sent, expected its predicted time to the
	// first answer.
	sentAt   time.Time
	expected time.Duration
	// firstAt is when the first event or answer came.
	firstAt time.Time
	// kept is an error answer of a target, delivered if no attempt does better.
	kept *answer
}

// answer is a complete answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// serve runs the call from its route to its final answer.
func (f *flight) serve() {
	if !f.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(f.r.Context(), f.ends)
	defer cancel()
	f.excluded = make(map[string]bool)
	f.work = dispatch.NewWork(f.call)
	f.Retries.RecordCall(f.service, f.Now())
	for f.attempt(ctx) {
	}
}

// admit checks route, key, body and quota, and refuses the call if one fails.
func (f *flight) admit() bool {
	f.state = f.Catalog.Current()
	if f.state == nil {
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "no_state", noStateRetry)
		return false
	}
	if !f.authorize() {
		return false
	}
	patience := f.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if f.route.Timeout > 0 {
		patience = min(patience, f.route.Timeout)
	}
	f.ends = f.call.Arrived.Add(patience - min(answerMargin, patience/2))
	if !f.readCall() {
		return false
	}
	return f.spend()
}

// authorize finds the route and the client account.
func (f *flight) authorize() bool {
	f.route = f.state.Route(f.call.Host, f.call.Path)
	if f.route == nil {
		f.deny(http.StatusNotFound, "no_route")
		return false
	}
	f.service = f.pickService()
	if !f.state.NeedsKey(f.route) {
		return true
	}
	if f.account = f.state.Account(f.call.Key); f.account == nil {
		f.deny(http.StatusUnauthorized, "unknown_key")
		return false
	}
	return true
}

// deny tells that a route or key does not exist, unless the state is too old to
// know.
func (f *flight) deny(status int, reason string) {
	if f.Catalog.Age(f.Now()) > unconfirmedAfter {
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "state_unconfirmed", noStateRetry)
		return
	}
	f.refuse(f.w, f.call, status, reason, 0)
}

// pickService draws among the services of the route by weight.
func (f *flight) pickService() string {
	total := 0
	for _, s := range f.route.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return f.route.Services[0].Service
	}
	at := rand.IntN(total)
	for _, s := range f.route.Services {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return f.route.Services[0].Service
}

func (f *flight) readCall() bool {
	body, err := readBody(f.r, f.state.Limits.MaxBodyBytes)
	switch {
	case errors.Is(err, errTooLarge):
		f.refuse(f.w, f.call, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case err != nil:
		f.end("caller_left", err)
		panic(http.ErrAbortHandler)
	}
	f.call.Body = body
	return true
}

// spend takes the call's units from the account's quota.
func (f *flight) spend() bool {
	if f.account == nil || f.account.Rate <= 0 {
		return true
	}
	f.units = 1
	if f.account.CountsTokens {
		f.units = float64(f.account.PlainTokens)
		if f.call.HasTokenCounts {
			f.units = float64(f.call.PromptTokens + f.call.MaxOutputTokens)
		}
	}
	limit := allowance.AccountLimit{Rate: f.account.Rate, Burst: f.account.Burst}
	wait, ok := f.Quota.Spend(f.account.Name, limit, f.units, f.Now())
	if !ok {
		f.refuse(f.w, f.call, http.StatusTooManyRequests, "over_quota", wait)
	}
	return ok
}

// giveUp ends a call for which no further attempt is made.
func (f *flight) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case f.started:
		f.end(reason, nil)
		panic(http.ErrAbortHandler)
	case f.kept != nil:
		f.deliver(f.kept)
	case f.runs > 0 && f.Now().Before(f.ends):
		f.fail(http.StatusBadGateway, reason)
	case f.runs > 0:
		f.fail(http.StatusGatewayTimeout, reason)
	default:
		if f.account != nil {
			f.Quota.Refund(f.account.Name, f.units)
		}
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// fail answers a call that may have run.
func (f *flight) fail(status int, reason string) {
	for name, values := range f.Dialect.RefusalHeader(f.call, 0) {
		f.w.Header()[name] = values
	}
	f.w.WriteHeader(status)
	_, err := io.WriteString(f.w, reason+"\n")
	f.end(reason, err)
}

// deliver relays a complete answer.
func (f *flight) deliver(a *answer) {
	f.copyHead(a.status, a.header)
	_, err := f.w.Write(a.body)
	outcome := "served"
	if a.status >= http.StatusInternalServerError {
		outcome = "target_error"
	}
	f.end(outcome, err)
}

func (f *flight) copyHead(status int, header http.Header) {
	out := f.w.Header()
	for name, values := range f.Dialect.AnswerHeader(header) {
		out[name] = values
	}
	// Without this, the library would add a type of its own guess.
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil
	}
	f.w.WriteHeader(status)
	f.started = true
}

// end logs and counts the final outcome.
func (f *flight) end(outcome string, err error) {
	now := f.Now()
	f.metrics.answers.WithLabelValues(outcome).Inc()
	f.metrics.total.Observe(now.Sub(f.call.Arrived).Seconds())
	fields := log.Fields{
		"call": f.call.ID, "outcome": outcome, "sends": f.sends, "runs": f.runs,
		"after_ms": now.Sub(f.call.Arrived).Milliseconds(),
	}
	if !f.firstAt.IsZero() {
		fields["first_ms"] = f.firstAt.Sub(f.call.Arrived).Milliseconds()
	}
	if f.route != nil {
		fields["route"] = f.route.Name
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.Log.WithFields(fields).Info("passthrough: Call ended.")
}

// classify maps a send error to the result recorded by the dispatcher.
func (f *flight) classify(err error) dispatch.Result {
	switch {
	case f.r.Context().Err() != nil:
		return dispatch.Abandoned
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.Unreachable
	}
	return dispatch.Failed
}
