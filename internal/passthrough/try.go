package passthrough

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

// try is one send of the call to a target. Each attempt begins with one; a successor that
// is given up stays without an attempt.
type try struct {
	pick    dispatch.Pick
	ticket  *dispatch.Ticket
	sentAt  time.Time
	request *upstream.Request
	ctx     context.Context
	cancel  context.CancelFunc
	// connected is closed once there is a connection, connectedAt is set before.
	connected   chan struct{}
	connectedAt time.Time
	// done is closed once response and err are set.
	done     chan struct{}
	response *upstream.Response
	err      error
}

// newTry prepares a send to the picked target. number counts the sends of the call from 1.
func (f *forwarder) newTry(ctx context.Context, pick dispatch.Pick, number int, lastEventID string) *try {
	now := f.Now()
	idle := maxIdleNonRepeatable
	if f.route.Repeatable() {
		idle = maxIdleRepeatable
	}
	t := &try{
		pick: pick, sentAt: now, connected: make(chan struct{}), done: make(chan struct{}), ticket: f.Dispatcher.Begin(pick, f.work, now),
		request: &upstream.Request{
			CallID: f.call.ID, TargetID: pick.Target.ID, Address: pick.Target.Address,
			Method: f.call.Method, URI: f.call.URI, Host: f.call.Host,
			Header: f.Dialect.AttemptHeader(f.call, f.attemptInfo(pick, f.deadline.Sub(now), lastEventID)),
			Body:   f.call.Body, HasBody: f.call.HasBody, MaxIdle: idle, Deadline: f.deadline,
			MatchesCall: func(h http.Header) bool { return f.Dialect.Outcome(http.StatusOK, h).ID == f.call.ID },
		},
	}
	t.request.OnConnected = func() {
		t.connectedAt = f.Now()
		close(t.connected)
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	f.logSend(pick, number, now)
	return t
}

// send sends the call and reads the head of its answer.
func (f *forwarder) send(t *try) {
	ctx, span := f.Tracer.Start(t.ctx, "attempt")
	defer span.End()
	defer close(t.done)
	t.response, t.err = f.Upstream.Do(ctx, t.request)
}

// refusableFor returns how much longer the target may still refuse the call.
func (t *try) refusableFor(now time.Time) time.Duration {
	select {
	case <-t.connected:
		return t.connectedAt.Add(refusalTimeout).Sub(now)
	default:
		return refusalTimeout
	}
}

// discard ends a try whose answer is not needed.
func (t *try) discard(now time.Time) {
	t.cancel()
	t.ticket.End(dispatch.Abandoned, now)
	go func() {
		<-t.done
		if t.response != nil {
			t.response.Close()
		}
	}()
}

func (f *forwarder) attemptInfo(pick dispatch.Pick, remaining time.Duration, lastEventID string) call.Attempt {
	a := call.Attempt{TargetID: pick.Target.ID, Remaining: remaining, Urgency: f.urgency(), LastEventID: lastEventID}
	if f.account != nil {
		a.Account = f.account.Name
	}
	return a
}

// urgency returns the priority of the call, 0 goes first.
func (f *forwarder) urgency() int {
	if f.account != nil && f.account.Priority != nil {
		return *f.account.Priority
	}
	return f.route.Priority
}

func (f *forwarder) logSend(pick dispatch.Pick, number int, now time.Time) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "route": f.route.Name, "target": pick.Target.ID, "zone": pick.Target.Zone,
		"expected_ms": pick.Expected.Milliseconds(), "running": pick.Load.Running,
		"waiting_ms": pick.Load.Waiting.Milliseconds(), "kept_tokens": pick.CachedTokens,
		"model": f.call.Model, "adapter": f.call.Adapter, "version": f.state.Version,
		"send": number, "after_ms": now.Sub(f.call.Arrived).Milliseconds(),
	}).Info("passthrough: Call sent.")
}
