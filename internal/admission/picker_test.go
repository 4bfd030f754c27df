package admission_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/routing"
)

// router is a fake with free slots by model; a model without an entry has no target.
type router struct {
	free map[string]int
	last *routing.Slot
}

func (r *router) Pick(request routing.Request) (*routing.Slot, error) {
	free, ok := r.free[request.Served]
	if !ok {
		return nil, routing.ErrNoTarget
	}
	if free == 0 {
		return nil, routing.ErrNoCapacity
	}
	r.free[request.Served]--
	r.last = routing.NewSlot(&environment.Target{Name: request.Served}, func(routing.Outcome) { r.free[request.Served]++ })
	return r.last, nil
}

var _ = Describe("FairPicker", func() {
	var clock *clockwork.FakeClock
	var targets *router
	var picker *admission.FairPicker

	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(origin)
		targets = &router{free: map[string]int{"reader": 1, "planner": 1}}
		picker = admission.NewFairPicker(targets, clock, prometheus.NewRegistry())
	})

	request := func(account, served string, class routing.Class) routing.Request {
		return routing.Request{Account: account, Served: served, Class: class, Deadline: clock.Now().Add(time.Minute)}
	}

	// wait starts a Pick and returns once the request is in the queue.
	wait := func(ctx context.Context, r routing.Request) chan error {
		done := make(chan error, 1)
		before := picker.Waiting()
		go func() {
			_, err := picker.Pick(ctx, r)
			done <- err
		}()
		Eventually(picker.Waiting).Should(Equal(before + 1))
		return done
	}

	occupy := func() *routing.Slot {
		slot, err := picker.Pick(context.Background(), request("a", "reader", routing.ClassInteractive))
		Expect(err).NotTo(HaveOccurred())
		return slot
	}

	It("returns the slot of the router itself, which times the first token", func() {
		Expect(occupy()).To(BeIdenticalTo(targets.last))
	})

	It("gives a freed slot to the waiting request", func() {
		slot := occupy()
		done := wait(context.Background(), request("b", "reader", routing.ClassInteractive))
		slot.Done(routing.Completed)
		Expect(<-done).NotTo(HaveOccurred())
	})

	It("does not let the queue of one model block another model", func() {
		occupy()
		wait(context.Background(), request("b", "reader", routing.ClassInteractive))
		_, err := picker.Pick(context.Background(), request("b", "planner", routing.ClassInteractive))
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses at once if no target serves the model", func() {
		_, err := picker.Pick(context.Background(), request("a", "nobody", routing.ClassInteractive))
		Expect(err).To(MatchError(routing.ErrNoTarget))
		var refused *admission.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfterHint()).To(BeNumerically(">", 0))
	})

	It("refuses at once a request that would wait longer than its class allows", func() {
		slot := occupy()
		clock.Advance(time.Second)
		slot.Done(routing.Completed)
		occupy()
		wait(context.Background(), request("b", "reader", routing.ClassInteractive))
		wait(context.Background(), request("c", "reader", routing.ClassInteractive))
		_, err := picker.Pick(context.Background(), request("c", "reader", routing.ClassInteractive))
		var refused *admission.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(admission.ReasonOverloaded))
		Expect(refused.RetryAfter).To(Equal(3 * time.Second))
	})

	It("ends a wait long before the deadline", func() {
		occupy()
		done := wait(context.Background(), request("b", "reader", routing.ClassInteractive))
		clock.Advance(2 * time.Second)
		picker.Dispatch()
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(err).To(MatchError(routing.ErrNoCapacity))
	})

	It("removes the request of a caller that leaves", func() {
		slot := occupy()
		ctx, cancel := context.WithCancel(context.Background())
		done := wait(ctx, request("b", "reader", routing.ClassInteractive))
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
		slot.Done(routing.Completed)
		occupy()
	})
})

var _ = Describe("Queue", func() {
	var queue *admission.Queue

	BeforeEach(func() { queue = admission.NewQueue() })

	add := func(now time.Time, account string, class routing.Class, deadline time.Duration) {
		_, refused := queue.Enqueue(now, routing.Request{Account: account, Served: "reader", Class: class, Deadline: now.Add(deadline)})
		Expect(refused).To(BeNil())
	}

	// serveAll serves all waiting requests and returns them in that order.
	serveAll := func(now time.Time) (out []string) {
		for t := queue.Next(now, admission.NewSkipped()); t != nil; t = queue.Next(now, admission.NewSkipped()) {
			queue.Remove(t)
			queue.Started(&t.Request)
			out = append(out, fmt.Sprintf("%s/%s/%v", t.Request.Account, t.Request.Class, t.Request.Deadline.Sub(t.Arrived)))
		}
		return out
	}

	It("shares slots among accounts, and serves the earliest deadline of an account first", func() {
		for i := range 4 {
			add(origin, "many", routing.ClassInteractive, time.Duration(40-10*i)*time.Second)
		}
		add(origin, "few", routing.ClassInteractive, time.Minute)
		Expect(serveAll(origin)).To(Equal([]string{
			"many/interactive/10s", "few/interactive/1m0s", "many/interactive/20s", "many/interactive/30s", "many/interactive/40s",
		}))
	})

	It("serves interactive requests first, and batch requests along with them after batchAging", func() {
		add(origin, "evening", routing.ClassBatch, time.Hour)
		later := origin.Add(time.Second)
		add(later, "bench", routing.ClassInteractive, time.Minute)
		Expect(serveAll(later)).To(HaveExactElements(HavePrefix("bench"), HavePrefix("evening")))

		add(origin, "evening", routing.ClassBatch, time.Hour)
		later = origin.Add(6 * time.Second)
		for range 3 {
			add(later, "bench", routing.ClassInteractive, time.Minute)
		}
		Expect(serveAll(later)[1]).To(HavePrefix("evening"))
	})
})
