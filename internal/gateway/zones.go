package gateway

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/zones"
)

// zoneRouting runs the rule for calls to other zones. Its controller is used by the
// announcer of the zone only: the first of its reachable instances by name.
type zoneRouting struct {
	view       *zones.View
	controller zones.Controller
	announcer  bool
	// announced holds what the zone announced last for each service, for the log.
	announced map[string]string
}

// wireZones sets the rule up if it is in the settings.
func (g *Gateway) wireZones() {
	if !g.settings.Zones.Spill {
		return
	}
	g.zones = &zoneRouting{view: zones.NewView(g.settings.Zone), announced: make(map[string]string)}
	left := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dotterellink_calls_to_other_zones_total", Help: "Sends of calls to other zones by reason."}, []string{"reason"})
	g.registry.MustRegister(left)
	g.dispatcher.UseZones(g.zones.view, g.settings.Zones.ByteCostMSPerKB, func(r zones.Reason) { left.WithLabelValues(string(r)).Inc() })
}

// fillZones adds what the zone announces to a status, if this instance is its announcer.
// Only fillStatus calls it.
func (g *Gateway) fillZones(s *peers.Status, now time.Time) {
	state := g.catalog.Current()
	if g.zones == nil || state == nil {
		return
	}
	if rank, _ := g.rankInZone(); rank > 0 || s.Leaving {
		g.zones.announcer = false
		g.zones.view.Apply(g.settings.Zone, g.settings.Name, nil, now)
		return
	}
	if !g.zones.announcer {
		g.zones.announcer = true
		g.zones.controller.Reset(now)
		g.log.WithField("zone", g.settings.Zone).Info("zones: This instance announces room for its zone.")
	}
	g.zones.controller.TTL = zones.TTL(g.exchange.Interval())
	view := g.fleet.View()
	for name, service := range state.Services {
		a := g.zones.controller.Step(name, g.observeZone(state, service, view, now), now)
		g.logAnnouncement(a)
		if a.NeedMS > 0 || len(a.GrantsMS) > 0 {
			s.Zones = append(s.Zones, a)
		}
	}
	g.zones.view.Apply(g.settings.Zone, g.settings.Name, s.Zones, now)
}

// rankInZone returns the rank of this instance among the reachable ones of its zone, by name,
// and their number.
func (g *Gateway) rankInZone() (rank, instances int) {
	instances = 1
	for _, p := range g.exchange.Reachable() {
		if p.Zone == g.settings.Zone && !p.Leaving {
			instances++
			if p.Name < g.settings.Name {
				rank++
			}
		}
	}
	return rank, instances
}

// observeZone returns the state of a service in the zone of this instance.
func (g *Gateway) observeZone(state *catalog.State, service *catalog.Service, view *fleet.View, now time.Time) zones.Observation {
	o := zones.Observation{TargetLatency: shortestLatency(state, service.Name), NeedsMS: g.zones.view.Needs(service.Name, now)}
	var engine dispatch.Engine
	if service.Engine != nil {
		engine = dispatch.Engine{Slots: service.Engine.Slots, KVTokens: service.Engine.KVTokens}
	}
	best := make(map[string]time.Duration)
	for _, t := range view.ByService[service.Name] {
		if t.Zone != g.settings.Zone {
			continue
		}
		models := []string{""}
		if service.Engine != nil {
			models = models[:0]
			for _, m := range t.Models {
				models = append(models, m.Name)
			}
		}
		if len(models) == 0 {
			continue
		}
		wait, busy := g.dispatcher.Wait(t, models[0], engine, now)
		o.Targets = append(o.Targets, zones.TargetObservation{ID: t.ID, Busy: busy})
		for _, model := range models {
			if least, ok := best[model]; !ok || wait < least {
				best[model] = wait
			}
		}
	}
	for _, wait := range best {
		o.Pressure = max(o.Pressure, wait)
	}
	return o
}

// shortestLatency returns the shortest target latency of the routes to a service, 0 if none
// has one.
func shortestLatency(state *catalog.State, service string) time.Duration {
	least := time.Duration(0)
	for i := range state.Routes {
		r := &state.Routes[i]
		leads := slices.ContainsFunc(r.Services, func(w catalog.WeightedService) bool { return w.Service == service })
		if leads && r.TargetLatency > 0 && (least == 0 || r.TargetLatency < least) {
			least = r.TargetLatency
		}
	}
	return least
}

// logAnnouncement logs when the zone becomes short of a service, gives room or ends either.
func (g *Gateway) logAnnouncement(a zones.Announcement) {
	now := "neither"
	switch {
	case a.NeedMS > 0:
		now = "short"
	case len(a.GrantsMS) > 0:
		now = "room"
	}
	before := g.zones.announced[a.Service]
	if before == now || before == "" && now == "neither" {
		return
	}
	g.zones.announced[a.Service] = now
	g.log.WithFields(log.Fields{"service": a.Service, "zone": g.settings.Zone, "state": now, "need_ms": a.NeedMS, "grants_ms": a.GrantsMS}).Info("zones: Announcement changed.")
}

// updateZones brings the part of this instance in the grants for its zone up to date.
func (g *Gateway) updateZones() {
	if g.zones != nil {
		rank, instances := g.rankInZone()
		g.zones.view.SetInstances(instances, rank, zones.TTL(g.exchange.Interval()))
	}
}
