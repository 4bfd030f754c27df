package lease

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	held      prometheus.Gauge
	acquired  prometheus.Counter
	conflicts prometheus.Counter
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		held:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_leases_held", Help: "Leases that the instance holds."}),
		acquired:  prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_lease_takeovers_total", Help: "Leases acquired from another holder or from none."}),
		conflicts: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_lease_conflicts_total", Help: "Writes of leases that met another version."}),
	}
	r.MustRegister(m.held, m.acquired, m.conflicts)
	return m
}
