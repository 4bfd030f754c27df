package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the newest state known. Invariant: the version never decreases.
type Holder struct {
	current atomic.Pointer[State]

	mu sync.Mutex
	// confirmed is when a source last showed that this version is the newest.
	confirmed time.Time
}

// NewHolder returns a holder without a state.
func NewHolder() *Holder { return &Holder{} }

// Current returns the state in force, or nil before the first.
func (h *Holder) Current() *State { return h.current.Load() }

// SetIfNewer takes a state if it is newer than the one in force, and reports whether
// it did. An equal version counts as confirmed at the time at.
func (h *Holder) SetIfNewer(s *State, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.current.Load()
	if now != nil && s.Version <= now.Version {
		if s.Version == now.Version {
			h.confirmed = at
		}
		return false
	}
	h.current.Store(s)
	h.confirmed = at
	return true
}

// Confirm notes that the state in force was the newest at the time at.
func (h *Holder) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Age returns the time since the state was last confirmed.
func (h *Holder) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.confirmed)
}
