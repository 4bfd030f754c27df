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

// fill completes the status of this instance.
func (g *Gateway) fill(s *peers.Status, full bool) {
	if state := g.catalog.Current(); state != nil {
		s.StateVersion = state.Version
	}
	s.StoreLost = g.followed.storeIsLost()
	s.Loads, s.PrefixUpdates = g.board.TakeUpdates(full, time.Now())
	g.noteAdapters(s.PrefixUpdates)
	counts := g.countsDue()
	s.Spent = g.quota.SpendingUpdate(counts)
	s.Demand = g.demand.Updates(counts)
	s.Held, s.Ended = g.leases.Status()
	if len(s.Held) > 0 {
		s.Placements = g.keeper.Updates(full)
	}
}

// take uses the status of a peer.
func (g *Gateway) take(from peers.Peer, s *peers.Status, newRun bool) {
	now := time.Now()
	g.board.ApplyPeerUpdate(from.Name, s.Loads, s.PrefixUpdates, now)
	g.quota.ApplyPeerSpending(s.Run, s.Spent, now)
	g.demand.Observe(s.Run, s.Demand, now)
	g.noteAdapters(s.PrefixUpdates)
	g.leases.Observe(s.Held, s.Ended)
	for _, p := range s.Placements {
		g.view.Apply(p)
	}
	g.newer.heard(s.StateVersion, from.Name, now)
	if newRun {
		g.log.WithFields(log.Fields{"peer": from.Name, "zone": from.Zone, "run": s.Run}).Info("gateway: Peer heard.")
	}
}

// countsEvery is the time between statuses that tell all counts, for those that
// missed one or are new; between them only those that changed are told.
const countsEvery = 4 * time.Second

// countsDue reports whether all counts are told. Only fill calls it.
func (g *Gateway) countsDue() bool {
	now := time.Now()
	if now.Sub(g.countsAt) < countsEvery {
		return false
	}
	g.countsAt = now
	return true
}

// noteAdapters tells the keeper which adapters calls use.
func (g *Gateway) noteAdapters(read []dispatch.PrefixUpdate) {
	for _, r := range read {
		if r.Adapter != "" {
			g.keeper.AdapterUsed(r.TargetID, r.Adapter)
		}
	}
}

// gone forgets a run of a peer that has ended.
func (g *Gateway) gone(p peers.Peer) {
	g.board.RemovePeer(p.Name)
	g.demand.RemoveRun(p.Run)
}

// placement joins what the view and the keeper know for callers.
type placement struct{ *Gateway }

// Holds implements passthrough.Residency.
func (p placement) Holds(t *fleet.Target, model, adapter string) (bool, bool) {
	return p.view.Holds(t, model, adapter)
}

// EnsureAdapter implements passthrough.Residency.
func (p placement) EnsureAdapter(ctx context.Context, service, targetID, model, adapter string) (string, error) {
	return p.keeper.EnsureAdapter(ctx, service, targetID, model, adapter)
}

// Demand implements passthrough.Residency.
func (p placement) Demand(service, model, _ string, work time.Duration, unserved bool) {
	p.demand.Add(service, model, work, unserved, time.Now())
}

// ExpectedLoad implements passthrough.Residency.
func (p placement) ExpectedLoad(service, model string) (time.Duration, bool) {
	return p.view.ExpectedLoad(p.fleet.View().ByService[service], model)
}

// MovesEnd implements passthrough.Residency.
func (p placement) MovesEnd(service, model string) (time.Duration, bool) {
	return p.view.MovesEnd(p.fleet.View().ByService[service], model)
}

// readiness is whether the balancer may send callers.
type readiness struct {
	mu      sync.Mutex
	leaving bool
}

func (r *readiness) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *readiness) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (g *Gateway) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.deps.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if g.ready.isLeaving() || g.catalog.Current() == nil || len(g.fleet.View().Targets) == 0 {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// handlerOf returns the handler of a logger, for parts that take a concrete one.
func handlerOf(l log.Interface) log.Handler {
	if logger, ok := l.(*log.Logger); ok {
		return logger.Handler
	}
	return log.HandlerFunc(func(*log.Entry) error { return nil })
}
