package admission

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	waiting prometheus.Gauge
	wait    *prometheus.HistogramVec
	refused *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_admission_waiting_requests",
			Help: "Requests that wait for a slot on a target.",
		}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dotterellink_admission_wait_seconds",
			Help:    "Time for which requests waited, whether served or refused.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_admission_refused_requests_total",
			Help: "Requests refused by reason.",
		}, []string{"account", "reason"}),
	}
	r.MustRegister(m.waiting, m.wait, m.refused)
	return m
}
