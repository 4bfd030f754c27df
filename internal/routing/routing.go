// Package routing selects the target of each call. It filters and scores the
// targets of an inventory snapshot and picks the best one.
package routing

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

var (
	// ErrNoTarget means that no usable target serves the model or service now.
	ErrNoTarget = merry.Sentinel("routing: no target serves the request")
	// ErrNoCapacity means that every usable target that serves the request is
	// full.
	ErrNoCapacity = merry.Sentinel("routing: all targets are full")
)

// Class is the priority class of a request.
type Class string

const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Request holds the properties of a request that a routing decision depends on.
type Request struct {
	// Served is the name of the model or adapter; empty for services.
	Served string
	// Service is the name of the plain service; empty for model calls.
	Service  string
	Account  string
	Class    Class
	Deadline time.Time
	Prefixes []target.PrefixHash
	// Exclude lists targets that have already failed the call.
	Exclude []string
}

// Outcome is the result of a call on a target.
type Outcome int

const (
	// Completed means that the whole response arrived.
	Completed Outcome = iota
	// Failed means that the target failed the call.
	Failed
	// Rejected means that the target rejected the call because of overload.
	Rejected
	// Cancelled means that the caller disconnected or cancelled the call.
	Cancelled
	// NotResident means that the target no longer has the model loaded.
	NotResident
)

// Slot is reserved capacity for one call on a target. Done must be called exactly
// once.
type Slot struct {
	Target *environment.Target

	done           func(Outcome)
	onDone         func(Outcome)
	router         *Router
	load           *targetLoad
	key            groupKey
	startedAt      time.Time
	firstTokenSeen bool
}

// NewSlot returns a slot that passes the outcome of its call to done.
func NewSlot(t *environment.Target, done func(Outcome)) *Slot {
	return &Slot{Target: t, done: done}
}

// OnDone sets a function that is called after the slot is freed. Set it before
// the slot is passed to other code.
func (s *Slot) OnDone(f func(Outcome)) { s.onDone = f }

// Done frees the slot.
func (s *Slot) Done(outcome Outcome) {
	if s.done != nil {
		s.done(outcome)
	} else {
		s.router.finish(s, outcome)
	}
	if s.onDone != nil {
		s.onDone(outcome)
	}
}

// FirstToken records the arrival of the first token of the response. Only the
// first call has an effect.
func (s *Slot) FirstToken() {
	if s.router == nil || s.firstTokenSeen {
		return
	}
	s.firstTokenSeen = true
	s.router.recordFirstToken(s)
}

// Gate limits the calls on engines across all instances.
type Gate interface {
	// IsWarm reports whether the engine can run at its full concurrency.
	IsWarm(t *environment.Target) bool
	// CanAcquire reports whether a call may start on the engine.
	CanAcquire(t *environment.Target) bool
	// Acquire counts a starting call, or returns false if none may start. The gate
	// may then request a permit.
	Acquire(t *environment.Target) bool
	// Release ends a call counted by Acquire.
	Release(t *environment.Target, completed bool)
	// Suspect reports that the engine is slow or fails as a cold one does.
	Suspect(t *environment.Target)
}
