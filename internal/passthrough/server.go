// Package passthrough serves calls that are forwarded to targets unchanged. It finds
// the route, checks key, body size and quota, picks a target and relays the answer.
// Each call has one forwarder, which makes one or more attempts.
package passthrough

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/memlimit"
	"github.com/dotterellink/dotterellink/internal/overload"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/streamversion"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// unconfirmedAfter is the age above which a state is too old to conclude from it
	// that a route or key does not exist.
	unconfirmedAfter = 4 * time.Second
	// defaultTimeout bounds calls whose caller sets no timeout.
	defaultTimeout = 60 * time.Second
	// defaultMaxBodyBytes bounds bodies if the state sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// noStateRetryAfter is the time after which an instance usually has the current
	// state.
	noStateRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is short because a retry reaches another instance.
	stoppingRetryAfter = 20 * time.Millisecond
	// noTargetRetryAfter is the time after which a target is usually available again.
	noTargetRetryAfter = 700 * time.Millisecond
)

// Residency knows which target holds which models and adapters, beyond what targets
// announce, and requests loads.
type Residency interface {
	// Holds reports whether the target holds the model and, unless it is empty, the
	// adapter.
	Holds(t *fleet.Target, model, adapter string) (hasModel, hasAdapter bool)
	// EnsureAdapter requests that an adapter is loaded at the target or at a better
	// one, and returns the ID of the target that holds it.
	EnsureAdapter(ctx context.Context, service, targetID, model, adapter string) (string, error)
	// Demand records work for a model. unserved is set if no target holds the model.
	Demand(service, model, adapter string, work time.Duration, unserved bool)
	// ExpectedLoad returns the time until a target holds the model, or false if no
	// target is loading it.
	ExpectedLoad(service, model string) (time.Duration, bool)
	// MovesEnd returns the time until the first target that holds the model ends its move
	// (the unload and load of models) and loads adapters again. It returns false if no
	// target holds the model, or if one that does has no move.
	MovesEnd(service, model string) (time.Duration, bool)
}

// Members lists the instances.
type Members interface {
	Self() string
	// Names returns the names of all instances that may be alive, including this one,
	// in sorted order.
	Names() []string
	// AllKnown reports whether Names is known to be complete. An instance that has just
	// started may not know the others yet.
	AllKnown() bool
	// ZoneUnreachable reports whether a zone has instances and none of them is reachable.
	ZoneUnreachable(zone string) bool
}

// Overload decides which calls are accepted during a shortage of engine time.
type Overload interface {
	Decide(q overload.Call, now time.Time) overload.Decision
	// MayRefuse reports whether calls of a service may be refused now.
	MayRefuse(service string) bool
	// CountTooLate counts a call that is refused without a decision because no target can
	// answer before its caller leaves.
	CountTooLate()
}

// Trials grants trials of requests under which targets crashed.
type Trials interface {
	// Begin asks for a trial of a request for a service. The granted trial ends with end;
	// used is set if the request reached a target. If there is none, end is nil, and wait the
	// time until the next one.
	Begin(ctx context.Context, service string, request uint64) (end func(used bool), wait time.Duration)
}

// Usage counts the calls of client accounts that began to run.
type Usage interface {
	// Add counts n calls that began to run at a time. A negative n takes back calls that were
	// counted with that time.
	Add(account string, at time.Time, n int64)
}

// Dependencies holds what a Server needs.
type Dependencies struct {
	Zone       string
	Dialect    call.Dialect
	Catalog    *catalog.Holder
	Fleet      *fleet.Table
	Dispatcher *dispatch.Dispatcher
	Upstream   *upstream.Client
	Quota      *allowance.Quota
	Retries    *allowance.RetryBudget
	Cold       *allowance.ColdLimiter
	Rates      *allowance.TargetRates
	Versions   *streamversion.Tracker
	Quarantine *quarantine.Tracker
	// Trials may be nil: no trial is granted then.
	Trials Trials
	// Usage may be nil: no call is counted then.
	Usage Usage
	// Overload may be nil: every call that can be answered before its caller leaves is sent
	// then.
	Overload  Overload
	Residency Residency
	Members   Members
	// TargetsConfirmed reports whether the list of targets was confirmed since the start of
	// this instance, by the store or by the watcher.
	TargetsConfirmed func() bool
	// OnNotice is called with what an answer of a target says about the target, and when the
	// call was sent.
	OnNotice func(t *fleet.Target, n call.Notice, sentAt time.Time)
	Log      log.Interface
	Tracer   trace.Tracer
	Metrics  prometheus.Registerer
	Now      func() time.Time
}

// Server forwards the calls of callers to targets. It implements http.Handler.
type Server struct {
	Dependencies
	// crashes confirms that targets have ended.
	crashes   *quarantine.Confirmer
	metrics   *metrics
	startedAt time.Time
	// keepAliveDisabled is set once the instance is stopping. Each answer then closes
	// its connection.
	keepAliveDisabled atomic.Bool
	// closed is set once a stopping instance refuses further calls.
	closed  atomic.Bool
	running atomic.Int64
	// memory is what calls take room from whose connection has no reservation.
	memory *memlimit.Class
}

// NewServer returns a server.
func NewServer(d Dependencies) *Server {
	return &Server{
		Dependencies: d, crashes: quarantine.NewConfirmer(d.Upstream.RefusesConnections),
		metrics: newMetrics(d.Metrics), startedAt: d.Now(),
		memory: memlimit.New(maxBodies, nil, d.Now).NewClass("calls", math.MaxInt),
	}
}

// DisableKeepAlive makes the server close each connection after its next answer.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

// Close makes the server refuse further calls.
func (s *Server) Close() { s.closed.Store(true) }

// Running returns the number of calls in flight.
func (s *Server) Running() int64 { return s.running.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	// net/http must not wait for the rest of a body before it writes a refusal. receiveBody takes
	// the field back.
	if r.ContentLength != 0 || s.keepAliveDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := s.Now()
	c, err := s.Dialect.Decode(r, arrived)
	if err != nil {
		s.refuse(w, nil, http.StatusBadRequest, "malformed", 0)
		return
	}
	if s.closed.Load() {
		s.refuse(w, c, http.StatusServiceUnavailable, "stopping", stoppingRetryAfter)
		return
	}
	ctx, span := s.Tracer.Start(r.Context(), "call")
	defer span.End()
	f := &forwarder{Server: s, w: w, r: r.WithContext(ctx), call: c}
	if f.room = memlimit.FromContext(r.Context()); f.room == nil {
		f.room = s.memory.Open(nil, 0)
		defer f.room.Close()
	}
	defer func() {
		if cause := recover(); cause != nil {
			resetHTTP10(w, r)
			panic(cause)
		}
	}()
	f.serve()
}

// resetHTTP10 resets the connection of a caller that speaks HTTP/1.0. There the end of the
// connection is the end of an answer, so that one that is broken off would look complete.
func resetHTTP10(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// refuse answers a call that has not run and will not run.
func (s *Server) refuse(w http.ResponseWriter, c *call.Call, status int, reason string, retryAfter time.Duration) {
	s.refuseWith(w, c, status, reason, retryAfter, log.Fields{})
}

// refuseWith is refuse with further fields for the log.
func (s *Server) refuseWith(w http.ResponseWriter, c *call.Call, status int, reason string, retryAfter time.Duration, fields log.Fields) {
	for name, values := range s.Dialect.RefusalHeader(c, retryAfter) {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	if _, err := io.WriteString(w, reason+"\n"); err != nil {
		s.Log.WithError(err).Debug("passthrough: Refusal could not be written.")
	}
	s.metrics.answers.WithLabelValues(reason).Inc()
	fields["reason"], fields["status"], fields["retry_after_ms"] = reason, status, retryAfter.Milliseconds()
	if c != nil {
		fields["call"] = c.ID
		fields["after_ms"] = s.Now().Sub(c.Arrived).Milliseconds()
	}
	s.Log.WithFields(fields).Info("passthrough: Call refused.")
}

// Errors of readBody.
var (
	errTooLarge = errors.New("request body exceeds the limit")
	// errBodiesFull means that what clients occupy leaves no room for the body.
	errBodiesFull = errors.New("no room for the body")
)

const (
	// maxBodies bounds the bodies of all calls in flight, in bytes, unless the connections of
	// callers have reservations.
	maxBodies = 32 << 20
	// minBodyStep is the size in bytes of the first step in which the memory for a body
	// grows. Each further one doubles it, so that a caller cannot occupy memory by announcing
	// a body.
	minBodyStep = 16 << 10
)

// readBody reads the body into memory that it takes from room. It returns errTooLarge if the
// body exceeds limit bytes.
func readBody(r *http.Request, room *memlimit.Reservation, limit int64) (body []byte, err error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	for {
		if len(body) == cap(body) {
			step := max(minBodyStep, len(body))
			if n := r.ContentLength; n > 0 && n < int64(len(body)+step) {
				// One byte more lets the read that fills the body see its end.
				step = int(n) + 1 - len(body)
			}
			if !room.Grow(int64(step)) {
				return nil, errBodiesFull
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

type metrics struct {
	answers  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    prometheus.Histogram
	total    prometheus.Histogram
	estimate prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8}
	m := &metrics{
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_calls_total", Help: "Calls by outcome."}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_attempts_total", Help: "Attempts at targets by result."}, []string{"result"}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dotterellink_first_answer_seconds", Help: "Time from arrival to the first event or answer.", Buckets: buckets}),
		total:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dotterellink_call_seconds", Help: "Time from arrival to the end of the answer.", Buckets: buckets}),
		estimate: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dotterellink_estimate_error_ratio", Help: "Observed time to the first answer over the expected one.", Buckets: []float64{.1, .25, .5, .75, 1, 1.5, 2, 4, 8}}),
	}
	registerer.MustRegister(m.answers, m.attempts, m.first, m.total, m.estimate)
	return m
}
