package quota

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	reserved *prometheus.CounterVec
	settled  *prometheus.CounterVec
	refused  *prometheus.CounterVec
	lent     *prometheus.CounterVec
	borrowed *prometheus.CounterVec
	rate     *prometheus.GaugeVec
	burst    *prometheus.GaugeVec
	writes   *prometheus.CounterVec
	fenced   prometheus.Gauge
	pending  prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	account := []string{"account"}
	counter := func(name, help string, labels []string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_quota_" + name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_quota_" + name, Help: help})
	}
	m := &metrics{
		reserved: counter("reserved_tokens_total", "Tokens reserved at admission.", account),
		settled:  counter("settled_tokens_total", "Tokens used by ended requests.", account),
		refused:  counter("refused_requests_total", "Requests refused by reason.", []string{"account", "reason"}),
		lent:     counter("lent_tokens_total", "Tokens lent to other instances.", account),
		borrowed: counter("borrowed_tokens_total", "Tokens borrowed from other instances.", account),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_quota_share_tokens_per_second",
			Help: "Rate of the instance's own share.",
		}, account),
		burst: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_quota_share_burst_tokens",
			Help: "Burst of the instance's own share.",
		}, account),
		writes:  counter("platform_writes_total", "Writes of the zone's division by kind.", []string{"kind"}),
		fenced:  gauge("fenced_holders", "Holders of this zone whose shares wait for their leases to end."),
		pending: gauge("pending_holders", "Holders of this zone that have yet to keep a cut of their shares."),
	}
	r.MustRegister(m.reserved, m.settled, m.refused, m.lent, m.borrowed, m.rate, m.burst, m.writes, m.fenced, m.pending)
	return m
}
