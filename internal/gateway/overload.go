package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/overload"
	"github.com/dotterellink/dotterellink/internal/passthrough"
)

// overloadControl counts the decisions of a controller. All methods of a nil one have no
// effect.
type overloadControl struct {
	controller *overload.Controller
	decisions  *prometheus.CounterVec
}

// newOverloadControl returns nil if the settings do not enable it.
func newOverloadControl(s OverloadSettings, registerer prometheus.Registerer) *overloadControl {
	if !s.Enabled {
		return nil
	}
	o := &overloadControl{
		controller: overload.NewController(s.RankWeights),
		decisions:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_overload_decisions_total", Help: "Decisions on calls of models by reason."}, []string{"reason"}),
	}
	registerer.MustRegister(o.decisions)
	return o
}

// port returns what passthrough uses, nil if it is not enabled.
func (o *overloadControl) port() passthrough.Overload {
	if o == nil {
		return nil
	}
	return o
}

// Decide implements passthrough.Overload.
func (o *overloadControl) Decide(q overload.Call, now time.Time) overload.Decision {
	d := o.controller.Decide(q, now)
	o.decisions.WithLabelValues(string(d.Reason)).Inc()
	return d
}

// MayRefuse implements passthrough.Overload.
func (o *overloadControl) MayRefuse(service string) bool { return o.controller.MayRefuse(service) }

// CountTooLate implements passthrough.Overload.
func (o *overloadControl) CountTooLate() {
	o.decisions.WithLabelValues(string(overload.TooLate)).Inc()
}

func (o *overloadControl) reports(now time.Time) []overload.Report {
	if o == nil {
		return nil
	}
	return o.controller.Reports(now)
}

func (o *overloadControl) apply(run string, list []overload.Report, now time.Time) {
	if o != nil {
		o.controller.Apply(run, list, now)
	}
}

func (o *overloadControl) removeRun(run string) {
	if o != nil {
		o.controller.RemoveRun(run)
	}
}

// updateSupply records the targets and instances that serve each service with engines. While
// the other instances are not known, all calls are accepted.
func (g *Gateway) updateSupply() {
	state := g.catalog.Current()
	if g.overload == nil || state == nil {
		return
	}
	known, view, instances := g.membersKnown(time.Now()), g.fleet.View(), len(g.exchange.Names())
	for name, service := range state.Services {
		if service.Engine == nil {
			continue
		}
		supply := overload.Supply{Instances: instances, UrgentLatency: urgentLatency(state, name)}
		for _, t := range view.ByService[name] {
			if known && t.Usable() {
				supply.Targets++
			}
		}
		g.overload.controller.SetSupply(name, supply)
	}
}

// urgentLatency returns the least target latency of the routes to a service, 0 if none has
// one.
func urgentLatency(state *catalog.State, service string) time.Duration {
	least := time.Duration(0)
	for _, r := range state.Routes {
		for _, s := range r.Services {
			if s.Service == service && r.TargetLatency > 0 && (least == 0 || r.TargetLatency < least) {
				least = r.TargetLatency
			}
		}
	}
	return least
}
