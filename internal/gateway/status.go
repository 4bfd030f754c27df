package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/peers"
)

// fillStatus completes the status of this instance.
func (g *Gateway) fillStatus(s *peers.Status, full bool) {
	if state := g.catalog.Current(); state != nil {
		s.StateVersion = state.Version
	}
	s.StoreLost = g.store.storeIsLost()
	g.fillUsage(s)
	s.StoreEra = g.deps.Eras.Current()
	if full || g.leavingChanged.Swap(false) {
		s.Departing = g.fleet.Leaving()
	}
	if full || g.dispatcher.HasNewSuspicions() {
		s.MayBeCold = g.dispatcher.ColdSuspicions(time.Now())
	}
	if full {
		g.fullStatuses++
	}
	s.Rates = g.rates.limits.Updates(full, time.Now())
	g.fillVersions(s, full)
	s.Suspicions = g.quarantine.TakeUpdates(full && repeatsSuspicions(g.fullStatuses, len(g.exchange.Names())), time.Now())
	s.Loads, s.PrefixUpdates = g.dispatcher.TakeUpdates(full, time.Now())
	g.recordAdapterUse(s.PrefixUpdates)
	g.fillZones(s, time.Now())
	s.AllCounts = g.fullCountsDue()
	s.Spent = g.quota.SpendingUpdate(s.AllCounts)
	s.Demand = g.demand.Updates(s.AllCounts)
	s.Work = g.overload.reports(time.Now())
	s.Held, s.Ended = g.leases.Status()
	if len(s.Held) > 0 {
		s.Placements = g.controller.Updates(full)
	}
}

// instancesPerRepeat is the number of instances for which each further full status does not
// repeat suspicions: more instances send them to more peers.
const instancesPerRepeat = 40

// repeatsSuspicions reports whether the nth full status repeats suspicions, for peers that
// missed an update.
func repeatsSuspicions(n uint64, instances int) bool {
	return n%uint64(max(1, instances/instancesPerRepeat)) == 0
}

// onStatus applies the status of a peer.
func (g *Gateway) onStatus(from peers.Peer, s *peers.Status, newRun bool) {
	now := time.Now()
	if g.deps.Eras.Hear(s.StoreEra) != nil {
		// The peer has not heard of the new era yet. What it says of leases is void.
		s.Held, s.Ended = nil, nil
	}
	g.fleet.AddDepartures(s.Departing, now)
	g.quarantine.Merge(s.Suspicions, now)
	g.dispatcher.AddColdSuspicions(s.MayBeCold, now)
	g.rates.limits.Apply(s.Rates, now)
	g.applyVersions(s.Assignments, s.Streams, now)
	g.dispatcher.ApplyPeerUpdate(from.Name, s.Loads, s.PrefixUpdates, now)
	if g.zones != nil {
		g.zones.view.Apply(from.Zone, from.Name, s.Zones, now)
	}
	g.quota.ApplyPeerSpending(s.Run, s.Spent, s.AllCounts, now)
	g.demand.Observe(from.Zone, s.Run, s.Demand, s.AllCounts, now)
	g.overload.apply(s.Run, s.Work, now)
	g.recordAdapterUse(s.PrefixUpdates)
	g.leases.Observe(s.Held, s.Ended)
	g.observeUsage(from.Name, s)
	for _, p := range s.Placements {
		g.view.Apply(p)
	}
	g.peerVersions.observe(s.StateVersion, from.Name, now)
	if newRun {
		g.log.WithFields(log.Fields{"peer": from.Name, "zone": from.Zone, "run": s.Run}).Info("gateway: First status received from peer.")
	}
}

// fullCountsInterval is the time between statuses that report all counts, for peers
// that are new or missed a status. Other statuses report only the counts that changed.
const fullCountsInterval = 4 * time.Second

// fullCountsDue reports whether the next status reports all counts. Only fillStatus
// calls it.
func (g *Gateway) fullCountsDue() bool {
	now := time.Now()
	if now.Sub(g.fullCountsAt) < fullCountsInterval {
		return false
	}
	g.fullCountsAt = now
	return true
}

// recordAdapterUse reports to the placement controller which adapters are used by
// calls.
func (g *Gateway) recordAdapterUse(updates []dispatch.PrefixUpdate) {
	for _, u := range updates {
		if u.Adapter != "" {
			g.controller.AdapterUsed(u.TargetID, u.Adapter)
		}
	}
}

// onRunEnded removes the data of a run of a peer that has ended.
func (g *Gateway) onRunEnded(p peers.Peer) {
	g.dispatcher.RemovePeer(p.Name)
	g.demand.RemoveRun(p.Run)
	g.overload.removeRun(p.Run)
}

// placement implements passthrough.Residency with the placement view and the placement
// controller.
type placement struct{ *Gateway }

// Holds implements passthrough.Residency.
func (p placement) Holds(t *fleet.Target, model, adapter string) (bool, bool) {
	return p.view.Holds(t, model, adapter)
}

// EnsureAdapter implements passthrough.Residency.
func (p placement) EnsureAdapter(ctx context.Context, service, targetID, model, adapter string) (string, error) {
	return p.controller.EnsureAdapter(ctx, service, targetID, model, adapter)
}

// Demand implements passthrough.Residency. Only models of the configuration count: callers
// may name any number of others.
func (p placement) Demand(service, model, _ string, work time.Duration, unserved bool) {
	if state := p.catalog.Current(); state != nil && state.Serves(service, model) {
		p.demand.Add(service, model, work, unserved, time.Now())
	}
}

// ExpectedLoad implements passthrough.Residency.
func (p placement) ExpectedLoad(service, model string) (time.Duration, bool) {
	return p.view.ExpectedLoad(p.fleet.View().ByService[service], model)
}

// MovesEnd implements passthrough.Residency.
func (p placement) MovesEnd(service, model string) (time.Duration, bool) {
	return p.view.MovesEnd(p.fleet.View().ByService[service], model)
}

// readiness records whether the instance is leaving, that is, about to stop.
type readiness struct {
	mu      sync.Mutex
	leaving bool
}

func (r *readiness) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *readiness) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// serveReady answers the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if g.ready.isLeaving() || g.catalog.Current() == nil || len(g.fleet.View().Targets) == 0 {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// handlerOf returns the handler of a logger, for packages that require a concrete
// logger.
func handlerOf(l log.Interface) log.Handler {
	if logger, ok := l.(*log.Logger); ok {
		return logger.Handler
	}
	return log.HandlerFunc(func(*log.Entry) error { return nil })
}
