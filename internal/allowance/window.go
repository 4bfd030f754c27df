package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// window counts events of the last span.
type window struct {
	span  time.Duration
	times []time.Time
}

func (w *window) count(now time.Time) int {
	w.trim(now)
	return len(w.times)
}

func (w *window) add(now time.Time) {
	w.trim(now)
	w.times = append(w.times, now)
}

func (w *window) trim(now time.Time) {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) >= w.span {
		i++
	}
	w.times = w.times[i:]
}

// RetryBounds bounds repeated sends to a service in any span of time, over all
// instances.
type RetryBounds struct {
	Window time.Duration
	// Ratio of repeats to calls, beyond Slack.
	Ratio float64
	Slack float64
}

// RetryBudget is this instance's part of the bound on repeats. It is safe for
// concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	bounds   RetryBounds
	services map[string]*retryCounts
}

type retryCounts struct{ calls, repeats window }

// NewRetryBudget returns a budget of which nothing was used.
func NewRetryBudget(b RetryBounds) *RetryBudget {
	return &RetryBudget{bounds: b, services: make(map[string]*retryCounts)}
}

// service requires r.mu.
func (r *RetryBudget) service(name string) *retryCounts {
	s := r.services[name]
	if s == nil {
		s = &retryCounts{window{span: r.bounds.Window}, window{span: r.bounds.Window}}
		r.services[name] = s
	}
	return s
}

// RecordCall counts a call for the service.
func (r *RetryBudget) RecordCall(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).calls.add(now)
}

// retrySafety is the part of the bound that is used: calls of one window may be
// counted in the next, and clocks differ.
const retrySafety = 0.8

// TryRetry takes one repeat from the budget, of which instances many share the
// slack.
func (r *RetryBudget) TryRetry(service string, instances int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	allowed := retrySafety * (r.bounds.Ratio*float64(s.calls.count(now)) + r.bounds.Slack/float64(max(1, instances)))
	if float64(s.repeats.count(now)+1) > allowed {
		return false
	}
	s.repeats.add(now)
	return true
}

// ColdBounds widens the rate that a target in cold start bears.
type ColdBounds struct {
	Overshoot float64
	Slack     float64
}

const (
	// coldWindow is the span in which calls to a cold target are counted. It is a
	// little longer than the second of the bound: what is sent may arrive later.
	coldWindow = 1100 * time.Millisecond
	// coldPart is the number of calls in a window that one instance may send to a
	// cold target if it is one of those chosen.
	coldPart = 2
)

// ColdLimiter divides the calls that cold targets bear among the instances. It is safe
// for concurrent use.
type ColdLimiter struct {
	mu      sync.Mutex
	bounds  ColdBounds
	targets map[string]*window
}

// NewColdLimiter returns a divider.
func NewColdLimiter(b ColdBounds) *ColdLimiter {
	return &ColdLimiter{bounds: b, targets: make(map[string]*window)}
}

// CallsPerWindow returns how many calls in a window self may send to the target, which
// bears rate a second. All instances that know the same members choose the same
// ones.
func (c *ColdLimiter) CallsPerWindow(target string, rate float64, self string, members []string) int {
	total := int(rate*c.bounds.Overshoot + c.bounds.Slack)
	if total >= coldPart*len(members) {
		return total / max(1, len(members))
	}
	chosen := max(1, total/coldPart)
	better := 0
	own := rank(target, self)
	for _, m := range members {
		if r := rank(target, m); m != self && (r > own || r == own && m < self) {
			better++
		}
	}
	if better >= chosen {
		return 0
	}
	return min(coldPart, max(1, total))
}

// rank orders instances for a target (rendezvous hashing).
func rank(target, instance string) uint64 { return xxhash.Sum64String(target + "\x00" + instance) }

// HasCapacity reports whether a call may be sent now, given the instance's part.
func (c *ColdLimiter) HasCapacity(target string, part int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	return part > 0 && (w == nil || w.count(now) < part)
}

// Take counts a call if there is room for it. A negative part means that the
// target is warm: its calls are counted too, since it may turn out to be cold.
func (c *ColdLimiter) Take(target string, part int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	if w == nil {
		w = &window{span: coldWindow}
		c.targets[target] = w
	}
	if part >= 0 && w.count(now) >= part {
		return false
	}
	w.add(now)
	return true
}

// TimeToCapacity returns the time until a call may be sent.
func (c *ColdLimiter) TimeToCapacity(target string, part int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	if w == nil || part <= 0 || w.count(now) < part {
		return 0
	}
	return w.span - now.Sub(w.times[len(w.times)-part])
}

// Prune drops targets that are no longer listed. The calls of the last window
// still count, as a target may be announced again.
func (c *ColdLimiter) Prune(listed func(target string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.targets {
		if !listed(id) && w.count(now) == 0 {
			delete(c.targets, id)
		}
	}
}

// ReachableShare returns the part of the fleet that is heard, of the instances that may be
// alive; self counts in both.
func ReachableShare(heard, known int) float64 {
	return math.Min(1, float64(heard)/float64(max(1, known)))
}
