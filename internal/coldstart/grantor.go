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
//   - a holder's calls do not exceed the larger of the number in its last
//     request and the number last granted to it;
//   - orphaned calls, those of expired or restarted holders, count until a
//     report newer than their last possible start shows fewer;
//   - no permit is granted while any holder may still treat the target as warm.
type Grantor struct {
	epoch   uint64
	version uint64
	// quietUntil is the end of the quiet period, in which leases of another grantor
	// may be valid. The orphaned calls of all targets are unknown until a report
	// requested MaxReportLag after it or later. Until then a holder gets no permits
	// beyond its calls in flight.
	quietUntil time.Time
	// previousWarm is the warm list of an earlier grantor; nil if none is known.
	previousWarm map[string]bool
	targets      map[string]*targetState
	holders      map[string]*holderState
	// cooled lists the targets that ceased to be warm since the last call of
	// TakeCooled.
	cooled []string
}

// targetState tracks the mode and the orphaned calls of one target.
type targetState struct {
	tracker     modeTracker
	observation Observation
	// coldVersion is the first version of the warm list without the target.
	coldVersion uint64
	// orphaned counts calls that may still be running for holders that expired or
	// restarted. It is valid unless orphanedUnknown is set.
	orphaned        int
	orphanedUnknown bool
	// orphansVisibleFrom is the time from which on a requested report includes all
	// orphaned calls.
	orphansVisibleFrom time.Time
}

// holderState is the grantor's state for one holder.
type holderState struct {
	incarnation  uint64
	lastResponse Response
	// warmVersion is the version of the holder's warm list; 0 if the list is not
	// of this grantor.
	warmVersion   uint64
	lastRequestAt time.Time
	warmUntil     time.Time
	usage         map[string]TargetUsage
	grants        map[string]int
	// lastExtraGrantAt is, by target, the time of the last grant that exceeded the
	// calls in flight.
	lastExtraGrantAt map[string]time.Time
}

// maxInFlight returns the number of calls that the holder may have in flight.
func (h *holderState) maxInFlight(target string) int {
	return max(h.usage[target].InFlight, h.grants[target])
}

// NewGrantor returns a grantor in its quiet period, since an earlier grantor may
// have granted leases until now. previousWarm is the earlier grantor's warm list,
// nil if none is known; targets missing from it must ramp up before they are warm.
func NewGrantor(epoch uint64, previousWarm map[string]bool, now time.Time) *Grantor {
	return &Grantor{
		epoch:        epoch,
		quietUntil:   now.Add(WarmTTL),
		previousWarm: previousWarm,
		targets:      make(map[string]*targetState),
		holders:      make(map[string]*holderState),
	}
}

// InQuietPeriod reports whether leases of another grantor may still be valid.
func (g *Grantor) InQuietPeriod(now time.Time) bool { return now.Before(g.quietUntil) }

// HasHolder reports whether the holder has sent a request and has not expired.
func (g *Grantor) HasHolder(holder string) bool { return g.holders[holder] != nil }

// StartQuietPeriod starts or extends the quiet period, because another grantor
// may have granted leases until now.
func (g *Grantor) StartQuietPeriod(now time.Time) {
	g.quietUntil = now.Add(WarmTTL)
	for _, t := range g.targets {
		t.orphanedUnknown = true
		t.orphansVisibleFrom = g.quietUntil.Add(MaxReportLag)
	}
}

// Observe applies the current observations of all targets of the zone and drops
// targets that are not among them.
func (g *Grantor) Observe(observations []Observation, now time.Time) {
	g.expireHolders(now)
	observed := make(map[string]bool, len(observations))
	for _, o := range observations {
		observed[o.Target] = true
		g.observe(o, now)
	}
	for name := range g.targets {
		if !observed[name] {
			g.version++
			delete(g.targets, name)
		}
	}
}

func (g *Grantor) observe(o Observation, now time.Time) {
	t := g.targets[o.Target]
	if t == nil {
		leasesEnd := now
		if g.quietUntil.After(now) {
			leasesEnd = g.quietUntil
		}
		g.version++
		t = &targetState{orphanedUnknown: true, orphansVisibleFrom: leasesEnd.Add(MaxReportLag), coldVersion: g.version}
		if g.previousWarm != nil && !g.previousWarm[o.Target] {
			t.tracker.setCold()
		}
		g.targets[o.Target] = t
	}
	t.observation = o
	g.updateMode(o.Target, t, func() { t.tracker.observe(o, now) })
	t.reconcileOrphaned(o)
}

// updateMode runs step, which may change the target's mode, and updates the
// version of the warm list and the cooled targets accordingly.
func (g *Grantor) updateMode(name string, t *targetState, step func()) {
	wasWarm := t.tracker.mode == Warm
	step()
	isWarm := t.tracker.mode == Warm
	if wasWarm == isWarm {
		return
	}
	g.version++
	if wasWarm {
		t.coldVersion = g.version
		g.cooled = append(g.cooled, name)
	}
}

// reconcileOrphaned limits the orphaned calls to the calls that a report shows, if
// the report is recent enough to include all orphaned calls.
func (t *targetState) reconcileOrphaned(o Observation) {
	if !o.Fresh || o.RequestedAt.Before(t.orphansVisibleFrom) {
		return
	}
	if t.orphanedUnknown || o.Running < t.orphaned {
		t.orphaned = o.Running
		t.orphanedUnknown = false
	}
}

// TakeCooled returns the targets that ceased to be warm since the last call.
func (g *Grantor) TakeCooled() []string {
	out := g.cooled
	g.cooled = nil
	return out
}

// expireHolders removes holders whose leases have all expired and orphans their
// calls.
func (g *Grantor) expireHolders(now time.Time) {
	for name, h := range g.holders {
		if !now.Before(h.warmUntil) {
			g.orphanCalls(h, now)
			delete(g.holders, name)
		}
	}
}

// orphanCalls counts the calls that a holder may have in flight as orphaned calls
// of their targets. The number is unknown for targets that the holder may treat as
// warm, since it needs no permits for them.
func (g *Grantor) orphanCalls(h *holderState, now time.Time) {
	leasesEnd := now
	if h.warmUntil.After(now) {
		leasesEnd = h.warmUntil
	}
	for name, t := range g.targets {
		switch {
		case h.warmVersion < t.coldVersion || t.tracker.mode == Warm:
			t.orphanedUnknown = true
		case h.maxInFlight(name) == 0:
			continue
		default:
			t.orphaned += h.maxInFlight(name)
		}
		if visibleFrom := leasesEnd.Add(MaxReportLag); visibleFrom.After(t.orphansVisibleFrom) {
			t.orphansVisibleFrom = visibleFrom
		}
	}
}

// HandleRequest records a holder's request and returns the response. A repeated
// request gets the first response again. A request older than the last one of the
// same incarnation gets ErrStaleRequest.
func (g *Grantor) HandleRequest(from string, request Request, now time.Time) (Response, error) {
	g.expireHolders(now)
	h := g.holders[from]
	if h != nil && h.incarnation != request.Incarnation {
		g.orphanCalls(h, now)
		h = nil
	}
	if h != nil && request.Seq < h.lastResponse.Seq {
		return Response{}, merry.Wrap(ErrStaleRequest)
	}
	if h != nil && request.Seq == h.lastResponse.Seq {
		return h.lastResponse, nil
	}
	if h == nil {
		h = &holderState{incarnation: request.Incarnation, lastExtraGrantAt: make(map[string]time.Time)}
		g.holders[from] = h
	}
	if request.ServedAgoMS > 0 && request.ServedAgoMS < WarmTTL.Milliseconds() {
		g.StartQuietPeriod(now)
	}
	g.recordRequest(h, request, now)
	h.lastResponse = g.respond(from, h, request, now)
	return h.lastResponse, nil
}

func (g *Grantor) recordRequest(h *holderState, request Request, now time.Time) {
	h.warmVersion = 0
	if request.Epoch == g.epoch {
		h.warmVersion = request.Version
	}
	h.lastRequestAt = now
	h.warmUntil = now.Add(WarmTTL)
	h.usage = make(map[string]TargetUsage, len(request.Usage))
	h.grants = make(map[string]int)
	for _, u := range request.Usage {
		h.usage[u.Target] = u
		t := g.targets[u.Target]
		if t == nil {
			continue
		}
		t.tracker.completed += u.Completed
		g.updateMode(u.Target, t, func() {
			if u.Suspect {
				t.tracker.markSuspect(now)
			}
			t.tracker.updateBound(t.observation)
		})
	}
}

func (g *Grantor) respond(from string, h *holderState, request Request, now time.Time) Response {
	response := Response{Seq: request.Seq, Epoch: g.epoch, Version: g.version}
	if h.warmVersion != g.version {
		response.Warm = g.warmTargets()
	}
	for _, u := range request.Usage {
		t := g.targets[u.Target]
		if t == nil || t.tracker.mode == Warm || h.warmVersion < t.coldVersion {
			continue
		}
		permits := u.InFlight + g.additionalPermits(from, h, u, t, now)
		h.grants[u.Target] = permits
		if permits > u.InFlight {
			h.lastExtraGrantAt[u.Target] = now
		}
		response.Grants = append(response.Grants, Grant{Target: u.Target, Permits: permits})
	}
	return response
}

func (g *Grantor) warmTargets() []string {
	var out []string
	for name, t := range g.targets {
		if t.tracker.mode == Warm {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// additionalPermits returns the number of calls that the holder may start beside
// those in flight. It is 0 while the number of orphaned calls is unknown or
// another holder may treat the target as warm. Holders that want calls share the
// bound equally, with at least one permit each, as far as permits are available.
// One permit is kept for each other such holder that has neither calls nor permits
// and whose last extra grant is older.
func (g *Grantor) additionalPermits(from string, h *holderState, u TargetUsage, t *targetState, now time.Time) int {
	if t.orphanedUnknown {
		return 0
	}
	available := t.tracker.bound - t.orphaned - u.InFlight
	wanting := 1
	for name, other := range g.holders {
		if name == from {
			continue
		}
		if other.warmVersion < t.coldVersion {
			return 0
		}
		available -= other.maxInFlight(u.Target)
		if !wantsCalls(other, u.Target, now) {
			continue
		}
		wanting++
		if other.maxInFlight(u.Target) == 0 && other.lastExtraGrantAt[u.Target].Before(h.lastExtraGrantAt[u.Target]) {
			available--
		}
	}
	share := max(1, t.tracker.bound/wanting)
	return max(0, min(available, u.Want-u.InFlight, share-u.InFlight))
}

// wantsCalls reports whether the holder's last request wants calls on the
// target, running ones included, and is less than three request intervals old.
func wantsCalls(h *holderState, target string, now time.Time) bool {
	return h.usage[target].Want > 0 && now.Sub(h.lastRequestAt) < 3*requestInterval
}

// Bounds is the grantor's view of the limits of one target.
type Bounds struct {
	Target string
	Mode   Mode
	Bound  int
	// Counted is the number of calls that may be running under permits, with the
	// known orphaned calls.
	Counted int
}

// Bounds returns the limits of all targets, ordered by name.
func (g *Grantor) Bounds() []Bounds {
	out := make([]Bounds, 0, len(g.targets))
	for name, t := range g.targets {
		b := Bounds{Target: name, Mode: t.tracker.mode, Bound: t.tracker.bound, Counted: t.orphaned}
		for _, h := range g.holders {
			b.Counted += h.maxInFlight(name)
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
