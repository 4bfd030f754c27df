package gateway

import (
	"sync"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

// rateObserver records which targets limit their request rate, as their answers say.
type rateObserver struct {
	log     log.Interface
	limited prometheus.Gauge
	changes *prometheus.CounterVec

	mu sync.Mutex
	// named holds the last statement of each target that names a limit.
	named map[string]call.Notice
}

func newRateObserver(logger log.Interface, registerer prometheus.Registerer) *rateObserver {
	o := &rateObserver{
		log: logger, named: make(map[string]call.Notice),
		limited: prometheus.NewGauge(prometheus.GaugeOpts{Name: "dotterellink_targets_rate_limited", Help: "Targets that limit their request rate."}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_target_rate_changes_total", Help: "Changes of what targets say about their request rate."}, []string{"change"}),
	}
	registerer.MustRegister(o.limited, o.changes)
	return o
}

// observe records what an answer of a target says. It logs changes only.
func (o *rateObserver) observe(t *fleet.Target, n call.Notice) {
	if n.Rate == call.RateUnknown {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.named[t.ID]
	if last.Rate == n.Rate && last.RatePerSecond == n.RatePerSecond || n.Rate == call.RateUnlimited && last.Rate == call.RateUnknown {
		return
	}
	fields := log.Fields{"target": t.ID, "zone": t.Zone, "per_second": n.RatePerSecond}
	switch n.Rate {
	case call.RateUnlimited:
		delete(o.named, t.ID)
		o.changes.WithLabelValues("ended").Inc()
		o.log.WithFields(fields).Info("gateway: Target no longer limits its request rate.")
	case call.RateNamed:
		o.named[t.ID] = n
		o.changes.WithLabelValues("named").Inc()
		o.log.WithFields(fields).Info("gateway: Target limits its request rate.")
	default:
		o.named[t.ID] = n
		o.changes.WithLabelValues("unreadable").Inc()
		o.log.WithFields(fields).Warn("gateway: Target limits its request rate to a value that is no rate.")
	}
	o.limited.Set(float64(len(o.named)))
}
