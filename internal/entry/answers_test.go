package entry_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

type retryAfterError struct{ after time.Duration }

func (e *retryAfterError) Error() string                 { return "queue full" }
func (e *retryAfterError) RetryAfterHint() time.Duration { return e.after }

func withCause(err, cause error) error { return merry.Wrap(err, merry.WithCause(cause)) }

// sendChunks returns a Generate function that sends chunks and returns result and
// err.
func sendChunks(result relay.Result, err error, chunks ...target.Chunk) func(context.Context, *relay.Call, relay.Sink) (relay.Result, error) {
	return func(_ context.Context, _ *relay.Call, sink relay.Sink) (relay.Result, error) {
		for _, c := range chunks {
			if sinkErr := sink.Chunk(c); sinkErr != nil {
				return result, sinkErr
			}
		}
		return result, err
	}
}

var _ = Describe("Responses", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	token := target.Chunk{Data: []byte(`{"id":"a","choices":[{"delta":{"content":"x"}}]}`), Generated: 1}
	usage := &target.Usage{PromptTokens: 9, CompletionTokens: 1, TotalTokens: 10}
	lastData := []byte(`{"id":"a","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":1,"total_tokens":10}}`)
	last := target.Chunk{Index: 1, Data: lastData, Usage: usage}

	It("contain the usage of a stream if the caller requested it", func() {
		f.relay.generate = sendChunks(relay.Result{Sent: true, Usage: usage, Generated: 1}, nil, token, last)
		response := f.chat(`,"stream":true,"stream_options":{"include_usage":true}`)
		events := strings.Split(strings.TrimSuffix(response.body, "\n\n"), "\n\n")
		Expect(events).To(HaveLen(4), response.body)
		Expect(events[1]).NotTo(ContainSubstring("usage"))
		Expect(events[2]).To(ContainSubstring(`"choices":[]`))
		Expect(events[2]).To(ContainSubstring(`"total_tokens":10`))
		Expect(events[3]).To(Equal("data: [DONE]"))
	})

	It("omit the usage if the caller did not request it, but request it from the engine", func() {
		f.relay.generate = sendChunks(relay.Result{Sent: true, Usage: usage, Generated: 1}, nil, token, last)
		response := f.chat(`,"stream":true`)
		Expect(response.body).NotTo(ContainSubstring("usage"))
		Expect(response.body).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(response.body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(string(f.relay.calls[0].Body)).To(ContainSubstring(`"stream_options":{"include_usage":true}`))
		Expect(f.limiter.lastSettled()).To(Equal(int64(10)))
	})

	It("end a broken stream with an error event and no end mark", func() {
		f.relay.generate = sendChunks(relay.Result{Sent: true, Generated: 1}, merry.Wrap(relay.ErrBroken), token)
		response := f.chat(`,"stream":true`)
		Expect(response.status).To(Equal(200))
		Expect(response.body).To(ContainSubstring("event: error\ndata: {\"error\":"))
		Expect(response.body).NotTo(ContainSubstring("[DONE]"))
	})

	DescribeTable("settle the reservation to the tokens used or to an upper bound",
		func(stream bool, result relay.Result, err error, want int) {
			f.relay.generate = sendChunks(result, err)
			fields := `,"max_tokens":20`
			if stream {
				fields += `,"stream":true`
			}
			f.chat(fields)
			Expect(f.limiter.reserved).To(Equal([]int64{int64(promptBytes + 20)}))
			Eventually(f.limiter.lastSettled).Should(Equal(int64(want)))
		},
		Entry("usage reported by the engine", true, relay.Result{Sent: true, Usage: usage}, nil, 10),
		Entry("a stream without usage", true, relay.Result{Sent: true, Generated: 3}, nil, promptBytes+3),
		Entry("a broken stream", true, relay.Result{Sent: true, Generated: 3}, relay.ErrBroken, promptBytes+3),
		Entry("a caller that disconnected", true, relay.Result{Sent: true, Generated: 5}, context.Canceled, promptBytes+5),
		Entry("an unstreamed response without usage", false, relay.Result{Sent: true}, nil, promptBytes+20),
		Entry("an unstreamed response that was lost", false, relay.Result{Sent: true}, relay.ErrOutcomeUnknown, promptBytes+20),
		Entry("nothing sent", true, relay.Result{}, relay.ErrNotRun, 0),
	)

	DescribeTable("state the outcome and the retry delay",
		func(err error, status int, outcome, after string) {
			f.relay.invoke = func(context.Context, *relay.ServiceCall) (*target.ServiceReply, error) { return nil, err }
			response := f.do("POST", "/services/desk/bookings", "pack 7")
			Expect(response.status).To(Equal(status), response.body)
			Expect(response.header.Get(entry.HeaderOutcome)).To(Equal(outcome))
			Expect(response.header.Get("Retry-After")).To(Equal(after))
			_, _, code := response.errorFields()
			Expect(code).NotTo(BeEmpty())
		},
		Entry("no target", withCause(relay.ErrNotRun, routing.ErrNoTarget), 503, "not-run", "1"),
		Entry("queue full", withCause(relay.ErrNotRun, &retryAfterError{7 * time.Second}), 503, "not-run", "7"),
		Entry("rejected by the target with a retry delay", withCause(relay.ErrNotRun, &target.RejectedError{Status: 503, RetryAfter: 3 * time.Second}), 503, "not-run", "3"),
		Entry("unknown outcome", merry.Wrap(relay.ErrOutcomeUnknown), 502, "unknown", ""),
		Entry("deadline, not sent", withCause(relay.ErrNotRun, context.DeadlineExceeded), 504, "not-run", "1"),
		Entry("deadline, sent", withCause(relay.ErrOutcomeUnknown, context.DeadlineExceeded), 502, "unknown", ""),
		Entry("idempotency key in use", &idempotency.BusyError{}, 409, "in-progress", "1"),
		Entry("idempotency key used for another request", merry.Wrap(idempotency.ErrMismatch), 422, "not-run", ""),
		Entry("idempotency key not claimed", merry.Wrap(idempotency.ErrUnavailable), 503, "not-run", "1"),
		Entry("other errors", errors.New("x"), 500, "unknown", ""),
	)

	It("have status 429 and the quota's retry delay if the quota refuses the request", func() {
		f.limiter.refuse = &quota.RefusedError{RetryAfter: 2500 * time.Millisecond}
		response := f.chat("")
		Expect(response.status).To(Equal(429))
		Expect(response.header.Get("Retry-After")).To(Equal("3"))
		Expect(response.header.Get(entry.HeaderOutcome)).To(Equal("not-run"))
	})

	It("contain what a service responds, whatever the status", func() {
		f.relay.invoke = func(context.Context, *relay.ServiceCall) (*target.ServiceReply, error) {
			header := http.Header{"Content-Type": {"text/x-desk"}, "X-Desk": {"1"}, "Connection": {"close"}, entry.HeaderOutcome: {"forged"}}
			return &target.ServiceReply{Status: 418, Header: header, Body: []byte("no\x00")}, nil
		}
		response := f.do("PATCH", "/services/desk/bookings/7?x=1", "pack 7")
		Expect(response.status).To(Equal(418))
		Expect(response.body).To(Equal("no\x00"))
		Expect(response.header.Get("Content-Type")).To(Equal("text/x-desk"))
		Expect(response.header.Get("X-Desk")).To(Equal("1"))
		Expect(response.header.Get(entry.HeaderOutcome)).To(BeEmpty())
		call := f.relay.services[0]
		Expect(call.Method + " " + call.Path + "?" + call.RawQuery).To(Equal("PATCH /bookings/7?x=1"))
	})

	It("end a call whose caller stops reading", func() {
		f.entry.SetWriteTimeout(time.Second)
		ended := make(chan error, 1)
		big := target.Chunk{Data: []byte(`"` + strings.Repeat("x", 1<<20) + `"`)}
		f.relay.generate = func(_ context.Context, _ *relay.Call, sink relay.Sink) (relay.Result, error) {
			for {
				if err := sink.Chunk(big); err != nil {
					ended <- err
					return relay.Result{Sent: true}, err
				}
			}
		}
		r, err := http.NewRequest("POST", f.server.URL+"/v1/chat/completions", strings.NewReader(`{"model":"reader","stream":true,"messages":[{}]}`))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+f.key)
		response, err := http.DefaultTransport.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Eventually(ended, 10*time.Second).Should(Receive(HaveOccurred()))
	})
})
