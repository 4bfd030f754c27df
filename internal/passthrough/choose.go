package passthrough

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// connectionShare is the part of a target's connections that all instances
	// together use; health checks and orders need some.
	connectionShare = 0.9
	// coldSuspicion is added to the cold start of a target that may have turned
	// cold without a word.
	coldSuspicion = time.Second
)

// maxPicks bounds the decisions for one attempt: another call may take the last
// place at a cold target between a decision and its send.
const maxPicks = 3

// pick returns the target for the next attempt and takes a place there. Without
// one it answers the call.
func (f *flight) pick(ctx context.Context) (dispatch.Pick, bool) {
	for range maxPicks {
		pick, ok := f.decide(ctx)
		if !ok || f.takePlace(pick) {
			return pick, ok
		}
	}
	f.giveUp("no_target_free", noTargetRetry)
	return dispatch.Pick{}, false
}

// takePlace takes a place at the target if it may be cold.
func (f *flight) takePlace(pick dispatch.Pick) bool {
	now := f.Now()
	service := f.state.Services[f.service]
	part := -1
	if f.isCold(pick.Target, service, now) {
		part = f.coldPart(pick.Target.ID, service)
	}
	return f.Cold.Take(pick.Target.ID, part, now)
}

// decide picks a target. Without one it answers the call.
func (f *flight) decide(ctx context.Context) (dispatch.Pick, bool) {
	service := f.state.Services[f.service]
	if service == nil {
		f.giveUp("no_service", noTargetRetry)
		return dispatch.Pick{}, false
	}
	candidates, wait := f.candidates(service)
	if len(candidates) == 0 {
		f.noTarget()
		return dispatch.Pick{}, false
	}
	now := f.Now()
	pick, ok := f.Dispatcher.Pick(candidates, f.query(service, now))
	if !ok {
		f.logNoneFree(candidates)
		f.giveUp("no_target_free", max(wait, noTargetRetry))
		return dispatch.Pick{}, false
	}
	if left := f.patience(now); pick.Expected > left {
		f.logHopeless(pick, now)
		f.giveUp("too_late", pick.Expected-left+noTargetRetry/2)
		return dispatch.Pick{}, false
	}
	if f.call.Model != "" {
		f.Residency.Demand(f.service, f.call.Model, f.call.Adapter, pick.Cost, false)
	}
	if pick.NeedsAdapter {
		return f.withAdapter(ctx, pick, service)
	}
	return pick, true
}

const (
	// callersStay, and the multiples of a route's aims, are how long callers wait
	// for the first event of a stream, whichever is longest. Source: the
	// platform's page on streams.
	callersStay        = 2 * time.Second
	callersStayLatency = 4
	callersStayGap     = 8
)

// patience returns how long the caller waits for the first answer.
func (f *flight) patience(now time.Time) time.Duration {
	left := f.ends.Sub(now)
	if f.route.Kind != catalog.Stream {
		return left
	}
	stay := max(callersStay, callersStayLatency*f.route.TargetLatency, callersStayGap*f.route.EventGap)
	return min(left, stay-now.Sub(f.call.Arrived))
}

func (f *flight) query(service *catalog.Service, now time.Time) dispatch.Query {
	q := dispatch.Query{Work: f.work, Zone: f.Zone, Excluded: f.excluded, Now: now}
	if service.Engine != nil {
		q.Engine = dispatch.Engine{Slots: service.Engine.Slots, KVTokens: service.Engine.KVTokens}
	}
	return q
}

// candidates returns the targets that hold what the call needs, and the shortest
// wait for one that its cold start limits.
func (f *flight) candidates(service *catalog.Service) ([]dispatch.Candidate, time.Duration) {
	now := f.Now()
	names := f.Members.Names()
	maxOpen := max(1, int(connectionShare*float64(service.MaxConnections))/max(1, len(names)))
	var out []dispatch.Candidate
	var wait time.Duration
	for _, t := range f.Fleet.View().Holders(f.service, f.call.Model) {
		holds, adapter := f.Residency.Holds(t, f.call.Model, f.call.Adapter)
		if !holds {
			continue
		}
		c := dispatch.Candidate{Target: t, NeedsAdapter: !adapter, ZoneCut: f.Members.ZoneCut(t.Zone)}
		c.NewConnection = !f.Upstream.HasIdle(t.ID, t.Address)
		c.Limited = service.MaxConnections > 0 && c.NewConnection && f.Upstream.Open(t.ID, t.Address) >= maxOpen
		if f.isCold(t, service, now) {
			part := f.coldPart(t.ID, service)
			if !f.Cold.HasCapacity(t.ID, part, now) {
				c.Limited = true
				if w := f.Cold.TimeToCapacity(t.ID, part, now); w > 0 && (wait == 0 || w < wait) {
					wait = w
				}
			}
		}
		out = append(out, c)
	}
	return out, wait
}

// coldPart returns the calls in a window that this instance may send to a cold target:
// none before it knows of the others, as it would take the whole for its part.
func (f *flight) coldPart(targetID string, service *catalog.Service) int {
	if !f.Members.AllKnown() {
		return 0
	}
	return f.Cold.CallsPerWindow(targetID, service.ColdRate, f.Members.Self(), f.Members.Names())
}

// isCold reports whether a target may be in its cold start: as announced, or
// because its zone was taken back.
func (f *flight) isCold(t *fleet.Target, service *catalog.Service, now time.Time) bool {
	if service.ColdRate <= 0 {
		return false
	}
	if now.Before(t.ColdUntil()) {
		return true
	}
	since := f.Dispatcher.MayBeColdSince(t.ID)
	return !since.IsZero() && now.Sub(since) < service.ColdStart+coldSuspicion
}

// noTarget answers a call for which no target holds the model, or none is there.
func (f *flight) noTarget() {
	retry := noTargetRetry
	if f.call.Model != "" {
		f.Residency.Demand(f.service, f.call.Model, f.call.Adapter, 0, true)
		if eta, ok := f.Residency.ExpectedLoad(f.service, f.call.Model); ok {
			retry = eta
		}
	}
	f.giveUp("no_target", retry)
}

// logNoneFree tells why no candidate gets the call: limited by a cold start or its
// connections, tried before, or else down or lacking the adapter.
func (f *flight) logNoneFree(candidates []dispatch.Candidate) {
	limited, tried := 0, 0
	for _, c := range candidates {
		switch {
		case f.excluded[c.Target.ID]:
			tried++
		case c.Limited:
			limited++
		}
	}
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "model": f.call.Model, "adapter": f.call.Adapter, "candidates": len(candidates),
		"limited": limited, "tried": tried, "down": len(candidates) - limited - tried,
	}).Info("passthrough: No target takes the call.")
}

func (f *flight) logHopeless(pick dispatch.Pick, now time.Time) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "best": pick.Target.ID, "expected_ms": pick.Expected.Milliseconds(),
		"left_ms": f.ends.Sub(now).Milliseconds(), "running": pick.Load.Running,
		"waiting_ms": pick.Load.Waiting.Milliseconds(),
	}).Info("passthrough: No target answers in time.")
}

// adapterWait bounds the wait for an adapter that is being loaded.
const adapterWait = 800 * time.Millisecond

// withAdapter has the adapter loaded and picks the target that holds it.
func (f *flight) withAdapter(ctx context.Context, pick dispatch.Pick, service *catalog.Service) (dispatch.Pick, bool) {
	ctx, cancel := context.WithTimeout(ctx, adapterWait)
	defer cancel()
	id, err := f.Residency.EnsureAdapter(ctx, f.service, pick.Target.ID, f.call.Model, f.call.Adapter)
	if f.r.Context().Err() != nil {
		f.end("caller_left", f.r.Context().Err())
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		f.Log.WithFields(log.Fields{"call": f.call.ID, "adapter": f.call.Model + "/" + f.call.Adapter}).WithError(err).Info("passthrough: Adapter not loaded.")
		f.giveUp("no_adapter", f.adapterRetry())
		return dispatch.Pick{}, false
	}
	if id == pick.Target.ID {
		return pick, true
	}
	target := f.Fleet.View().Targets[id]
	if target == nil || !target.Usable() {
		f.giveUp("no_adapter", f.adapterRetry())
		return dispatch.Pick{}, false
	}
	other, ok := f.Dispatcher.Pick([]dispatch.Candidate{{Target: target}}, f.query(service, f.Now()))
	if !ok {
		f.giveUp("no_adapter", f.adapterRetry())
	}
	return other, ok
}

// adapterRetry returns when to come back for an adapter: targets that carry out a
// move take none before its end, and a caller that returns earlier is refused again.
func (f *flight) adapterRetry() time.Duration {
	if left, ok := f.Residency.MovesEnd(f.service, f.call.Model); ok {
		return max(left, noTargetRetry)
	}
	return noTargetRetry
}
