package dispatch

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// crossZoneCost is what a call to another zone has to gain: two crossings
	// and the price of its bytes.
	crossZoneCost = 8 * time.Millisecond
	// cutZoneCost speaks against targets of a zone of which nothing is heard: a
	// call there is likely to be lost.
	cutZoneCost = 400 * time.Millisecond
	// downCost speaks against a target that took no connection of this instance. It is
	// tried if no other is there: a target also resets connections while its queue is
	// long.
	downCost = 5 * time.Second
	// peerDownCost is the same for each peer that has told so, up to peersDownMost of
	// them: one alone may be the one that is cut off.
	peerDownCost  = 100 * time.Millisecond
	peersDownMost = 3
	// failureCost is the expected time lost by one failure: a caller's retry
	// waits and starts from the beginning.
	failureCost = 2 * time.Second
	// fullCost is added for a call that finds no slot or no memory and waits for
	// another to end.
	fullCost = 400 * time.Millisecond
	// plainTime is the expected time of a plain call.
	plainTime = 40 * time.Millisecond
	// absentFor is how long a target that lacked a model is believed to lack it
	// when its announcement says otherwise.
	absentFor = 700 * time.Millisecond
	// newConnectionCost is the time of a connection made for the call.
	newConnectionCost = time.Millisecond
)

// Engine bounds what one target of a service runs at once.
type Engine struct {
	Slots    int
	KVTokens int
}

// Candidate is a target that may get the call.
type Candidate struct {
	Target *fleet.Target
	// NeedsAdapter is set if the target holds the model but not the adapter yet.
	NeedsAdapter bool
	// Limited is set if the target must not get a call now, as its cold start
	// allows none.
	Limited bool
	// ZoneCut is set if no instance of the target's zone is heard.
	ZoneCut bool
	// NewConnection is set if no idle connection is there.
	NewConnection bool
}

// Query is one decision.
type Query struct {
	Work   Work
	Zone   string
	Engine Engine
	// Excluded holds targets that were tried already.
	Excluded map[string]bool
	Now      time.Time
}

// Pick is the outcome of a decision.
type Pick struct {
	Target *fleet.Target
	// NeedsAdapter is set if the adapter has to be loaded first.
	NeedsAdapter bool
	// Expected is the time until the first answer; Cost the part of it that is
	// the call's own.
	Expected time.Duration
	Cost     time.Duration
	// Score is Expected with what speaks against the target.
	Score time.Duration
	// CacheTokens is the memory of the target for prompt parts.
	CacheTokens int
	// Load is what the decision took as the target's load.
	Load Load
	// KeptTokens is the part of the prompt that the target is believed to keep.
	KeptTokens int
}

// Pick returns the candidate that answers first, all told, or false if none may
// get the call.
func (b *Dispatcher) Pick(candidates []Candidate, q Query) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Pick
	found := false
	for _, c := range candidates {
		if c.Limited || q.Excluded[c.Target.ID] {
			continue
		}
		s := b.state(c.Target.ID)
		if s.lacks(q) {
			continue
		}
		p := b.score(c, s, q)
		if !found || p.Score < best.Score {
			best, found = p, true
		}
	}
	return best, found
}

func (s *targetState) lacks(q Query) bool {
	at, ok := s.absent[q.Work.Model+"/"+q.Work.Adapter]
	return ok && q.Now.Sub(at) < absentFor
}

// score requires b.mu.
func (b *Dispatcher) score(c Candidate, s *targetState, q Query) Pick {
	p := Pick{Target: c.Target, NeedsAdapter: c.NeedsAdapter, Load: s.load(q.Now), CacheTokens: defaultCacheTokens}
	slow := max(1, s.slowness.read(q.Now, 1, slownessHalfLife))
	if q.Work.Model == "" {
		p.scorePlain(q, c.Target.Slots)
	} else {
		p.CacheTokens = int(cacheShare * float64(q.Engine.KVTokens))
		p.KeptTokens = s.cache.kept(q.Work.keys, q.Work.Parts)
		p.Cost = b.readTime(q.Work, p.KeptTokens)
		p.Expected = time.Duration(slow * float64(p.Load.Waiting+p.Cost))
		p.scoreFull(q)
	}
	p.Score += p.Expected + time.Duration(s.failures.read(q.Now, 0, failureHalfLife)*float64(failureCost))
	if q.Now.Before(s.downUntil) {
		p.Score += downCost
	} else {
		p.Score += peerDownCost * time.Duration(min(s.peersFailing(q.Now), peersDownMost))
	}
	if c.Target.Zone != q.Zone {
		p.Score += crossZoneCost
	}
	if c.ZoneCut {
		p.Score += cutZoneCost
	}
	if c.NewConnection {
		p.Score += newConnectionCost
	}
	if c.NeedsAdapter {
		p.Score += adapterCost
	}
	return p
}

// adapterCost is the time of an adapter's load and the order for it.
const adapterCost = 25 * time.Millisecond

// readTime requires b.mu. It returns how long an idle engine takes to the first
// token.
func (b *Dispatcher) readTime(w Work, kept int) time.Duration {
	tokens := max(0, w.PromptTokens-kept)
	return firstStep + time.Duration(float64(tokens)*b.times.of(w.Model))
}

// scorePlain estimates a target that runs one call a slot.
func (p *Pick) scorePlain(q Query, slots int) {
	slots = max(1, slots)
	p.Cost = plainTime / time.Duration(slots)
	p.Expected = plainTime
	if over := p.Load.Running + 1 - slots; over > 0 {
		p.Expected += plainTime * time.Duration(over) / time.Duration(slots)
	}
	// Spreads calls over targets before they are full.
	p.Score += plainTime * time.Duration(p.Load.Running) / time.Duration(2*slots)
}

// scoreFull adds the wait for a slot or for memory.
func (p *Pick) scoreFull(q Query) {
	if q.Engine.Slots > 0 && p.Load.Running >= q.Engine.Slots {
		p.Expected += fullCost * time.Duration(1+p.Load.Running-q.Engine.Slots) / time.Duration(4)
	}
	need := q.Work.PromptTokens + q.Work.OutputTokens
	if q.Engine.KVTokens > 0 && p.Load.Tokens+need > q.Engine.KVTokens {
		over := float64(p.Load.Tokens+need-q.Engine.KVTokens) / float64(max(1, need))
		p.Expected += time.Duration(over * float64(fullCost))
	}
}

// MayBeColdSince returns when the target may have turned cold without a word;
// zero if never.
func (b *Dispatcher) MayBeColdSince(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[id]; s != nil {
		return s.coldFrom
	}
	return time.Time{}
}
