package admission

import (
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/routing"
)

const (
	// interactiveWait and batchWait bound the waiting of each class.
	interactiveWait = 2 * time.Second
	batchWait       = 30 * time.Second
	// batchAging is the wait after which a batch request counts as interactive.
	batchAging = 5 * time.Second
	// deadlineShare is the share of the time to its deadline that a request may
	// wait.
	deadlineShare = 0.5
	// maxWaiting bounds the requests that wait at one instance.
	maxWaiting = 4096
	// maxUnknown bounds the requests that wait on a route whose service time is
	// not known yet.
	maxUnknown = 32
	// durationWeight is the weight of the newest call in the mean service time.
	durationWeight = 0.1
	// minRetryAfter is the shortest time to come back after a refusal.
	minRetryAfter = 100 * time.Millisecond
	// maxTags bounds the accounts whose virtual time is kept beyond need.
	maxTags = 1024
)

// route is what a request asks for; requests of one route compete for the same
// targets.
type route struct {
	served  string
	service string
}

func routeOf(r *routing.Request) route { return route{served: r.Served, service: r.Service} }

// Ticket is a request that waits.
type Ticket struct {
	Request routing.Request
	Arrived time.Time
	// Expires is when the request is refused if it still waits.
	Expires time.Time
	// seq orders tickets that are equal otherwise.
	seq uint64
}

// routeState is what the queue knows of one route.
type routeState struct {
	waiting  []*Ticket
	inFlight int
	// mean is the mean time that a call holds its slot; 0 while unknown.
	mean time.Duration
}

// Queue decides the order of waiting requests. It is a state machine without
// locks; the time is passed in.
//
// Policy: interactive requests go before batch requests, which count as
// interactive after batchAging. Among requests of one class, accounts share by
// start-time fair queueing with one unit per call: an account that has just
// been served moves behind those that have not. Within an account, and among
// accounts that have had equal service, the earliest deadline goes first.
type Queue struct {
	routes map[route]*routeState
	// virtual is the start tag of the request dispatched last; finish holds the
	// tag at which each account's next request starts.
	virtual float64
	finish  map[string]float64
	seq     uint64
	waiting int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{routes: make(map[route]*routeState), finish: make(map[string]float64)}
}

func (q *Queue) route(r route) *routeState {
	s := q.routes[r]
	if s == nil {
		s = &routeState{}
		q.routes[r] = s
	}
	return s
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }

// HasWaiting reports whether requests wait for the same targets.
func (q *Queue) HasWaiting(request *routing.Request) bool {
	s := q.routes[routeOf(request)]
	return s != nil && len(s.waiting) > 0
}

// Enqueue lets a request wait, or refuses it if it would wait longer than its
// class and deadline allow.
func (q *Queue) Enqueue(now time.Time, request routing.Request) (*Ticket, *RefusedError) {
	limit := maxWait(now, &request)
	expected := q.ExpectedWait(now, &request)
	s := q.route(routeOf(&request))
	isFull := q.waiting >= maxWaiting || (s.mean == 0 && len(s.waiting) >= maxUnknown)
	if isFull || expected > limit {
		return nil, &RefusedError{Reason: ReasonOverloaded, RetryAfter: max(minRetryAfter, expected), cause: routing.ErrNoCapacity}
	}
	q.seq++
	t := &Ticket{Request: request, Arrived: now, Expires: now.Add(limit), seq: q.seq}
	s.waiting = append(s.waiting, t)
	q.waiting++
	return t, nil
}

// maxWait returns how long a request may wait.
func maxWait(now time.Time, r *routing.Request) time.Duration {
	limit := interactiveWait
	if r.Class == routing.ClassBatch {
		limit = batchWait
	}
	if r.Deadline.IsZero() {
		return limit
	}
	left := time.Duration(float64(r.Deadline.Sub(now)) * deadlineShare)
	return max(0, min(limit, left))
}

// ExpectedWait returns how long a new request would wait: the requests that go
// before it, divided by the rate at which the route's slots become free. With
// an unknown service time it is 0.
func (q *Queue) ExpectedWait(now time.Time, request *routing.Request) time.Duration {
	s := q.routes[routeOf(request)]
	if s == nil || s.mean == 0 {
		return 0
	}
	slots := max(1, s.inFlight)
	return time.Duration(float64(q.ahead(now, s, request)+1) / float64(slots) * float64(s.mean))
}

// ahead counts the waiting requests that go before a new one.
func (q *Queue) ahead(now time.Time, s *routeState, request *routing.Request) int {
	own, before := 0, 0
	counts := make(map[string]int)
	class := urgency(now, request.Class, now)
	for _, t := range s.waiting {
		switch waiting := urgency(now, t.Request.Class, t.Arrived); {
		case waiting < class:
			before++
		case waiting > class:
		case t.Request.Account == request.Account:
			if !t.Request.Deadline.After(request.Deadline) {
				own++
			}
		default:
			counts[t.Request.Account]++
		}
	}
	tag := q.start(request.Account) + float64(own)
	for account, n := range counts {
		before += min(n, int(max(0, math.Ceil(tag-q.start(account)))))
	}
	return own + before
}

// start returns the tag at which an account's next request starts.
func (q *Queue) start(account string) float64 { return max(q.virtual, q.finish[account]) }

// urgency returns 0 for requests that go first and 1 for others.
func urgency(now time.Time, class routing.Class, arrived time.Time) int {
	if class == routing.ClassBatch && now.Sub(arrived) < batchAging {
		return 1
	}
	return 0
}

// Skipped holds what found no free slot in one look.
type Skipped struct {
	routes  map[route]bool
	tickets map[*Ticket]bool
}

// NewSkipped returns a set without entries.
func NewSkipped() *Skipped {
	return &Skipped{routes: make(map[route]bool), tickets: make(map[*Ticket]bool)}
}

// Add notes that a request found no slot. Its whole route is full, unless the
// request excludes targets that others may use.
func (s *Skipped) Add(t *Ticket) {
	if len(t.Request.Exclude) > 0 {
		s.tickets[t] = true
		return
	}
	s.routes[routeOf(&t.Request)] = true
}

// Next returns the request that goes first among those that are not skipped, or
// nil.
func (q *Queue) Next(now time.Time, skipped *Skipped) *Ticket {
	var best *Ticket
	for r, s := range q.routes {
		if skipped.routes[r] {
			continue
		}
		for _, t := range s.waiting {
			if !skipped.tickets[t] && (best == nil || q.isBefore(now, t, best)) {
				best = t
			}
		}
	}
	return best
}

func (q *Queue) isBefore(now time.Time, a, b *Ticket) bool {
	if ua, ub := urgency(now, a.Request.Class, a.Arrived), urgency(now, b.Request.Class, b.Arrived); ua != ub {
		return ua < ub
	}
	if sa, sb := q.start(a.Request.Account), q.start(b.Request.Account); sa != sb {
		return sa < sb
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.seq < b.seq
}

// Remove takes a request out without serving it.
func (q *Queue) Remove(t *Ticket) {
	s := q.route(routeOf(&t.Request))
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		q.waiting--
	}
}

// Started notes that a request got a slot. A repeat of a failed attempt costs
// its account nothing.
func (q *Queue) Started(request *routing.Request) {
	q.route(routeOf(request)).inFlight++
	if len(request.Exclude) > 0 {
		return
	}
	start := q.start(request.Account)
	q.virtual = start
	q.finish[request.Account] = start + 1
	if len(q.finish) > maxTags {
		q.prune()
	}
}

// prune drops tags that no longer differ from the virtual time.
func (q *Queue) prune() {
	for account, tag := range q.finish {
		if tag <= q.virtual {
			delete(q.finish, account)
		}
	}
}

// Finished notes that a call gave its slot back after the time held.
func (q *Queue) Finished(request *routing.Request, held time.Duration, outcome routing.Outcome) {
	s := q.route(routeOf(request))
	s.inFlight--
	if outcome != routing.Completed {
		return
	}
	if s.mean == 0 {
		s.mean = max(1, held)
		return
	}
	s.mean += time.Duration(durationWeight * float64(held-s.mean))
}

// RemoveExpired takes out and returns the requests that have waited too long.
func (q *Queue) RemoveExpired(now time.Time) []*Ticket {
	var out []*Ticket
	for _, s := range q.routes {
		for _, t := range s.waiting {
			if !now.Before(t.Expires) {
				out = append(out, t)
			}
		}
	}
	for _, t := range out {
		q.Remove(t)
	}
	return out
}
