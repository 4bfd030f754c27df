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
	// samplesNear and samplesFar are the candidates drawn from the own and from
	// other availability zones.
	samplesNear = 4
	samplesFar  = 2
	// maxScan bounds the candidates of each side that are looked at when none of
	// those drawn has room.
	maxScan = 64
)

// Router keeps the calls in flight of this instance. It is safe for concurrent
// use.
//
// Lock order: mu before the gate's own lock.
type Router struct {
	zone     string
	snapshot func() *inventory.Snapshot
	clock    clockwork.Clock
	gate     Gate
	// sharers returns the number of live instances of a zone, or of all zones
	// for an empty name.
	sharers func(zone string) int
	random  func(n int) int
	metrics *Metrics

	mu       sync.Mutex
	loads    map[string]*load
	byID     []string
	groups   map[groupKey]*group
	revision uint64
	prefixes *prefixIndex
	freed    []func()
}

// Option changes a router.
type Option func(*Router)

// WithGate bounds engines over all instances together.
func WithGate(g Gate) Option { return func(r *Router) { r.gate = g } }

// WithLiveInstances sets the function that counts live instances.
func WithLiveInstances(f func(zone string) int) Option { return func(r *Router) { r.sharers = f } }

// WithRandom sets the source of random numbers below n.
func WithRandom(f func(n int) int) Option { return func(r *Router) { r.random = f } }

// WithMetrics sets the metrics.
func WithMetrics(m *Metrics) Option { return func(r *Router) { r.metrics = m } }

// New returns a router for an instance in zone. Without a gate the instance
// bounds engines by their reports alone.
func New(zone string, snapshot func() *inventory.Snapshot, clock clockwork.Clock, options ...Option) *Router {
	r := &Router{
		zone:     zone,
		snapshot: snapshot,
		clock:    clock,
		sharers:  func(string) int { return 1 },
		random:   rand.IntN,
		loads:    make(map[string]*load),
		byID:     []string{""},
		groups:   make(map[groupKey]*group),
		prefixes: newPrefixIndex(),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// groupKey names a model, an adapter or a service.
type groupKey struct {
	name      string
	isService bool
}

// group holds the candidates of one name in one snapshot.
type group struct {
	snapshot  *inventory.Snapshot
	near, far []candidate
	byID      map[uint32]candidate
}

type candidate struct {
	state *inventory.TargetState
	load  *load
	far   bool
	// sharers is the number of instances that divide the target's free places.
	sharers int
}

// Pick reserves a slot for the request on the best target.
func (r *Router) Pick(request Request) (*Slot, error) {
	now := r.clock.Now()
	r.mu.Lock()
	g := r.group(&request)
	c, full := r.choose(g, &request, now)
	if c.state == nil {
		r.mu.Unlock()
		return nil, r.refusal(full)
	}
	c.load.inFlight++
	c.load.net++
	c.load.breaker.started(now)
	r.mu.Unlock()
	r.metrics.picked(c.far)
	return &Slot{Target: c.state.Target, router: r, load: c.load, key: keyOfRequest(&request), startedAt: now}, nil
}

func (r *Router) refusal(full bool) error {
	if full {
		r.metrics.refused("no_capacity")
		return merry.Wrap(ErrNoCapacity)
	}
	r.metrics.refused("no_target")
	return merry.Wrap(ErrNoTarget)
}

// group returns the candidates of the request, made anew for each snapshot on
// first use. It requires r.mu.
func (r *Router) group(request *Request) *group {
	snapshot := r.snapshot()
	if revision := snapshot.View.State.Revision; revision != r.revision {
		r.revision = revision
		clear(r.groups)
	}
	key := keyOfRequest(request)
	g := r.groups[key]
	if g == nil || g.snapshot != snapshot {
		g = r.newGroup(snapshot, key)
		r.groups[key] = g
	}
	return g
}

func keyOfRequest(request *Request) groupKey {
	if request.Service != "" {
		return groupKey{name: request.Service, isService: true}
	}
	return groupKey{name: request.Served}
}

// drop leaves a target out of a group until the next snapshot. It requires r.mu.
func (r *Router) drop(key groupKey, l *load) {
	g := r.groups[key]
	if g == nil {
		return
	}
	isDropped := func(c candidate) bool { return c.load == l }
	g.near = slices.DeleteFunc(g.near, isDropped)
	g.far = slices.DeleteFunc(g.far, isDropped)
	delete(g.byID, l.id)
}

func (r *Router) newGroup(snapshot *inventory.Snapshot, key groupKey) *group {
	states := snapshot.Serving(key.name)
	if key.isService {
		states = snapshot.ServiceTargets(key.name)
	}
	g := &group{snapshot: snapshot, byID: make(map[uint32]candidate, len(states))}
	all := r.sharers("")
	for _, s := range states {
		if snapshot.View.IsTargetOut(s.Target) {
			continue
		}
		c := candidate{state: s, load: r.load(s.Target.Name), far: s.Target.Zone != r.zone, sharers: all}
		c.load.follow(s)
		if c.far {
			g.far = append(g.far, c)
		} else {
			if s.Target.Kind == environment.TargetEngine {
				c.sharers = r.sharers(r.zone)
			}
			g.near = append(g.near, c)
		}
		g.byID[c.load.id] = c
	}
	return g
}

// load requires r.mu.
func (r *Router) load(name string) *load {
	l := r.loads[name]
	if l == nil {
		l = &load{id: uint32(len(r.byID))}
		r.loads[name] = l
		r.byID = append(r.byID, name)
	}
	return l
}

// choice is the best candidate found so far.
type choice struct {
	best  candidate
	score float64
	full  bool
	found bool
	// refused is a target that bears too few calls for want of permits.
	refused candidate
}

// choose reserves a place at the gate for the best candidate. It requires r.mu.
func (r *Router) choose(g *group, request *Request, now time.Time) (candidate, bool) {
	var c choice
	cached, depth := r.prefixes.find(request.Served, request.Prefixes)
	for _, id := range cached {
		if known, ok := g.byID[id]; ok && id != 0 {
			r.consider(&c, known, request, len(request.Prefixes)-depth, now, false)
		}
	}
	r.draw(&c, g.near, samplesNear, request, now, false)
	r.draw(&c, g.far, samplesFar, request, now, false)
	if !c.found {
		r.draw(&c, g.near, maxScan, request, now, false)
		r.draw(&c, g.far, maxScan, request, now, false)
	}
	if !c.found {
		// The last targets left are used even if their breakers are open.
		r.draw(&c, g.near, maxScan, request, now, true)
		r.draw(&c, g.far, maxScan, request, now, true)
	}
	if c.refused.state != nil && c.prefersRefused() && r.acquire(c.refused.state.Target) {
		return c.refused, false
	}
	if !c.found || !r.acquire(c.best.state.Target) {
		return candidate{}, c.full || c.found
	}
	return c.best, false
}

// prefersRefused reports whether to ask for a permit of the refused target: no
// other was found, or it is nearer or the one found is half full.
func (c *choice) prefersRefused() bool {
	if !c.found {
		return true
	}
	isHalfFull := 2*c.best.load.running(c.best.state) >= c.best.state.Target.Concurrency
	return isHalfFull || c.best.far && !c.refused.far
}

// draw looks at up to n candidates from a random place on.
func (r *Router) draw(c *choice, from []candidate, n int, request *Request, now time.Time, ejected bool) {
	if len(from) == 0 {
		return
	}
	n = min(n, len(from))
	at := r.random(len(from))
	stride := 1
	if len(from) > maxScan {
		stride = len(from) / n
	}
	for range n {
		r.consider(c, from[at], request, len(request.Prefixes), now, ejected)
		at = (at + stride) % len(from)
	}
}

func (r *Router) consider(c *choice, k candidate, request *Request, missed int, now time.Time, ejected bool) {
	t := k.state.Target
	if slices.Contains(request.Exclude, t.Name) {
		return
	}
	if !ejected && (k.load.breaker.isEjected(now) || k.state.Unreachable) {
		return
	}
	isWarm, ok := r.bears(k, request.Class, now)
	if !ok {
		c.full = true
		if !isWarm && (c.refused.state == nil || c.refused.far && !k.far) {
			c.refused = k
		}
		return
	}
	f := features{
		running:      k.load.running(k.state),
		limit:        t.Concurrency,
		missedBlocks: missed,
		otherZone:    k.far,
		warm:         isWarm,
		urgent:       !request.Deadline.IsZero() && request.Deadline.Sub(now) < urgentWithin,
		failures:     k.load.breaker.recentFailures(now),
	}
	if score := f.score(); !c.found || score < c.score {
		c.best, c.score, c.found = k, score, true
	}
}

// bears reports whether the target is warm and whether it bears one more call.
func (r *Router) bears(k candidate, class Class, now time.Time) (isWarm, ok bool) {
	t := k.state.Target
	if t.Kind == environment.TargetService {
		return true, k.load.hasRoom(k.state, t.Concurrency, k.sharers)
	}
	if r.gate == nil {
		return r.bearsByReport(k, class, now)
	}
	if r.gate.IsWarm(t) {
		return true, k.load.hasRoom(k.state, limitFor(t, class), k.sharers)
	}
	return false, r.gate.CanAcquire(t)
}

func (r *Router) bearsByReport(k candidate, class Class, now time.Time) (isWarm, ok bool) {
	t := k.state.Target
	if k.state.Report.Cold || !k.state.IsFresh(now) {
		return false, k.state.IsFresh(now) && k.load.inFlight < t.ColdConcurrency
	}
	return true, k.load.hasRoom(k.state, limitFor(t, class), k.sharers)
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
	s.load.net--
	s.load.breaker.note(outcome, now, func() bool { return r.mayEject(s.Target) })
	if outcome == NotResident {
		r.drop(s.key, s.load)
	}
	isSuspect := isEngine && isFailure(outcome) && s.load.breaker.failures == openAfter
	r.mu.Unlock()
	r.metrics.ended(outcome, isSuspect)
	if r.gate != nil && isEngine {
		r.gate.Release(s.Target, outcome == Completed)
		if isSuspect {
			r.gate.Suspect(s.Target)
		}
	}
	r.NotifyFreed()
}

func isFailure(outcome Outcome) bool { return outcome == Failed || outcome == Rejected }

func (r *Router) noteFirstToken(s *Slot) {
	d := r.clock.Since(s.startedAt)
	r.mu.Lock()
	isSlow := s.load.latency.note(d)
	r.mu.Unlock()
	if isSlow && r.gate != nil && s.Target.Kind == environment.TargetEngine {
		r.gate.Suspect(s.Target)
	}
}

// mayEject reports whether every model or service of the target keeps two thirds
// of its targets without it. It requires r.mu.
func (r *Router) mayEject(t *environment.Target) bool {
	snapshot := r.snapshot()
	state := snapshot.Target(t.Name)
	if state == nil {
		return true
	}
	if t.Kind == environment.TargetService {
		return r.leavesEnough(snapshot.ServiceTargets(t.Service))
	}
	for i := range state.Report.Residents {
		resident := &state.Report.Residents[i]
		name := resident.Model
		if resident.Adapter != "" {
			name = resident.Adapter
		}
		if !r.leavesEnough(snapshot.Serving(name)) {
			return false
		}
	}
	return true
}

func (r *Router) leavesEnough(states []*inventory.TargetState) bool {
	ejected := 1
	for _, s := range states {
		if l := r.loads[s.Target.Name]; l != nil && l.breaker.open {
			ejected++
		}
	}
	return ejected*ejectedShare <= len(states)
}

// OnFreed adds a function that is called after a slot is freed or capacity
// rises. It is called without locks held and must not block.
func (r *Router) OnFreed(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freed = append(r.freed, f)
}

// NotifyFreed tells that capacity rose.
func (r *Router) NotifyFreed() {
	r.mu.Lock()
	freed := r.freed
	r.mu.Unlock()
	for _, f := range freed {
		f()
	}
}

// ApplyCacheEvents takes new cache events.
func (r *Router) ApplyCacheEvents(events []inventory.TargetEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range events {
		r.prefixes.apply(r.load(events[i].Target).id, &events[i])
	}
}
