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

// Limits on resuming a stream.
const (
	// maxResumesSinceChunk limits consecutive resumptions without a new chunk.
	maxResumesSinceChunk = 3
	// maxResumesPerCall limits all resumptions of one call.
	maxResumesPerCall = 16
)

// Generate runs a model call and passes its response to sink. A call that fails
// before any chunk was delivered is retried on another target. Once a chunk was
// delivered, a failed stream is resumed on the same target or ends with ErrBroken.
func (r *Relay) Generate(ctx context.Context, call *Call, sink Sink) (Result, error) {
	r.budget.recordCall()
	run := &modelRun{relay: r, call: call, sink: sink}
	err := run.run(ctx)
	r.metrics.countOutcome(kindModel, err)
	return run.result, err
}

// modelRun is the state of one model call. It is used by one goroutine. Chunks
// with an index below nextChunk have been passed to the sink, each once and in
// order.
type modelRun struct {
	relay     *Relay
	call      *Call
	sink      Sink
	result    Result
	exclude   []string
	nextChunk int
	resumes   int
	sinkErr   error
	// slot is the target slot of the current attempt.
	slot *routing.Slot
}

func (m *modelRun) run(ctx context.Context) error {
	var worstErr error
	for try := 0; ; try++ {
		slot, err := m.relay.pick(ctx, m.request())
		if err != nil {
			return notSentError(worstErr, err)
		}
		if err := m.beforeSend(ctx); err != nil {
			slot.Done(routing.Cancelled)
			return notSentError(worstErr, err)
		}
		err = m.attempt(ctx, slot)
		if err == nil {
			return nil
		}
		worstErr = worseError(worstErr, err)
		if try+1 == maxAttempts || !m.isRetryable(ctx, err) {
			return worstErr
		}
		if !m.relay.waitToRetry(ctx, kindModel, try, m.call.Deadline) {
			return worstErr
		}
		m.relay.log.Debugf("Retrying call %s after target %s failed: %v.", m.call.ID, slot.Target.Name, err)
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

// isRetryable reports whether another target may run the call. Model calls have
// no effect beyond their response, so a failed call may run again as long as no
// part of the response was delivered.
func (m *modelRun) isRetryable(ctx context.Context, err error) bool {
	return m.nextChunk == 0 && m.sinkErr == nil && ctx.Err() == nil && !errors.Is(err, ErrInvalid)
}

// attempt runs the call on one target, including resumptions of its stream.
func (m *modelRun) attempt(ctx context.Context, slot *routing.Slot) error {
	spanCtx, span := m.relay.tracer.Start(ctx, "relay.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	id := m.relay.newAttemptID()
	m.slot = slot
	var err error
	for resumesSinceChunk := 0; ; resumesSinceChunk++ {
		before := m.nextChunk
		err = m.stream(spanCtx, slot.Target.Address, id)
		if m.nextChunk > before {
			resumesSinceChunk = 0
		}
		if err == nil || !m.isResumable(ctx, err, resumesSinceChunk) {
			break
		}
		if !m.relay.wait(ctx, backoff(resumesSinceChunk, m.relay.jitter())) {
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

// isResumable reports whether the same target can continue a partly delivered
// stream.
func (m *modelRun) isResumable(ctx context.Context, err error, resumesSinceChunk int) bool {
	if !m.call.Stream || m.nextChunk == 0 || m.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	if resumesSinceChunk >= maxResumesSinceChunk || m.resumes >= maxResumesPerCall {
		return false
	}
	var rejected *target.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Status != http.StatusConflict && rejected.Status != http.StatusNotFound
	}
	return !errors.Is(err, ErrInvalid)
}

// stream calls the target once, starting at nextChunk, and cancels the call if the
// target sends nothing within the inactivity timeouts.
func (m *modelRun) stream(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeouts := timeoutsOf(m.call, m.relay.clock.Now())
	watchdog := m.relay.clock.AfterFunc(timeouts.firstChunk, func() { cancel(ErrInactive) })
	defer watchdog.Stop()
	stream, err := m.relay.engines.Generate(ctx, address, m.targetCall(ctx, id))
	if err != nil {
		m.result.Sent = m.result.Sent || mayHaveRun(err)
		return m.classifyError(ctx, err)
	}
	m.result.Sent = true
	defer stream.Close()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return m.checkEnd()
		}
		if err != nil {
			return m.classifyError(ctx, merry.Wrap(ErrBroken, merry.WithCause(err)))
		}
		if m.call.Stream {
			// FirstToken has an effect only once for each slot.
			m.slot.FirstToken()
		}
		// The time that the caller takes to read does not count as inactivity of
		// the target.
		watchdog.Stop()
		if err := m.deliver(chunk); err != nil {
			return err
		}
		watchdog.Reset(timeouts.betweenChunks)
	}
}

// mayHaveRun reports whether a call that failed before its response began may have
// run and used tokens.
func mayHaveRun(err error) bool {
	return !errors.Is(err, target.ErrNotSent) && !errors.Is(err, target.ErrRejected) && !errors.Is(err, target.ErrInvalid)
}

func (m *modelRun) targetCall(ctx context.Context, id string) *target.ModelCall {
	return &target.ModelCall{
		ID:          id,
		Kind:        m.call.Kind,
		Model:       m.call.Served,
		Body:        m.call.Body,
		Stream:      m.call.Stream,
		ResumeFrom:  m.nextChunk,
		Priority:    priority(m.call.Class),
		TraceParent: telemetry.TraceParent(ctx),
	}
}

// checkEnd returns ErrBroken for a response that ended without any chunk.
func (m *modelRun) checkEnd() error {
	if m.nextChunk == 0 {
		return merry.Wrap(ErrBroken, merry.WithCause(merry.Wrap(target.ErrTruncated)))
	}
	return nil
}

// deliver passes a chunk to the sink if it is the next one in order.
func (m *modelRun) deliver(chunk target.Chunk) error {
	if chunk.Index != m.nextChunk {
		return merry.Wrap(ErrBroken, merry.WithCause(merry.Wrap(target.ErrMismatch)))
	}
	m.result.Generated += chunk.Generated
	if chunk.Usage != nil {
		m.result.Usage = chunk.Usage
	}
	m.nextChunk++
	if err := m.sink.Chunk(chunk); err != nil {
		m.sinkErr = err
		return merry.Wrap(ErrBroken, merry.WithCause(err))
	}
	return nil
}

// classifyError maps a failure of a call to an error of this package. After a
// chunk was delivered, every failure is ErrBroken. If ctx has ended, the result is
// ErrBroken with the cause of ctx, unless the call did not run or err already has
// that cause.
func (m *modelRun) classifyError(ctx context.Context, err error) error {
	switch {
	case m.nextChunk > 0 && !errors.Is(err, ErrBroken):
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
