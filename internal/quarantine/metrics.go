package quarantine

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	crashes, quarantined, refused prometheus.Counter
	trials                        *prometheus.CounterVec
	held, heldRequests            prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		crashes:      prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_crashes_total", Help: "Calls under which a target crashed, as seen by this instance."}),
		quarantined:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_started_total", Help: "Quarantines of prompt parts and requests, also those found by peers."}),
		refused:      prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_refused_total", Help: "Calls refused or given up because of a quarantined prompt part, or a request that is quarantined or on trial."}),
		trials:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_quarantine_trials_total", Help: "Trials of requests that this instance was asked for, by result."}, []string{"result"}),
		held:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_quarantine_parts", Help: "Prompt parts that are quarantined."}),
		heldRequests: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_quarantine_requests", Help: "Requests that are quarantined or on trial."}),
	}
	registerer.MustRegister(m.crashes, m.quarantined, m.refused, m.trials, m.held, m.heldRequests)
	return m
}
