package entry

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// Registerer registers metrics.
type Registerer = prometheus.Registerer

// HeaderRequestID carries the identifier of the request: the one that the caller
// sent if it is acceptable, else a generated one.
const HeaderRequestID = "X-Request-Id"

const maxRequestIDBytes = 64

type metrics struct {
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken prometheus.Histogram
	tokens     *prometheus.CounterVec
	inFlight   prometheus.Gauge
}

func newMetrics(r Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_requests_total",
			Help: "Requests of callers by route and status.",
		}, []string{"route", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dotterellink_request_duration_seconds",
			Help:    "Time from a request's arrival to its last byte.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dotterellink_first_token_seconds",
			Help:    "Time from a request's arrival to its first token.",
			Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10},
		}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_tokens_total",
			Help: "Tokens settled by client account.",
		}, []string{"account"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_requests_in_flight",
			Help: "Requests being served.",
		}),
	}
	r.MustRegister(m.requests, m.duration, m.firstToken, m.tokens, m.inFlight)
	return m
}

// observe is middleware that sets the request's identifier, starts its span and
// records its metrics.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		started := s.clock.Now()
		request := c.Request()
		id := requestID(request.Header.Get(HeaderRequestID))
		c.Response().Header().Set(HeaderRequestID, id)
		c.Set(requestIDKey, id)
		ctx := telemetry.WithTraceParent(request.Context(), request.Header.Get("Traceparent"))
		ctx, span := s.tracer.Start(ctx, "entry "+c.Path(), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request.id", id)))
		defer span.End()
		c.SetRequest(request.WithContext(ctx))
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		err := next(c)
		if err != nil {
			c.Error(err)
		}
		s.recordRequest(c, started)
		return nil
	}
}

func (s *Server) recordRequest(c echo.Context, started time.Time) {
	route := c.Path()
	if route == "" {
		route = "unknown"
	}
	s.metrics.requests.WithLabelValues(route, strconv.Itoa(c.Response().Status)).Inc()
	s.metrics.duration.WithLabelValues(route).Observe(s.clock.Since(started).Seconds())
}

const requestIDKey = "request-id"

// requestID returns value, the identifier that the caller sent, if it is short,
// printable ASCII without spaces and contains no key, and else a new identifier.
func requestID(value string) string {
	if value == "" || len(value) > maxRequestIDBytes || keys.HasKey(value) {
		return uuid.NewString()
	}
	for _, r := range value {
		if r <= ' ' || r > '~' {
			return uuid.NewString()
		}
	}
	return value
}
