package admission

import (
	"math"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/routing"
)

const (
	// maxInteractiveWait and maxBatchWait bound the wait of each class.
	maxInteractiveWait = 2 * time.Second
	maxBatchWait       = 30 * time.Second
	// batchAging is the wait after which a batch request counts as interactive.
	batchAging = 5 * time.Second
	// deadlineShare is the fraction of the time to its deadline that a request may
	// wait.
	deadlineShare = 0.5
	// maxWaiting bounds the waiting requests of an instance.
	maxWaiting = 4096
	// maxWaitingUnknownTime bounds the waiting requests of a route whose service
	// time is not known yet.
	maxWaitingUnknownTime = 32
	// serviceTimeWeight is the weight of the newest call in the EWMA of the service time.
	serviceTimeWeight = 0.1
	// minRetryAfter is the shortest retry delay after a refusal.
	minRetryAfter = 100 * time.Millisecond
	// maxFinishTags is the number of finish tags above which those that no longer
	// matter are dropped.
	maxFinishTags = 1024
)

// route identifies the targets that a request can use. Requests of one route compete
// for the same targets. It is not a catalog.Route.
type route struct {
	served  string
	service string
}

func routeOf(r *routing.Request) route { return route{served: r.Served, service: r.Service} }

// Ticket is a waiting request.
type Ticket struct {
	Request routing.Request
	Arrived time.Time
	// Expires is when the request is refused if it is still waiting.
	Expires time.Time
	// seq breaks ties: the older ticket goes first.
	seq uint64
}

// routeState is the state of one route.
type routeState struct {
	waiting  []*Ticket
	inFlight int
	// meanServiceTime is the mean time that a call holds its slot; 0 while unknown.
	meanServiceTime time.Duration
}

// Queue decides the order of waiting requests. It is a state machine without
// locks; the time is passed in.
//
// Policy: interactive requests go before batch requests, which count as
// interactive after batchAging. Within a class, accounts share slots by start-time
// fair queueing with one unit per call: an account that has just been served goes
// behind those that have not. Within an account, and between accounts with equal
// service, the earliest deadline goes first.
type Queue struct {
	routes map[route]*routeState
	// virtualTime is the start tag of the last dispatched request; finishTags holds
	// the tag at which each account's next request starts.
	virtualTime float64
	finishTags  map[string]float64
	seq         uint64
	waiting     int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{routes: make(map[route]*routeState), finishTags: make(map[string]float64)}
}

func (q *Queue) route(r route) *routeState {
	s := q.routes[r]
	if s == nil {
		s = &routeState{}
		q.routes[r] = s
	}
	return s
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// HasWaiting reports whether requests of the same route wait.
func (q *Queue) HasWaiting(request *routing.Request) bool {
	s := q.routes[routeOf(request)]
	return s != nil && len(s.waiting) > 0
}

// Enqueue adds a request to the queue, or refuses it if it would wait longer than
// its class and deadline allow or the queue is full.
func (q *Queue) Enqueue(now time.Time, request routing.Request) (*Ticket, *RefusedError) {
	limit := maxWait(now, &request)
	expected := q.ExpectedWait(now, &request)
	s := q.route(routeOf(&request))
	isFull := q.waiting >= maxWaiting || (s.meanServiceTime == 0 && len(s.waiting) >= maxWaitingUnknownTime)
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
	limit := maxInteractiveWait
	if r.Class == routing.ClassBatch {
		limit = maxBatchWait
	}
	if r.Deadline.IsZero() {
		return limit
	}
	left := time.Duration(float64(r.Deadline.Sub(now)) * deadlineShare)
	return max(0, min(limit, left))
}

// ExpectedWait returns how long a new request would wait: the number of requests
// served before it and itself, divided by the rate at which the route's slots
// become free. It is 0 while the service time is unknown.
func (q *Queue) ExpectedWait(now time.Time, request *routing.Request) time.Duration {
	s := q.routes[routeOf(request)]
	if s == nil || s.meanServiceTime == 0 {
		return 0
	}
	slots := max(1, s.inFlight)
	return time.Duration(float64(q.ahead(now, s, request)+1) / float64(slots) * float64(s.meanServiceTime))
}

// ahead returns the number of waiting requests that go before a new one.
func (q *Queue) ahead(now time.Time, s *routeState, request *routing.Request) int {
	own, before := 0, 0
	counts := make(map[string]int)
	ownRank := classRank(now, request.Class, now)
	for _, t := range s.waiting {
		switch rank := classRank(now, t.Request.Class, t.Arrived); {
		case rank < ownRank:
			before++
		case rank > ownRank:
		case t.Request.Account == request.Account:
			if !t.Request.Deadline.After(request.Deadline) {
				own++
			}
		default:
			counts[t.Request.Account]++
		}
	}
	tag := q.startTag(request.Account) + float64(own)
	// Of each other account, the requests whose start tags are below tag go first.
	for account, n := range counts {
		before += min(n, int(max(0, math.Ceil(tag-q.startTag(account)))))
	}
	return own + before
}

// startTag returns the start tag of an account's next request.
func (q *Queue) startTag(account string) float64 { return max(q.virtualTime, q.finishTags[account]) }

// classRank returns 0 for requests that go first and 1 for the others.
func classRank(now time.Time, class routing.Class, arrived time.Time) int {
	if class == routing.ClassBatch && now.Sub(arrived) < batchAging {
		return 1
	}
	return 0
}

// Skipped holds the routes and tickets that found no free slot in one dispatch.
type Skipped struct {
	routes  map[route]bool
	tickets map[*Ticket]bool
}

// NewSkipped returns an empty set.
func NewSkipped() *Skipped {
	return &Skipped{routes: make(map[route]bool), tickets: make(map[*Ticket]bool)}
}

// Add records that a request found no slot. The whole route is skipped, unless the
// request excludes targets that others may use.
func (s *Skipped) Add(t *Ticket) {
	if len(t.Request.Exclude) > 0 {
		s.tickets[t] = true
		return
	}
	s.routes[routeOf(&t.Request)] = true
}

// Next returns the first request in order that is not skipped, or nil if there is
// none.
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
	if ra, rb := classRank(now, a.Request.Class, a.Arrived), classRank(now, b.Request.Class, b.Arrived); ra != rb {
		return ra < rb
	}
	if sa, sb := q.startTag(a.Request.Account), q.startTag(b.Request.Account); sa != sb {
		return sa < sb
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.seq < b.seq
}

// Remove removes a request from the queue.
func (q *Queue) Remove(t *Ticket) {
	s := q.route(routeOf(&t.Request))
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		q.waiting--
	}
}

// Started records that a request got a slot. A retry of a failed attempt is not
// charged to its account.
func (q *Queue) Started(request *routing.Request) {
	q.route(routeOf(request)).inFlight++
	// Only a retry excludes targets.
	if len(request.Exclude) > 0 {
		return
	}
	start := q.startTag(request.Account)
	q.virtualTime = start
	q.finishTags[request.Account] = start + 1
	if len(q.finishTags) > maxFinishTags {
		q.prune()
	}
}

// prune drops tags that no longer differ from the virtual time.
func (q *Queue) prune() {
	for account, tag := range q.finishTags {
		if tag <= q.virtualTime {
			delete(q.finishTags, account)
		}
	}
}

// Finished records that a call released its slot after holding it for held.
func (q *Queue) Finished(request *routing.Request, held time.Duration, outcome routing.Outcome) {
	s := q.route(routeOf(request))
	s.inFlight--
	if outcome != routing.Completed {
		return
	}
	if s.meanServiceTime == 0 {
		s.meanServiceTime = max(1, held)
		return
	}
	s.meanServiceTime += time.Duration(serviceTimeWeight * float64(held-s.meanServiceTime))
}

// RemoveExpired removes and returns the requests that have waited too long.
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
