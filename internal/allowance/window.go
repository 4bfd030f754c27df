package allowance

import (
	"math"
	"sync"
	"time"
)

// window counts the events within the last span.
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

// RetryBounds limits the retries to a service within any Window, over all
// instances.
type RetryBounds struct {
	Window time.Duration
	// Ratio is the number of retries per call that are allowed in addition to Slack.
	Ratio float64
	Slack float64
}

// RetryBudget is this instance's share of the retries that RetryBounds allows. It is
// safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	bounds   RetryBounds
	services map[string]*retryCounts
}

type retryCounts struct{ calls, retries window }

// NewRetryBudget returns an unused budget.
func NewRetryBudget(b RetryBounds) *RetryBudget {
	return &RetryBudget{bounds: b, services: make(map[string]*retryCounts)}
}

// service returns the counts of a service. It requires r.mu.
func (r *RetryBudget) service(name string) *retryCounts {
	s := r.services[name]
	if s == nil {
		s = &retryCounts{window{span: r.bounds.Window}, window{span: r.bounds.Window}}
		r.services[name] = s
	}
	return s
}

// RecordCall counts a call to the service.
func (r *RetryBudget) RecordCall(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).calls.add(now)
}

// retrySafetyFactor is the fraction of the bound that is used: calls of one window
// may be counted in the next, and clocks differ.
const retrySafetyFactor = 0.8

// TryRetry takes one retry from the budget and reports whether it could. The slack
// is divided among the given number of instances.
func (r *RetryBudget) TryRetry(service string, instances int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	allowed := retrySafetyFactor * (r.bounds.Ratio*float64(s.calls.count(now)) + r.bounds.Slack/float64(max(1, instances)))
	if float64(s.retries.count(now)+1) > allowed {
		return false
	}
	s.retries.add(now)
	return true
}

// ColdBounds widens the rate of a target in cold start: all instances together may
// send it rate x Overshoot + Slack calls in any second.
type ColdBounds struct {
	Overshoot float64
	Slack     float64
}

const (
	// coldWindow is the window in which calls to a cold target are counted. It is
	// longer than the one second of the bound, because calls may arrive later than
	// they are sent.
	coldWindow = 1100 * time.Millisecond
	// coldCallsPerInstance is the number of calls in a window that an instance may
	// send to a cold target if only some instances are selected to send any.
	coldCallsPerInstance = 2
)

// ColdLimiter divides the calls that targets in cold start may receive among the
// instances. It is safe for concurrent use.
type ColdLimiter struct {
	mu     sync.Mutex
	bounds ColdBounds
	// startedAt is when the instance started. Before that, an earlier run of it may have
	// used its limits.
	startedAt time.Time
	targets   map[string]*window
	division  division
}

// NewColdLimiter returns a limiter of an instance that started at the time startedAt. It
// allows no call to a cold target within the first window.
func NewColdLimiter(b ColdBounds, startedAt time.Time) *ColdLimiter {
	return &ColdLimiter{bounds: b, startedAt: startedAt, targets: make(map[string]*window), division: division{span: coldWindow}}
}

// firstWindowLeft returns how much is left of the first window, 0 or less if it is over.
func (c *ColdLimiter) firstWindowLeft(now time.Time) time.Duration {
	return coldWindow - now.Sub(c.startedAt)
}

// CallsPerWindow returns how many calls in a window self may send to a target that
// can serve rate calls a second. If there are not enough for all members, it selects
// some of them. All instances with the same list of members select the same ones. After a
// change of the members the least limit of the last window applies, because a member that
// is gone or no longer selected may just have used its own.
func (c *ColdLimiter) CallsPerWindow(target string, rate float64, self string, members []string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.division.update(members, now)
	return c.division.smallest(func(members []string) int { return c.callsPerWindow(target, rate, self, members) })
}

func (c *ColdLimiter) callsPerWindow(target string, rate float64, self string, members []string) int {
	total := int(rate*c.bounds.Overshoot + c.bounds.Slack)
	if total >= coldCallsPerInstance*len(members) {
		return total / max(1, len(members))
	}
	if position(target, self, members) >= max(1, total/coldCallsPerInstance) {
		return 0
	}
	return min(coldCallsPerInstance, max(1, total))
}

// HasCapacity reports whether a call may be sent now within the instance's limit:
// never, if the limit is not above 0.
func (c *ColdLimiter) HasCapacity(target string, limit int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	return limit > 0 && c.firstWindowLeft(now) <= 0 && (w == nil || w.count(now) < limit)
}

// Take counts a call if the limit allows it, and reports whether it does. A negative
// limit means that the target is warm: its calls are counted too, since it may
// turn out to be cold.
func (c *ColdLimiter) Take(target string, limit int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	if w == nil {
		w = &window{span: coldWindow}
		c.targets[target] = w
	}
	if limit >= 0 && (w.count(now) >= limit || c.firstWindowLeft(now) > 0) {
		return false
	}
	w.add(now)
	return true
}

// TimeToCapacity returns the time until the limit allows a call: 0 if it does now,
// or if the limit is not above 0.
func (c *ColdLimiter) TimeToCapacity(target string, limit int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.targets[target]
	if limit <= 0 {
		return 0
	}
	left := max(0, c.firstWindowLeft(now))
	if w == nil || w.count(now) < limit {
		return left
	}
	return max(left, w.span-now.Sub(w.times[len(w.times)-limit]))
}

// Prune drops targets that are no longer listed and got no call in the last window.
// The calls of the last window still count if a target is announced again.
func (c *ColdLimiter) Prune(listed func(target string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.targets {
		if !listed(id) && w.count(now) == 0 {
			delete(c.targets, id)
		}
	}
}

// ReachableShare returns the fraction of the known instances that is reachable.
// Known instances may be alive. Both counts include self.
func ReachableShare(reachable, known int) float64 {
	return math.Min(1, float64(reachable)/float64(max(1, known)))
}
