package inventory

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// Metrics are the metrics of the inventory. A nil *Metrics records nothing.
type Metrics struct {
	oldest      *prometheus.GaugeVec
	stale       prometheus.Gauge
	unreachable prometheus.Gauge
}

// UseMetrics registers the metrics and enables them. It must be called before Run.
func (i *Inventory) UseMetrics(r prometheus.Registerer) {
	m := &Metrics{
		oldest: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dotterellink_inventory_report_age_seconds",
			Help: "Age of the oldest report of an engine by zone.",
		}, []string{"zone"}),
		stale: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_inventory_stale_targets",
			Help: "Engines without a report that still counts.",
		}),
		unreachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterellink_inventory_unreachable_targets",
			Help: "Targets whose last polls or probes failed.",
		}),
	}
	r.MustRegister(m.oldest, m.stale, m.unreachable)
	i.metrics = m
}

func (m *Metrics) update(s *Snapshot, now time.Time) {
	if m == nil {
		return
	}
	oldest := make(map[string]float64)
	stale, unreachable := 0, 0
	for _, t := range s.Targets {
		if t.Unreachable {
			unreachable++
		}
		if t.Target.Kind != environment.TargetEngine {
			continue
		}
		if !t.IsFresh(now) {
			stale++
		}
		if !t.RequestedAt.IsZero() {
			oldest[t.Target.Zone] = max(oldest[t.Target.Zone], now.Sub(t.RequestedAt).Seconds())
		}
	}
	m.oldest.Reset()
	for zone, age := range oldest {
		m.oldest.WithLabelValues(zone).Set(age)
	}
	m.stale.Set(float64(stale))
	m.unreachable.Set(float64(unreachable))
}
