package routing

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the routing metrics. A nil Metrics records nothing.
type Metrics struct {
	ownZone, otherZone, noCapacity, noTarget prometheus.Counter
	outcomes                                 [NotResident + 1]prometheus.Counter
	suspects                                 prometheus.Counter
}

// NewMetrics returns metrics that are registered with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dotterellink_routing_decisions_total",
		Help: "Decisions by result: own_zone, other_zone, no_capacity, no_target.",
	}, []string{"result"})
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dotterellink_routing_outcomes_total",
		Help: "Ends of calls on targets by outcome.",
	}, []string{"outcome"})
	m := &Metrics{
		ownZone:    decisions.WithLabelValues("own_zone"),
		otherZone:  decisions.WithLabelValues("other_zone"),
		noCapacity: decisions.WithLabelValues("no_capacity"),
		noTarget:   decisions.WithLabelValues("no_target"),
		suspects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterellink_routing_suspects_total",
			Help: "Targets that failed several calls in a row.",
		}),
	}
	for outcome, name := range []string{"completed", "failed", "rejected", "cancelled", "not_resident"} {
		m.outcomes[outcome] = outcomes.WithLabelValues(name)
	}
	registerer.MustRegister(decisions, outcomes, m.suspects)
	return m
}

func (m *Metrics) countPick(otherZone bool) {
	switch {
	case m == nil:
	case otherZone:
		m.otherZone.Inc()
	default:
		m.ownZone.Inc()
	}
}

func (m *Metrics) countRefusal(reason string) {
	switch {
	case m == nil:
	case reason == "no_capacity":
		m.noCapacity.Inc()
	default:
		m.noTarget.Inc()
	}
}

func (m *Metrics) countOutcome(outcome Outcome, isSuspect bool) {
	if m == nil {
		return
	}
	m.outcomes[outcome].Inc()
	if isSuspect {
		m.suspects.Inc()
	}
}

// Collector returns a collector of the router's calls in flight and ejected
// targets.
func (r *Router) Collector() prometheus.Collector { return &collector{router: r} }

type collector struct{ router *Router }

var (
	inFlightDesc = prometheus.NewDesc("dotterellink_routing_in_flight", "Calls of this instance in flight by target.", []string{"target"}, nil)
	ejectedDesc  = prometheus.NewDesc("dotterellink_routing_ejected_targets", "Targets that get no calls after failures.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	out <- inFlightDesc
	out <- ejectedDesc
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	r := c.router
	now := r.clock.Now()
	ejected := 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, l := range r.loads {
		if l.breaker.isEjected(now) {
			ejected++
		}
		if l.inFlight > 0 {
			out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(l.inFlight), name)
		}
	}
	out <- prometheus.MustNewConstMetric(ejectedDesc, prometheus.GaugeValue, float64(ejected))
}
