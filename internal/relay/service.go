package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	// ID identifies the request. The service receives the identifier of the
	// attempt instead.
	ID         string
	Account    string
	Service    string
	Method     string
	Path       string
	RawQuery   string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// IdempotencyKey is the key that the caller sent, or empty.
	IdempotencyKey string
	Deadline       time.Time
	// BeforeSend is called in each attempt after a target was picked and before
	// anything is sent to it. An error ends the call without sending it to that
	// target; it is returned unchanged, unless an earlier attempt may have run.
	// BeforeSend may be nil.
	BeforeSend func(ctx context.Context) error
}

// Invoke runs a call to a plain service. Calls that are not idempotent run at most
// once: they are retried only if the target is known not to have run them, and end
// with ErrOutcomeUnknown after a failure in which a target may have run them.
func (r *Relay) Invoke(ctx context.Context, call *ServiceCall) (*target.ServiceReply, error) {
	r.budget.recordCall()
	reply, err := r.invoke(ctx, call)
	r.metrics.countOutcome(kindService, err)
	return reply, err
}

func (r *Relay) invoke(ctx context.Context, call *ServiceCall) (*target.ServiceReply, error) {
	var exclude []string
	var worstErr error
	for try := 0; ; try++ {
		slot, err := r.pick(ctx, routing.Request{
			Service:  call.Service,
			Account:  call.Account,
			Deadline: call.Deadline,
			Exclude:  exclude,
		})
		if err != nil {
			return nil, notSentError(worstErr, err)
		}
		if err := call.beforeSend(ctx); err != nil {
			slot.Done(routing.Cancelled)
			return nil, worseError(worstErr, err)
		}
		reply, err := r.invokeOnce(ctx, call, slot)
		if err == nil {
			return reply, nil
		}
		err = callError(err)
		worstErr = worseError(worstErr, err)
		if try+1 == maxAttempts || !isRetryable(ctx, call, err) {
			return nil, worstErr
		}
		if !r.waitToRetry(ctx, kindService, try, call.Deadline) {
			return nil, worstErr
		}
		exclude = append(exclude, slot.Target.Name)
	}
}

func (c *ServiceCall) beforeSend(ctx context.Context) error {
	if ctx.Err() != nil {
		return merry.Wrap(ErrNotRun, merry.WithCause(ctx.Err()))
	}
	if c.BeforeSend == nil {
		return nil
	}
	return c.BeforeSend(ctx)
}

func isRetryable(ctx context.Context, call *ServiceCall, err error) bool {
	return ctx.Err() == nil && (call.Idempotent || errors.Is(err, ErrNotRun))
}

func (r *Relay) invokeOnce(ctx context.Context, call *ServiceCall, slot *routing.Slot) (*target.ServiceReply, error) {
	ctx, span := r.tracer.Start(ctx, "relay.invoke", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ctx, cancel := r.sendContext(ctx, call)
	defer cancel()
	reply, err := r.services.Invoke(ctx, slot.Target.Address, &target.ServiceCall{
		ID:          r.newAttemptID(),
		Method:      call.Method,
		Path:        call.Path,
		RawQuery:    call.RawQuery,
		Header:      call.Header,
		Body:        call.Body,
		TraceParent: telemetry.TraceParent(ctx),
		Idempotent:  call.Idempotent,
	})
	slot.Done(outcome(ctx, err))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("target", slot.Target.Name), attribute.Bool("failed", err != nil))
	}
	if err != nil {
		return nil, merry.Prepend(err, slot.Target.Name)
	}
	return reply, nil
}

// sendContext returns the context for sending a call. If the caller disconnects, the
// call is cancelled, unless it is not idempotent and has a deadline. It then
// continues until the deadline, because cancelling it would only lose its outcome.
func (r *Relay) sendContext(ctx context.Context, call *ServiceCall) (context.Context, context.CancelFunc) {
	if call.Idempotent || call.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return clockwork.WithDeadline(context.WithoutCancel(ctx), r.clock, call.Deadline)
}
