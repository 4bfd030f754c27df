// Package relay carries one call from admission to its last byte: it picks a
// target, forwards the call, checks that the answer is whole and the call's
// own, and decides whether a failure may be repeated elsewhere.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
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
	// ErrInactive means that a target sent nothing for too long.
	ErrInactive = merry.Sentinel("relay: target inactive")
)

// maxAttempts bounds the targets tried for one call.
const maxAttempts = 3

// Picker reserves a slot on a target. Implementations may wait for capacity.
type Picker interface {
	Pick(ctx context.Context, request routing.Request) (*routing.Slot, error)
}

// Call is one admitted model call.
type Call struct {
	// ID is the request's identifier in logs and spans. Targets get the
	// identifiers of attempts, which no caller can choose.
	ID       string
	Account  string
	Served   string
	Kind     target.Kind
	Body     []byte
	Stream   bool
	Class    routing.Class
	Deadline time.Time
	Prefixes []target.PrefixHash
	// MaxTokens is the limit of generated tokens that Body states.
	MaxTokens int64
	// BeforeSend is called with a target at hand, before anything is sent to it.
	// Its error ends the call, which was then not sent to that target. It may be
	// nil.
	BeforeSend func(ctx context.Context) error
}

// Sink takes the chunks of an answer in order. A chunk is valid until Chunk
// returns.
type Sink interface {
	Chunk(chunk target.Chunk) error
}

// Result tells what a call used.
type Result struct {
	// Usage is the engine's own count; nil if it gave none.
	Usage *target.Usage
	// Generated is the number of tokens that were received, each once.
	Generated int64
	// Sent is set once any attempt may have reached a target.
	Sent bool
}

// Config holds what a relay is made of.
type Config struct {
	Picker   Picker
	Engines  target.ModelCaller
	Services target.ServiceCaller
	Clock    clockwork.Clock
	Tracer   trace.Tracer
	Log      *log.Logger
	// Metrics may be nil.
	Metrics prometheus.Registerer
	// Jitter returns numbers from 0 to 1 that spread retries; nil is random.
	Jitter func() float64
}

// Relay is safe for concurrent use.
type Relay struct {
	picker   Picker
	engines  target.ModelCaller
	services target.ServiceCaller
	clock    clockwork.Clock
	tracer   trace.Tracer
	log      *log.Logger
	jitter   func() float64
	metrics  *metrics
	budget   *retryBudget

	idPrefix string
	attempts atomic.Uint64
}

// New returns a relay.
func New(c Config) *Relay {
	r := &Relay{
		picker:   c.Picker,
		engines:  c.Engines,
		services: c.Services,
		clock:    c.Clock,
		tracer:   c.Tracer,
		log:      c.Log,
		jitter:   c.Jitter,
		metrics:  newMetrics(c.Metrics),
		budget:   newRetryBudget(c.Clock),
		idPrefix: uuid.NewString() + "-",
	}
	if r.jitter == nil {
		r.jitter = rand.Float64
	}
	return r
}

// newAttemptID returns an identifier that no other attempt has, at any
// instance: engines resume streams by it.
func (r *Relay) newAttemptID() string {
	return r.idPrefix + strconv.FormatUint(r.attempts.Add(1), 36)
}

// pick waits for a slot under a span of its own. If all targets that serve the
// request have failed it, they are tried again.
func (r *Relay) pick(ctx context.Context, request routing.Request) (*routing.Slot, error) {
	ctx, span := r.tracer.Start(ctx, "relay.admission")
	defer span.End()
	slot, err := r.picker.Pick(ctx, request)
	if err != nil && len(request.Exclude) > 0 && errors.Is(err, routing.ErrNoTarget) {
		request.Exclude = nil
		slot, err = r.picker.Pick(ctx, request)
	}
	return slot, err
}

// waitToRetry takes a retry from the budget and waits with jitter. It reports
// false if the budget is spent or the deadline would pass.
func (r *Relay) waitToRetry(ctx context.Context, kind string, try int, deadline time.Time) bool {
	wait := backoff(try, r.jitter())
	if !deadline.IsZero() && !r.clock.Now().Add(wait).Before(deadline) {
		return false
	}
	allowed := r.budget.take()
	r.metrics.countRetry(kind, allowed)
	return allowed && r.wait(ctx, wait)
}

// wait reports false if ctx ends first.
func (r *Relay) wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-r.clock.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// worse returns the error that counts for a call with two failed attempts: once
// an attempt may have run, the call may have run.
func worse(earlier, later error) error {
	if earlier == nil || errors.Is(earlier, ErrNotRun) {
		return later
	}
	return earlier
}

// pickError keeps the error of an earlier attempt, whose outcome counts for the
// whole call.
func pickError(earlier, err error) error {
	if earlier != nil && !errors.Is(earlier, ErrNotRun) {
		return earlier
	}
	return merry.Wrap(ErrNotRun, merry.WithCause(err))
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
	case isNotResident(err):
		return routing.NotResident
	case errors.Is(err, target.ErrRejected):
		return routing.Rejected
	}
	return routing.Failed
}

// isNotResident reports whether the engine refused the call for want of the
// model.
func isNotResident(err error) bool {
	var rejected *target.RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusNotFound
}

func priority(class routing.Class) int {
	if class == routing.ClassBatch {
		return 0
	}
	return 1
}
