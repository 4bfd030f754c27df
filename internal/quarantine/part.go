package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// crashesToQuarantine is the number of target runs that must have ended under a part.
	crashesToQuarantine = 3
	// crashSpacing is the time within which several crashes count as one: a rack or zone is
	// lost at once, and no answer can arrive in between.
	crashSpacing = 250 * time.Millisecond
	// firstQuarantine is the length of the first quarantine of a part, from its last crash.
	// Each further one lasts twice as long as the one before, at most maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxCrashes bounds the crashes that are kept for a part.
	maxCrashes = 24
)

// crash is the end of a target run under a part.
type crash struct {
	run Run
	// at is the earliest known time of the crash. A delayed message makes it too late.
	at time.Time
	// cleared is set if an answer to a call with the part ended after the crash.
	cleared bool
}

func (c crash) compare(d crash) int {
	return cmp.Or(c.at.Compare(d.at), strings.Compare(c.run.TargetID, d.run.TargetID), cmp.Compare(c.run.BornMS, d.run.BornMS))
}

// verdict is the quarantine of a part. Its level counts the quarantines.
type verdict struct {
	level int
	until time.Time
}

// part is a prompt part under which targets crashed.
type part struct {
	id uint64
	// depth is the highest position of the part in a prompt.
	depth int
	// crashes are sorted by time.
	crashes []crash
	verdict
}

// merge adds what is known of a crash. It reports whether the crash was new and whether
// anything changed.
func (p *part) merge(c crash) (added, changed bool) {
	i := slices.IndexFunc(p.crashes, func(d crash) bool { return d.run == c.run })
	if i < 0 {
		p.crashes = append(p.crashes, c)
		slices.SortFunc(p.crashes, crash.compare)
		p.compact()
		return true, true
	}
	known := &p.crashes[i]
	if c.at.Before(known.at) {
		known.at, changed = c.at, true
	}
	if c.cleared && !known.cleared {
		known.cleared, changed = true, true
	}
	if changed {
		slices.SortFunc(p.crashes, crash.compare)
	}
	return false, changed
}

// compact keeps the number of crashes within its bound. It removes cleared crashes first,
// then those that do not affect the verdict.
func (p *part) compact() {
	if len(p.crashes) <= maxCrashes {
		return
	}
	if i := slices.IndexFunc(p.crashes, func(c crash) bool { return c.cleared }); i >= 0 {
		p.crashes = slices.Delete(p.crashes, i, i+1)
		return
	}
	full := fold(p.crashes, nil)
	for i := range p.crashes {
		if rest := slices.Delete(slices.Clone(p.crashes), i, i+1); fold(rest, nil) == full {
			p.crashes = rest
			return
		}
	}
	p.crashes = slices.Delete(p.crashes, 0, 1)
}

// clear clears the crashes that an answer at the time at disproves. It reports whether it
// cleared any.
func (p *part) clear(at time.Time) bool {
	cleared := false
	for i := range p.crashes {
		if c := &p.crashes[i]; !c.cleared && !c.at.After(at) {
			c.cleared, cleared = true, true
		}
	}
	return cleared
}

// open returns the number of crashes that are not cleared.
func (p *part) open() int {
	n := 0
	for _, c := range p.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

func (p *part) last() crash { return p.crashes[len(p.crashes)-1] }

// goesBefore reports whether the part is removed before another one: those without open
// crashes first, then those whose last crash is older.
func (p *part) goesBefore(q *part) bool {
	if settled := p.open() == 0; settled != (q.open() == 0) {
		return settled
	}
	return p.last().at.Before(q.last().at)
}

func (p *part) expired(now time.Time) bool {
	last := p.last().at
	switch {
	case p.level > 0:
		return now.Sub(p.until) > probation
	case p.open() == 0:
		return now.Sub(last) > settledRetention
	}
	return now.Sub(last) > suspicionRetention
}

// fold returns the verdict that follows from crashes, sorted by time, without those that
// are cleared or explained.
func fold(crashes []crash, explained map[Run]bool) verdict {
	var v verdict
	var counted int
	var countedAt time.Time
	for _, c := range crashes {
		switch {
		case c.cleared || explained[c.run]:
		case v.level > 0 && c.at.Before(v.until):
			v.until = c.at.Add(duration(v.level))
		case v.level > 0:
			v.level++
			v.until = c.at.Add(duration(v.level))
		case counted > 0 && c.at.Sub(countedAt) < crashSpacing:
		default:
			counted++
			countedAt = c.at
			if counted == crashesToQuarantine {
				v = verdict{level: 1, until: c.at.Add(duration(1))}
			}
		}
	}
	return v
}

// duration returns the length of a quarantine.
func duration(level int) time.Duration {
	d := firstQuarantine
	for range level - 1 {
		if d *= 2; d >= maxQuarantine {
			return maxQuarantine
		}
	}
	return d
}

// judge returns the verdict on each part that is or was quarantined. A crash is held
// against the deepest part alone if that suffices for its quarantine: the parts before it
// are shared by more calls.
func judge(parts map[uint64]*part) map[uint64]verdict {
	var candidates []*part
	for _, p := range parts {
		if p.open() >= crashesToQuarantine && fold(p.crashes, nil).level > 0 {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(p, q *part) int {
		return cmp.Or(cmp.Compare(q.depth, p.depth), cmp.Compare(p.id, q.id))
	})
	out := make(map[uint64]verdict, len(candidates))
	explained := make(map[Run]bool)
	for _, p := range candidates {
		v := fold(p.crashes, explained)
		if v.level == 0 {
			continue
		}
		out[p.id] = v
		for _, c := range p.crashes {
			if !c.cleared {
				explained[c.run] = true
			}
		}
	}
	return out
}
