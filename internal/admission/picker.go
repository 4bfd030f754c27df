package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/routing"
)

const (
	// dispatchInterval is the time between checks for capacity that became free
	// without the end of a call of this instance.
	dispatchInterval = 50 * time.Millisecond
	// noTargetRetryAfter is the retry delay when no target serves a request.
	noTargetRetryAfter = time.Second
)

// FairPicker lets requests wait for a slot in the order of a Queue. It implements
// relay.Picker and is safe for concurrent use.
//
// Lock order: mu before the locks of the router.
type FairPicker struct {
	router  Router
	clock   clockwork.Clock
	metrics *metrics

	mu    sync.Mutex
	queue *Queue
	// results holds the channel on which each waiting request gets its result.
	results map[*Ticket]chan result
}

type result struct {
	slot *routing.Slot
	err  error
}

// NewFairPicker returns a picker with an empty queue.
func NewFairPicker(router Router, clock clockwork.Clock, registerer prometheus.Registerer) *FairPicker {
	return &FairPicker{
		router:  router,
		clock:   clock,
		metrics: newMetrics(registerer),
		queue:   NewQueue(),
		results: make(map[*Ticket]chan result),
	}
}

// Run dispatches free capacity and ends expired waits until ctx is done.
func (f *FairPicker) Run(ctx context.Context) error {
	ticker := f.clock.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			f.Dispatch()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pick implements relay.Picker.
func (f *FairPicker) Pick(ctx context.Context, request routing.Request) (*routing.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	slot, ticket, resultChan, err := f.pickOrEnqueue(request)
	if ticket == nil {
		return slot, err
	}
	select {
	case r := <-resultChan:
		return r.slot, r.err
	case <-ctx.Done():
		f.abandon(ticket, resultChan)
		return nil, ctx.Err()
	}
}

// pickOrEnqueue returns a slot, a refusal, or a ticket with its result channel.
func (f *FairPicker) pickOrEnqueue(request routing.Request) (*routing.Slot, *Ticket, chan result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	slot, err := f.tryPick(now, &request, !f.queue.HasWaiting(&request))
	if slot != nil || !errors.Is(err, routing.ErrNoCapacity) {
		return slot, nil, nil, f.refusal(&request, err)
	}
	ticket, refused := f.queue.Enqueue(now, request)
	if refused != nil {
		return nil, nil, nil, f.refusal(&request, refused)
	}
	resultChan := make(chan result, 1)
	f.results[ticket] = resultChan
	f.metrics.waiting.Set(float64(f.queue.Waiting()))
	return nil, ticket, resultChan, nil
}

// tryPick asks the router for a slot. It doesn't if the request has to wait behind
// others. It requires mu.
func (f *FairPicker) tryPick(now time.Time, request *routing.Request, isFirst bool) (*routing.Slot, error) {
	if !isFirst {
		return nil, routing.ErrNoCapacity
	}
	slot, err := f.router.Pick(*request)
	if err != nil {
		return nil, err
	}
	f.queue.Started(request)
	slot.OnDone(func(outcome routing.Outcome) { f.finished(request, now, outcome) })
	return slot, nil
}

func (f *FairPicker) finished(request *routing.Request, started time.Time, outcome routing.Outcome) {
	f.mu.Lock()
	f.queue.Finished(request, f.clock.Since(started), outcome)
	f.mu.Unlock()
	f.Dispatch()
}

// refusal returns the error that the caller of Pick gets, and counts it if the
// request was refused.
func (f *FairPicker) refusal(request *routing.Request, err error) error {
	if errors.Is(err, routing.ErrNoTarget) {
		err = &RefusedError{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter, cause: err}
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.metrics.refused.WithLabelValues(request.Account, string(refused.Reason)).Inc()
	}
	return err
}

// Dispatch refuses requests that have waited too long and gives free slots to the
// others in order.
func (f *FairPicker) Dispatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queue.Waiting() == 0 {
		return
	}
	now := f.clock.Now()
	for _, t := range f.queue.RemoveExpired(now) {
		retryAfter := max(minRetryAfter, f.queue.ExpectedWait(now, &t.Request))
		f.answer(now, t, nil, &RefusedError{Reason: ReasonExpired, RetryAfter: retryAfter, cause: routing.ErrNoCapacity})
	}
	skipped := NewSkipped()
	for t := f.queue.Next(now, skipped); t != nil; t = f.queue.Next(now, skipped) {
		slot, err := f.tryPick(now, &t.Request, true)
		if errors.Is(err, routing.ErrNoCapacity) {
			skipped.Add(t)
			continue
		}
		f.queue.Remove(t)
		f.answer(now, t, slot, err)
	}
	f.metrics.waiting.Set(float64(f.queue.Waiting()))
}

// answer sends a waiting request its result. It requires mu.
func (f *FairPicker) answer(now time.Time, t *Ticket, slot *routing.Slot, err error) {
	f.metrics.wait.WithLabelValues(string(t.Request.Class)).Observe(now.Sub(t.Arrived).Seconds())
	f.results[t] <- result{slot: slot, err: f.refusal(&t.Request, err)}
	delete(f.results, t)
}

// abandon removes a request whose caller has left. If it got a slot in the
// meantime, the slot is released.
func (f *FairPicker) abandon(t *Ticket, resultChan chan result) {
	f.mu.Lock()
	f.queue.Remove(t)
	delete(f.results, t)
	f.mu.Unlock()
	select {
	case r := <-resultChan:
		if r.slot != nil {
			r.slot.Done(routing.Cancelled)
		}
	default:
	}
}

// Waiting returns the number of waiting requests.
func (f *FairPicker) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.Waiting()
}
