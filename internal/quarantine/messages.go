package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxChanged bounds the changed suspects of one update; the rest follows in the next.
	maxChanged = 64
	// maxRepeated bounds the suspects that one full update repeats, for peers that missed an
	// update, and maxRepeatedHeld those among them that are quarantined or on trial. Full
	// updates repeat all in turn, but for requests with a single crash.
	maxRepeated     = 16
	maxRepeatedHeld = 8
	// maxSuspectsInMessage and maxCrashesInMessage bound what is taken from one message.
	maxSuspectsInMessage = 2 * maxSuspects
	maxCrashesInMessage  = 2 * maxCrashes
)

// Suspicion is what an instance knows of the crashes under one suspect.
type Suspicion struct {
	// Part is the ID of a part of a prompt, or of a request.
	Part uint64 `msgpack:"p" json:"part,string"`
	// Head is the Head of a request, 0 for a part of a prompt.
	Head    uint64        `msgpack:"h,omitempty" json:"head,string,omitempty"`
	Depth   int           `msgpack:"d,omitempty" json:"depth"`
	Crashes []CrashReport `msgpack:"c" json:"crashes"`
	// TriedAgoUS is the age of the last trial of a request, in microseconds, 0 if there was
	// none. Trials is the number of trials that reached a target.
	TriedAgoUS int64 `msgpack:"ta,omitempty" json:"tried_ago_us,omitempty"`
	Trials     int   `msgpack:"tn,omitempty" json:"trials,omitempty"`
}

// CrashReport is a crash in a message.
type CrashReport struct {
	TargetID string `msgpack:"t" json:"target"`
	BornMS   int64  `msgpack:"b,omitempty" json:"born_ms"`
	// AgoUS is the age of the crash when the message was made, in microseconds.
	AgoUS   int64 `msgpack:"a" json:"ago_us"`
	Cleared bool  `msgpack:"x,omitempty" json:"cleared,omitempty"`
	// OnTrial is set if the call was the trial of a request.
	OnTrial bool `msgpack:"y,omitempty" json:"on_trial,omitempty"`
}

// Age adds the time since the suspicion was made to the ages in it.
func (s *Suspicion) Age(by time.Duration) {
	for i := range s.Crashes {
		s.Crashes[i].AgoUS += by.Microseconds()
	}
	if s.TriedAgoUS > 0 {
		s.TriedAgoUS += by.Microseconds()
	}
}

// Pending reports whether there are changes to send to the peers.
func (t *Tracker) Pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.changed) > 0
}

// TakeUpdates returns what changed here since the last use, suspects with the most crashes
// first. With full set, it also returns some of the other suspects, all of them in turn.
func (t *Tracker) TakeUpdates(full bool, now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := slices.SortedFunc(maps.Keys(t.changed), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.suspects[b].open(), t.suspects[a].open()), cmp.Compare(a, b))
	})
	var out []Suspicion
	for _, id := range changed[:min(len(changed), maxChanged)] {
		delete(t.changed, id)
		out = append(out, t.suspects[id].suspicion(now))
	}
	if !full || len(t.suspects) == 0 {
		return out
	}
	var held, others []uint64
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		switch p := t.suspects[id]; {
		case p.held():
			held = append(held, id)
		case !p.isRequest() || p.open() > 1:
			others = append(others, id)
		}
	}
	out = t.appendInTurn(out, held, &t.heldRotation, maxRepeatedHeld, now)
	return t.appendInTurn(out, others, &t.otherRotation, maxRepeated-min(len(held), maxRepeatedHeld), now)
}

// appendInTurn appends up to count of the suspects with the sorted IDs, from the rotation
// on, and moves the rotation. It requires t.mu.
func (t *Tracker) appendInTurn(out []Suspicion, ids []uint64, rotation *uint64, count int, now time.Time) []Suspicion {
	next, _ := slices.BinarySearch(ids, *rotation)
	for range min(count, len(ids)) {
		id := ids[next%len(ids)]
		next++
		out = append(out, t.suspects[id].suspicion(now))
		*rotation = id + 1
	}
	return out
}

// All returns everything that is known of parts of prompts, for an instance that starts.
func (t *Tracker) All(now time.Time) []Suspicion {
	return t.list(now, func(p *suspect) bool { return !p.isRequest() })
}

// Requests returns everything that is known of requests, for an instance that starts.
func (t *Tracker) Requests(now time.Time) []Suspicion {
	return t.list(now, (*suspect).isRequest)
}

func (t *Tracker) list(now time.Time, include func(*suspect) bool) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspicion
	for _, p := range t.suspects {
		if include(p) {
			out = append(out, p.suspicion(now))
		}
	}
	return out
}

// Revision returns a number that rises whenever a quarantine or trial begins or ends before
// its time.
func (t *Tracker) Revision() uint64 { return t.revision.Load() }

// Held returns what is known of the suspects that are quarantined or on trial, the latest
// quarantine and then the latest crash first, and the revision.
func (t *Tracker) Held(now time.Time) ([]Suspicion, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []*suspect
	for _, p := range t.suspects {
		if p.held() {
			held = append(held, p)
		}
	}
	slices.SortFunc(held, func(p, q *suspect) int {
		return cmp.Or(q.until.Compare(p.until), q.last().at.Compare(p.last().at))
	})
	var out []Suspicion
	for _, p := range held {
		out = append(out, p.suspicion(now))
	}
	return out, t.revision.Load()
}

// Merge applies what a peer knows.
func (t *Tracker) Merge(list []Suspicion, now time.Time) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	judge := false
	for _, s := range list[:min(len(list), maxSuspectsInMessage)] {
		for _, r := range s.Crashes[:min(len(s.Crashes), maxCrashesInMessage)] {
			c := crash{run: Run{r.TargetID, r.BornMS}, at: now.Add(-time.Duration(max(0, r.AgoUS)) * time.Microsecond), cleared: r.Cleared, onTrial: r.OnTrial}
			judge = t.add(suspect{id: s.Part, head: s.Head, depth: s.Depth}, c, sourcePeer) || judge
		}
		if p := t.suspects[s.Part]; p != nil && s.TriedAgoUS > 0 {
			p.mergeTrials(now.Add(-time.Duration(s.TriedAgoUS)*time.Microsecond), s.Trials)
		}
	}
	if judge {
		t.judge(now)
	}
}

func (p *suspect) suspicion(now time.Time) Suspicion {
	s := Suspicion{Part: p.id, Head: p.head, Depth: p.depth, Trials: p.trials}
	if !p.triedAt.IsZero() {
		s.TriedAgoUS = max(1, now.Sub(p.triedAt).Microseconds())
	}
	for _, c := range p.crashes {
		s.Crashes = append(s.Crashes, CrashReport{c.run.TargetID, c.run.BornMS, now.Sub(c.at).Microseconds(), c.cleared, c.onTrial})
	}
	return s
}
