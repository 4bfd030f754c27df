package usage

import (
	"slices"
	"sync"
	"time"
)

// Counter counts the calls of this run of the instance. It is safe for concurrent use.
type Counter struct {
	instance, run string
	timing        Timing
	clock         *Clock
	since         int64

	mu      sync.Mutex
	version uint64
	windows map[int64]map[int]count
	// names are the accounts by their numbers, numbers those of the accounts, and namedAt the
	// versions at which they first appeared.
	names   []string
	numbers map[string]int
	namedAt []uint64
	// pruned is the first window whose counts are kept.
	pruned int64
	final  bool
}

// count is a number of calls, and the version of the run's counts at its last change.
type count struct {
	n       int64
	version uint64
}

// NewCounter returns a counter of a run that begins now.
func NewCounter(instance, run string, timing Timing, clock *Clock, now time.Time) *Counter {
	return &Counter{
		instance: instance, run: run, timing: timing, clock: clock,
		since: timing.WindowAt(clock.True(now)), windows: make(map[int64]map[int]count), numbers: make(map[string]int),
	}
}

// Add counts n calls of an account that began to run at a time. A negative n takes back
// calls that turned out not to have run, with the time at which they were counted.
func (c *Counter) Add(account string, at time.Time, n int64) {
	window := c.timing.WindowAt(c.clock.True(at))
	c.mu.Lock()
	defer c.mu.Unlock()
	if window < c.pruned {
		return
	}
	counts := c.windows[window]
	if counts == nil {
		counts = make(map[int]count)
		c.windows[window] = counts
	}
	c.version++
	number, named := c.numbers[account]
	if !named {
		number = len(c.names)
		c.numbers[account], c.names, c.namedAt = number, append(c.names, account), append(c.namedAt, c.version)
	}
	counts[number] = count{counts[number].n + n, c.version}
}

// End records that the last call of the run has ended.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.final = true
}

// countingDelay is more than passes between the beginning of a call and Add.
const countingDelay = 50 * time.Millisecond

// Changes returns the counts of windows after decided that changed after a version.
func (c *Counter) Changes(version uint64, decided int64, now time.Time) RunCounts {
	return c.changes(version, decided, now, true)
}

// changes returns the counts of windows after decided that changed after a version, those of
// windows that go on only if running is set. Those left out get a later version than that of
// the result, so that they are among the next changes.
func (c *Counter) changes(version uint64, decided int64, now time.Time, running bool) RunCounts {
	through := c.timing.WindowAt(c.clock.True(now)-countingDelay) - 1
	c.mu.Lock()
	defer c.mu.Unlock()
	r := RunCounts{
		Instance: c.instance, Run: c.run, Since: c.since, Version: c.version, Base: version, Through: through, Final: c.final,
		TimeMS: c.clock.Own(now).Milliseconds(),
	}
	r.FirstName, _ = slices.BinarySearch(c.namedAt, version+1)
	r.Names = slices.Clone(c.names[r.FirstName:])
	for window, counts := range c.windows {
		if window <= decided {
			continue
		}
		if window > through && !running {
			c.version = r.Version + 1
			for number, n := range counts {
				counts[number] = count{n.n, c.version}
			}
			continue
		}
		var changed []int64
		for number, n := range counts {
			if n.version > version {
				changed = append(changed, int64(number), n.n)
			}
		}
		if len(changed) > 0 {
			r.Windows = append(r.Windows, WindowCounts{window, changed})
		}
	}
	return r
}

// Prune drops the windows whose reports are given up.
func (c *Counter) Prune(now time.Time) {
	oldest := c.timing.oldest(c.clock.True(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruned = oldest
	for window := range c.windows {
		if window < c.pruned {
			delete(c.windows, window)
		}
	}
}
