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

// ServiceCall is one admitted call to a plain service.
type ServiceCall struct {
	// ID is the request's identifier in logs and spans; the service gets that of
	// the attempt.
	ID         string
	Account    string
	Service    string
	Method     string
	Path       string
	RawQuery   string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// IdempotencyKey is the caller's own; empty without one.
	IdempotencyKey string
	Deadline       time.Time
	// BeforeSend is called with a target at hand, before anything is sent to it.
	// Its error ends the call, as not sent, and is returned as it is. It may be
	// nil.
	BeforeSend func(ctx context.Context) error
}

// Invoke runs a call to a plain service. Calls that are not idempotent are sent
// at most once; after a failure that may have reached a target they end with
// ErrOutcomeUnknown.
func (r *Relay) Invoke(ctx context.Context, call *ServiceCall) (*target.ServiceReply, error) {
	r.budget.noteCall()
	reply, err := r.invoke(ctx, call)
	r.metrics.countOutcome(kindService, err)
	return reply, err
}

func (r *Relay) invoke(ctx context.Context, call *ServiceCall) (*target.ServiceReply, error) {
	var exclude []string
	var worst error
	for try := 0; ; try++ {
		slot, err := r.pick(ctx, routing.Request{
			Service:  call.Service,
			Account:  call.Account,
			Deadline: call.Deadline,
			Exclude:  exclude,
		})
		if err != nil {
			return nil, pickError(worst, err)
		}
		if err := call.beforeSend(ctx); err != nil {
			slot.Done(routing.Cancelled)
			return nil, worse(worst, err)
		}
		reply, err := r.invokeOnce(ctx, call, slot)
		if err == nil {
			return reply, nil
		}
		err = callError(err)
		worst = worse(worst, err)
		if try+1 == maxAttempts || !isRepeatable(ctx, call, err) {
			return nil, worst
		}
		if !r.waitToRetry(ctx, kindService, try, call.Deadline) {
			return nil, worst
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

func isRepeatable(ctx context.Context, call *ServiceCall, err error) bool {
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

// sendContext is the context of a call that is being sent. A caller that leaves
// ends an idempotent call; one that is not idempotent goes on to its deadline,
// since ending it would only lose its outcome.
func (r *Relay) sendContext(ctx context.Context, call *ServiceCall) (context.Context, context.CancelFunc) {
	if call.Idempotent || call.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return clockwork.WithDeadline(context.WithoutCancel(ctx), r.clock, call.Deadline)
}
