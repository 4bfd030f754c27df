package idempotency

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/relay"
)

type metrics struct {
	claims   *prometheus.CounterVec
	unstored prometheus.Counter
	swept    prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_idempotency_claims_total",
			Help: "Requests with an idempotency key by what their key gave.",
		}, []string{"result"}),
		unstored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_idempotency_outcomes_unstored_total",
			Help: "Outcomes that could not be stored; repeats get an unknown outcome.",
		}),
		swept: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_idempotency_records_expired_total",
			Help: "Records deleted after their retention.",
		}),
	}
	r.MustRegister(m.claims, m.unstored, m.swept)
	return m
}

// countRejection counts a request that ended with err before its call was sent.
func (m *metrics) countRejection(err error) {
	result := "unavailable"
	switch {
	case errors.Is(err, ErrInProgress):
		result = "in_progress"
	case errors.Is(err, ErrMismatch):
		result = "mismatch"
	case errors.Is(err, relay.ErrOutcomeUnknown):
		result = "unknown"
	}
	m.claims.WithLabelValues(result).Inc()
}
