package orders

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	orders    *prometheus.CounterVec
	moves     *prometheus.CounterVec
	ledgerMB  *prometheus.GaugeVec
	takeovers prometheus.Counter
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_orders_total", Help: "Orders to engines by action and outcome of the sending.",
		}, []string{"action", "outcome"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_order_moves_total", Help: "Moves ended by the orderer, by action and outcome.",
		}, []string{"action", "outcome"}),
		ledgerMB: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_ledger_megabytes", Help: "Accelerator memory that the ledger charges, by target.",
		}, []string{"target"}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_order_takeovers_total", Help: "Targets that the instance became the orderer of.",
		}),
	}
	r.MustRegister(m.orders, m.moves, m.ledgerMB, m.takeovers)
	return m
}
