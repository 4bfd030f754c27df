package usage

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	reports *prometheus.CounterVec
	givenUp prometheus.Counter
	delay   prometheus.Histogram
	holder  prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_usage_reports_total", Help: "Usage reports sent by result.",
		}, []string{"result"}),
		givenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_usage_reports_given_up_total", Help: "Usage reports that were given up, each for one window or for a row of windows.",
		}),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "dotterellink_usage_report_delay_seconds", Help: "Time from the end of a window until its report was accepted.",
			Buckets: []float64{1, 2, 3, 4, 6, 8, 10, 15, 30, 70},
		}),
		holder: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_usage_holder", Help: "1 while the instance holds the duty of usage reports.",
		}),
	}
	r.MustRegister(m.reports, m.givenUp, m.delay, m.holder)
	return m
}
