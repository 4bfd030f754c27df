// Package steppedclock is a fake clock for tests that need the same order of
// events in every run: functions set by AfterFunc run on the goroutine that
// advances the clock, and waiting advances it. It is no part of the product.
package steppedclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock implements clockwork.Clock.
type Clock struct {
	*clockwork.FakeClock

	mu      sync.Mutex
	pending []*timer
}

var _ clockwork.Clock = (*Clock)(nil)

type timer struct {
	clock *Clock
	at    time.Time
	f     func()
}

// New returns a clock that stands at an arbitrary fixed time.
func New() *Clock { return &Clock{FakeClock: clockwork.NewFakeClock()} }

// AfterFunc implements clockwork.Clock.
func (c *Clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := &timer{clock: c, at: c.Now().Add(d), f: f}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, t)
	return t
}

// After implements clockwork.Clock. It advances the clock itself.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	done := make(chan time.Time, 1)
	done <- c.Now()
	return done
}

// Sleep implements clockwork.Clock. It advances the clock itself.
func (c *Clock) Sleep(d time.Duration) { c.Advance(d) }

// Advance moves the clock and runs what becomes due, in order.
func (c *Clock) Advance(d time.Duration) {
	end := c.Now().Add(d)
	for t := c.next(end); t != nil; t = c.next(end) {
		c.moveTo(t.at)
		t.f()
	}
	c.moveTo(end)
}

func (c *Clock) moveTo(at time.Time) {
	if d := at.Sub(c.Now()); d > 0 {
		c.FakeClock.Advance(d)
	}
}

// next removes and returns the first timer due by end, or nil.
func (c *Clock) next(end time.Time) *timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := -1
	for i, t := range c.pending {
		if !t.at.After(end) && (first < 0 || t.at.Before(c.pending[first].at)) {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	t := c.pending[first]
	c.pending = append(c.pending[:first], c.pending[first+1:]...)
	return t
}

// Chan implements clockwork.Timer.
func (t *timer) Chan() <-chan time.Time { return nil }

// Reset implements clockwork.Timer.
func (t *timer) Reset(d time.Duration) bool {
	active := t.Stop()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.at = t.clock.Now().Add(d)
	t.clock.pending = append(t.clock.pending, t)
	return active
}

// Stop implements clockwork.Timer.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	for i, other := range t.clock.pending {
		if other == t {
			t.clock.pending = append(t.clock.pending[:i], t.clock.pending[i+1:]...)
			return true
		}
	}
	return false
}
