// Package routing chooses the target of each call: filter, score and pick over
// a snapshot of the inventory.
package routing

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
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
	// NotResident means that the target does not hold the model any more.
	NotResident
)

// Slot is a place for one call on a target. Done is called exactly once.
type Slot struct {
	Target *environment.Target

	done       func(Outcome)
	after      func(Outcome)
	router     *Router
	load       *load
	key        groupKey
	startedAt  time.Time
	firstToken bool
}

// NewSlot returns a slot that hands the outcome of its call to done.
func NewSlot(t *environment.Target, done func(Outcome)) *Slot {
	return &Slot{Target: t, done: done}
}

// OnDone sets a function that is called once the slot is freed. It is set
// before the slot is handed on.
func (s *Slot) OnDone(after func(Outcome)) { s.after = after }

// Done frees the slot.
func (s *Slot) Done(outcome Outcome) {
	if s.done != nil {
		s.done(outcome)
	} else {
		s.router.finish(s, outcome)
	}
	if s.after != nil {
		s.after(outcome)
	}
}

// FirstToken tells that the first token of the answer came. Later calls have no
// effect.
func (s *Slot) FirstToken() {
	if s.router == nil || s.firstToken {
		return
	}
	s.firstToken = true
	s.router.noteFirstToken(s)
}

// Gate bounds the calls on engines over all instances together.
type Gate interface {
	// IsWarm reports whether the engine bears its full concurrency.
	IsWarm(t *environment.Target) bool
	// CanAcquire reports whether a call may start.
	CanAcquire(t *environment.Target) bool
	// Acquire counts a call that starts, or returns false.
	Acquire(t *environment.Target) bool
	// Release ends a call that was counted.
	Release(t *environment.Target, completed bool)
	// Suspect tells that the engine slows or fails like a cold one.
	Suspect(t *environment.Target)
}
