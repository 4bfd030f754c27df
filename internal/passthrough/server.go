// Package passthrough serves calls that go to targets unchanged: it finds the
// route, checks the key, the quota and the bounds, picks a target and relays the
// answer. Each call has one flight, which makes one or more attempts.
package passthrough

import (
	"context"
	"errors"
	"io"
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
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// unconfirmedAfter is the age from which a state is too old to tell a caller
	// that a route or a key does not exist.
	unconfirmedAfter = 4 * time.Second
	// defaultPatience bounds calls for which nobody tells a time-out.
	defaultPatience = 60 * time.Second
	// defaultMaxBody bounds bodies if the state tells no limit, in bytes.
	defaultMaxBody = 4 << 20
	// noStateRetry is the time after which an instance has usually learned the
	// state in force.
	noStateRetry = 500 * time.Millisecond
	// stoppingRetry is short: a retry reaches another instance.
	stoppingRetry = 20 * time.Millisecond
	// noTargetRetry is the time after which a target has usually come back.
	noTargetRetry = 700 * time.Millisecond
)

// Residency knows which target holds what beyond the announcements, and has
// models and adapters loaded.
type Residency interface {
	// Holds reports whether the target holds the model, and the adapter if it is
	// not empty.
	Holds(t *fleet.Target, model, adapter string) (hasModel, hasAdapter bool)
	// EnsureAdapter has an adapter loaded at the target or at a better one and
	// returns the ID of the target that holds it.
	EnsureAdapter(ctx context.Context, service, targetID, model, adapter string) (string, error)
	// Demand counts work for a model. Unserved is set if no target holds it.
	Demand(service, model, adapter string, work time.Duration, unserved bool)
	// ExpectedLoad returns the time until a target holds the model, or false if
	// no load is under way.
	ExpectedLoad(service, model string) (time.Duration, bool)
	// MovesEnd returns the time until a target that holds the model takes adapters
	// again, or false if moves are not what keeps them.
	MovesEnd(service, model string) (time.Duration, bool)
}

// Members knows the instances.
type Members interface {
	Self() string
	// Names lists all instances that may be alive, self included, sorted.
	Names() []string
	// AllKnown reports whether Names is known to be complete: an instance that has just
	// started may not have heard of the others yet.
	AllKnown() bool
	// ZoneCut reports whether a zone has instances and none of them is heard.
	ZoneCut(zone string) bool
}

// Dependencies of a server.
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
	Residency  Residency
	Members    Members
	Log        log.Interface
	Tracer     trace.Tracer
	Metrics    prometheus.Registerer
	Now        func() time.Time
}

// Server serves callers. It implements http.Handler.
type Server struct {
	Dependencies
	metrics *metrics
	// leaving is set once the instance stops: answers then end their connection.
	leaving atomic.Bool
	// closed is set once a stopping instance takes no further calls.
	closed  atomic.Bool
	running atomic.Int64
}

// NewServer returns a server.
func NewServer(d Dependencies) *Server {
	return &Server{Dependencies: d, metrics: newMetrics(d.Metrics)}
}

// DisableKeepAlive makes each answer the last of its connection.
func (s *Server) DisableKeepAlive() { s.leaving.Store(true) }

// Close makes the server refuse further calls.
func (s *Server) Close() { s.closed.Store(true) }

// Running returns the number of calls without a final answer.
func (s *Server) Running() int64 { return s.running.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := s.Now()
	c, err := s.Dialect.Decode(r, arrived)
	if err != nil {
		s.refuse(w, nil, http.StatusBadRequest, "malformed", 0)
		return
	}
	if s.closed.Load() {
		s.refuse(w, c, http.StatusServiceUnavailable, "stopping", stoppingRetry)
		return
	}
	ctx, span := s.Tracer.Start(r.Context(), "call")
	defer span.End()
	f := &flight{Server: s, w: w, r: r.WithContext(ctx), call: c}
	f.serve()
}

// refuse answers a call that has not run and will not.
func (s *Server) refuse(w http.ResponseWriter, c *call.Call, status int, reason string, retryAfter time.Duration) {
	for name, values := range s.Dialect.RefusalHeader(c, retryAfter) {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	if _, err := io.WriteString(w, reason+"\n"); err != nil {
		s.Log.WithError(err).Debug("passthrough: refusal not delivered.")
	}
	s.metrics.answers.WithLabelValues(reason).Inc()
	fields := log.Fields{"reason": reason, "status": status, "retry_after_ms": retryAfter.Milliseconds()}
	if c != nil {
		fields["call"] = c.ID
		fields["after_ms"] = s.Now().Sub(c.Arrived).Milliseconds()
	}
	s.Log.WithFields(fields).Info("passthrough: Call refused.")
}

// readBody reads the whole body, within the limit.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if n := r.ContentLength; n > 0 && n <= limit {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

var errTooLarge = errors.New("body exceeds the limit")

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
