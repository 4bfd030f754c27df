package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/forecast"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/scaling"
)

const (
	// scalingOrderTimeout bounds one order of a number of targets. It is far shorter than the
	// gap between the orders of two holders.
	scalingOrderTimeout = 900 * time.Millisecond
	// scalingSettleTime is how long the view has to be complete before a decision: the counts
	// of instances that were out of touch arrive at once.
	scalingSettleTime = 3 * time.Second
	// maxScalingStateAge is the age of the state confirmed last from which on the list of
	// targets may be old. Targets announce themselves every 1.2 s, and all instances hear of
	// it.
	maxScalingStateAge = 4 * time.Second
	// maxScalingPause is the time between two samples from which on the view may be old, as
	// after a freeze of the process.
	maxScalingPause = 3 * time.Second
	// scalingLogInterval is the time between two log lines on a number that is kept.
	scalingLogInterval = 10 * time.Second
)

// scalingSubject identifies the targets of a service in a zone.
type scalingSubject struct{ service, zone string }

// scaledTargets is what an instance knows of the number of targets of a service in a zone.
// Every instance follows the demand, so that the next holder knows it; only the holder of
// the zone's placement lease orders.
type scaledTargets struct {
	demand *forecast.Series
	// work is the engine time asked of the zone up to sampledAt, in seconds.
	work      float64
	sampledAt time.Time
	// completeSince is since when the view has been complete, zero while it is not.
	completeSince time.Time
	memory        scaling.Hysteresis
	orders        scaling.Orders
	loggedAt      time.Time
	reason        scaling.Reason
}

// scaler orders the numbers of targets.
type scaler struct {
	*Gateway
	api     duty.API
	metrics scalingMetrics

	mu       sync.Mutex
	subjects map[scalingSubject]*scaledTargets
}

// scalingMetrics are the metrics of the scaler. The gauges are set at the holder only.
type scalingMetrics struct {
	orders, decisions         *prometheus.CounterVec
	demand, forecast, targets *prometheus.GaugeVec
}

func newScalingMetrics(registerer prometheus.Registerer) scalingMetrics {
	labels := []string{"service", "zone"}
	m := scalingMetrics{
		orders:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_scaling_orders_total", Help: "Orders of numbers of targets by this instance, by result."}, []string{"result"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_scaling_decisions_total", Help: "Decisions on numbers of targets by this instance, by reason."}, []string{"reason"}),
		demand:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dotterellink_scaling_demand_targets", Help: "Demand in fully used targets, at the holder of the duty."}, labels),
		forecast:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dotterellink_scaling_forecast_targets", Help: "Demand expected in one boot time, in fully used targets, at the holder of the duty."}, labels),
		targets:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dotterellink_scaling_targets", Help: "Targets now and on the way, at the holder of the duty."}, labels),
	}
	registerer.MustRegister(m.orders, m.decisions, m.demand, m.forecast, m.targets)
	return m
}

// runScaling decides about the numbers of targets until ctx ends. It returns at once if the
// platform takes no such orders.
func (g *Gateway) runScaling(ctx context.Context) error {
	api := g.scalingDuties()
	if api == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	s := &scaler{Gateway: g, api: api, metrics: newScalingMetrics(g.registry), subjects: make(map[scalingSubject]*scaledTargets)}
	for pause.For(ctx, scaling.SampleInterval) {
		s.tick(ctx, time.Now())
	}
	return ctx.Err()
}

// tick samples the demand of all services whose number of targets changes, in each zone in
// which they run, and decides for the zones whose placement lease this instance holds.
func (s *scaler) tick(ctx context.Context, now time.Time) {
	state := s.catalog.Current()
	if state == nil || !state.Scales() {
		return
	}
	counts := s.countTargets(state, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for subject := range counts.listed {
		if s.subjects[subject] == nil {
			s.subjects[subject] = &scaledTargets{
				demand: forecast.New(scaling.ForecastConfig(), now), work: s.demand.WorkAsked(subject.service, subject.zone), sampledAt: now,
			}
		}
	}
	for subject, t := range s.subjects {
		service := state.Services[subject.service]
		if service == nil || service.Scaling == nil {
			delete(s.subjects, subject)
			s.forgetGauges(subject)
			continue
		}
		if now.Sub(t.sampledAt) > maxScalingPause {
			t.completeSince = time.Time{}
		}
		t.sample(s.demand.WorkAsked(subject.service, subject.zone), counts.occupied[subject], now)
		token, held := s.leases.Zone(subject.zone).Held()
		if !held {
			t.completeSince = time.Time{}
			s.forgetGauges(subject)
			continue
		}
		problem := s.viewProblem(subject, counts, now)
		if problem != "" {
			t.completeSince = time.Time{}
		} else if t.completeSince.IsZero() {
			t.completeSince = now
		}
		if problem != "" || now.Sub(t.completeSince) < scalingSettleTime {
			s.logIncomplete(subject, t, problem, now)
			continue
		}
		t.orders.Observe(token, counts.listed[subject], service.Scaling.Boot, now)
		s.decide(ctx, subject, t, service.Scaling, token, now)
	}
}

// targetCounts is what the list of targets says about all subjects.
type targetCounts struct {
	// listed is the number of targets that stay.
	listed map[scalingSubject]int
	// occupied is the sum over the targets of the share of their slots that calls occupy.
	occupied map[scalingSubject]float64
	// lapsed is set if the entry of a target is missing and may return.
	lapsed    map[scalingSubject]bool
	evacuated map[string]bool
	// reachable holds the zones of which an instance is reachable.
	reachable map[string]bool
	// reachesMost is set if most zones with targets are in touch. A zone that was lost must
	// not keep the others from taking over its work.
	reachesMost bool
}

// countTargets counts the targets of services whose number changes. Those that leave count
// for the occupied slots only: their calls go on at others.
func (s *scaler) countTargets(state *catalog.State, now time.Time) targetCounts {
	view := s.fleet.View()
	c := targetCounts{
		listed: make(map[scalingSubject]int), occupied: make(map[scalingSubject]float64), lapsed: make(map[scalingSubject]bool), evacuated: view.Evacuated,
	}
	zones := make(map[string]bool)
	for id, t := range view.Targets {
		zones[t.Zone] = true
		service := state.Services[t.Service]
		if service == nil || service.Scaling == nil {
			continue
		}
		subject := scalingSubject{t.Service, t.Zone}
		slots := t.Slots
		if service.Engine != nil && service.Engine.Slots > 0 {
			slots = service.Engine.Slots
		}
		c.occupied[subject] += float64(s.dispatcher.RunningAt(id, now)) / float64(max(1, slots))
		if t.Usable() && !t.Reclaimed() {
			c.listed[subject]++
		}
		if t.Lapsed {
			c.lapsed[subject] = true
		}
	}
	reached := 0
	// Instances of a zone that is cut off are forgotten after a while, so that only those that
	// are heard count.
	c.reachable = s.exchange.ReachableZones()
	for zone := range zones {
		if c.reachable[zone] {
			reached++
		}
	}
	c.reachesMost = 2*reached > len(zones)
	return c
}

// sample adds the demand since the last sample to the forecast.
func (t *scaledTargets) sample(work, occupied float64, now time.Time) {
	elapsed := now.Sub(t.sampledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	t.demand.Sample(scaling.Demand((work-t.work)/elapsed, occupied), now)
	t.work, t.sampledAt = work, now
}

// viewProblem returns why this instance does not know enough to decide about a subject, empty
// if it does.
func (s *scaler) viewProblem(subject scalingSubject, counts targetCounts, now time.Time) string {
	switch {
	case s.ready.isLeaving():
		return "leaving"
	case !s.exchange.Complete():
		return "instances_unknown"
	case s.store.storeIsLost() || !s.store.confirmed.Load() || s.catalog.Age(now) > maxScalingStateAge:
		return "store_lost"
	case counts.evacuated[subject.zone]:
		return "zone_evacuated"
	case !counts.reachable[subject.zone] || !counts.reachesMost:
		return "zone_partitioned"
	case counts.lapsed[subject]:
		return "targets_lapsed"
	}
	return ""
}

// decide requires s.mu. It decides about one subject and sends the order that is due.
func (s *scaler) decide(ctx context.Context, subject scalingSubject, t *scaledTargets, limits *catalog.Scaling, token uint64, now time.Time) {
	in := scaling.Input{
		Now: now, Limits: scaling.Limits{Min: limits.Min, Max: limits.Max, Boot: limits.Boot},
		Demand: t.demand.Level(now), Forecast: t.demand.At(limits.Boot, now), Targets: t.orders.Number(),
	}
	in.MayShrink = in.Targets > limits.Min && s.controller.MayLoseTarget(subject.zone, subject.service, now)
	desired, reason := t.memory.Decide(in)
	if reason == scaling.LastCopy {
		s.controller.WantSpares(subject.zone, subject.service)
	}
	s.metrics.decisions.WithLabelValues(string(reason)).Inc()
	for gauge, value := range map[*prometheus.GaugeVec]float64{s.metrics.demand: in.Demand, s.metrics.forecast: in.Forecast, s.metrics.targets: float64(in.Targets)} {
		gauge.WithLabelValues(subject.service, subject.zone).Set(value)
	}
	entry := s.log.WithFields(log.Fields{
		"service": subject.service, "zone": subject.zone, "demand": round(in.Demand), "forecast": round(in.Forecast),
		"targets": in.Targets, "desired": desired, "reason": string(reason),
	})
	number, due := t.orders.Next(desired, now)
	if !due {
		if reason != t.reason && now.Sub(t.loggedAt) >= scalingLogInterval {
			t.reason, t.loggedAt = reason, now
			entry.Info("scaling: Number of targets kept.")
		}
		return
	}
	if number < in.Targets {
		t.memory.Stepped(now)
	}
	t.reason, t.loggedAt = reason, now
	t.orders.Begin(number, now)
	go s.send(ctx, subject, t, number, token, entry)
}

// send sends an order that was decided with a fencing token, if the lease still allows it with
// that token.
func (s *scaler) send(ctx context.Context, subject scalingSubject, t *scaledTargets, number int, token uint64, entry *log.Entry) {
	ctx, cancel := context.WithTimeout(ctx, scalingOrderTimeout)
	defer cancel()
	result, err := "not_allowed", error(scaling.ErrNotAllowed)
	lease := s.leases.Zone(subject.zone)
	if lease.BeginScaling(subject.service, token, scalingOrderTimeout) {
		var denied atomic.Bool
		fence := duty.Fence{Holder: s.settings.Name, Token: token, MayWrite: func() bool {
			ok := lease.BeginScaling(subject.service, token, scalingOrderTimeout)
			denied.Store(!ok)
			return ok
		}}
		err = s.api.Scale(ctx, fence, subject.service, subject.zone, number)
		if errors.Is(err, duty.ErrNotSent) && denied.Load() {
			err = scaling.ErrNotAllowed
		} else {
			result = duty.ResultOf(err)
		}
	}
	s.metrics.orders.WithLabelValues(result).Inc()
	s.mu.Lock()
	t.orders.End(token, err, time.Now())
	s.mu.Unlock()
	entry = entry.WithFields(log.Fields{"order": number, "token": token, "result": result})
	switch {
	case errors.Is(err, scaling.ErrNotAllowed):
		// After a takeover this comes again until the gap to the last holder has passed.
		entry.Debug("scaling: Order of a number of targets not allowed yet.")
		return
	case err != nil:
		entry.WithError(err).Warn("scaling: Order of a number of targets not acknowledged.")
		return
	}
	entry.Info("scaling: Number of targets ordered.")
}

// logIncomplete requires s.mu. It logs why nothing is decided.
func (s *scaler) logIncomplete(subject scalingSubject, t *scaledTargets, problem string, now time.Time) {
	s.metrics.decisions.WithLabelValues("view_incomplete").Inc()
	if reason := scaling.Reason("view:" + problem); reason != t.reason && now.Sub(t.loggedAt) >= scalingLogInterval {
		t.reason, t.loggedAt = reason, now
		s.log.WithFields(log.Fields{"service": subject.service, "zone": subject.zone, "problem": problem}).Info("scaling: View is incomplete, nothing is ordered.")
	}
}

// forgetGauges drops the gauges of a subject that this instance does not decide about.
func (s *scaler) forgetGauges(subject scalingSubject) {
	for _, gauge := range []*prometheus.GaugeVec{s.metrics.demand, s.metrics.forecast, s.metrics.targets} {
		gauge.DeleteLabelValues(subject.service, subject.zone)
	}
}

// round keeps two decimals for log lines.
func round(v float64) float64 { return float64(int(v*100+0.5)) / 100 }
