// Package relay carries one call from admission to its last byte: it picks a
// target, forwards the call, checks that the answer is whole and the call's
// own, and decides whether a failure may be repeated elsewhere.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// Errors of the relay. Each tells the caller whether the call ran.
var (
	// ErrNotRun means that nothing was sent, or that the target is known not to
	// have run the call.
	ErrNotRun = merry.Sentinel("relay: call not run")
	// ErrOutcomeUnknown means that the call may have run.
	ErrOutcomeUnknown = merry.Sentinel("relay: outcome of call unknown")
	// ErrBroken means that an answer broke off and could not be continued.
	ErrBroken = merry.Sentinel("relay: answer broke off")
	// ErrInvalid means that the target refused the call as malformed. The cause
	// is a target.InvalidError.
	ErrInvalid = merry.Sentinel("relay: call invalid")
)

// maxAttempts bounds the targets tried for one call.
const maxAttempts = 3

// Picker reserves a slot on a target. Implementations may wait for capacity.
type Picker interface {
	Pick(ctx context.Context, request routing.Request) (*routing.Slot, error)
}

// Call is one admitted model call.
type Call struct {
	ID       string
	Account  string
	Served   string
	Kind     target.Kind
	Body     []byte
	Stream   bool
	Class    routing.Class
	Deadline time.Time
	Prefixes []target.PrefixHash
}

// Sink takes the chunks of an answer in order.
type Sink interface {
	Chunk(chunk target.Chunk) error
}

// Result tells what a call used.
type Result struct {
	// Usage is the engine's own count; nil if it gave none.
	Usage *target.Usage
	// Generated is the number of tokens that were received.
	Generated int64
	// Sent is set once any attempt may have reached a target.
	Sent bool
}

// Relay is safe for concurrent use.
type Relay struct {
	picker   Picker
	engines  target.ModelCaller
	services target.ServiceCaller
	tracer   trace.Tracer
	log      *log.Logger
}

// New returns a relay.
func New(picker Picker, engines target.ModelCaller, services target.ServiceCaller, tracer trace.Tracer, logger *log.Logger) *Relay {
	return &Relay{picker: picker, engines: engines, services: services, tracer: tracer, log: logger}
}

// Generate runs a model call and hands its answer to sink.
func (r *Relay) Generate(ctx context.Context, call *Call, sink Sink) (Result, error) {
	var result Result
	var exclude []string
	var last error
	for attempt := range maxAttempts {
		slot, err := r.picker.Pick(ctx, routing.Request{
			Served:   call.Served,
			Account:  call.Account,
			Class:    call.Class,
			Deadline: call.Deadline,
			Prefixes: call.Prefixes,
			Exclude:  exclude,
		})
		if err != nil {
			return result, notRunUnless(last, err)
		}
		a := &attemptRun{relay: r, call: call, sink: sink, result: &result, number: attempt}
		last = a.run(ctx, slot)
		if last == nil || !a.isRepeatable(last) {
			return result, last
		}
		r.log.Debugf("Call %s repeated after %s: %v.", call.ID, slot.Target.Name, last)
		exclude = append(exclude, slot.Target.Name)
	}
	return result, last
}

// notRunUnless keeps the error of an earlier attempt, whose outcome counts for
// the whole call.
func notRunUnless(last, err error) error {
	if last != nil {
		return last
	}
	return merry.Wrap(ErrNotRun, merry.WithCause(err))
}

// attemptRun is one attempt at one target.
type attemptRun struct {
	relay     *Relay
	call      *Call
	sink      Sink
	result    *Result
	number    int
	delivered bool
	sinkErr   error
}

func (a *attemptRun) run(ctx context.Context, slot *routing.Slot) error {
	ctx, span := a.relay.tracer.Start(ctx, "relay.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	stream, err := a.relay.engines.Generate(ctx, slot.Target.Address, &target.ModelCall{
		ID:          fmt.Sprintf("%s-%d", a.call.ID, a.number),
		Kind:        a.call.Kind,
		Model:       a.call.Served,
		Body:        a.call.Body,
		Stream:      a.call.Stream,
		Priority:    priority(a.call.Class),
		TraceParent: telemetry.TraceParent(ctx),
	})
	if err != nil {
		slot.Done(outcome(ctx, err))
		a.result.Sent = a.result.Sent || !errors.Is(err, target.ErrNotSent)
		return callError(err)
	}
	a.result.Sent = true
	err = a.copy(stream)
	slot.Done(outcome(ctx, err))
	_ = stream.Close()
	return err
}

func (a *attemptRun) copy(stream target.Stream) error {
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return merry.Wrap(ErrBroken, merry.WithCause(err))
		}
		a.result.Generated += chunk.Generated
		if chunk.Usage != nil {
			a.result.Usage = chunk.Usage
		}
		a.delivered = true
		if err := a.sink.Chunk(chunk); err != nil {
			a.sinkErr = err
			return err
		}
	}
}

// isRepeatable reports whether another target may run the call: model calls
// have no effect beyond their answer, so only a part already delivered forbids
// it.
func (a *attemptRun) isRepeatable(err error) bool {
	if a.delivered || a.sinkErr != nil {
		return false
	}
	return !errors.Is(err, ErrInvalid) && !errors.Is(err, context.Canceled)
}

func callError(err error) error {
	switch {
	case errors.Is(err, target.ErrInvalid):
		return merry.Wrap(ErrInvalid, merry.WithCause(err))
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRejected):
		return merry.Wrap(ErrNotRun, merry.WithCause(err))
	}
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
}

func outcome(ctx context.Context, err error) routing.Outcome {
	switch {
	case err == nil:
		return routing.Completed
	case ctx.Err() != nil:
		return routing.Cancelled
	case errors.Is(err, target.ErrRejected):
		return routing.Rejected
	}
	return routing.Failed
}

func priority(class routing.Class) int {
	if class == routing.ClassBatch {
		return 0
	}
	return 1
}
