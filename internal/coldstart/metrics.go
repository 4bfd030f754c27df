package coldstart

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of a Service.
type Metrics struct {
	requests   *prometheus.CounterVec
	suspicions prometheus.Counter
	targets    *prometheus.GaugeVec
	bound      *prometheus.GaugeVec
	counted    *prometheus.GaugeVec
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterellink_coldstart_asks_total",
			Help: "Asks of this instance for permits by result.",
		}, []string{"result"}),
		suspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_coldstart_findings_total",
			Help: "Warm targets that this instance found to act like cold ones.",
		}),
		targets: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_coldstart_targets",
			Help: "Targets of the zones that this instance is grantor of, by mode.",
		}, []string{"zone", "mode"}),
		bound: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_coldstart_permits_bound",
			Help: "Calls that the zone's targets bear that are not warm.",
		}, []string{"zone"}),
		counted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_coldstart_permits_counted",
			Help: "Calls that may be running on the zone's targets that are not warm.",
		}, []string{"zone"}),
	}
	r.MustRegister(m.requests, m.suspicions, m.targets, m.bound, m.counted)
	return m
}

func (m *Metrics) countRequest(err error) {
	if err != nil {
		m.requests.WithLabelValues("failed").Inc()
		return
	}
	m.requests.WithLabelValues("answered").Inc()
}

// updateGauges sets the gauges from the bounds of this instance's grantors.
func (s *Service) updateGauges() {
	m := s.cfg.Metrics
	m.targets.Reset()
	m.bound.Reset()
	m.counted.Reset()
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone, g := range s.grantors {
		for _, b := range g.Bounds() {
			m.targets.WithLabelValues(zone, b.Mode.String()).Inc()
			if b.Mode != Warm {
				m.bound.WithLabelValues(zone).Add(float64(b.Bound))
				m.counted.WithLabelValues(zone).Add(float64(b.Counted))
			}
		}
	}
}

// String returns the label value of the mode in metrics.
func (m Mode) String() string {
	switch m {
	case Warm:
		return "warm"
	case Ramping:
		return "ramping"
	}
	return "cold"
}
