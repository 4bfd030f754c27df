package relay_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// engineFunc is a scripted engine.
type engineFunc func(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error)

func (f engineFunc) Generate(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error) {
	return f(ctx, address, call)
}

// hangingStream returns the chunks below upTo and then blocks until its call is
// cancelled.
type hangingStream struct {
	ctx     context.Context
	next    int
	upTo    int
	hanging chan<- struct{}
}

func (s *hangingStream) Recv() (target.Chunk, error) {
	if s.next < s.upTo {
		s.next++
		return target.Chunk{Index: s.next - 1, Data: []byte("x"), Generated: 1}, nil
	}
	s.hanging <- struct{}{}
	<-s.ctx.Done()
	return target.Chunk{}, s.ctx.Err()
}

func (s *hangingStream) Close() error { return nil }

var _ = Describe("A model call", func() {
	var w *world
	var out *sink
	ctx := context.Background()

	BeforeEach(func() {
		w = newWorld(nil)
		out = &sink{}
	})

	It("is not sent if BeforeSend fails", func() {
		call := w.call(10, true)
		failure := errors.New("key withdrawn")
		call.BeforeSend = func(context.Context) error { return failure }
		result, err := w.relay.Generate(ctx, call, out)
		Expect(err).To(MatchError(failure))
		Expect(err).To(MatchError(relay.ErrNotRun))
		Expect(result.Sent).To(BeFalse())
	})

	It("resumes an interrupted stream on the same target and delivers each token once", func() {
		w.setFaults(enginestandin.Faults{CutStreams: 2, CutAfter: 3})
		result, err := w.relay.Generate(ctx, w.call(10, true), out)
		Expect(err).NotTo(HaveOccurred())
		out.expectTokens(10)
		Expect(w.runs()).To(Equal(1))
		Expect(result.Generated).To(Equal(int64(10)))
		Expect(result.Usage.CompletionTokens).To(Equal(int64(10)))
	})

	It("ends a stream that cannot be resumed with ErrBroken and does not run it elsewhere", func() {
		w.setFaults(enginestandin.Faults{CutStreams: 1, CutAfter: 3, ForgetStreams: true})
		result, err := w.relay.Generate(ctx, w.call(10, true), out)
		Expect(errors.Is(err, relay.ErrBroken)).To(BeTrue(), "%v", err)
		out.expectTokens(3)
		Expect(w.runs()).To(Equal(1))
		Expect(result.Generated).To(Equal(int64(3)))
	})

	It("limits the resumptions of a stream that breaks repeatedly", func() {
		w.setFaults(enginestandin.Faults{CutStreams: 1000, CutAfter: 1})
		_, err := w.relay.Generate(ctx, w.call(500, true), out)
		Expect(errors.Is(err, relay.ErrBroken)).To(BeTrue(), "%v", err)
		Expect(len(out.chunks)).To(BeNumerically("<=", 17))
	})

	DescribeTable("is retried on another target if nothing was delivered",
		func(stream bool, cutAfter int) {
			w.setFaults(enginestandin.Faults{CutStreams: 1, CutAfter: cutAfter})
			w.engines[1].SetFaults(enginestandin.Faults{})
			_, err := w.relay.Generate(ctx, w.call(10, stream), out)
			Expect(err).NotTo(HaveOccurred())
			out.expectTokens(10)
			Expect(w.runs()).To(BeNumerically("<=", 2))
		},
		Entry("a stream interrupted before its first chunk", true, 0),
		Entry("an unstreamed response interrupted before delivery", false, 4),
	)

	It("delivers no part of a response that belongs to another call", func() {
		w = newWorld(nil)
		addresses := make(map[int]string)
		for i, e := range w.engines {
			server := httptest.NewServer(enginestandin.NewHandler(e))
			DeferCleanup(server.Close)
			addresses[i] = strings.TrimPrefix(server.URL, "http://")
			e.SetFaults(enginestandin.Faults{CrossAnswers: 1})
		}
		router := routing.New("zone", func() *inventory.Snapshot {
			return w.snapshot(func(i int) string { return addresses[i] })
		}, w.clock)
		r := w.newRelay(admission.NewDirectPicker(router), httptarget.New(), nil)
		for range 3 {
			out = &sink{}
			_, err := r.Generate(ctx, w.call(5, true), out)
			Expect(err).NotTo(HaveOccurred())
			out.expectTokens(5)
			Expect(strings.Join(out.chunks, "")).NotTo(ContainSubstring("another-call"))
		}
	})

	It("ends a stream with ErrBroken if its engine restarts", func() {
		out.onChunk = func(n int) error {
			if n == 3 {
				w.engines[0].Restart()
				w.engines[1].Restart()
			}
			return nil
		}
		_, err := w.relay.Generate(ctx, w.call(10, true), out)
		Expect(errors.Is(err, relay.ErrBroken)).To(BeTrue(), "%v", err)
		out.expectTokens(3)
	})

	It("cancels at the target when the caller disconnects and counts the received tokens", func() {
		ctx, cancel := context.WithCancel(ctx)
		out.onChunk = func(n int) error {
			if n == 4 {
				cancel()
			}
			return nil
		}
		result, err := w.relay.Generate(ctx, w.call(100, true), out)
		Expect(errors.Is(err, context.Canceled)).To(BeTrue(), "%v", err)
		Expect(result.Generated).To(Equal(int64(4)))
		Expect(w.engines[0].Witness().Cancelled + w.engines[1].Witness().Cancelled).To(Equal(1))
		Expect(w.runs()).To(Equal(1))
	})

	It("does not count the time of a slow caller as inactivity of the target", func() {
		out.onChunk = func(int) error {
			w.clock.Advance(10 * time.Second)
			return nil
		}
		call := w.call(10, true)
		call.Deadline = time.Time{}
		_, err := w.relay.Generate(ctx, call, out)
		Expect(err).NotTo(HaveOccurred())
		out.expectTokens(10)
		Expect(w.engines[0].Witness().Calls + w.engines[1].Witness().Calls).To(Equal(1))
	})

	It("propagates the trace to the target, with spans of the admission and the attempt", func() {
		recorder := tracetest.NewSpanRecorder()
		var parent string
		r := relay.New(relay.Config{
			Picker: admission.NewDirectPicker(w.router()), Clock: w.clock, Log: telemetry.Discard(),
			Tracer: telemetry.NewTracingTo(recorder).Tracer,
			Engines: engineFunc(func(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error) {
				parent = call.TraceParent
				return w.fleet().Generate(ctx, address, call)
			}),
		})
		_, err := r.Generate(ctx, w.call(1, true), out)
		Expect(err).NotTo(HaveOccurred())
		spans := make(map[string]string)
		for _, span := range recorder.Ended() {
			spans[span.Name()] = span.SpanContext().SpanID().String()
		}
		Expect(spans).To(HaveKey("relay.admission"))
		Expect(parent).To(ContainSubstring(spans["relay.attempt"]))
	})

	It("assigns identifiers to attempts that callers cannot choose", func() {
		for range 20 {
			_, err := w.relay.Generate(ctx, w.call(1, true), &sink{})
			Expect(err).NotTo(HaveOccurred())
		}
		for _, e := range w.engines {
			for id, runs := range e.Witness().Runs {
				Expect(runs).To(Equal(1), id)
			}
		}
		Expect(w.runs()).To(Equal(20))
	})

	It("does not return ErrNotRun after an attempt that may have run", func() {
		w.engines[0].SetFaults(enginestandin.Faults{CutStreams: 1, CutAfter: 1})
		w.engines[1].SetFaults(enginestandin.Faults{CutStreams: 1, CutAfter: 1})
		first := true
		r := w.newRelay(pickerFunc(func(request routing.Request) (*routing.Slot, error) {
			if !first {
				w.setFaults(enginestandin.Faults{Down: true})
			}
			first = false
			return w.router().Pick(request)
		}), w.fleet(), nil)
		_, err := r.Generate(ctx, w.call(10, false), out)
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeFalse(), "%v", err)
		Expect(errors.Is(err, relay.ErrBroken)).To(BeTrue(), "%v", err)
	})

	It("returns ErrNotRun if no target accepted the call", func() {
		w.setFaults(enginestandin.Faults{Down: true})
		result, err := w.relay.Generate(ctx, w.call(10, true), out)
		Expect(errors.Is(err, relay.ErrNotRun)).To(BeTrue(), "%v", err)
		Expect(result.Sent).To(BeFalse())
	})

	It("limits retries to a tenth of the calls plus one per second and the initial burst", func() {
		w.setFaults(enginestandin.Faults{Down: true})
		attempts := 0
		fleet := w.fleet()
		counting := engineFunc(func(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error) {
			attempts++
			return fleet.Generate(ctx, address, call)
		})
		r := w.newRelay(admission.NewDirectPicker(w.router()), counting, nil)
		started := w.clock.Now()
		const calls = 2000
		for range calls {
			_, err := r.Generate(ctx, w.call(1, true), &sink{})
			Expect(err).To(HaveOccurred())
		}
		const initialBurst = 20
		baseRetries := w.clock.Since(started).Seconds()
		Expect(float64(attempts)).To(BeNumerically("<=", 1.1*calls+initialBurst+baseRetries))
		Expect(attempts).To(BeNumerically(">", calls))
	})

	Context("with an engine that hangs", func() {
		var hanging chan struct{}
		var seen []*target.ModelCall

		// run starts a call at an engine whose i-th stream hangs before chunk
		// stops[i].
		run := func(ctx context.Context, call *relay.Call, stops ...int) chan error {
			hanging, seen = make(chan struct{}), nil
			engine := engineFunc(func(ctx context.Context, _ string, call *target.ModelCall) (target.Stream, error) {
				stop := stops[min(len(seen), len(stops)-1)]
				seen = append(seen, call)
				return &hangingStream{ctx: ctx, next: call.ResumeFrom, upTo: stop, hanging: hanging}, nil
			})
			r := w.newRelay(admission.NewDirectPicker(w.router()), engine, nil)
			done := make(chan error, 1)
			go func() {
				_, err := r.Generate(ctx, call, out)
				done <- err
			}()
			return done
		}

		It("resumes a stream that is inactive between tokens", func() {
			done := run(ctx, w.call(10, true), 2)
			for range 4 {
				Eventually(hanging, 5*time.Second).Should(Receive())
				w.clock.Advance(10 * time.Second)
			}
			Expect(errors.Is(waitForError(done), relay.ErrInactive)).To(BeTrue())
			Expect(seen).To(HaveLen(4))
			for _, call := range seen[1:] {
				Expect(call.ResumeFrom).To(Equal(2))
				Expect(call.ID).To(Equal(seen[0].ID))
			}
			Expect(out.chunks).To(HaveLen(2))
		})

		It("tries another target if the first token does not arrive in time", func() {
			done := run(ctx, w.call(10, true), 0)
			for range 3 {
				Eventually(hanging, 5*time.Second).Should(Receive())
				w.clock.Advance(10 * time.Second)
			}
			Expect(errors.Is(waitForError(done), relay.ErrInactive)).To(BeTrue())
			Expect(seen).To(HaveLen(3))
			Expect(seen[1].ID).NotTo(Equal(seen[0].ID))
		})

		It("ends at the deadline without a retry", func() {
			call := w.call(10, true)
			ctx, cancel := clockwork.WithDeadline(ctx, w.clock, w.clock.Now().Add(time.Second))
			defer cancel()
			done := run(ctx, call, 2)
			Eventually(hanging, 5*time.Second).Should(Receive())
			w.clock.Advance(time.Second)
			Expect(errors.Is(waitForError(done), context.DeadlineExceeded)).To(BeTrue())
			Expect(seen).To(HaveLen(1))
		})
	})
})

// waitForError waits until a call ends and returns its error.
func waitForError(done <-chan error) error {
	var err error
	EventuallyWithOffset(1, done, 5*time.Second).Should(Receive(&err))
	return err
}
