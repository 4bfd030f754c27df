package quarantine

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	crashes, quarantined, refused prometheus.Counter
	held                          prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		crashes:     prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_crashes_total", Help: "Calls under which a target crashed, as seen by this instance."}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_started_total", Help: "Quarantines of prompt parts, also those found by peers."}),
		refused:     prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_quarantine_refused_total", Help: "Calls refused or given up because of a quarantined prompt part."}),
		held:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_quarantine_parts", Help: "Prompt parts that are quarantined."}),
	}
	registerer.MustRegister(m.crashes, m.quarantined, m.refused, m.held)
	return m
}
