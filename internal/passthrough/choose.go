package passthrough

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// connectionShare is the share of a target's connections that all instances
	// together use for calls. Health checks and orders need the rest.
	connectionShare = 0.9
	// coldStartMargin is added to the cold start of a target that may have become
	// cold without announcing it.
	coldStartMargin = time.Second
)

// maxPicks bounds the decisions for one attempt. A decision is repeated if another
// call used up the limit of a cold target in the meantime.
const maxPicks = 3

// pick returns the target for the next attempt and counts the call against the limits of
// the target. If there is no target, it answers the call and returns false.
func (f *forwarder) pick(ctx context.Context) (dispatch.Pick, bool) {
	for range maxPicks {
		pick, ok := f.decide(ctx)
		if !ok || f.reserveCall(pick) {
			return pick, ok
		}
	}
	f.giveUp("no_target_free", noTargetRetryAfter)
	return dispatch.Pick{}, false
}

// reserveCall counts the call at the target. It returns false if this instance has used up
// its part of the rate that the target takes, or of the calls that a cold target may get.
func (f *forwarder) reserveCall(pick dispatch.Pick) bool {
	now := f.Now()
	if !f.Rates.Take(pick.Target.ID, f.urgency(), now) {
		return false
	}
	if f.reserveColdCall(pick, now) {
		return true
	}
	f.Rates.Return(pick.Target.ID, now)
	return false
}

// reserveColdCall counts the call against the limit of a cold target.
func (f *forwarder) reserveColdCall(pick dispatch.Pick, now time.Time) bool {
	service := f.state.Services[f.service]
	share := -1 // A negative share means that the target is warm.
	if f.mayBeCold(pick.Target, service, now) {
		share = f.coldShare(pick.Target.ID, service)
	}
	return f.Cold.Take(pick.Target.ID, share, now)
}

// decide picks a target. If there is none, it answers the call and returns false.
func (f *forwarder) decide(ctx context.Context) (dispatch.Pick, bool) {
	service := f.state.Services[f.service]
	if service == nil {
		f.giveUp("no_service", noTargetRetryAfter)
		return dispatch.Pick{}, false
	}
	candidates, limit := f.candidates(service)
	if len(candidates) == 0 {
		f.noTarget()
		return dispatch.Pick{}, false
	}
	now := f.Now()
	pick, idle, ok := f.pickWithIdle(candidates, service, now)
	if !ok {
		f.logNoTargetFree(candidates)
		f.giveUp("no_target_free", f.limitedFor(limit, now))
		return dispatch.Pick{}, false
	}
	// Work that is refused counts too: it shows that the model needs more copies.
	if f.call.Model != "" {
		f.Residency.Demand(f.service, f.call.Model, f.call.Adapter, pick.Cost, false)
	}
	if left := f.firstAnswerBudget(now); pick.Expected > left {
		f.logTooLate(pick, now)
		if f.isUndecided(service) {
			f.Overload.CountTooLate()
		}
		f.giveUp("too_late", pick.Expected-left+noTargetRetryAfter/2)
		return dispatch.Pick{}, false
	}
	if pick, ok = f.acceptUnderLoad(pick, idle, service, now); !ok {
		return dispatch.Pick{}, false
	}
	if pick.NeedsAdapter {
		return f.withAdapter(ctx, pick, service)
	}
	return pick, true
}

// firstAnswerBudget returns how much longer the caller waits for the first event, or for
// the next one if the stream has begun, or for the answer of a call that is no stream.
func (f *forwarder) firstAnswerBudget(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if f.route.Kind != catalog.Stream {
		return left
	}
	return min(left, f.route.CallerWait()-now.Sub(f.lastEventTime()))
}

func (f *forwarder) query(service *catalog.Service, now time.Time) dispatch.Query {
	q := dispatch.Query{
		Work: f.work, Zone: f.Zone, Excluded: f.excluded, Now: now,
		TargetLatency: f.route.TargetLatency, BodyBytes: len(f.call.Body),
	}
	if service.Engine != nil {
		q.Engine = dispatch.Engine{Slots: service.Engine.Slots, KVTokens: service.Engine.KVTokens}
	}
	return q
}

// limitation is the shortest wait for a target that must not get a call now, because of its
// cold start or its request rate, or because it wants no requests for a while.
type limitation struct {
	// wait is 0 if there is no such target.
	wait time.Duration
	// rateOf is the ID of the target if its request rate is the reason.
	rateOf string
}

// limitedFor returns when the caller of a refused call should come back.
func (f *forwarder) limitedFor(l limitation, now time.Time) time.Duration {
	switch {
	case l.wait == 0:
		return noTargetRetryAfter
	case l.rateOf != "":
		return max(l.wait, f.Rates.ReturnAfter(l.rateOf, f.urgency(), now))
	}
	return l.wait
}

// candidates returns the targets that hold the model of the call and are not gone before its
// end, and the shortest wait for one that is limited.
func (f *forwarder) candidates(service *catalog.Service) ([]dispatch.Candidate, limitation) {
	now := f.Now()
	names := f.Members.Names()
	maxOpen := max(1, int(connectionShare*float64(service.MaxConnections))/max(1, len(names)))
	preferred, assigned := f.preferredVersion()
	var out []dispatch.Candidate
	var limit limitation
	limitedBy := func(wait time.Duration, rateOf string) {
		if wait > 0 && (limit.wait == 0 || wait < limit.wait) {
			limit = limitation{wait, rateOf}
		}
	}
	for _, t := range f.Fleet.View().Holders(f.service, f.call.Model) {
		hasModel, hasAdapter := f.Residency.Holds(t, f.call.Model, f.call.Adapter)
		if !hasModel || !f.continues(t) || f.outlasts(t, now) {
			continue
		}
		c := dispatch.Candidate{Target: t, NeedsAdapter: !hasAdapter, ZoneUnreachable: f.Members.ZoneUnreachable(t.Zone)}
		c.OtherVersion = assigned && t.Version != preferred
		c.NewConnection = !f.Upstream.HasIdle(t.ID, t.Address)
		c.Limited = service.MaxConnections > 0 && c.NewConnection && f.Upstream.OpenConnections(t.ID, t.Address) >= maxOpen
		if f.mayBeCold(t, service, now) {
			share := f.coldShare(t.ID, service)
			if !f.Cold.HasCapacity(t.ID, share, now) {
				c.Limited = true
				limitedBy(f.Cold.TimeToCapacity(t.ID, share, now), "")
			}
		}
		if left := f.Dispatcher.QuietFor(t.ID, now); left > 0 {
			c.Limited = true
			limitedBy(left, "")
		}
		if left := f.Rates.Wait(t.ID, f.urgency(), now); left > 0 {
			c.Limited = true
			limitedBy(left, t.ID)
		}
		out = append(out, c)
	}
	f.avoidAdapterOrders(out)
	return out, limit
}

// avoidAdapterOrders leaves targets out that limit their request rate and lack the adapter
// of the call, if another one can take the call. The order to load it counts as a request.
func (f *forwarder) avoidAdapterOrders(list []dispatch.Candidate) {
	if f.call.Adapter == "" {
		return
	}
	isFree := func(c dispatch.Candidate) bool {
		return !c.Limited && !f.excluded[c.Target.ID] && !(c.NeedsAdapter && f.Rates.Limited(c.Target.ID))
	}
	if !slices.ContainsFunc(list, isFree) {
		return
	}
	for i, c := range list {
		list[i].Limited = c.Limited || !isFree(c)
	}
}

// maxConfirmShare is the share of the caller's wait within which a target must be expected to
// answer to be preferred because of its limit. The rest allows another attempt.
const maxConfirmShare = 0.5

// pickUnconfirmed picks a target whose limit of its request rate may have ended, and which
// can take the call now. Others may be a better choice for each single call, so that the end
// of the limit would stay unknown.
func (f *forwarder) pickUnconfirmed(candidates []dispatch.Candidate, service *catalog.Service, now time.Time) (dispatch.Pick, bool) {
	if f.Rates.Count() == 0 || f.sends > 0 {
		return dispatch.Pick{}, false
	}
	var list []dispatch.Candidate
	for _, c := range candidates {
		unsuitable := c.Limited || c.NeedsAdapter || c.ZoneUnreachable || c.OtherVersion
		if !unsuitable && f.Rates.Unconfirmed(c.Target.ID, now) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return dispatch.Pick{}, false
	}
	pick, ok := f.Dispatcher.Pick(list, f.query(service, now))
	longest := time.Duration(maxConfirmShare * float64(f.firstAnswerBudget(now)))
	return pick, ok && !pick.Down && pick.Expected <= longest
}

// coldShare returns the number of calls per window that this instance may send to a
// cold target. It is zero until all instances are known: before that the instance
// would take the whole limit for its own share.
func (f *forwarder) coldShare(targetID string, service *catalog.Service) int {
	if !f.Members.AllKnown() {
		return 0
	}
	return f.Cold.CallsPerWindow(targetID, service.ColdRate, f.Members.Self(), f.Members.Names(), f.Now())
}

// mayBeCold reports whether a target may be in its cold start: as announced, because its
// zone was returned to service or it refused a connection, or because this instance has
// just started and knows targets from a peer alone, which may not know of a restart. An
// engine that has started anew rejects calls until its announcement shows its models.
func (f *forwarder) mayBeCold(t *fleet.Target, service *catalog.Service, now time.Time) bool {
	if service.ColdRate <= 0 {
		return false
	}
	if now.Before(t.ColdUntil()) {
		return true
	}
	if service.Engine == nil && now.Sub(f.startedAt) < service.ColdStart+coldStartMargin && !f.TargetsConfirmed() {
		return true
	}
	since := f.Dispatcher.MayBeColdSince(t.ID)
	return !since.IsZero() && now.Sub(since) < service.ColdStart+coldStartMargin
}

// noTarget answers a call for which no target exists or holds the model.
func (f *forwarder) noTarget() {
	retry := noTargetRetryAfter
	if f.call.Model != "" {
		f.Residency.Demand(f.service, f.call.Model, f.call.Adapter, 0, true)
		if eta, ok := f.Residency.ExpectedLoad(f.service, f.call.Model); ok {
			retry = eta
		}
	}
	f.giveUp("no_target", retry)
}

// logNoTargetFree logs how many candidates were limited by a cold start or their
// connections and how many were already tried. The rest, logged as down, turned out
// not to hold the model or adapter.
func (f *forwarder) logNoTargetFree(candidates []dispatch.Candidate) {
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
	}).Info("passthrough: No target is available for the call.")
}

func (f *forwarder) logTooLate(pick dispatch.Pick, now time.Time) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "best": pick.Target.ID, "expected_ms": pick.Expected.Milliseconds(),
		"left_ms": f.deadline.Sub(now).Milliseconds(), "running": pick.Load.Running,
		"waiting_ms": pick.Load.Waiting.Milliseconds(),
	}).Info("passthrough: No target can answer in time.")
}

// adapterTimeout bounds the wait for an adapter to be loaded.
const adapterTimeout = 800 * time.Millisecond

// withAdapter requests that the adapter is loaded and picks the target that holds it.
// If that fails, it answers the call and returns false.
func (f *forwarder) withAdapter(ctx context.Context, pick dispatch.Pick, service *catalog.Service) (dispatch.Pick, bool) {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	id, err := f.Residency.EnsureAdapter(ctx, f.service, pick.Target.ID, f.call.Model, f.call.Adapter)
	if f.r.Context().Err() != nil {
		f.finish("caller_left", f.r.Context().Err())
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		f.Log.WithFields(log.Fields{"call": f.call.ID, "adapter": f.call.Model + "/" + f.call.Adapter}).WithError(err).Info("passthrough: Adapter could not be loaded.")
		f.giveUp("no_adapter", f.adapterRetryAfter())
		return dispatch.Pick{}, false
	}
	if id == pick.Target.ID {
		return pick, true
	}
	target := f.Fleet.View().Targets[id]
	if target == nil || !target.Usable() || !f.continues(target) || f.outlasts(target, f.Now()) {
		f.giveUp("no_adapter", f.adapterRetryAfter())
		return dispatch.Pick{}, false
	}
	other, ok := f.Dispatcher.Pick([]dispatch.Candidate{{Target: target}}, f.query(service, f.Now()))
	if !ok {
		f.giveUp("no_adapter", f.adapterRetryAfter())
	}
	return other, ok
}

// adapterRetryAfter returns the time after which a caller should retry a call that needs
// an adapter. Targets that carry out a move load no adapters until it ends, so an
// earlier retry would be refused again.
func (f *forwarder) adapterRetryAfter() time.Duration {
	if left, ok := f.Residency.MovesEnd(f.service, f.call.Model); ok {
		return max(left, noTargetRetryAfter)
	}
	return noTargetRetryAfter
}
