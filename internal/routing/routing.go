// Package routing chooses the target of each call: filter, score and pick over
// a snapshot of the inventory.
package routing

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Errors of routing.
var (
	// ErrNoTarget means that no target serves the model or service now.
	ErrNoTarget = merry.Sentinel("routing: no target serves the request")
	// ErrNoCapacity means that every target that serves the request is full.
	ErrNoCapacity = merry.Sentinel("routing: all targets are full")
)

// Class orders requests of different urgency.
type Class string

// Classes of request.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Request is what a decision depends on.
type Request struct {
	// Served is the model or adapter name; empty for services.
	Served string
	// Service is the plain service; empty for model calls.
	Service  string
	Account  string
	Class    Class
	Deadline time.Time
	Prefixes []target.PrefixHash
	// Exclude lists targets that already failed the call.
	Exclude []string
}

// Outcome is how a call on a target ended.
type Outcome int

// Outcomes of calls.
const (
	// Completed means that the whole answer came.
	Completed Outcome = iota
	// Failed means that the target failed the call.
	Failed
	// Rejected means that the target refused the call as overloaded.
	Rejected
	// Cancelled means that the caller left or gave the call up.
	Cancelled
)

// Slot is a place for one call on a target. Done is called exactly once.
type Slot struct {
	Target *environment.Target
	router *Router
	// free replaces the router's accounting if it is set.
	free func(Outcome)
}

// NewSlot returns a slot on target whose Done calls free.
func NewSlot(target *environment.Target, free func(Outcome)) *Slot {
	return &Slot{Target: target, free: free}
}

// Done frees the slot.
func (s *Slot) Done(outcome Outcome) {
	if s.free != nil {
		s.free(outcome)
		return
	}
	s.router.done(s, outcome)
}

// Router keeps the calls in flight of this instance. It is safe for concurrent
// use.
type Router struct {
	zone     string
	snapshot func() *inventory.Snapshot
	clock    clockwork.Clock

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a router for an instance in zone.
func New(zone string, snapshot func() *inventory.Snapshot, clock clockwork.Clock) *Router {
	return &Router{zone: zone, snapshot: snapshot, clock: clock, inFlight: make(map[string]int)}
}

// Pick reserves a slot for the request on the best target.
func (r *Router) Pick(request Request) (*Slot, error) {
	snapshot := r.snapshot()
	candidates := snapshot.Serving(request.Served)
	if request.Service != "" {
		candidates = snapshot.ServiceTargets(request.Service)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best, err := r.best(snapshot, candidates, request)
	if err != nil {
		return nil, err
	}
	r.inFlight[best.Target.Name]++
	return &Slot{Target: best.Target, router: r}, nil
}

// best requires r.mu.
func (r *Router) best(snapshot *inventory.Snapshot, candidates []*inventory.TargetState, request Request) (*inventory.TargetState, error) {
	var best *inventory.TargetState
	var bestScore float64
	full := false
	for _, c := range candidates {
		if !r.isEligible(snapshot, c, request) {
			continue
		}
		if r.inFlight[c.Target.Name] >= limit(c) {
			full = true
			continue
		}
		if score := r.score(c); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	switch {
	case best != nil:
		return best, nil
	case full:
		return nil, merry.Wrap(ErrNoCapacity)
	}
	return nil, merry.Wrap(ErrNoTarget)
}

func (r *Router) isEligible(snapshot *inventory.Snapshot, c *inventory.TargetState, request Request) bool {
	if snapshot.View.IsTargetOut(c.Target) {
		return false
	}
	if c.Target.Kind == environment.TargetEngine && !c.IsFresh(r.clock.Now()) {
		return false
	}
	for _, name := range request.Exclude {
		if name == c.Target.Name {
			return false
		}
	}
	return true
}

func limit(c *inventory.TargetState) int {
	if c.Report.Cold {
		return c.Target.ColdConcurrency
	}
	return c.Target.Concurrency
}

// otherZonePenalty is added to the score of targets in other zones.
const otherZonePenalty = 0.25

// score is lower for better targets: the share of slots in use.
func (r *Router) score(c *inventory.TargetState) float64 {
	load := max(r.inFlight[c.Target.Name], c.Report.Running+c.Report.Queued)
	score := float64(load) / float64(limit(c))
	if c.Target.Zone != r.zone {
		score += otherZonePenalty
	}
	return score
}

func (r *Router) done(s *Slot, _ Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[s.Target.Name]--
	if r.inFlight[s.Target.Name] == 0 {
		delete(r.inFlight, s.Target.Name)
	}
}
