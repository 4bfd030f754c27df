package relay

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Kinds of call in metrics.
const (
	kindModel   = "model"
	kindService = "service"
)

type metrics struct {
	outcomes *prometheus.CounterVec
	retries  *prometheus.CounterVec
	resumes  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_relay_calls_total",
			Help: "Calls by kind and outcome.",
		}, []string{"kind", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_relay_retries_total",
			Help: "Retries of calls by kind and whether the retry budget allowed them.",
		}, []string{"kind", "result"}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_relay_resumes_total",
			Help: "Streams that broke after parts were delivered, by result.",
		}, []string{"result"}),
	}
	if r != nil {
		r.MustRegister(m.outcomes, m.retries, m.resumes)
	}
	return m
}

func (m *metrics) countOutcome(kind string, err error) {
	m.outcomes.WithLabelValues(kind, outcomeLabel(err)).Inc()
}

func (m *metrics) countRetry(kind string, allowed bool) {
	result := "denied"
	if allowed {
		result = "allowed"
	}
	m.retries.WithLabelValues(kind, result).Inc()
}

func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "completed"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, ErrNotRun):
		return "not_run"
	case errors.Is(err, ErrInvalid):
		return "invalid"
	case errors.Is(err, ErrBroken):
		return "broken"
	}
	return "unknown"
}
