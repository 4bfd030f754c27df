package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// clockSamples is the number of samples of the wall clock, one a second, of which the
	// median counts. A wall clock that jumped is followed after a minute, and a jump that is
	// taken back before is ignored.
	clockSamples = 121
	// adoptedFor is how long the time of the fleet counts after it was last heard.
	adoptedFor = 30 * time.Second
	// maxAdoptedDelay is the round trip above which the time in a response is not adopted, and
	// maxAdoptedError the error that an adopted time may have for it.
	maxAdoptedDelay = 200 * time.Millisecond
	maxAdoptedError = maxAdoptedDelay / 2
)

// Clock tells true time. It follows the monotonic clock; its offset is the median of this
// instance's samples of the wall clock, or, if that is wrong, of the instances' clocks as the
// holder of the duty last told it. The median over time ignores short jumps, also on a single
// instance, and the median over instances those that last. It is safe for concurrent use.
type Clock struct {
	base time.Time

	mu      sync.Mutex
	samples []time.Duration
	next    int
	own     time.Duration
	fleet   time.Duration
	fleetAt time.Time
}

// NewClock returns a clock. The base has a monotonic reading and is the first sample.
func NewClock(base time.Time) *Clock {
	c := &Clock{base: base}
	c.Sample(base, base.UnixNano())
	return c
}

// Sample records a reading of the wall clock, in ns since 1970, at a time of which only the
// monotonic reading is used.
func (c *Clock) Sample(at time.Time, wall int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(wall) - at.Sub(c.base)
	if len(c.samples) < clockSamples {
		c.samples = append(c.samples, offset)
	} else {
		c.samples[c.next] = offset
		c.next = (c.next + 1) % clockSamples
	}
	c.own = median(slices.Clone(c.samples))
}

// Own returns the true time at a time according to this instance alone.
func (c *Clock) Own(at time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own + at.Sub(c.base)
}

// True returns the true time at a time.
func (c *Clock) True(at time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fleetAt.IsZero() && at.Sub(c.fleetAt) < adoptedFor {
		return c.fleet + at.Sub(c.base)
	}
	return c.own + at.Sub(c.base)
}

// Adopt records the true time of the fleet at a time. The own time is kept if it differs by no
// more than the error of the other one, which would count calls near the end of a window in the
// next.
func (c *Clock) Adopt(fleet time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := fleet - at.Sub(c.base)
	if (offset - c.own).Abs() <= maxAdoptedError {
		c.fleetAt = time.Time{}
		return
	}
	c.fleet, c.fleetAt = offset, at
}

// median returns the median, the lower one of two. It sorts its argument.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
