package relay_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

var _ = Describe("A service call", func() {
	var w *world
	ctx := context.Background()

	BeforeEach(func() { w = newWorld(nil) })

	setFaults := func(f servicestandin.Faults) {
		for _, s := range w.services {
			s.SetFaults(f)
		}
	}

	DescribeTable("that is not idempotent runs at most once and never returns ErrNotRun after it may have run",
		func(f servicestandin.Faults, runs int) {
			setFaults(f)
			_, err := w.relay.Invoke(ctx, w.serviceCall(false))
			Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			Expect(errors.Is(err, relay.ErrNotRun)).To(BeFalse())
			Expect(w.serviceRuns()).To(Equal(runs))
		},
		Entry("lost response", servicestandin.Faults{LoseAnswers: 1}, 1),
		Entry("truncated response", servicestandin.Faults{Truncate: 1}, 1),
		Entry("service down", servicestandin.Faults{Down: true}, 0),
	)

	It("that is not idempotent is retried after a target reports that it did not run it", func() {
		w.services[0].SetFaults(servicestandin.Faults{RejectNotRun: 1})
		w.services[1].SetFaults(servicestandin.Faults{RejectNotRun: 1})
		_, err := w.relay.Invoke(ctx, w.serviceCall(false))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.serviceRuns()).To(Equal(1))
	})

	It("returns ErrNotRun if all targets reject it", func() {
		setFaults(servicestandin.Faults{RejectNotRun: 100})
		_, err := w.relay.Invoke(ctx, w.serviceCall(false))
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeTrue(), "%v", err)
		Expect(w.serviceRuns()).To(BeZero())
	})

	It("that is idempotent is retried", func() {
		setFaults(servicestandin.Faults{LoseAnswers: 1})
		reply, err := w.relay.Invoke(ctx, w.serviceCall(true))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(200))
	})

	It("that is idempotent returns ErrOutcomeUnknown even if later attempts are rejected", func() {
		w.services[0].SetFaults(servicestandin.Faults{LoseAnswers: 1, RejectNotRun: 0})
		calls := 0
		r := w.newRelay(newPicker(w), nil, invokerFunc(func(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error) {
			calls++
			if calls == 1 {
				return nil, target.ErrOutcomeUnknown
			}
			return nil, &target.RejectedError{Status: 503}
		}))
		_, err := r.Invoke(ctx, w.serviceCall(true))
		Expect(errors.Is(err, relay.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Expect(calls).To(Equal(3))
	})

	It("that is not idempotent continues if its caller disconnects", func() {
		ctx, cancel := context.WithCancel(ctx)
		r := w.newRelay(newPicker(w), nil, invokerFunc(func(ctx context.Context, _ string, _ *target.ServiceCall) (*target.ServiceReply, error) {
			cancel()
			return &target.ServiceReply{Status: 201}, ctx.Err()
		}))
		reply, err := r.Invoke(ctx, w.serviceCall(false))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(201))
	})

	It("is not sent if BeforeSend fails", func() {
		call := w.serviceCall(false)
		failure := errors.New("no claim")
		call.BeforeSend = func(context.Context) error { return failure }
		_, err := w.relay.Invoke(ctx, call)
		Expect(err).To(MatchError(failure))
		Expect(w.serviceRuns()).To(BeZero())
	})
})

type invokerFunc func(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error)

func (f invokerFunc) Invoke(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error) {
	return f(ctx, address, call)
}

func newPicker(w *world) relay.Picker { return pickerFunc(w.router().Pick) }
