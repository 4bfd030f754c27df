package usage

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// clockVotes is the number of messages of an instance of which the one with the least
	// delay tells its clock. A holder that was paused handles those of the pause late.
	clockVotes = 4
	// clockVoteAge is how long the clock of an instance counts.
	clockVoteAge = 10 * time.Second
	// coveringPart is the part of the instances whose counts of a window must be complete, so
	// that a holder which did not collect at the time reports it. With fewer, the counts of
	// instances that ended are missing by more than the platform tolerates.
	coveringPart = 0.5
	// silentWindows is the number of windows without counts of a run after which it ended, or
	// was out of touch, before a window: each run sends its counts after each window.
	silentWindows = 3
	// maxOpenBytes is the size from which on no further counts are added to a response about
	// open windows, which has to fit into a frame of the mesh (4 MiB) with those of one window
	// more. The others are estimates of the size of its parts.
	maxOpenBytes   = 1 << 20
	openRunBytes   = 120
	openNameBytes  = 3
	openCountBytes = 12
)

// Collector holds the counts of all runs of instances that this instance received. It is
// safe for concurrent use.
type Collector struct {
	mu   sync.Mutex
	runs map[string]*collectedRun
	// clocks holds the offsets of the clocks of instances to the monotonic clock of this one.
	clocks map[string]*clockVote
}

type collectedRun struct {
	instance string
	since    int64
	version  uint64
	through  int64
	final    bool
	// names are the accounts by their numbers.
	names   []string
	windows map[int64]map[int]count
}

type clockVote struct {
	offsets []time.Duration
	at      time.Time
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{runs: make(map[string]*collectedRun), clocks: make(map[string]*clockVote)}
}

// Merge adds the counts of a report received at a time, as read on the monotonic clock since
// the base of clock. A count of an earlier version does not replace a later one. It returns
// false, and adds nothing, if the report builds on one that did not arrive: the sender has to
// send all counts.
func (c *Collector) Merge(r RunCounts, clock *Clock, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vote(r.Instance, r.TimeMS, clock, now)
	run := c.runs[r.Run]
	if run == nil {
		run = &collectedRun{instance: r.Instance, since: r.Since, windows: make(map[int64]map[int]count)}
	}
	if r.Base > run.version || r.FirstName < 0 || r.FirstName > len(run.names) || !r.isValid() {
		return false
	}
	c.runs[r.Run] = run
	if known := len(run.names) - r.FirstName; known < len(r.Names) {
		run.names = append(run.names, r.Names[known:]...)
	}
	if r.TimeMS > 0 && r.Version >= run.version {
		// It may be lower than before if the clock of the instance was wrong.
		run.through = r.Through
	} else {
		run.through = max(run.through, r.Through)
	}
	if !r.Partial {
		run.version = max(run.version, r.Version)
	}
	run.final = run.final || r.Final
	for _, w := range r.Windows {
		counts := run.windows[w.Window]
		if counts == nil {
			counts = make(map[int]count)
			run.windows[w.Window] = counts
		}
		for i := 0; i < len(w.Counts); i += 2 {
			number := int(w.Counts[i])
			if r.Version >= counts[number].version {
				counts[number] = count{w.Counts[i+1], r.Version}
			}
		}
	}
	return true
}

// isValid reports whether each count belongs to a named account.
func (r *RunCounts) isValid() bool {
	for _, w := range r.Windows {
		if len(w.Counts)%2 != 0 {
			return false
		}
		for i := 0; i < len(w.Counts); i += 2 {
			if w.Counts[i] < 0 || w.Counts[i] >= int64(r.FirstName+len(r.Names)) {
				return false
			}
		}
	}
	return true
}

// Vote records the true time according to an instance, in ms, as received at a time.
func (c *Collector) Vote(instance string, timeMS int64, clock *Clock, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vote(instance, timeMS, clock, now)
}

// vote requires c.mu.
func (c *Collector) vote(instance string, timeMS int64, clock *Clock, now time.Time) {
	if timeMS == 0 {
		return
	}
	vote := c.clocks[instance]
	if vote == nil {
		vote = &clockVote{}
		c.clocks[instance] = vote
	}
	vote.at = now
	vote.offsets = append(vote.offsets, time.Duration(timeMS)*time.Millisecond-now.Sub(clock.base))
	if len(vote.offsets) > clockVotes {
		vote.offsets = vote.offsets[1:]
	}
}

// True returns the median of the clocks of the instances at a time, and the number of clocks
// known.
func (c *Collector) True(clock *Clock, now time.Time) (at time.Duration, clocks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var offsets []time.Duration
	for _, vote := range c.clocks {
		if now.Sub(vote.at) < clockVoteAge {
			// A delay makes a clock seem slow.
			offsets = append(offsets, slices.Max(vote.offsets))
		}
	}
	if len(offsets) == 0 {
		return 0, 0
	}
	return median(offsets) + now.Sub(clock.base), len(offsets)
}

// Sum returns the counts of a window over all runs, without accounts that have none.
func (c *Collector) Sum(window int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64)
	for _, run := range c.runs {
		for number, n := range run.windows[window] {
			out[run.names[number]] += n.n
		}
	}
	for account, n := range out {
		if n <= 0 {
			delete(out, account)
		}
	}
	return out
}

// Through returns the last window of each instance whose counts arrived after its end.
func (c *Collector) Through() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.runs))
	for _, run := range c.runs {
		out[run.instance] = max(out[run.instance], run.through)
	}
	return out
}

// First returns the first window in which a run began, or false if there is no run.
func (c *Collector) First() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, ok := int64(0), false
	for _, run := range c.runs {
		if !ok || run.since < first {
			first, ok = run.since, true
		}
	}
	return first, ok
}

// Covers reports whether the counts of a window that has been closed are complete for enough
// of the instances that ran during it to stand for those of all.
func (c *Collector) Covers(window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// latest holds the latest run of each instance that began before the window.
	latest := make(map[string]*collectedRun)
	for _, run := range c.runs {
		known := latest[run.instance]
		if run.since < window && (known == nil || run.since > known.since || run.since == known.since && run.through > known.through) {
			known = run
		}
		latest[run.instance] = known
	}
	instances, covering := 0, 0
	for _, run := range latest {
		switch {
		case run == nil:
			// An earlier run may have ended with its counts.
			instances++
		case run.final || run.through >= window:
			instances, covering = instances+1, covering+1
		case run.through >= window-silentWindows:
			// It ended during the window, or its counts did not arrive.
			instances++
		}
	}
	return float64(covering) >= coveringPart*float64(instances) && covering > 0
}

// Open returns the counts of windows after the given one from a position on, as many as take
// about maxBytes, and the position of the next ones, the zero value if there are none.
func (c *Collector) Open(after int64, from openPosition, maxBytes int) (out []RunCounts, next openPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.runs)) {
		run := c.runs[id]
		first, version := after, run.version
		switch {
		case id < from.Run || id == from.Run && from.Window == math.MaxInt64:
			continue
		case id == from.Run:
			first, version = max(after, from.Window), from.Version
		}
		if maxBytes <= 0 {
			return out, next
		}
		r := RunCounts{Instance: run.instance, Run: id, Since: run.since, Version: run.version, Names: run.names}
		maxBytes -= openRunBytes
		for _, name := range run.names {
			maxBytes -= openNameBytes + len(name)
		}
		for _, window := range slices.Sorted(maps.Keys(run.windows)) {
			if window <= first {
				continue
			}
			// There is one window in each response, so that the position moves on.
			if maxBytes <= 0 && len(r.Windows) > 0 {
				r.Partial = true
				return append(out, r), openPosition{id, r.Windows[len(r.Windows)-1].Window, version}
			}
			w := WindowCounts{Window: window}
			for number, n := range run.windows[window] {
				w.Counts = append(w.Counts, int64(number), n.n)
			}
			maxBytes -= openCountBytes * (1 + len(w.Counts)/2)
			r.Windows = append(r.Windows, w)
		}
		// Counts that changed between two responses are sent by the run itself.
		if r.Partial = version != run.version; !r.Partial {
			r.Through, r.Final = run.through, run.final
		}
		out = append(out, r)
		next = openPosition{Run: id, Window: math.MaxInt64, Version: run.version}
	}
	return out, openPosition{}
}

// Prune drops windows before the given one, and runs that ended before it.
func (c *Collector) Prune(oldest int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, run := range c.runs {
		for window := range run.windows {
			if window < oldest {
				delete(run.windows, window)
			}
		}
		if run.through < oldest && len(run.windows) == 0 {
			delete(c.runs, id)
		}
	}
	for instance, vote := range c.clocks {
		if now.Sub(vote.at) >= clockVoteAge {
			delete(c.clocks, instance)
		}
	}
}
