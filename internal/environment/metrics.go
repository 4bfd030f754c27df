package environment

import (
	"github.com/prometheus/client_golang/prometheus"
)

const metricPrefix = "dotterellink_environment_"

// metrics are the metrics of a Syncer. The revision and the confirmation age are
// computed when they are scraped.
type metrics struct {
	verdict          *prometheus.GaugeVec
	confirmations    prometheus.Counter
	platformFailures prometheus.Counter
	conflicts        prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, s *Syncer) *metrics {
	m := &metrics{
		verdict: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: metricPrefix + "verdict",
			Help: "1 for the knowledge by which keyed requests are served now: fresh, outage or cut_off.",
		}, []string{"verdict"}),
		confirmations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricPrefix + "platform_confirmations_total",
			Help: "Confirmations of the state that this instance got from the platform.",
		}),
		platformFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricPrefix + "platform_failures_total",
			Help: "Calls to the platform that gave this instance no confirmation.",
		}),
		conflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricPrefix + "conflicts_total",
			Help: "Answers of peers with another content under the present revision.",
		}),
	}
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricPrefix + "revision",
		Help: "Revision in force at this instance; 0 before the first.",
	}, func() float64 { return float64(s.store.View().State.Revision) })
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricPrefix + "confirmation_age_seconds",
		Help: "Age of the newest confirmation of the platform, by whichever instance; -1 without one.",
	}, s.confirmationAgeSeconds)
	registerer.MustRegister(m.verdict, m.confirmations, m.platformFailures, m.conflicts, revision, age)
	return m
}

func (m *metrics) setVerdict(current Verdict) {
	for _, v := range []Verdict{VerdictFresh, VerdictOutage, VerdictCutOff} {
		value := 0.0
		if v == current {
			value = 1
		}
		m.verdict.WithLabelValues(v.String()).Set(value)
	}
}

func (s *Syncer) confirmationAgeSeconds() float64 {
	at := s.confirmedAt()
	if at.IsZero() {
		return neverConfirmed
	}
	return s.clock.Since(at).Seconds()
}
