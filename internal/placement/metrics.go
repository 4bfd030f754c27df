package placement

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	moves   *prometheus.CounterVec
	planner prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_placement_moves_total", Help: "Moves decided, by action and reason.",
		}, []string{"action", "reason"}),
		planner: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_planner_lease_held", Help: "1 while the instance plans placement.",
		}),
	}
	r.MustRegister(m.moves, m.planner)
	return m
}
