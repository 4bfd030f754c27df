package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// Bounds of resumption.
const (
	// maxResumes is the number of resumptions in a row without a new chunk.
	maxResumes = 3
	// maxResumesPerCall bounds the resumptions of one call altogether.
	maxResumesPerCall = 16
)

// Generate runs a model call and hands its answer to sink. A call of which
// nothing was delivered is restarted on another target; a stream of which a
// part was delivered is resumed on its own target or ends with ErrBroken.
func (r *Relay) Generate(ctx context.Context, call *Call, sink Sink) (Result, error) {
	r.budget.noteCall()
	run := &modelRun{relay: r, call: call, sink: sink}
	err := run.run(ctx)
	r.metrics.countOutcome(kindModel, err)
	return run.result, err
}

// modelRun is the life of one model call. It is used by one goroutine. Chunks
// below next have been handed to the sink, each once and in order.
type modelRun struct {
	relay   *Relay
	call    *Call
	sink    Sink
	result  Result
	exclude []string
	next    int
	resumes int
	sinkErr error
	// slot is the place of the present attempt.
	slot *routing.Slot
}

func (m *modelRun) run(ctx context.Context) error {
	var worst error
	for try := 0; ; try++ {
		slot, err := m.relay.pick(ctx, m.request())
		if err != nil {
			return pickError(worst, err)
		}
		if err := m.beforeSend(ctx); err != nil {
			slot.Done(routing.Cancelled)
			return pickError(worst, err)
		}
		err = m.attempt(ctx, slot)
		if err == nil {
			return nil
		}
		worst = worse(worst, err)
		if try+1 == maxAttempts || !m.isRestartable(ctx, err) {
			return worst
		}
		if !m.relay.waitToRetry(ctx, kindModel, try, m.call.Deadline) {
			return worst
		}
		m.relay.log.Debugf("Call %s restarted after %s: %v.", m.call.ID, slot.Target.Name, err)
		m.exclude = append(m.exclude, slot.Target.Name)
	}
}

func (m *modelRun) beforeSend(ctx context.Context) error {
	if m.call.BeforeSend == nil {
		return nil
	}
	return m.call.BeforeSend(ctx)
}

func (m *modelRun) request() routing.Request {
	return routing.Request{
		Served:   m.call.Served,
		Account:  m.call.Account,
		Class:    m.call.Class,
		Deadline: m.call.Deadline,
		Prefixes: m.call.Prefixes,
		Exclude:  m.exclude,
	}
}

// isRestartable reports whether another target may run the call: model calls
// have no effect beyond their answer, so only a part already delivered forbids
// it.
func (m *modelRun) isRestartable(ctx context.Context, err error) bool {
	return m.next == 0 && m.sinkErr == nil && ctx.Err() == nil && !errors.Is(err, ErrInvalid)
}

// attempt runs the call on one target, resumptions included.
func (m *modelRun) attempt(ctx context.Context, slot *routing.Slot) error {
	spanCtx, span := m.relay.tracer.Start(ctx, "relay.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	id := m.relay.newAttemptID()
	m.slot = slot
	var err error
	for tries := 0; ; tries++ {
		before := m.next
		err = m.stream(spanCtx, slot.Target.Address, id)
		if m.next > before {
			tries = 0
		}
		if err == nil || !m.isResumable(ctx, err, tries) {
			break
		}
		if !m.relay.wait(ctx, backoff(tries, m.relay.jitter())) {
			break
		}
		m.resumes++
	}
	m.countResumes(err)
	slot.Done(outcome(ctx, err))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("target", slot.Target.Name),
			attribute.Int("resumes", m.resumes),
			attribute.String("outcome", outcomeLabel(err)),
		)
	}
	return err
}

func (m *modelRun) countResumes(err error) {
	if m.resumes == 0 {
		return
	}
	result := "completed"
	if err != nil {
		result = "broken"
	}
	m.relay.metrics.resumes.WithLabelValues(result).Inc()
}

// isResumable reports whether the same target can continue a stream of which a
// part was delivered.
func (m *modelRun) isResumable(ctx context.Context, err error, tries int) bool {
	if !m.call.Stream || m.next == 0 || m.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	if tries >= maxResumes || m.resumes >= maxResumesPerCall {
		return false
	}
	var rejected *target.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Status != http.StatusConflict && rejected.Status != http.StatusNotFound
	}
	return !errors.Is(err, ErrInvalid)
}

// stream calls the target once, from chunk next on, under inactivity timeouts.
func (m *modelRun) stream(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeouts := timeoutsOf(m.call, m.relay.clock.Now())
	watchdog := m.relay.clock.AfterFunc(timeouts.first, func() { cancel(ErrInactive) })
	defer watchdog.Stop()
	stream, err := m.relay.engines.Generate(ctx, address, m.targetCall(ctx, id))
	if err != nil {
		m.result.Sent = m.result.Sent || isPossiblySent(err)
		return m.failure(ctx, err)
	}
	m.result.Sent = true
	defer stream.Close()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return m.checkEnd()
		}
		if err != nil {
			return m.failure(ctx, merry.Wrap(ErrBroken, merry.WithCause(err)))
		}
		if m.call.Stream {
			m.slot.FirstToken()
		}
		// The time that the caller takes to read is not the target's.
		watchdog.Stop()
		if err := m.deliver(chunk); err != nil {
			return err
		}
		watchdog.Reset(timeouts.between)
	}
}

// isPossiblySent reports whether a call that failed before its answer began may
// have used tokens.
func isPossiblySent(err error) bool {
	return !errors.Is(err, target.ErrNotSent) && !errors.Is(err, target.ErrRejected) && !errors.Is(err, target.ErrInvalid)
}

func (m *modelRun) targetCall(ctx context.Context, id string) *target.ModelCall {
	return &target.ModelCall{
		ID:          id,
		Kind:        m.call.Kind,
		Model:       m.call.Served,
		Body:        m.call.Body,
		Stream:      m.call.Stream,
		ResumeFrom:  m.next,
		Priority:    priority(m.call.Class),
		TraceParent: telemetry.TraceParent(ctx),
	}
}

// checkEnd refuses an end mark without an answer before it.
func (m *modelRun) checkEnd() error {
	if m.next == 0 {
		return merry.Wrap(ErrBroken, merry.WithCause(merry.Wrap(target.ErrTruncated)))
	}
	return nil
}

// deliver hands a chunk on if it continues the sequence.
func (m *modelRun) deliver(chunk target.Chunk) error {
	if chunk.Index != m.next {
		return merry.Wrap(ErrBroken, merry.WithCause(merry.Wrap(target.ErrMismatch)))
	}
	m.result.Generated += chunk.Generated
	if chunk.Usage != nil {
		m.result.Usage = chunk.Usage
	}
	m.next++
	if err := m.sink.Chunk(chunk); err != nil {
		m.sinkErr = err
		return merry.Wrap(ErrBroken, merry.WithCause(err))
	}
	return nil
}

// failure names the reason for which the relay itself ended the call. Once a
// part was delivered, whatever failed broke the answer.
func (m *modelRun) failure(ctx context.Context, err error) error {
	switch {
	case m.next > 0 && !errors.Is(err, ErrBroken):
		err = merry.Wrap(ErrBroken, merry.WithCause(err))
	case !errors.Is(err, ErrBroken):
		err = callError(err)
	}
	if errors.Is(err, ErrNotRun) {
		return err
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return merry.Wrap(ErrBroken, merry.WithCause(cause))
	}
	return err
}
