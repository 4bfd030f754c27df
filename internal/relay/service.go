package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// ServiceCall is one admitted call to a plain service.
type ServiceCall struct {
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
}

// Invoke runs a call to a plain service. Calls that are not idempotent are sent
// at most once; after a failure that may have reached a target they end with
// ErrOutcomeUnknown.
func (r *Relay) Invoke(ctx context.Context, call *ServiceCall) (*target.ServiceReply, error) {
	var exclude []string
	var last error
	for range maxAttempts {
		slot, err := r.picker.Pick(ctx, routing.Request{
			Service:  call.Service,
			Account:  call.Account,
			Deadline: call.Deadline,
			Exclude:  exclude,
		})
		if err != nil {
			return nil, notRunUnless(last, err)
		}
		reply, err := r.invokeOnce(ctx, call, slot)
		if err == nil {
			return reply, nil
		}
		last = callError(err)
		if !errors.Is(last, ErrNotRun) && !call.Idempotent {
			return nil, last
		}
		exclude = append(exclude, slot.Target.Name)
	}
	return nil, last
}

func (r *Relay) invokeOnce(ctx context.Context, call *ServiceCall, slot *routing.Slot) (*target.ServiceReply, error) {
	ctx, span := r.tracer.Start(ctx, "relay.invoke", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	reply, err := r.services.Invoke(ctx, slot.Target.Address, &target.ServiceCall{
		ID:          call.ID,
		Method:      call.Method,
		Path:        call.Path,
		RawQuery:    call.RawQuery,
		Header:      call.Header,
		Body:        call.Body,
		TraceParent: telemetry.TraceParent(ctx),
		Idempotent:  call.Idempotent,
	})
	slot.Done(outcome(ctx, err))
	if err != nil {
		return nil, merry.Prepend(err, slot.Target.Name)
	}
	return reply, nil
}
