// Package quarantine finds prompt parts that crash the targets that answer them, and
// quarantines them. Instances exchange what they have seen. The state merges in any order,
// and the verdict on a part follows from the state alone.
package quarantine

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// maxParts bounds the parts that are tracked.
	maxParts = 1024
	// maxPartsPerCall bounds the parts of one call that a crash is attributed to.
	maxPartsPerCall = 64
	// settledRetention is how long a part is kept whose crashes are all cleared, so that a
	// late message cannot bring them back.
	settledRetention = time.Minute
	// suspicionRetention is how long a part is kept that was never quarantined.
	suspicionRetention = time.Hour
	// probation is how long a part is kept after the end of its quarantine.
	probation = 24 * time.Hour
)

// Run is one process lifetime of a target.
type Run struct {
	TargetID string
	// BornMS is the start time of the run, in Unix milliseconds by the target's clock.
	BornMS int64
}

// Tracker knows the parts under which targets crashed. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when there are changes to send to the peers. It is set before the
	// tracker is used and may be nil.
	OnChange func()

	log     log.Interface
	metrics *metrics
	// quarantined holds the end of the quarantine of each quarantined part. The map is
	// replaced, not changed.
	quarantined atomic.Pointer[map[uint64]time.Time]
	revision    atomic.Uint64

	mu      sync.Mutex
	parts   map[uint64]*part
	answers answerTable
	// changed holds the parts that changed here since the last update.
	changed map[uint64]bool
	// rotation is the ID after which the next full update continues.
	rotation uint64
}

// NewTracker returns a tracker without suspicions.
func NewTracker(logger log.Interface, registerer prometheus.Registerer) *Tracker {
	return &Tracker{log: logger, metrics: newMetrics(registerer), parts: make(map[uint64]*part), changed: make(map[uint64]bool)}
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

// Refused counts a call that was refused because of Check.
func (t *Tracker) Refused() { t.metrics.refused.Inc() }

// Crashed records that a run of a target ended at the time at, while it began to answer a
// call with this prompt. It reports whether the prompt has parts that this concerns.
func (t *Tracker) Crashed(prefix []call.PrefixPart, run Run, at time.Time) bool {
	parts := shared(prefix)
	if len(parts) == 0 {
		return false
	}
	parts = parts[:min(len(parts), maxPartsPerCall)]
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.crashes.Inc()
	judge := false
	for depth, p := range parts {
		judge = t.add(p.ID, depth, crash{run: run, at: at}, sourceOwn) || judge
	}
	if judge {
		t.judge(at)
	}
	return true
}

// Answered records that the answer to a call with this prompt ended completely.
func (t *Tracker) Answered(prefix []call.PrefixPart, now time.Time) {
	parts := shared(prefix)
	if len(parts) == 0 {
		return
	}
	if t.recordAnswer(parts, now) {
		t.notify()
	}
}

// recordAnswer reports whether the answer cleared a part.
func (t *Tracker) recordAnswer(parts []call.PrefixPart, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	judge := false
	for _, p := range parts {
		t.answers.record(p.ID, now)
		if known := t.parts[p.ID]; known != nil && known.clear(now) {
			t.changed[p.ID] = true
			t.logCleared(known)
			judge = true
		}
	}
	if judge {
		t.judge(now)
	}
	return judge
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

// add records a crash under a part. It reports whether anything changed. It requires t.mu.
func (t *Tracker) add(id uint64, depth int, c crash, source string) bool {
	own := source == sourceOwn
	if answered, ok := t.answers.last(id); ok && !answered.Before(c.at) && !c.cleared {
		// Peers may not know of the answer.
		c.cleared, own = true, true
	}
	p := t.parts[id]
	if p == nil {
		if !t.makeRoom(c.at) {
			return false
		}
		p = &part{id: id}
		t.parts[id] = p
	}
	added, changed := p.merge(c)
	if depth > p.depth {
		p.depth, changed = depth, true
	}
	if changed && own {
		t.changed[id] = true
	}
	if added && !c.cleared {
		// Lines at this level may be dropped if very many targets crash at once.
		t.log.WithFields(log.Fields{
			"part": hex(id), "target": c.run.TargetID, "born_ms": c.run.BornMS, "crashes": p.open(), "source": source,
		}).Info("quarantine: Target crashed under prompt part.")
	}
	return changed
}

// makeRoom removes a part if there is no room for another one. It reports whether there is
// room. It requires t.mu.
func (t *Tracker) makeRoom(now time.Time) bool {
	if len(t.parts) < maxParts {
		return true
	}
	var victim *part
	for _, p := range t.parts {
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
	delete(t.parts, id)
	delete(t.changed, id)
}

// Prune removes parts that are no longer needed.
func (t *Tracker) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := 0
	for id, p := range t.parts {
		if now.Before(p.until) {
			held++
		}
		if p.expired(now) {
			t.remove(id)
		}
	}
	t.metrics.held.Set(float64(held))
}

// judge updates the verdict on all parts. It requires t.mu.
func (t *Tracker) judge(now time.Time) {
	verdicts := judge(t.parts)
	ends := make(map[uint64]time.Time, len(verdicts))
	for id, p := range t.parts {
		v := verdicts[id]
		if v.level != p.level {
			t.revision.Add(1)
		}
		if v.level > p.level {
			t.metrics.quarantined.Inc()
			t.log.WithFields(log.Fields{
				"part": hex(id), "target": p.last().run.TargetID, "crashes": p.open(), "level": v.level, "left_ms": v.until.Sub(now).Milliseconds(),
			}).Warn("quarantine: Prompt part quarantined.")
		}
		if v.level == 0 && p.level > 0 {
			t.log.WithFields(log.Fields{"part": hex(id), "crashes": p.open()}).Warn("quarantine: Quarantine of prompt part lifted.")
		}
		p.verdict = v
		if v.level > 0 {
			ends[id] = v.until
		}
	}
	t.quarantined.Store(&ends)
}

func (t *Tracker) logCleared(p *part) {
	t.log.WithFields(log.Fields{"part": hex(p.id), "target": p.last().run.TargetID, "crashes": len(p.crashes)}).Info("quarantine: Prompt part cleared by an answer.")
}

func hex(id uint64) string { return strconv.FormatUint(id, 16) }
