package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

const (
	// ownZoneSamples and otherZoneSamples are the numbers of candidates sampled
	// from this instance's availability zone and from other zones.
	ownZoneSamples   = 4
	otherZoneSamples = 2
	// maxScan limits the candidates evaluated in the own zone, and likewise in
	// other zones, when none of the sampled ones is usable.
	maxScan = 64
)

// Router picks targets and tracks this instance's calls in flight. It is safe
// for concurrent use.
//
// Lock order: mu before the lock of the gate.
type Router struct {
	zone     string
	snapshot func() *inventory.Snapshot
	clock    clockwork.Clock
	gate     Gate
	// liveInstances returns the number of live instances in a zone, or in all
	// zones for an empty name.
	liveInstances func(zone string) int
	random        func(n int) int
	metrics       *Metrics

	mu        sync.Mutex
	loads     map[string]*targetLoad
	namesByID []string
	groups    map[groupKey]*group
	revision  uint64
	prefixes  *prefixIndex
	onFreed   []func()
}

// Option configures a Router.
type Option func(*Router)

// WithGate sets the gate that limits the calls on engines across all instances.
func WithGate(g Gate) Option { return func(r *Router) { r.gate = g } }

// WithLiveInstances sets the function that returns the number of live instances
// in a zone, or in all zones for an empty name.
func WithLiveInstances(f func(zone string) int) Option {
	return func(r *Router) { r.liveInstances = f }
}

// WithRandom sets the function that returns a random number in [0, n).
func WithRandom(f func(n int) int) Option { return func(r *Router) { r.random = f } }

// WithMetrics sets the metrics.
func WithMetrics(m *Metrics) Option { return func(r *Router) { r.metrics = m } }

// New returns a router for an instance in the zone. Without a gate, the router
// judges the capacity of engines by their reports alone.
func New(zone string, snapshot func() *inventory.Snapshot, clock clockwork.Clock, options ...Option) *Router {
	r := &Router{
		zone:          zone,
		snapshot:      snapshot,
		clock:         clock,
		liveInstances: func(string) int { return 1 },
		random:        rand.IntN,
		loads:         make(map[string]*targetLoad),
		namesByID:     []string{""},
		groups:        make(map[groupKey]*group),
		prefixes:      newPrefixIndex(),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// groupKey identifies a model, an adapter or a service.
type groupKey struct {
	name      string
	isService bool
}

// group holds the candidates for one groupKey in one snapshot.
type group struct {
	snapshot           *inventory.Snapshot
	ownZone, otherZone []candidate
	byID               map[uint32]candidate
}

type candidate struct {
	state     *inventory.TargetState
	load      *targetLoad
	otherZone bool
	// instances is the number of instances that share the target's free capacity.
	instances int
}

// Pick reserves a slot for the request on the best target. It returns
// ErrNoCapacity or ErrNoTarget if no target can take the request.
func (r *Router) Pick(request Request) (*Slot, error) {
	now := r.clock.Now()
	r.mu.Lock()
	g := r.group(&request)
	c, full := r.choose(g, &request, now)
	if c.state == nil {
		r.mu.Unlock()
		return nil, r.refusalError(full)
	}
	c.load.inFlight++
	c.load.netStarted++
	c.load.breaker.recordStart(now)
	r.mu.Unlock()
	r.metrics.countPick(c.otherZone)
	return &Slot{Target: c.state.Target, router: r, load: c.load, key: requestKey(&request), startedAt: now}, nil
}

func (r *Router) refusalError(full bool) error {
	if full {
		r.metrics.countRefusal("no_capacity")
		return merry.Wrap(ErrNoCapacity)
	}
	r.metrics.countRefusal("no_target")
	return merry.Wrap(ErrNoTarget)
}

// group returns the candidates for the request. They are cached until the
// snapshot changes. It requires r.mu.
func (r *Router) group(request *Request) *group {
	snapshot := r.snapshot()
	if revision := snapshot.View.State.Revision; revision != r.revision {
		r.revision = revision
		clear(r.groups)
	}
	key := requestKey(request)
	g := r.groups[key]
	if g == nil || g.snapshot != snapshot {
		g = r.newGroup(snapshot, key)
		r.groups[key] = g
	}
	return g
}

func requestKey(request *Request) groupKey {
	if request.Service != "" {
		return groupKey{name: request.Service, isService: true}
	}
	return groupKey{name: request.Served}
}

// dropCandidate removes a target from a group until the next snapshot. It
// requires r.mu.
func (r *Router) dropCandidate(key groupKey, l *targetLoad) {
	g := r.groups[key]
	if g == nil {
		return
	}
	isDropped := func(c candidate) bool { return c.load == l }
	g.ownZone = slices.DeleteFunc(g.ownZone, isDropped)
	g.otherZone = slices.DeleteFunc(g.otherZone, isDropped)
	delete(g.byID, l.id)
}

func (r *Router) newGroup(snapshot *inventory.Snapshot, key groupKey) *group {
	states := snapshot.Serving(key.name)
	if key.isService {
		states = snapshot.ServiceTargets(key.name)
	}
	g := &group{snapshot: snapshot, byID: make(map[uint32]candidate, len(states))}
	all := r.liveInstances("")
	for _, s := range states {
		if snapshot.View.IsTargetOut(s.Target) {
			continue
		}
		c := candidate{state: s, load: r.loadOf(s.Target.Name), otherZone: s.Target.Zone != r.zone, instances: all}
		c.load.resetOnNewReport(s)
		if c.otherZone {
			g.otherZone = append(g.otherZone, c)
		} else {
			if s.Target.Kind == environment.TargetEngine {
				c.instances = r.liveInstances(r.zone)
			}
			g.ownZone = append(g.ownZone, c)
		}
		g.byID[c.load.id] = c
	}
	return g
}

// loadOf returns the load of a target and creates it if needed. It requires r.mu.
func (r *Router) loadOf(name string) *targetLoad {
	l := r.loads[name]
	if l == nil {
		l = &targetLoad{id: uint32(len(r.namesByID))}
		r.loads[name] = l
		r.namesByID = append(r.namesByID, name)
	}
	return l
}

// choice is the state of one search: the best candidate found so far, and what was
// seen of the candidates that cannot take the call.
type choice struct {
	best    candidate
	score   float64
	anyFull bool
	found   bool
	// needsPermit is a cold candidate that cannot take the call without another
	// permit.
	needsPermit candidate
}

// choose returns the best candidate after acquiring it at the gate. If there is
// none, it reports whether a candidate lacked capacity or a permit. It requires
// r.mu.
func (r *Router) choose(g *group, request *Request, now time.Time) (candidate, bool) {
	var result choice
	cached, depth := r.prefixes.find(request.Served, request.Prefixes)
	for _, id := range cached {
		if c, ok := g.byID[id]; ok && id != 0 {
			r.evaluate(&result, c, request, len(request.Prefixes)-depth, now, false)
		}
	}
	r.sample(&result, g.ownZone, ownZoneSamples, request, now, false)
	r.sample(&result, g.otherZone, otherZoneSamples, request, now, false)
	if !result.found {
		r.sample(&result, g.ownZone, maxScan, request, now, false)
		r.sample(&result, g.otherZone, maxScan, request, now, false)
	}
	if !result.found {
		// As a last resort, use ejected and unreachable targets.
		r.sample(&result, g.ownZone, maxScan, request, now, true)
		r.sample(&result, g.otherZone, maxScan, request, now, true)
	}
	if result.needsPermit.state != nil && result.shouldRequestPermit() && r.acquire(result.needsPermit.state.Target) {
		return result.needsPermit, false
	}
	if !result.found || !r.acquire(result.best.state.Target) {
		return candidate{}, result.anyFull || result.found
	}
	return result.best, false
}

// shouldRequestPermit reports whether to try needsPermit before the best
// candidate. After a failed Acquire, the gate may request a permit. That is
// worthwhile if no candidate was found, the best one is at least half full, or only
// needsPermit is in the own zone.
func (result *choice) shouldRequestPermit() bool {
	if !result.found {
		return true
	}
	isHalfFull := 2*result.best.load.estimateRunning(result.best.state) >= result.best.state.Target.Concurrency
	return isHalfFull || result.best.otherZone && !result.needsPermit.otherZone
}

// sample evaluates up to n candidates, starting at a random index. If there are
// more than maxScan, the evaluated ones are spaced evenly. With lastResort, it
// includes ejected and unreachable targets.
func (r *Router) sample(result *choice, from []candidate, n int, request *Request, now time.Time, lastResort bool) {
	if len(from) == 0 {
		return
	}
	n = min(n, len(from))
	i := r.random(len(from))
	stride := 1
	if len(from) > maxScan {
		stride = len(from) / n
	}
	for range n {
		r.evaluate(result, from[i], request, len(request.Prefixes), now, lastResort)
		i = (i + stride) % len(from)
	}
}

func (r *Router) evaluate(result *choice, c candidate, request *Request, missedBlocks int, now time.Time, lastResort bool) {
	t := c.state.Target
	if slices.Contains(request.Exclude, t.Name) {
		return
	}
	if !lastResort && (c.load.breaker.isEjected(now) || c.state.Unreachable) {
		return
	}
	isWarm, ok := r.hasCapacity(c, request.Class, now)
	if !ok {
		result.anyFull = true
		if !isWarm && (result.needsPermit.state == nil || result.needsPermit.otherZone && !c.otherZone) {
			result.needsPermit = c
		}
		return
	}
	f := features{
		running:      c.load.estimateRunning(c.state),
		limit:        t.Concurrency,
		missedBlocks: missedBlocks,
		otherZone:    c.otherZone,
		warm:         isWarm,
		urgent:       !request.Deadline.IsZero() && request.Deadline.Sub(now) < urgentDeadline,
		failures:     c.load.breaker.recentFailures(now),
	}
	if score := f.score(); !result.found || score < result.score {
		result.best, result.score, result.found = c, score, true
	}
}

// hasCapacity reports whether the target is warm and whether it has capacity for
// one more call.
func (r *Router) hasCapacity(c candidate, class Class, now time.Time) (isWarm, ok bool) {
	t := c.state.Target
	if t.Kind == environment.TargetService {
		return true, c.load.hasCapacity(c.state, t.Concurrency, c.instances)
	}
	if r.gate == nil {
		return r.hasCapacityByReport(c, class, now)
	}
	if r.gate.IsWarm(t) {
		return true, c.load.hasCapacity(c.state, concurrencyLimit(t, class), c.instances)
	}
	return false, r.gate.CanAcquire(t)
}

// hasCapacityByReport is hasCapacity for engines without a gate. It treats an
// engine without a fresh report as cold and full.
func (r *Router) hasCapacityByReport(c candidate, class Class, now time.Time) (isWarm, ok bool) {
	t := c.state.Target
	if c.state.Report.Cold || !c.state.IsFresh(now) {
		return false, c.state.IsFresh(now) && c.load.inFlight < t.ColdConcurrency
	}
	return true, c.load.hasCapacity(c.state, concurrencyLimit(t, class), c.instances)
}

func (r *Router) acquire(t *environment.Target) bool {
	return r.gate == nil || t.Kind != environment.TargetEngine || r.gate.Acquire(t)
}

// finish frees a slot.
func (r *Router) finish(s *Slot, outcome Outcome) {
	now := r.clock.Now()
	isEngine := s.Target.Kind == environment.TargetEngine
	r.mu.Lock()
	s.load.inFlight--
	s.load.netStarted--
	s.load.breaker.recordOutcome(outcome, now, func() bool { return r.mayEject(s.Target) })
	if outcome == NotResident {
		r.dropCandidate(s.key, s.load)
	}
	isSuspect := isEngine && isFailure(outcome) && s.load.breaker.consecutiveFailures == failuresToOpen
	r.mu.Unlock()
	r.metrics.countOutcome(outcome, isSuspect)
	if r.gate != nil && isEngine {
		r.gate.Release(s.Target, outcome == Completed)
		if isSuspect {
			r.gate.Suspect(s.Target)
		}
	}
	r.NotifyFreed()
}

func isFailure(outcome Outcome) bool { return outcome == Failed || outcome == Rejected }

func (r *Router) recordFirstToken(s *Slot) {
	d := r.clock.Since(s.startedAt)
	r.mu.Lock()
	isSuspect := s.load.latency.observe(d)
	r.mu.Unlock()
	if isSuspect && r.gate != nil && s.Target.Kind == environment.TargetEngine {
		r.gate.Suspect(s.Target)
	}
}

// mayEject reports whether the target can be ejected while every model or service
// on it keeps at least two thirds of its targets. It requires r.mu.
func (r *Router) mayEject(t *environment.Target) bool {
	snapshot := r.snapshot()
	state := snapshot.Target(t.Name)
	if state == nil {
		return true
	}
	if t.Kind == environment.TargetService {
		return r.withinEjectionLimit(snapshot.ServiceTargets(t.Service))
	}
	for i := range state.Report.Residents {
		resident := &state.Report.Residents[i]
		name := resident.Model
		if resident.Adapter != "" {
			name = resident.Adapter
		}
		if !r.withinEjectionLimit(snapshot.Serving(name)) {
			return false
		}
	}
	return true
}

// withinEjectionLimit reports whether one more breaker may open among the targets.
// It counts half-open breakers as open. It requires r.mu.
func (r *Router) withinEjectionLimit(states []*inventory.TargetState) bool {
	open := 1
	for _, s := range states {
		if l := r.loads[s.Target.Name]; l != nil && l.breaker.open {
			open++
		}
	}
	return open*ejectionDivisor <= len(states)
}

// OnFreed registers a function that is called after a slot is freed or capacity
// increases. It is called without locks held and must not block.
func (r *Router) OnFreed(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onFreed = append(r.onFreed, f)
}

// NotifyFreed calls the functions registered with OnFreed. Call it when capacity
// has increased.
func (r *Router) NotifyFreed() {
	r.mu.Lock()
	freed := r.onFreed
	r.mu.Unlock()
	for _, f := range freed {
		f()
	}
}

// ApplyCacheEvents applies cache events to the prefix index.
func (r *Router) ApplyCacheEvents(events []inventory.TargetEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range events {
		r.prefixes.apply(r.loadOf(events[i].Target).id, &events[i])
	}
}
