package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxChanged bounds the changed parts of one update; the rest follows in the next.
	maxChanged = 64
	// maxRepeated bounds the parts that one full update repeats, for peers that missed an
	// update. Full updates repeat all parts in turn.
	maxRepeated = 16
	// maxPartsInMessage and maxCrashesInMessage bound what is taken from one message.
	maxPartsInMessage   = maxParts
	maxCrashesInMessage = 2 * maxCrashes
)

// Suspicion is what an instance knows of the crashes under one part.
type Suspicion struct {
	Part    uint64        `msgpack:"p" json:"part,string"`
	Depth   int           `msgpack:"d,omitempty" json:"depth"`
	Crashes []CrashReport `msgpack:"c" json:"crashes"`
}

// CrashReport is a crash in a message.
type CrashReport struct {
	TargetID string `msgpack:"t" json:"target"`
	BornMS   int64  `msgpack:"b,omitempty" json:"born_ms"`
	// AgoUS is the age of the crash when the message was made, in microseconds.
	AgoUS   int64 `msgpack:"a" json:"ago_us"`
	Cleared bool  `msgpack:"x,omitempty" json:"cleared,omitempty"`
}

// Pending reports whether there are changes to send to the peers.
func (t *Tracker) Pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.changed) > 0
}

// TakeUpdates returns what changed here since the last use. With full set, it also returns
// some of the other parts, all of them in turn.
func (t *Tracker) TakeUpdates(full bool, now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspicion
	for id := range t.changed {
		if len(out) == maxChanged {
			break
		}
		delete(t.changed, id)
		out = append(out, t.parts[id].suspicion(now))
	}
	if !full || len(t.parts) == 0 {
		return out
	}
	ids := slices.Sorted(maps.Keys(t.parts))
	next, _ := slices.BinarySearch(ids, t.rotation)
	for range min(maxRepeated, len(ids)) {
		id := ids[next%len(ids)]
		next++
		out = append(out, t.parts[id].suspicion(now))
		t.rotation = id + 1
	}
	return out
}

// All returns everything that is known, for an instance that starts.
func (t *Tracker) All(now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspicion
	for _, p := range t.parts {
		out = append(out, p.suspicion(now))
	}
	return out
}

// Revision returns a number that rises whenever a quarantine begins or is lifted.
func (t *Tracker) Revision() uint64 { return t.revision.Load() }

// Quarantined returns what is known of the quarantined parts, the newest quarantine first,
// and the revision.
func (t *Tracker) Quarantined(now time.Time) ([]Suspicion, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []*part
	for _, p := range t.parts {
		if p.level > 0 {
			held = append(held, p)
		}
	}
	slices.SortFunc(held, func(p, q *part) int { return q.until.Compare(p.until) })
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
	for _, s := range list[:min(len(list), maxPartsInMessage)] {
		for _, r := range s.Crashes[:min(len(s.Crashes), maxCrashesInMessage)] {
			c := crash{run: Run{r.TargetID, r.BornMS}, at: now.Add(-time.Duration(max(0, r.AgoUS)) * time.Microsecond), cleared: r.Cleared}
			judge = t.add(s.Part, s.Depth, c, sourcePeer) || judge
		}
	}
	if judge {
		t.judge(now)
	}
}

func (p *part) suspicion(now time.Time) Suspicion {
	s := Suspicion{Part: p.id, Depth: p.depth}
	for _, c := range p.crashes {
		s.Crashes = append(s.Crashes, CrashReport{c.run.TargetID, c.run.BornMS, now.Sub(c.at).Microseconds(), c.cleared})
	}
	return s
}
