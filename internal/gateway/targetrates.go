package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

// targetRates passes on what answers say about the request rates of their targets, and
// logs changes.
type targetRates struct {
	limits  *allowance.TargetRates
	log     log.Interface
	limited prometheus.GaugeFunc
	changes *prometheus.CounterVec

	mu sync.Mutex
	// unreadableAt is when an unreadable rate of a target was last logged.
	unreadableAt map[string]time.Time
}

// unreadableLogInterval is the time between two log lines on the same target.
const unreadableLogInterval = time.Minute

func newTargetRates(limits *allowance.TargetRates, logger log.Interface, registerer prometheus.Registerer) *targetRates {
	r := &targetRates{
		limits: limits, log: logger, unreadableAt: make(map[string]time.Time),
		limited: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dotterellink_targets_rate_limited", Help: "Targets that limit their request rate."}, func() float64 { return float64(limits.Count()) }),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_target_rate_changes_total", Help: "Changes of the request rates that targets name in answers to this instance."}, []string{"change"}),
	}
	registerer.MustRegister(r.limited, r.changes)
	return r
}

// observe records what the answer to a request that was sent at the time sentAt says.
// inReport is set for answers to reports and orders.
func (r *targetRates) observe(t *fleet.Target, n call.Notice, sentAt time.Time, inReport bool) {
	now := time.Now()
	change := allowance.RateUnchanged
	switch n.Rate {
	case call.RateNamed:
		change = r.limits.Named(t.ID, n.RatePerSecond, inReport, now)
	case call.RateUnlimited:
		change = r.limits.Unlimited(t.ID, sentAt, inReport, now)
	case call.RateUnreadable:
		r.logUnreadable(t, now)
	}
	fields := log.Fields{"target": t.ID, "zone": t.Zone, "per_second": n.RatePerSecond}
	switch change {
	case allowance.RateBegan:
		r.changes.WithLabelValues("named").Inc()
		r.log.WithFields(fields).Info("gateway: Target limits its request rate.")
	case allowance.RateEnded:
		r.changes.WithLabelValues("ended").Inc()
		r.log.WithFields(fields).Info("gateway: Target no longer limits its request rate.")
	}
}

// logUnreadable logs a rate that is no number of requests. A limit that is in force stays.
func (r *targetRates) logUnreadable(t *fleet.Target, now time.Time) {
	r.changes.WithLabelValues("unreadable").Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.unreadableAt[t.ID]) < unreadableLogInterval {
		return
	}
	r.unreadableAt[t.ID] = now
	r.log.WithFields(log.Fields{"target": t.ID, "zone": t.Zone}).Warn("gateway: Target limits its request rate to a value that is no rate.")
}

// prune drops what is known of targets that are no longer listed.
func (r *targetRates) prune(listed func(id string) bool, now time.Time) {
	r.limits.Prune(listed, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, at := range r.unreadableAt {
		if !listed(id) && now.Sub(at) > unreadableLogInterval {
			delete(r.unreadableAt, id)
		}
	}
}
