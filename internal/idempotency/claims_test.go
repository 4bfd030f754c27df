package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
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

// pausingObjects calls onPause, which simulates a pause of its instance, after a
// number of writes.
type pausingObjects struct {
	*platformstandin.Store
	after   int
	onPause func()
}

func (s *pausingObjects) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	object, err := s.Store.Put(ctx, key, value, expected)
	s.after--
	if s.after == 0 {
		s.onPause()
	}
	return object, err
}

// countingObjects counts write attempts.
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

	It("returns the first response to a retry at another instance", func() {
		a, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		b, err := second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Status).To(Equal(a.Status))
		Expect(b.Body).To(Equal(a.Body))
		Expect(b.Header.Get(idempotency.HeaderReplayed)).To(Equal("true"))
		Expect(runs()).To(Equal(1))
	})

	It("rejects a different request and does not run it", func() {
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

	It("returns a retry delay while the first request runs", func() {
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

	DescribeTable("returns an unknown outcome to every retry",
		func(f servicestandin.Faults) {
			w.service.SetFaults(f)
			for _, claims := range []*idempotency.Claims{first, second, first} {
				_, err := claims.Invoke(ctx, w.call("k", "gate 7"))
				Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			}
			Expect(runs()).To(BeNumerically("<=", 1))
		},
		Entry("lost response", servicestandin.Faults{LoseAnswers: 1}),
		Entry("truncated response", servicestandin.Faults{Truncate: 1}),
		Entry("service down", servicestandin.Faults{Down: true}),
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

	It("is free again after the caller's BeforeSend rejected the request", func() {
		call := w.call("k", "gate 7")
		call.BeforeSend = func(context.Context) error { return merry.Wrap(relay.ErrNotRun) }
		_, err := first.Invoke(ctx, call)
		Expect(err).To(MatchError(relay.ErrNotRun))
		Expect(runs()).To(BeZero())
		_, err = second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("cannot be claimed while the platform is down, and nothing is sent", func() {
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		_, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, idempotency.ErrUnavailable)).To(BeTrue(), "%v", err)
		Expect(runs()).To(BeZero())
	})

	It("is rejected immediately during an outage, and the platform is called rarely", func() {
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

	It("can be claimed although responses of the platform are lost", func() {
		w.store.SetFaults(platformstandin.Faults{LoseAnswers: 3})
		a, err := first.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		b, err := second.Invoke(ctx, w.call("k", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Body).To(Equal(a.Body))
		Expect(runs()).To(Equal(1))
	})

	It("returns a response that cannot be stored, and an unknown outcome to retries", func() {
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

	It("prevents a holder that was paused for longer than the retention from sending", func() {
		pausing := &pausingObjects{Store: w.store, after: 2}
		pausing.onPause = func() {
			w.clock.Advance(idempotency.Retention + time.Minute)
			_, err := second.Invoke(ctx, w.call("k", "gate 7"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := w.instance("one", pausing, w.service).Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("prevents a holder whose claim was taken over from sending", func() {
		pausing := &pausingObjects{Store: w.store, after: 1}
		pausing.onPause = func() {
			w.clock.Advance(20 * time.Second)
			_, err := second.Invoke(ctx, w.call("k", "gate 7"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := w.instance("one", pausing, w.service).Invoke(ctx, w.call("k", "gate 7"))
		Expect(errors.Is(err, idempotency.ErrInProgress)).To(BeTrue(), "%v", err)
		Expect(runs()).To(Equal(1))
	})

	It("does not replay a response that is too large to store, and does not run the request again", func() {
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

	It("is not claimed for idempotent calls or calls without a key", func() {
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		reads := w.call("k", "gate 7")
		reads.Idempotent = true
		_, err := first.Invoke(ctx, reads)
		Expect(err).NotTo(HaveOccurred())
		_, err = first.Invoke(ctx, w.call("", "gate 7"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("expires after its retention and is deleted by sweeps", func() {
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
