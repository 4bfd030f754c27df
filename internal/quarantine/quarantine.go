// Package quarantine finds prompt parts and requests that crash the targets that answer
// them, and quarantines them. Instances exchange what they have seen. The state merges in any
// order, and the verdict on a suspect follows from the state alone.
package quarantine

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// maxSuspects bounds the parts and requests that are tracked.
	maxSuspects = 1024
	// maxPartsPerCall bounds the parts of one call that a crash is attributed to.
	maxPartsPerCall = 64
	// settledRetention is how long a suspect is kept whose crashes are all cleared, so that a
	// late message cannot bring them back.
	settledRetention = time.Minute
	// suspicionRetention is how long a part that was never quarantined is kept, and a request
	// on trial.
	suspicionRetention = time.Hour
	// requestRetention is how long another request is kept. Each crash leaves one for each
	// call that was under way.
	requestRetention = 10 * time.Minute
	// probation is how long a suspect is kept after the end of its quarantine.
	probation = 24 * time.Hour
)

// Run is one process lifetime of a target.
type Run struct {
	TargetID string
	// BornMS is the start time of the run, in Unix milliseconds by the target's clock.
	BornMS int64
}

// Tracker knows the suspects under which targets crashed. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when there are changes to send to the peers. It is set before the
	// tracker is used and may be nil.
	OnChange func()

	log     log.Interface
	metrics *metrics
	// quarantined holds the end of the quarantine of each quarantined part, and requests what
	// is known of requests, nil if nothing is. Both are replaced, not changed.
	quarantined atomic.Pointer[map[uint64]time.Time]
	requests    atomic.Pointer[requestTable]
	revision    atomic.Uint64
	recent      recentAnswers

	mu       sync.Mutex
	suspects map[uint64]*suspect
	answers  answerTable
	// changed holds the suspects that changed here since the last update.
	changed map[uint64]bool
	// heldRotation and otherRotation are the IDs from which the next full update continues.
	heldRotation, otherRotation uint64
}

// requestTable is what is known of requests.
type requestTable struct {
	// heads holds the Head of each request with crashes that are not cleared.
	heads map[uint64]bool
	// held holds the verdicts on those that are held, by ID.
	held map[uint64]verdict
}

// NewTracker returns a tracker without suspicions.
func NewTracker(logger log.Interface, registerer prometheus.Registerer) *Tracker {
	return &Tracker{log: logger, metrics: newMetrics(registerer), suspects: make(map[uint64]*suspect), changed: make(map[uint64]bool)}
}

// shared returns the parts of a prompt that other calls may share. The last part belongs to
// the call itself.
func shared(prefix []call.PrefixPart) []call.PrefixPart {
	return prefix[:max(0, len(prefix)-1)]
}

// Check reports whether a part of the prompt is quarantined, and for how much longer.
func (t *Tracker) Check(prefix []call.PrefixPart, now time.Time) (left time.Duration, quarantined bool) {
	ends := t.quarantined.Load()
	if ends == nil {
		return 0, false
	}
	for _, p := range shared(prefix) {
		if until, ok := (*ends)[p.ID]; ok {
			left = max(left, until.Sub(now))
		}
	}
	return left, left > 0
}

// TracksRequests reports whether Suspects is true for any head.
func (t *Tracker) TracksRequests() bool { return t.requests.Load() != nil }

// Suspects reports whether targets crashed under a request with this head. Only then are
// CheckRequest and the request of Answered of use.
func (t *Tracker) Suspects(head uint64) bool {
	known := t.requests.Load()
	return known != nil && known.heads[head]
}

// Hold is what applies to a request.
type Hold int

// Holds.
const (
	// Free requests are sent to targets.
	Free Hold = iota
	// OnTrial requests are sent to one target if Trials grants it.
	OnTrial
	// Quarantined requests are refused.
	Quarantined
)

// CheckRequest returns what applies to a request, and for how much longer it is
// quarantined.
func (t *Tracker) CheckRequest(id uint64, now time.Time) (hold Hold, left time.Duration) {
	known := t.requests.Load()
	if known == nil {
		return Free, 0
	}
	v := known.held[id]
	switch left := v.until.Sub(now); {
	case v.level > 0 && left > 0:
		return Quarantined, left
	case v.onTrial:
		return OnTrial, 0
	}
	return Free, 0
}

// Refused counts a call that was refused because of Check or CheckRequest.
func (t *Tracker) Refused() { t.metrics.refused.Inc() }

// Crashed records that a run of a target ended at the time at, while it began to answer a
// call with this prompt and, if it is suspected too, this request.
func (t *Tracker) Crashed(prefix []call.PrefixPart, run Run, at time.Time, request ...Request) {
	parts := shared(prefix)
	parts = parts[:min(len(parts), maxPartsPerCall)]
	if len(parts)+len(request) == 0 {
		return
	}
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.crashes.Inc()
	judge := false
	for depth, p := range parts {
		judge = t.add(suspect{id: p.ID, depth: depth}, crash{run: run, at: at}, sourceOwn) || judge
	}
	for _, r := range request {
		judge = t.add(r.suspect(), crash{run: run, at: at, onTrial: r.OnTrial}, sourceOwn) || judge
	}
	if judge {
		t.judge(at)
	}
}

// Answered records that the answer to a call with this prompt and, if Suspects is true for
// its head, this request ended completely.
func (t *Tracker) Answered(prefix []call.PrefixPart, now time.Time, request ...Request) {
	parts := shared(prefix)
	if len(parts)+len(request) > 0 && t.recordAnswers(parts, request, now) {
		t.notify()
	}
}

// recordAnswers reports whether the answer cleared a suspect.
func (t *Tracker) recordAnswers(parts []call.PrefixPart, request []Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	for _, p := range parts {
		cleared = t.recordAnswer(p.ID, now) || cleared
	}
	for _, r := range request {
		cleared = t.recordAnswer(r.ID, now) || cleared
	}
	if cleared {
		t.judge(now)
	}
	return cleared
}

// recordAnswer reports whether the answer cleared the suspect. It requires t.mu.
func (t *Tracker) recordAnswer(id uint64, now time.Time) bool {
	t.answers.record(id, now)
	known := t.suspects[id]
	if known == nil || !known.clear(now) {
		return false
	}
	t.changed[id] = true
	t.logCleared(known)
	return true
}

// notify must not be used under t.mu.
func (t *Tracker) notify() {
	if t.OnChange != nil {
		t.OnChange()
	}
}

// Sources of crashes in logs.
const (
	sourceOwn  = "own"
	sourcePeer = "peer"
)

// add records a crash under a suspect, of which id, head and depth are set. It reports
// whether anything changed. It requires t.mu.
func (t *Tracker) add(under suspect, c crash, source string) bool {
	id, own := under.id, source == sourceOwn
	if answered, ok := t.answers.last(id); ok && !answered.Before(c.at) && !c.cleared {
		// Peers may not know of the answer.
		c.cleared, own = true, true
	}
	p := t.suspects[id]
	if p == nil {
		if !t.makeRoom(c.at) {
			return false
		}
		p = &under
		t.suspects[id] = p
	}
	added, changed := p.merge(c)
	if under.depth > p.depth {
		p.depth, changed = under.depth, true
	}
	if changed && own {
		t.changed[id] = true
	}
	if added && !c.cleared {
		// Lines at this level may be dropped if very many targets crash at once.
		t.log.WithFields(log.Fields{
			p.kind(): hex(id), "target": c.run.TargetID, "born_ms": c.run.BornMS, "crashes": p.open(), "source": source,
		}).Info("quarantine: Target crashed under " + p.noun() + ".")
	}
	return changed
}

// makeRoom removes a suspect if there is no room for another one. It reports whether there
// is room. It requires t.mu.
func (t *Tracker) makeRoom(now time.Time) bool {
	if len(t.suspects) < maxSuspects {
		return true
	}
	var victim *suspect
	for _, p := range t.suspects {
		if !now.Before(p.until) && (victim == nil || p.goesBefore(victim)) {
			victim = p
		}
	}
	if victim == nil {
		return false
	}
	t.remove(victim.id)
	return true
}

func (t *Tracker) remove(id uint64) {
	delete(t.suspects, id)
	delete(t.changed, id)
}

// Prune removes suspects that are no longer needed.
func (t *Tracker) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts, requests, removed := 0, 0, false
	for id, p := range t.suspects {
		switch {
		case p.isRequest() && (p.onTrial || now.Before(p.until)):
			requests++
		case now.Before(p.until):
			parts++
		}
		if p.expired(now) {
			t.remove(id)
			removed = removed || p.isRequest()
		}
	}
	t.metrics.held.Set(float64(parts))
	t.metrics.heldRequests.Set(float64(requests))
	if removed {
		t.publishRequests()
	}
}

// judge updates the verdict on all suspects. It requires t.mu.
func (t *Tracker) judge(now time.Time) {
	verdicts := judge(t.suspects)
	ends := make(map[uint64]time.Time)
	for id, p := range t.suspects {
		v := verdicts[id]
		if v.level != p.level || v.onTrial != p.onTrial {
			t.revision.Add(1)
		}
		t.logVerdict(p, v, now)
		p.verdict = v
		if v.level > 0 && !p.isRequest() {
			ends[id] = v.until
		}
	}
	t.quarantined.Store(&ends)
	t.publishRequests()
}

// publishRequests requires t.mu.
func (t *Tracker) publishRequests() {
	table := &requestTable{heads: make(map[uint64]bool), held: make(map[uint64]verdict)}
	for id, p := range t.suspects {
		if !p.isRequest() || p.open() == 0 {
			continue
		}
		table.heads[p.head] = true
		if p.held() {
			table.held[id] = p.verdict
		}
	}
	if len(table.heads) == 0 {
		table = nil
	}
	t.requests.Store(table)
}

func (t *Tracker) logVerdict(p *suspect, v verdict, now time.Time) {
	if v.level == p.level && v.onTrial == p.onTrial {
		return
	}
	entry := t.log.WithFields(log.Fields{p.kind(): hex(p.id), "crashes": p.open(), "target": p.last().run.TargetID})
	noun := p.noun()
	switch {
	case v.level > p.level:
		t.metrics.quarantined.Inc()
		entry.WithFields(log.Fields{"level": v.level, "left_ms": v.until.Sub(now).Milliseconds()}).Warn("quarantine: " + upperFirst(noun) + " quarantined.")
	case v.level == 0 && p.level > 0:
		entry.Warn("quarantine: Quarantine of " + noun + " lifted.")
	case v.onTrial && !p.held():
		entry.Warn("quarantine: " + upperFirst(noun) + " put on trial.")
	case p.onTrial && !v.onTrial:
		entry.Warn("quarantine: Trial of " + noun + " ended.")
	}
}

func (t *Tracker) logCleared(p *suspect) {
	t.log.WithFields(log.Fields{p.kind(): hex(p.id), "target": p.last().run.TargetID, "crashes": len(p.crashes)}).Info("quarantine: " + upperFirst(p.noun()) + " cleared by an answer.")
}

// kind names the suspect in fields of log lines, noun in their text.
func (p *suspect) kind() string {
	if p.isRequest() {
		return "request"
	}
	return "part"
}

func (p *suspect) noun() string {
	if p.isRequest() {
		return "request"
	}
	return "prompt part"
}

func upperFirst(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func hex(id uint64) string { return strconv.FormatUint(id, 16) }
