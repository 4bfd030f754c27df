package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// serviceFunc is a scripted service.
type serviceFunc func(ctx context.Context, call *target.ServiceCall) (*target.ServiceReply, error)

func (f serviceFunc) Invoke(ctx context.Context, _ string, call *target.ServiceCall) (*target.ServiceReply, error) {
	return f(ctx, call)
}

// sleepyObjects pauses its instance after a number of writes.
type sleepyObjects struct {
	*platformstandin.Store
	after  int
	asleep func()
}

func (s *sleepyObjects) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	object, err := s.Store.Put(ctx, key, value, expected)
	s.after--
	if s.after == 0 {
		s.asleep()
	}
	return object, err
}

// countingObjects counts the writes tried.
type countingObjects struct {
	*platformstandin.Store
	puts int
}

func (c *countingObjects) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	c.puts++
	return c.Store.Put(ctx, key, value, expected)
}

var _ = Describe("An idempotency key", func() {
	var w *world
	var first, second *idempotency.Claims
	ctx := context.Background()

	BeforeEach(func() {
		w = newWorld()
		first = w.instance("one", w.store, w.service)
		second = w.instance("two", w.store, w.service)
	})

	runs := func() int { return w.service.Witness().Runs }

	It("gives a repeat at another instance the first answer", func() {
		a, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		b, err := second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Status).To(Equal(a.Status))
		Expect(b.Body).To(Equal(a.Body))
		Expect(b.Header.Get(idempotency.HeaderReplayed)).To(Equal("true"))
		Expect(runs()).To(Equal(1))
	})

	It("refuses another request and does not run it", func() {
		_, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		_, err = second.Invoke(ctx, w.call("k", "gate 8"))
		Expect(errors.Is(err, idempotency.ErrMismatch)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("is separate for each account and service", func() {
		other := w.call("k", "gate 7")
		other.Account = "celula"
		_, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		_, err = second.Invoke(ctx, other)
		Expect(err).NotTo(HaveOccurred())
		Expect(runs()).To(Equal(2))
	})

	It("tells a repeat to come back while the first request runs", func() {
		var during error
		slow := w.instance("one", w.store, serviceFunc(func(ctx context.Context, call *target.ServiceCall) (*target.ServiceReply, error) {
			_, during = second.Invoke(ctx, w.call("k", "gate 7"))
			return w.service.Invoke(ctx, "", call)
		}))
		_, err := slow.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		var busy *idempotency.BusyError
		Expect(errors.As(during, &busy)).To(BeTrue(), "%v", during)
		Expect(busy.RetryAfterHint()).To(BeNumerically(">", 0))
		Expect(runs()).To(Equal(1))
	})

	DescribeTable("keeps an unknown outcome unknown",
		func(f servicestandin.Faults) {
			w.service.SetFaults(f)
			for _, claims := range []*idempotency.Claims{first, second, first} {
				_, err := claims.Invoke(ctx, w.call("k", "gate 7"))
				Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			}
			Expect(runs()).To(BeNumerically("<=", 1))
		},
		Entry("lost answer", servicestandin.Faults{LoseAnswers: 1}),
		Entry("truncated answer", servicestandin.Faults{Truncate: 1}),
		Entry("dead service", servicestandin.Faults{Down: true}),
	)

	It("is free again after a request that did not run", func() {
		w.service.SetFaults(servicestandin.Faults{RejectNotRun: 3})
		_, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeTrue(), "%v", err)
		Expect(runs()).To(BeZero())
		w.service.SetFaults(servicestandin.Faults{})
		_, err = second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(runs()).To(Equal(1))
	})

	It("cannot be claimed while the platform is down, and nothing is sent", func() {
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		_, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, idempotency.ErrUnavailable)).To(BeTrue(), "%v", err)
		Expect(runs()).To(BeZero())
	})

	It("is refused at once during an outage, and the platform is asked rarely", func() {
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		counting := &countingObjects{Store: w.store}
		claims := w.instance("one", counting, w.service)
		const seconds, perSecond = 60, 100
		for range seconds * perSecond {
			_, err := claims.Invoke(ctx, w.call("k", "gate 7"))
			Expect(errors.Is(err, idempotency.ErrUnavailable)).To(BeTrue(), "%v", err)
			w.clock.Advance(time.Second / perSecond)
		}
		Expect(counting.puts).To(BeNumerically("<=", seconds))
		w.store.SetFaults(platformstandin.Faults{})
		w.clock.Advance(4 * time.Second)
		_, err := claims.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("settles claims whose answers from the platform are lost", func() {
		w.store.SetFaults(platformstandin.Faults{LoseAnswers: 3})
		a, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		b, err := second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Body).To(Equal(a.Body))
		Expect(runs()).To(Equal(1))
	})

	It("gives the answer although it cannot be stored, and unknown to repeats", func() {
		outage := w.instance("one", w.store, serviceFunc(func(ctx context.Context, call *target.ServiceCall) (*target.ServiceReply, error) {
			w.store.SetFaults(platformstandin.Faults{Outage: true})
			return w.service.Invoke(ctx, "", call)
		}))
		reply, err := outage.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(200))
		w.store.SetFaults(platformstandin.Faults{})
		_, err = second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, idempotency.ErrInProgress)).To(BeTrue(), "%v", err)
		w.clock.Advance(time.Minute)
		_, err = second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("keeps a holder that slept through the retention from sending", func() {
		sleepy := &sleepyObjects{Store: w.store, after: 2}
		sleepy.asleep = func() {
			w.clock.Advance(idempotency.Retention + time.Minute)
			_, err := second.Invoke(ctx, w.call("k", "gate 7"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := w.instance("one", sleepy, w.service).Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("keeps a holder whose claim was taken over from sending", func() {
		sleepy := &sleepyObjects{Store: w.store, after: 1}
		sleepy.asleep = func() {
			w.clock.Advance(20 * time.Second)
			_, err := second.Invoke(ctx, w.call("k", "gate 7"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := w.instance("one", sleepy, w.service).Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, idempotency.ErrInProgress)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("does not replay an answer too large to keep, nor run the request again", func() {
		large := serviceFunc(func(ctx context.Context, call *target.ServiceCall) (*target.ServiceReply, error) {
			reply, err := w.service.Invoke(ctx, "", call)
			reply.Body = []byte(strings.Repeat("x", 1<<20))
			return reply, err
		})
		reply, err := w.instance("one", w.store, large).Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body).To(HaveLen(1 << 20))
		_, err = second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("stays out of idempotent calls and calls without a key", func() {
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		reads := w.call("k", "gate 7")
		reads.Idempotent = true
		_, err := first.Invoke(ctx, reads)
		Expect(err).NotTo(HaveOccurred())
		_, err = first.Invoke(ctx, w.call("", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("expires after its retention and is swept with bounded calls", func() {
		for i := range 8 {
			_, err := first.Invoke(ctx, w.call(fmt.Sprint("k", i), "gate 7"))
			Expect(err).NotTo(HaveOccurred())
		}
		sweepAll := func() int {
			n := 0
			for p := range 4096 {
				n += second.Sweep(ctx, p)
			}
			return n
		}
		Expect(sweepAll()).To(BeZero())
		w.clock.Advance(idempotency.Retention + time.Second)
		Expect(sweepAll()).To(Equal(8))
		objects, _, err := w.store.List(ctx, "idempotency/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(BeEmpty())
	})
})
