package dispatch

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/zones"
)

const (
	// crossZoneCost is the cost of a call to another zone: two crossings of the
	// zone boundary and the price of the traffic.
	crossZoneCost = 8 * time.Millisecond
	// cutZonePenalty is added for targets of a zone whose instances are all
	// unreachable, because a call there is likely to be lost.
	cutZonePenalty = 400 * time.Millisecond
	// downPenalty is added for a target that accepted no connection from this
	// instance. The target is still used if there is no other, because targets also
	// reset connections while their queue is long.
	downPenalty = 5 * time.Second
	// peerDownPenalty is added for each peer that reports the target as down, for at
	// most maxPeersDown peers. It is small because a single peer may itself be cut
	// off.
	peerDownPenalty = 100 * time.Millisecond
	maxPeersDown    = 3
	// failureCost is the expected time lost by one failure: the caller waits before
	// it retries, and the retry starts from the beginning.
	failureCost = 2 * time.Second
	// queueWait scales the estimated wait of a call that finds no free slot or memory
	// until another call ends: a quarter of it for each call in excess of the slots,
	// and its product with the missing memory over the memory that the call needs.
	queueWait = 400 * time.Millisecond
	// plainCallTime is the expected duration of a call without a model.
	plainCallTime = 40 * time.Millisecond
	// notHeldTTL is how long a target that did not hold a model or adapter is
	// skipped for it, even if its announcement lists it.
	notHeldTTL = 700 * time.Millisecond
	// otherVersionPenalty is added for targets of another version than the assigned one: a
	// process that has just started cannot tell that such a stream began there.
	otherVersionPenalty = 150 * time.Millisecond
	// newConnectionCost is the time to open a connection for the call.
	newConnectionCost = time.Millisecond
)

// Engine is the capacity of each target of a service.
type Engine struct {
	Slots    int
	KVTokens int
}

// Candidate is a target that may get the call.
type Candidate struct {
	Target *fleet.Target
	// NeedsAdapter is set if the target holds the model but not the adapter yet.
	NeedsAdapter bool
	// Limited is set if the target must not get a call now because of the limit of
	// its cold start or of its connections.
	Limited bool
	// ZoneUnreachable is set if the target's zone has instances and none of them is reachable.
	ZoneUnreachable bool
	// OtherVersion is set if new streams are assigned to another software version.
	OtherVersion bool
	// NewConnection is set if there is no idle connection to the target.
	NewConnection bool
}

// Query is the input of one decision, besides its candidates.
type Query struct {
	Work   Work
	Zone   string
	Engine Engine
	// Excluded holds the IDs of targets that were already tried.
	Excluded map[string]bool
	Now      time.Time
	// TargetLatency is that of the route, 0 if it has none. BodyBytes is the size of the
	// request's body. Both matter only after UseZones.
	TargetLatency time.Duration
	BodyBytes     int
}

// Pick is the outcome of a decision.
type Pick struct {
	Target *fleet.Target
	// NeedsAdapter is set if the adapter has to be loaded first.
	NeedsAdapter bool
	// Expected is the estimated time until the first answer. Cost is the part of it
	// that this call itself causes, before the target's slowness is applied.
	Expected time.Duration
	Cost     time.Duration
	// Wait is the part of Expected that other calls cause; 0 for calls without a model.
	Wait time.Duration
	// Score is Expected plus penalties. The lowest score wins.
	Score time.Duration
	// Penalty is the part of Score for failures and refused connections.
	Penalty time.Duration
	// CacheCapacityTokens is the target's memory for cached prompt prefixes.
	CacheCapacityTokens int
	// Down is set if the target lately accepted no connection from this instance.
	Down bool
	// Load is the target's load at the time of the decision.
	Load Load
	// CachedTokens is the estimated number of prompt tokens in the target's cache.
	CachedTokens int
	// LeavesZone is why the call leaves the zone of the query. It is set only after UseZones.
	LeavesZone zones.Reason

	// tokens is the memory that the call occupies at the target.
	tokens int

	paced
}

// Pick returns the candidate with the lowest score, or false if no candidate may
// get the call. On a tie the first candidate wins. After UseSpread it may return another one.
func (d *Dispatcher) Pick(candidates []Candidate, q Query) (Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(candidates, q, nil)
}

// pick is Pick. It offers the candidates that PickIdle considers to idle, unless that is nil.
// It requires d.mu.
func (d *Dispatcher) pick(candidates []Candidate, q Query, idle *Pick) (Pick, bool) {
	if d.zones != nil {
		return d.pickByZone(candidates, q, idle)
	}
	if d.spread != nil {
		if instances, viewAge := d.spread.view(q.Now); instances > 1 {
			return d.pickSpread(candidates, q, instances, viewAge, idle)
		}
	}
	var best Pick
	found := false
	var p Pick
	for i := range candidates {
		if !d.consider(&candidates[i], &q, &p) {
			continue
		}
		if !found || p.Score < best.Score {
			best, found = p, true
		}
		idle.offerIdle(&candidates[i], &p)
	}
	return best, found
}

// lacks reports whether the target recently did not hold the model and adapter.
func (s *targetState) lacks(q *Query) bool {
	if len(s.notHeldAt) == 0 {
		return false
	}
	at, ok := s.notHeldAt[q.Work.Model+"/"+q.Work.Adapter]
	return ok && q.Now.Sub(at) < notHeldTTL
}

// score estimates the time to the first answer and adds the penalties. It requires
// d.mu.
func (d *Dispatcher) score(c *Candidate, s *targetState, q *Query, p *Pick) {
	d.scoreAt(c, s, q, s.load(q.Now), p)
}

// scoreAt is score at a load of the target. It requires d.mu.
func (d *Dispatcher) scoreAt(c *Candidate, s *targetState, q *Query, load Load, p *Pick) {
	*p = Pick{Target: c.Target, NeedsAdapter: c.NeedsAdapter, Load: load, CacheCapacityTokens: defaultCacheTokens}
	p.tokens = q.Work.tokens(q.Engine.KVTokens)
	reports := s.pace.known(q.Now)
	if q.Work.Model == "" {
		// All targets are compared by the same time: with the default, one that has just started
		// and has not reported its pace would get all calls of a service of long calls.
		callTime := d.times.callTime(c.Target.Service, q.Now)
		p.scorePlain(callTime, c.Target.Slots)
		if reports {
			p.applyReported(&s.pace, max(1, c.Target.Slots), callTime/time.Duration(max(1, c.Target.Slots)), q.Now)
		}
	} else {
		p.CacheCapacityTokens = int(cacheShare * float64(q.Engine.KVTokens))
		p.CachedTokens = s.cache.cachedTokens(q.Work.prefixKeys, q.Work.Parts)
		p.Cost = d.prefillTime(&q.Work, p.CachedTokens, q.Engine.KVTokens)
		if p.Expected = p.Load.Waiting + p.Cost; reports {
			p.applyReported(&s.pace, q.Engine.Slots, queueWait/4, q.Now)
		} else {
			slowness := max(1, s.slowness.current(q.Now, 1, slownessHalfLife))
			p.Expected = time.Duration(slowness * float64(p.Expected))
		}
		own := time.Duration(float64(p.Expected) * float64(p.Cost) / float64(p.Load.Waiting+p.Cost))
		p.addQueueWait(q)
		p.Wait = p.Expected - own
	}
	p.Penalty = time.Duration(s.failureRate.current(q.Now, 0, failureHalfLife) * float64(failureCost))
	if p.Down = q.Now.Before(s.downUntil); p.Down {
		p.Penalty += downPenalty
	} else {
		p.Penalty += peerDownPenalty * time.Duration(min(s.peersDown(q.Now), maxPeersDown))
	}
	p.Score += p.Expected + p.Penalty
	if c.Target.Zone != q.Zone {
		p.Score += d.crossing(q)
	}
	if c.ZoneUnreachable {
		p.Score += cutZonePenalty
	}
	if c.NewConnection {
		p.Score += newConnectionCost
	}
	if c.NeedsAdapter {
		p.Score += adapterCost
	}
	if c.OtherVersion {
		p.Score += otherVersionPenalty
	}
}

// adapterCost is the time to order and load an adapter.
const adapterCost = 25 * time.Millisecond

// prefillTime returns the time that an idle engine with a memory of the given size needs
// until the first token. It requires d.mu.
func (d *Dispatcher) prefillTime(w *Work, cached, memory int) time.Duration {
	tokens := max(0, call.BoundTokens(w.PromptTokens, memory)-cached)
	return firstTokenStepTime + time.Duration(min(float64(tokens)*d.times.estimate(w.Model), float64(maxEstimate)))
}

// scorePlain estimates the time at a target that runs one call per slot.
func (p *Pick) scorePlain(callTime time.Duration, slots int) {
	slots = max(1, slots)
	p.Cost = callTime / time.Duration(slots)
	p.Expected = callTime
	if over := p.Load.Running + 1 - slots; over > 0 {
		p.Expected += callTime * time.Duration(over) / time.Duration(slots)
	}
	// This term spreads calls over targets that still have free slots.
	p.Score += callTime * time.Duration(p.Load.Running) / time.Duration(2*slots)
}

// addQueueWait adds the estimated wait for a free slot and for memory.
func (p *Pick) addQueueWait(q *Query) {
	if q.Engine.Slots > 0 && p.Load.Running >= q.Engine.Slots {
		p.Expected += queueWait * time.Duration(1+p.Load.Running-q.Engine.Slots) / time.Duration(4)
	}
	if used := call.AddTokens(p.Load.Tokens, p.tokens); q.Engine.KVTokens > 0 && used > q.Engine.KVTokens {
		over := float64(used-q.Engine.KVTokens) / float64(max(1, p.tokens))
		p.Expected += time.Duration(min(over*float64(queueWait), float64(maxEstimate)))
	}
}

// MayBeColdSince returns when the target may have become cold without announcing
// it, or the zero time if there is no such suspicion.
func (d *Dispatcher) MayBeColdSince(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.targets[id]; s != nil {
		return s.mayBeColdSince
	}
	return time.Time{}
}
