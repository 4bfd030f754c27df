package passthrough

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/memlimit"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// answerMargin is reserved for the transmission of the final answer.
	answerMargin = 15 * time.Millisecond
	// writeMargin is the time after the deadline in which the caller has to read the rest
	// of its answer.
	writeMargin = time.Second
	// maxConnectFailures bounds the sends of one call to targets that accepted no
	// connection. It is high because all targets of a zone may be lost at once while
	// their entries remain for seconds, and a refused connection costs about 1 ms.
	maxConnectFailures = 12
	// maxIdleNonRepeatable is the longest idle time of a connection that is reused for
	// a call that must not run twice. Targets drop idle connections without notice.
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// maxIdleRepeatable is the same for calls that may run again.
	maxIdleRepeatable = 4 * time.Second
)

// forwarder handles one call from admission to its final answer. It is used by one
// goroutine.
type forwarder struct {
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
	// room is what body and answer of the call are reserved from.
	room *memlimit.Reservation
	// deadline is when the timeout of the caller or of the route expires, whichever is
	// earlier, less answerMargin.
	deadline time.Time

	// accepted is set once the decision under load has accepted the call.
	accepted bool
	// excluded holds the IDs of the targets to which the call was sent.
	excluded map[string]bool
	sends    int
	// connectFailures counts sends to targets that accepted no connection.
	connectFailures int
	// runs counts sends after which the call ran or may have run.
	runs int
	// lastEventID is the ID of the last relayed event. headSent is set once the head
	// of the answer was relayed.
	lastEventID string
	headSent    bool
	// version is the software version that began the stream; nil if it has not begun or may
	// not be resumed.
	version atomic.Pointer[string]
	// cut is set if the connection of the caller is closed within the answer.
	cut bool
	// target is the target of the latest attempt.
	target *fleet.Target
	// sentAt is when the latest attempt was sent. expectedFirst is its expected time
	// to the first answer, Pick.Expected.
	sentAt        time.Time
	expectedFirst time.Duration
	// successor is the try that follows the last attempt and was sent during it, or nil.
	successor *try
	// lastEventAfter is the time.Duration from the arrival of the call to its last relayed
	// event, 0 before the first.
	lastEventAfter atomic.Int64
	// firstAnswerAt is when the first event or answer arrived.
	firstAnswerAt time.Time
	// countedAt is when the call began to run as far as Usage has counted it, zero if it has
	// not.
	countedAt time.Time
	// endTrial ends the trial of the request, nil if the call is none.
	endTrial func(used bool)
	// targetError is a server error answered by a target. It is delivered if no later
	// attempt yields an answer.
	targetError *answer
}

// answer is a complete answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// serve admits the call and makes attempts until it has its final answer.
func (f *forwarder) serve() {
	defer func() {
		if f.endTrial != nil {
			f.endTrial(f.sends > f.connectFailures)
		}
	}()
	if !f.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(f.r.Context(), f.deadline)
	defer cancel()
	// net/http clears it after the call.
	_ = http.NewResponseController(f.w).SetWriteDeadline(f.deadline.Add(writeMargin))
	if !f.resume() {
		return
	}
	f.excluded = make(map[string]bool)
	f.work = dispatch.NewWork(f.call)
	f.Retries.RecordCall(f.service, f.Now())
	defer f.dropSuccessor()
	for f.attempt(ctx) {
	}
}

// dropSuccessor gives up the successor, which may have run the call.
func (f *forwarder) dropSuccessor() {
	if f.successor == nil {
		return
	}
	f.successor.discard(f.Now())
	f.successor = nil
	f.runs++
}

// admit checks route, key, body and quota, and refuses the call if a check fails.
func (f *forwarder) admit() bool {
	f.state = f.Catalog.Current()
	if f.state == nil {
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "no_state", noStateRetryAfter)
		return false
	}
	if !f.authorize() || f.refuseQuarantined() {
		return false
	}
	timeout := f.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if f.route.Timeout > 0 {
		timeout = min(timeout, f.route.Timeout)
	}
	f.deadline = f.call.Arrived.Add(timeout - min(answerMargin, timeout/2))
	if !f.receiveBody() || f.refuseHeldRequest(f.r.Context()) {
		return false
	}
	return f.spendQuota()
}

// authorize finds the route and the client account.
func (f *forwarder) authorize() bool {
	f.route = f.state.Route(f.call.Host, f.call.Path)
	if f.route == nil {
		f.deny(http.StatusNotFound, "no_route")
		return false
	}
	f.service = f.route.PickService(rand.IntN)
	if !f.state.NeedsKey(f.route) {
		return true
	}
	if f.account = f.state.Account(f.call.Key); f.account == nil {
		f.deny(http.StatusUnauthorized, "unknown_key")
		return false
	}
	return true
}

// deny answers that a route or key does not exist. If the state is too old to be
// sure of that, it answers 503 instead.
func (f *forwarder) deny(status int, reason string) {
	if f.Catalog.Age(f.Now()) > unconfirmedAfter {
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "state_unconfirmed", noStateRetryAfter)
		return
	}
	f.refuse(f.w, f.call, status, reason, 0)
}

// receiveBody reads the body of the call until its deadline.
func (f *forwarder) receiveBody() bool {
	connection := http.NewResponseController(f.w)
	// Without a body there is nothing to wait for, and net/http already reads ahead.
	if f.r.ContentLength != 0 {
		_ = connection.SetReadDeadline(f.deadline)
	}
	body, err := readBody(f.r, f.room, f.state.Limits.MaxBodyBytes)
	if f.r.ContentLength != 0 && err == nil {
		_ = connection.SetReadDeadline(time.Time{})
		if !f.keepAliveDisabled.Load() {
			f.w.Header().Del("Connection")
		}
	}
	switch {
	case errors.Is(err, errTooLarge):
		f.refuse(f.w, f.call, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case errors.Is(err, errBodiesFull):
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "bodies_full", noTargetRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.refuse(f.w, f.call, http.StatusRequestTimeout, "body_too_slow", 0)
		return false
	case err != nil:
		f.finish("caller_left", err)
		panic(http.ErrAbortHandler)
	}
	f.call.Body = body
	return true
}

// memoryTokens returns the memory of the engines of the call's service; 0 without one.
func (f *forwarder) memoryTokens() int {
	if s := f.state.Services[f.service]; s != nil && s.Engine != nil {
		return s.Engine.KVTokens
	}
	return 0
}

// spendQuota takes the call's units from the account's quota.
func (f *forwarder) spendQuota() bool {
	if f.account == nil || f.account.Rate <= 0 {
		return true
	}
	f.units = 1
	if f.account.CountsTokens {
		f.units = float64(f.account.PlainTokens)
		if f.call.HasTokenCounts {
			memory := f.memoryTokens()
			f.units = float64(call.AddTokens(call.BoundTokens(f.call.PromptTokens, memory), call.BoundTokens(f.call.MaxOutputTokens, memory)))
		}
	}
	limit := allowance.AccountLimit{Rate: f.account.Rate, Burst: f.account.Burst}
	wait, ok := f.Quota.Spend(f.account.Name, limit, f.units, f.Now())
	if !ok {
		f.Log.WithFields(log.Fields{"call": f.call.ID, "account": f.account.Name, "units": f.units, "wait_ms": wait.Milliseconds()}).Info("passthrough: Account has no units left for the call.")
		f.refuse(f.w, f.call, http.StatusTooManyRequests, "over_quota", wait)
	}
	return ok
}

// giveUp ends a call for which no further attempt is made. The answer depends on
// whether the call may have run and on what was already relayed.
func (f *forwarder) giveUp(reason string, retryAfter time.Duration) {
	f.dropSuccessor()
	switch {
	case f.headSent:
		f.cut = true
		f.finish(reason, nil)
		panic(http.ErrAbortHandler)
	case f.targetError != nil:
		f.deliver(f.targetError)
	case f.runs > 0 && f.Now().Before(f.deadline):
		f.fail(http.StatusBadGateway, reason)
	case f.runs > 0:
		f.fail(http.StatusGatewayTimeout, reason)
	default:
		f.refundQuota()
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// refundQuota gives back the units of a call that has not run.
func (f *forwarder) refundQuota() {
	if f.account != nil {
		f.Quota.Refund(f.account.Name, f.units)
	}
}

// fail answers a call that may have run.
func (f *forwarder) fail(status int, reason string) {
	for name, values := range f.Dialect.RefusalHeader(f.call, 0) {
		f.w.Header()[name] = values
	}
	f.w.WriteHeader(status)
	_, err := io.WriteString(f.w, reason+"\n")
	f.finish(reason, err)
}

// deliver relays a complete answer.
func (f *forwarder) deliver(a *answer) {
	f.writeHead(a.status, a.header)
	_, err := f.w.Write(a.body)
	outcome := "served"
	if a.status >= http.StatusInternalServerError {
		outcome = "target_error"
	}
	f.finish(outcome, err)
}

func (f *forwarder) writeHead(status int, header http.Header) {
	out := f.w.Header()
	for name, values := range f.Dialect.AnswerHeader(header) {
		out[name] = values
	}
	// A nil entry keeps net/http from guessing a content type.
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil
	}
	f.w.WriteHeader(status)
	f.headSent = true
}

// finish logs and counts the outcome of the call.
func (f *forwarder) finish(outcome string, err error) {
	now := f.Now()
	f.metrics.answers.WithLabelValues(outcome).Inc()
	f.metrics.total.Observe(now.Sub(f.call.Arrived).Seconds())
	fields := log.Fields{
		"call": f.call.ID, "outcome": outcome, "sends": f.sends, "runs": f.runs,
		"after_ms": now.Sub(f.call.Arrived).Milliseconds(),
	}
	if !f.firstAnswerAt.IsZero() {
		fields["first_ms"] = f.firstAnswerAt.Sub(f.call.Arrived).Milliseconds()
	}
	if f.route != nil {
		fields["route"] = f.route.Name
	}
	if f.cut {
		fields["cut"] = true
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.Log.WithFields(fields).Info("passthrough: Call ended.")
}

// countBegin counts the call, once, as one that began to run at a time.
func (f *forwarder) countBegin(at time.Time) {
	if f.Usage == nil || f.account == nil || !f.countedAt.IsZero() {
		return
	}
	f.countedAt = at
	f.Usage.Add(f.account.Name, at, 1)
}

// countSend counts a call that is not a stream when it is sent: its target begins it then, and
// its answer may come after the usage of the time was reported.
func (f *forwarder) countSend() {
	if f.route.Kind != catalog.Stream {
		f.countBegin(f.sentAt)
	}
}

// uncountSend takes back what countSend counted if the latest attempt has not run.
func (f *forwarder) uncountSend() {
	if f.route.Kind == catalog.Stream || f.countedAt.IsZero() || !f.countedAt.Equal(f.sentAt) {
		return
	}
	f.countedAt = time.Time{}
	f.Usage.Add(f.account.Name, f.sentAt, -1)
}

// countStream counts a stream at its first event. A stream that its caller takes up began
// with an earlier call.
func (f *forwarder) countStream(now time.Time) {
	if f.call.LastEventID == "" {
		f.countBegin(now)
	}
}

// classify maps an error of an attempt to the result recorded by the dispatcher.
func (f *forwarder) classify(err error) dispatch.Result {
	switch {
	case f.r.Context().Err() != nil:
		return dispatch.Abandoned
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.Unreachable
	case errors.Is(err, upstream.ErrOutcomeUnknown):
		return dispatch.Failed
	}
	// Of the other errors, only those of the caller's connection are of a write.
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "write" {
		return dispatch.Abandoned
	}
	return dispatch.Failed
}
