package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// crashesToQuarantine is the number of target runs that must have ended under a part for
	// its quarantine, or under a request for its trial.
	crashesToQuarantine = 3
	// crashSpacing is the time within which several crashes count as one: a rack or zone is
	// lost at once, and no answer can arrive in between.
	crashSpacing = 250 * time.Millisecond
	// firstQuarantine is the length of the first quarantine of a suspect, from its last crash.
	// Each further one lasts twice as long as the one before, at most maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxCrashes bounds the crashes that are kept for a suspect.
	maxCrashes = 24
	// depthOfRequest is the depth of a request: more calls share a part of its prompt than the
	// request. It is the other way round if the prompt tells what is asked for.
	depthOfRequest         = 1 << 16
	depthOfRequestInPrompt = -1
)

// crash is the end of a target run under a suspect.
type crash struct {
	run Run
	// at is the earliest known time of the crash. A delayed message makes it too late.
	at time.Time
	// cleared is set if an answer to a call with the suspect ended after the crash.
	cleared bool
	// onTrial is set if the call was the trial of a request.
	onTrial bool
}

func (c crash) compare(d crash) int {
	return cmp.Or(c.at.Compare(d.at), strings.Compare(c.run.TargetID, d.run.TargetID), cmp.Compare(c.run.BornMS, d.run.BornMS))
}

// verdict is what follows for a suspect. Its level counts the quarantines.
type verdict struct {
	level int
	until time.Time
	// onTrial is set if calls with the suspect, a request, need a grant while it is not
	// quarantined: enough targets crashed under it, but another call may be the cause.
	onTrial bool
}

// suspect is a part of a prompt or a request, under which targets crashed.
type suspect struct {
	id uint64
	// head is the Head of a request, 0 if the suspect is a part of a prompt.
	head uint64
	// depth is the highest position of the part in a prompt, or that of a request.
	depth int
	// crashes are sorted by time.
	crashes []crash
	// triedAt is when the last trial of a request began, trials the number of those that
	// reached a target. Of two that instances know, the higher one counts.
	triedAt time.Time
	trials  int
	verdict
}

// merge adds what is known of a crash. It reports whether the crash was new and whether
// anything changed.
func (p *suspect) merge(c crash) (added, changed bool) {
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
	if c.onTrial && !known.onTrial {
		known.onTrial, changed = true, true
	}
	if changed {
		slices.SortFunc(p.crashes, crash.compare)
	}
	return false, changed
}

// mergeTrials adds what is known of trials.
func (p *suspect) mergeTrials(triedAt time.Time, trials int) {
	if triedAt.After(p.triedAt) {
		p.triedAt = triedAt
	}
	p.trials = max(p.trials, trials)
}

// compact keeps the number of crashes within its bound. It removes cleared crashes first,
// then those that do not affect the verdict.
func (p *suspect) compact() {
	if len(p.crashes) <= maxCrashes {
		return
	}
	if i := slices.IndexFunc(p.crashes, func(c crash) bool { return c.cleared }); i >= 0 {
		p.crashes = slices.Delete(p.crashes, i, i+1)
		return
	}
	if i := slices.IndexFunc(p.crashes, func(c crash) bool { return !c.onTrial }); p.isRequest() && i >= 0 {
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
func (p *suspect) clear(at time.Time) bool {
	cleared := false
	for i := range p.crashes {
		if c := &p.crashes[i]; !c.cleared && !c.at.After(at) {
			c.cleared, cleared = true, true
		}
	}
	return cleared
}

// open returns the number of crashes that are not cleared.
func (p *suspect) open() int {
	n := 0
	for _, c := range p.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

func (p *suspect) isRequest() bool { return p.head != 0 }

// held reports whether calls with the suspect are refused, or need a grant.
func (p *suspect) held() bool { return p.level > 0 || p.onTrial }

func (p *suspect) last() crash { return p.crashes[len(p.crashes)-1] }

// goesBefore reports whether the suspect is removed before another one: those with the
// fewest open crashes first, then those whose last crash is older.
func (p *suspect) goesBefore(q *suspect) bool {
	return cmp.Or(cmp.Compare(p.open(), q.open()), p.last().at.Compare(q.last().at)) < 0
}

func (p *suspect) expired(now time.Time) bool {
	last := p.last().at
	switch {
	case p.level > 0:
		return now.Sub(p.until) > probation
	case p.open() == 0:
		return now.Sub(last) > settledRetention
	case p.isRequest() && !p.onTrial:
		return now.Sub(last) > requestRetention
	}
	return now.Sub(last) > suspicionRetention
}

// foldTrials returns the verdict on a request on trial that follows from its crashes, sorted
// by time. Each crash on trial is a quarantine.
func foldTrials(crashes []crash) verdict {
	v := verdict{onTrial: true}
	for _, c := range crashes {
		if c.onTrial && !c.cleared {
			v.level++
			v.until = c.at.Add(duration(v.level))
		}
	}
	return v
}

// fold returns the verdict on a part that follows from crashes, sorted by time, without those
// that are cleared or explained. explained may be nil.
func fold(crashes []crash, explained func(Run) bool) verdict {
	var v verdict
	var counted int
	var countedAt time.Time
	for _, c := range crashes {
		switch {
		case c.cleared || explained != nil && explained(c.run):
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

// judge returns the verdict on each suspect that is or was quarantined, or is on trial. A
// crash is held against the deepest suspect alone if that suffices for it: those before it
// are shared by more calls.
func judge(suspects map[uint64]*suspect) map[uint64]verdict {
	var candidates []*suspect
	for _, p := range suspects {
		if p.open() >= crashesToQuarantine && (p.depth == depthOfRequest || fold(p.crashes, nil).level > 0) {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(p, q *suspect) int {
		return cmp.Or(cmp.Compare(q.depth, p.depth), cmp.Compare(p.id, q.id))
	})
	out := make(map[uint64]verdict, len(candidates))
	explained := make(map[Run]bool)
	requests := requestsOfRuns(suspects)
	for _, p := range candidates {
		if p.isRequest() {
			if p.depth == depthOfRequest || fold(p.crashes, func(r Run) bool { return explained[r] }).level > 0 {
				out[p.id] = foldTrials(p.crashes)
			}
			continue
		}
		v := fold(p.crashes, explainedFor(explained, requests))
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

// explainedFor returns a function that reports whether a crash is explained for a part. The
// crashes of one request count once: a part that is the cause crashes targets under others
// too.
func explainedFor(explained map[Run]bool, requests map[Run]uint64) func(Run) bool {
	counted := make(map[uint64]bool)
	return func(r Run) bool {
		if explained[r] {
			return true
		}
		request, ok := requests[r]
		if !ok {
			return false
		}
		again := counted[request]
		counted[request] = true
		return again
	}
}

// requestsOfRuns returns the requests under which several runs ended, by run.
// A run that ended under several of them is of the one with the most crashes.
func requestsOfRuns(suspects map[uint64]*suspect) map[Run]uint64 {
	var requests []*suspect
	for _, p := range suspects {
		if p.depth == depthOfRequest && p.open() > 1 {
			requests = append(requests, p)
		}
	}
	slices.SortFunc(requests, func(p, q *suspect) int {
		return cmp.Or(cmp.Compare(q.open(), p.open()), cmp.Compare(p.id, q.id))
	})
	out := make(map[Run]uint64)
	for _, p := range requests {
		for _, c := range p.crashes {
			if _, known := out[c.run]; !known && !c.cleared {
				out[c.run] = p.id
			}
		}
	}
	return out
}
