// Package relay forwards calls to targets. It picks a target, forwards the call,
// checks that the response is complete and belongs to the call, and decides whether
// a failed call may be retried on another target.
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

// Errors of the relay, which tell the caller whether the call ran.
var (
	// ErrNotRun means that nothing was sent, or that the target is known not to
	// have run the call.
	ErrNotRun = merry.Sentinel("relay: call not run")
	// ErrOutcomeUnknown means that the call may have run.
	ErrOutcomeUnknown = merry.Sentinel("relay: outcome of call unknown")
	// ErrBroken means that the response of a model call was not delivered completely:
	// the response was interrupted, was empty or belongs to another call, the sink
	// failed, or the context ended. Parts of it may have been delivered.
	ErrBroken = merry.Sentinel("relay: answer broke off")
	// ErrInvalid means that the target rejected the call as malformed. The cause
	// is a target.InvalidError.
	ErrInvalid = merry.Sentinel("relay: call invalid")
	// ErrInactive means that a target sent nothing within the inactivity timeout.
	ErrInactive = merry.Sentinel("relay: target inactive")
)

// maxAttempts limits the attempts of one call over all targets. Resumptions of a
// stream are part of an attempt.
const maxAttempts = 3

// Picker reserves a slot on a target. Implementations may wait for capacity.
type Picker interface {
	Pick(ctx context.Context, request routing.Request) (*routing.Slot, error)
}

// Call is one model call.
type Call struct {
	// ID identifies the request in logs. Targets receive the identifier of the
	// attempt instead, which callers cannot choose.
	ID       string
	Account  string
	Served   string
	Kind     target.Kind
	Body     []byte
	Stream   bool
	Class    routing.Class
	Deadline time.Time
	Prefixes []target.PrefixHash
	// MaxTokens is the limit on generated tokens that Body sets.
	MaxTokens int64
	// BeforeSend is called in each attempt after a target was picked and before
	// anything is sent to it. An error ends the call without sending it to that
	// target. BeforeSend may be nil.
	BeforeSend func(ctx context.Context) error
}

// Sink receives the chunks of a response in order. A chunk is valid until Chunk
// returns.
type Sink interface {
	Chunk(chunk target.Chunk) error
}

// Result reports the tokens that a call used.
type Result struct {
	// Usage is the engine's own count, or nil if it sent none.
	Usage *target.Usage
	// Generated is the number of tokens received; each token is counted once.
	Generated int64
	// Sent is set once any attempt may have run on a target.
	Sent bool
}

// Config holds the dependencies of a Relay.
type Config struct {
	Picker   Picker
	Engines  target.ModelCaller
	Services target.ServiceCaller
	Clock    clockwork.Clock
	Tracer   trace.Tracer
	Log      *log.Logger
	// Metrics may be nil.
	Metrics prometheus.Registerer
	// Jitter returns numbers from 0 to 1 that spread retries over time. The default
	// is random.
	Jitter func() float64
}

// Relay forwards calls to targets. It is safe for concurrent use.
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

// New returns a Relay that uses the dependencies in c.
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

// newAttemptID returns an identifier that is unique among the attempts of all
// instances, because engines resume streams by it.
func (r *Relay) newAttemptID() string {
	return r.idPrefix + strconv.FormatUint(r.attempts.Add(1), 36)
}

// pick waits for a slot in a span of its own. If no target is left because the
// request has failed on all targets that serve it, pick tries them again.
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

// waitToRetry takes a retry from the budget and waits for the backoff. It returns
// false if the budget is exhausted, if the deadline would pass during the wait, or
// if ctx ends.
func (r *Relay) waitToRetry(ctx context.Context, kind string, try int, deadline time.Time) bool {
	wait := backoff(try, r.jitter())
	if !deadline.IsZero() && !r.clock.Now().Add(wait).Before(deadline) {
		return false
	}
	allowed := r.budget.tryRetry()
	r.metrics.countRetry(kind, allowed)
	return allowed && r.wait(ctx, wait)
}

// wait waits for d. It returns false if ctx ends first.
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

// worseError returns the error of a call with two failed attempts. It prefers the
// error of an attempt that may have run, because then the call may have run.
func worseError(earlier, later error) error {
	if earlier == nil || errors.Is(earlier, ErrNotRun) {
		return later
	}
	return earlier
}

// notSentError returns the error of a call whose next attempt was not sent because
// of err. If an earlier attempt may have run, its error is returned.
func notSentError(earlier, err error) error {
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

// isNotResident reports whether the engine rejected the call because the model is
// not loaded.
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
