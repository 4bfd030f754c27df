package coldstart

import (
	"slices"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
)

// Grantor divides the permits of one availability zone's targets. It is a state
// machine without locks or clock.
//
// Invariants, for every target that is not warm:
//   - a holder's calls are at most the larger of what it last told and what it
//     was last granted;
//   - calls of holders that were lost count until a report that is newer than
//     their last possible start shows fewer;
//   - no permit is granted while a holder may still treat the target as warm.
type Grantor struct {
	epoch   uint64
	version uint64
	// quietUntil is the time until which leases of an earlier grantor may live.
	quietUntil time.Time
	// wasWarm lists the targets that an earlier grantor called warm; nil if no
	// earlier one is known.
	wasWarm map[string]bool
	targets map[string]*ledger
	holders map[string]*holderRecord
	// cooled lists targets that left the warm ones since the last call of Cooled.
	cooled []string
}

// ledger is the account of one target.
type ledger struct {
	verdict     verdict
	observation Observation
	// coldVersion is the version of the list of warm targets in which the target
	// was first missing.
	coldVersion uint64
	// lost counts calls that may be running for holders not heard any more.
	lost        int
	lostUnknown bool
	// evidenceFrom is the time from which a report shows all lost calls.
	evidenceFrom time.Time
}

// holderRecord is what is known of one holder.
type holderRecord struct {
	incarnation uint64
	answer      Answer
	// version is the list of warm targets that the holder acts by.
	version   uint64
	heardAt   time.Time
	warmUntil time.Time
	entries   map[string]Entry
	grants    map[string]int
	// servedAt is the time of the last grant beyond the calls in flight.
	servedAt map[string]time.Time
}

// count is the number of calls that the holder may have in flight.
func (h *holderRecord) count(target string) int {
	return max(h.entries[target].InFlight, h.grants[target])
}

// NewGrantor returns a grantor that knows nothing of earlier leases. Targets that
// an earlier grantor did not call warm start with the ramp; wasWarm is nil if no
// earlier grantor is known.
func NewGrantor(epoch uint64, wasWarm map[string]bool, now time.Time) *Grantor {
	return &Grantor{
		epoch:      epoch,
		quietUntil: now.Add(WarmTTL),
		wasWarm:    wasWarm,
		targets:    make(map[string]*ledger),
		holders:    make(map[string]*holderRecord),
	}
}

// IsQuiet reports whether leases of an earlier grantor may still live.
func (g *Grantor) IsQuiet(now time.Time) bool { return now.Before(g.quietUntil) }

// Knows reports whether the holder has asked and is not lost.
func (g *Grantor) Knows(holder string) bool { return g.holders[holder] != nil }

// Quiet tells that another grantor may have lent until now.
func (g *Grantor) Quiet(now time.Time) {
	g.quietUntil = now.Add(WarmTTL)
	for _, l := range g.targets {
		l.lostUnknown = true
		l.evidenceFrom = g.quietUntil.Add(ReportLag)
	}
}

// Observe takes the present observations of all targets of the zone.
func (g *Grantor) Observe(observations []Observation, now time.Time) {
	g.loseHolders(now)
	known := make(map[string]bool, len(observations))
	for _, o := range observations {
		known[o.Target] = true
		g.observe(o, now)
	}
	for name := range g.targets {
		if !known[name] {
			g.version++
			delete(g.targets, name)
		}
	}
}

func (g *Grantor) observe(o Observation, now time.Time) {
	l := g.targets[o.Target]
	if l == nil {
		from := now
		if g.quietUntil.After(now) {
			from = g.quietUntil
		}
		g.version++
		l = &ledger{lostUnknown: true, evidenceFrom: from.Add(ReportLag), coldVersion: g.version}
		if g.wasWarm != nil && !g.wasWarm[o.Target] {
			l.verdict.cool()
		}
		g.targets[o.Target] = l
	}
	l.observation = o
	g.change(o.Target, l, func() { l.verdict.observe(o, now) })
	l.settle(o)
}

// change runs a step of the verdict and notes what it does to the list of warm
// targets.
func (g *Grantor) change(name string, l *ledger, step func()) {
	wasWarm := l.verdict.mode == Warm
	step()
	isWarm := l.verdict.mode == Warm
	if wasWarm == isWarm {
		return
	}
	g.version++
	if wasWarm {
		l.coldVersion = g.version
		g.cooled = append(g.cooled, name)
	}
}

// settle bounds the lost calls by a report that shows them all.
func (l *ledger) settle(o Observation) {
	if !o.Fresh || o.AskedAt.Before(l.evidenceFrom) {
		return
	}
	if l.lostUnknown || o.Running < l.lost {
		l.lost = o.Running
		l.lostUnknown = false
	}
}

// Cooled returns the targets that left the warm ones since the last call.
func (g *Grantor) Cooled() []string {
	out := g.cooled
	g.cooled = nil
	return out
}

// loseHolders gives up holders whose leases have all expired.
func (g *Grantor) loseHolders(now time.Time) {
	for name, h := range g.holders {
		if !now.Before(h.warmUntil) {
			g.lose(h, now)
			delete(g.holders, name)
		}
	}
}

// lose keeps a holder's calls in the accounts of their targets.
func (g *Grantor) lose(h *holderRecord, now time.Time) {
	from := now
	if h.warmUntil.After(now) {
		from = h.warmUntil
	}
	for name, l := range g.targets {
		switch {
		case h.version < l.coldVersion || l.verdict.mode == Warm:
			l.lostUnknown = true
		case h.count(name) == 0:
			continue
		default:
			l.lost += h.count(name)
		}
		if evidence := from.Add(ReportLag); evidence.After(l.evidenceFrom) {
			l.evidenceFrom = evidence
		}
	}
}

// Ask answers a holder. A repeated ask gets the first answer; an ask overtaken
// by a later one gets ErrOldAsk.
func (g *Grantor) Ask(from string, ask Ask, now time.Time) (Answer, error) {
	g.loseHolders(now)
	h := g.holders[from]
	if h != nil && h.incarnation != ask.Incarnation {
		g.lose(h, now)
		h = nil
	}
	if h != nil && ask.Seq < h.answer.Seq {
		return Answer{}, merry.Wrap(ErrOldAsk)
	}
	if h != nil && ask.Seq == h.answer.Seq {
		return h.answer, nil
	}
	if h == nil {
		h = &holderRecord{incarnation: ask.Incarnation, servedAt: make(map[string]time.Time)}
		g.holders[from] = h
	}
	if ask.ServedAgoMS > 0 && ask.ServedAgoMS < WarmTTL.Milliseconds() {
		g.Quiet(now)
	}
	g.record(h, ask, now)
	h.answer = g.answer(from, h, ask, now)
	return h.answer, nil
}

func (g *Grantor) record(h *holderRecord, ask Ask, now time.Time) {
	h.version = 0
	if ask.Epoch == g.epoch {
		h.version = ask.Version
	}
	h.heardAt = now
	h.warmUntil = now.Add(WarmTTL)
	h.entries = make(map[string]Entry, len(ask.Entries))
	h.grants = make(map[string]int)
	for _, e := range ask.Entries {
		h.entries[e.Target] = e
		l := g.targets[e.Target]
		if l == nil {
			continue
		}
		l.verdict.completed += e.Completed
		g.change(e.Target, l, func() {
			if e.Suspect {
				l.verdict.suspect(now)
			}
			l.verdict.grow(l.observation)
		})
	}
}

func (g *Grantor) answer(from string, h *holderRecord, ask Ask, now time.Time) Answer {
	a := Answer{Seq: ask.Seq, Epoch: g.epoch, Version: g.version}
	if h.version != g.version {
		a.Warm = g.warm()
	}
	for _, e := range ask.Entries {
		l := g.targets[e.Target]
		if l == nil || l.verdict.mode == Warm || h.version < l.coldVersion {
			continue
		}
		permits := e.InFlight + g.extra(from, h, e, l, now)
		h.grants[e.Target] = permits
		if permits > e.InFlight {
			h.servedAt[e.Target] = now
		}
		a.Grants = append(a.Grants, Grant{Target: e.Target, Permits: permits})
	}
	return a
}

func (g *Grantor) warm() []string {
	var out []string
	for name, l := range g.targets {
		if l.verdict.mode == Warm {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// extra is the number of calls that the holder may start.
func (g *Grantor) extra(from string, h *holderRecord, e Entry, l *ledger, now time.Time) int {
	if l.lostUnknown {
		return 0
	}
	free := l.verdict.bound - l.lost - e.InFlight
	wanting := 1
	for name, other := range g.holders {
		if name == from {
			continue
		}
		if other.version < l.coldVersion {
			return 0
		}
		free -= other.count(e.Target)
		if !isWaiting(other, e.Target, now) {
			continue
		}
		wanting++
		if other.count(e.Target) == 0 && other.servedAt[e.Target].Before(h.servedAt[e.Target]) {
			free--
		}
	}
	share := max(1, l.verdict.bound/wanting)
	return max(0, min(free, e.Want-e.InFlight, share-e.InFlight))
}

// isWaiting reports whether the holder asked of late for more than it has.
func isWaiting(h *holderRecord, target string, now time.Time) bool {
	return h.entries[target].Want > 0 && now.Sub(h.heardAt) < 3*askInterval
}

// Bounds are the limits of one target as the grantor sees them.
type Bounds struct {
	Target string
	Mode   Mode
	Bound  int
	// Counted is the number of calls that may be running under permits.
	Counted int
}

// Bounds returns the limits of all targets, ordered by name.
func (g *Grantor) Bounds() []Bounds {
	out := make([]Bounds, 0, len(g.targets))
	for name, l := range g.targets {
		b := Bounds{Target: name, Mode: l.verdict.mode, Bound: l.verdict.bound, Counted: l.lost}
		for _, h := range g.holders {
			b.Counted += h.count(name)
		}
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Bounds) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return out
}
