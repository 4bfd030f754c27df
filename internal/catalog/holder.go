package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the newest known state. Invariant: the version never decreases.
type Holder struct {
	current atomic.Pointer[State]

	mu sync.Mutex
	// confirmedAt is when a source last confirmed that this version is the newest.
	confirmedAt time.Time
}

// NewHolder returns a holder without a state.
func NewHolder() *Holder { return &Holder{} }

// Current returns the state in force, or nil if there is none yet.
func (h *Holder) Current() *State { return h.current.Load() }

// SetIfNewer replaces the state in force if s is newer, and reports whether it did.
// A state of the same version confirms the one in force at the time at.
func (h *Holder) SetIfNewer(s *State, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if current != nil && s.Version <= current.Version {
		if s.Version == current.Version {
			h.confirmedAt = at
		}
		return false
	}
	h.current.Store(s)
	h.confirmedAt = at
	return true
}

// Confirm records that the state in force was the newest at the time at.
func (h *Holder) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// Age returns the time since the state was last confirmed.
func (h *Holder) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmedAt)
}
