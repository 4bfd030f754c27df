package entry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/entry"
)

var _ = Describe("Request checks", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	// expectRejected checks that the error names the field, and that nothing was
	// reserved or sent.
	expectRejected := func(response httpResponse, status int, param string) {
		GinkgoHelper()
		Expect(response.status).To(Equal(status), response.body)
		message, gotParam, code := response.errorFields()
		Expect(gotParam).To(Equal(param))
		Expect(message).To(ContainSubstring(param))
		Expect(code).NotTo(BeEmpty())
		Expect(response.header.Get(entry.HeaderOutcome)).To(Equal(entry.OutcomeNotRun))
		Expect(response.header.Get(entry.HeaderRequestID)).NotTo(BeEmpty())
		Expect(f.relay.callCount()).To(BeZero())
		Expect(f.limiter.reserved).To(BeEmpty())
	}

	DescribeTable("reject an invalid chat request and name the field",
		func(body, param string) { expectRejected(f.do("POST", "/v1/chat/completions", body), 400, param) },
		Entry("invalid JSON", `{"model":`, "body"),
		Entry("an array", `[]`, "body"),
		Entry("null", `null`, "body"),
		Entry("no model", `{"messages":[{}]}`, "model"),
		Entry("model of another type", `{"model":7,"messages":[{}]}`, "model"),
		Entry("model field in upper case", `{"MODEL":"reader","messages":[{}]}`, "model"),
		Entry("no messages", `{"model":"reader"}`, "messages"),
		Entry("empty messages", `{"model":"reader","messages":[]}`, "messages"),
		Entry("messages of another type", `{"model":"reader","messages":"x"}`, "messages"),
		Entry("stream of another type", `{"model":"reader","messages":[{}],"stream":"yes"}`, "stream"),
		Entry("two choices", `{"model":"reader","messages":[{}],"n":2}`, "n"),
		Entry("best of two", `{"model":"reader","messages":[{}],"best_of":2}`, "best_of"),
		Entry("token limit of zero", `{"model":"reader","messages":[{}],"max_tokens":0}`, "max_tokens"),
		Entry("fractional token limit", `{"model":"reader","messages":[{}],"max_tokens":0.5}`, "max_tokens"),
		Entry("token limit beyond the context", `{"model":"reader","messages":[{}],"max_completion_tokens":1001}`, "max_completion_tokens"),
		Entry("stream options without a stream", `{"model":"reader","messages":[{}],"stream_options":{"include_usage":true}}`, "stream_options"),
		Entry("stream options of another type", `{"model":"reader","messages":[{}],"stream":true,"stream_options":1}`, "stream_options"),
	)

	It("reject an unknown model with 404", func() {
		expectRejected(f.do("POST", "/v1/chat/completions", `{"model":"x","messages":[{}]}`), 404, "model")
	})

	DescribeTable("reject invalid completion and embedding requests",
		func(path, body, param string) { expectRejected(f.do("POST", path, body), 400, param) },
		Entry("completion without a prompt", "/v1/completions", `{"model":"reader"}`, "prompt"),
		Entry("completion with an object as prompt", "/v1/completions", `{"model":"reader","prompt":{}}`, "prompt"),
		Entry("embedding without input", "/v1/embeddings", `{"model":"reader","input":""}`, "input"),
		Entry("embedding as a stream", "/v1/embeddings", `{"model":"reader","input":"x","stream":true}`, "stream"),
	)

	DescribeTable("reject invalid headers",
		func(name, value string) { expectRejected(f.chat("", name, value), 400, name) },
		Entry("class", entry.HeaderClass, "urgent"),
		Entry("deadline zero", entry.HeaderDeadline, "0"),
		Entry("deadline in words", entry.HeaderDeadline, "soon"),
		Entry("deadline beyond ten minutes", entry.HeaderDeadline, "600001"),
	)

	It("reject bodies and headers that are too large", func() {
		expectRejected(f.do("POST", "/services/desk/x", strings.Repeat("x", 4<<20+1)), 413, "")
		Expect(f.chat("", "X-Large", strings.Repeat("x", 64<<10)).status).To(Equal(431))
	})

	DescribeTable("reject requests without a valid key",
		func(authorization string) {
			expectRejected(f.chat("", "Authorization", authorization), 401, "")
			expectRejected(f.do("GET", "/v1/models", "", "Authorization", authorization), 401, "")
			expectRejected(f.do("POST", "/services/desk/x", "", "Authorization", authorization), 401, "")
		},
		Entry("none", ""),
		Entry("another scheme", "Basic eDp5"),
		Entry("a made-up key", "Bearer dk_0123456789abcdef_aaaaaaaaaaaaaaaaaaaaaaaa"),
	)

	DescribeTable("reject paths that targets could interpret differently",
		func(path string) {
			response := f.do("GET", path, "", "Authorization", "")
			Expect(response.status).To(Equal(400), response.body)
			Expect(f.relay.callCount()).To(BeZero())
		},
		Entry("parent segment", "/services/desk/open/../bookings"),
		Entry("encoded parent segment", "/services/desk/open/%2e%2e/bookings"),
		Entry("encoded separator", "/services/desk/open%2f..%2fbookings"),
		Entry("empty segment", "/services/desk/open//x"),
		Entry("backslash", "/services/desk/open/..%5cbookings"),
	)

	It("accept requests without a key on open routes only", func() {
		Expect(f.do("GET", "/services/desk/open/gates", "", "Authorization", "").status).To(Equal(200))
		Expect(f.do("GET", "/services/desk/opening", "", "Authorization", "").status).To(Equal(401))
	})

	It("reject unknown routes and methods in the same format", func() {
		expectRejected(f.do("GET", "/v2/x", ""), 404, "")
		expectRejected(f.do("GET", "/v1/chat/completions", ""), 405, "")
		expectRejected(f.do("GET", "/services/mill/x", ""), 404, "path")
	})

	It("list models and adapters", func() {
		response := f.do("GET", "/v1/models", "")
		Expect(response.status).To(Equal(200))
		Expect(response.body).To(ContainSubstring(`"id":"reader"`))
		Expect(response.body).To(ContainSubstring(`"id":"reader-lot"`))
		Expect(response.body).To(ContainSubstring(`"parent":"reader"`))
	})

	It("let /readyz but not /healthz fail after FailReadiness", func() {
		Expect(f.do("GET", "/readyz", "").status).To(Equal(200))
		f.entry.FailReadiness()
		Expect(f.do("GET", "/readyz", "").status).To(Equal(503))
		Expect(f.do("GET", "/healthz", "").status).To(Equal(200))
	})

	It("use no server timeout that would end a long stream", func() {
		server := f.entry.HTTPServer()
		Expect(server.ReadTimeout).To(BeZero())
		Expect(server.WriteTimeout).To(BeZero())
		Expect(server.ReadHeaderTimeout).NotTo(BeZero())
	})

	Context("with the caller's key in the wrong place", func() {
		DescribeTable("reject it", func(call func() httpResponse) {
			response := call()
			Expect(response.status).To(Equal(400), response.body)
			Expect(response.body).NotTo(ContainSubstring(f.key))
			Expect(f.relay.callCount()).To(BeZero())
		},
			Entry("user", func() httpResponse { return f.chat(`,"user":"` + f.key + `"`) }),
			Entry("metadata", func() httpResponse { return f.chat(`,"metadata":{"a":["` + f.key + `"]}`) }),
			Entry("metadata with escapes", func() httpResponse { return f.chat(`,"metadata":{"a":"\u0064` + f.key[1:] + `"}`) }),
			Entry("query", func() httpResponse { return f.do("GET", "/services/desk/x?a="+f.key, "") }),
			Entry("encoded query", func() httpResponse { return f.do("GET", "/services/desk/x?a=%64"+f.key[1:], "") }),
			Entry("path", func() httpResponse { return f.do("GET", "/services/desk/"+f.key, "") }),
			Entry("idempotency key", func() httpResponse { return f.do("POST", "/services/desk/x", "", "Idempotency-Key", f.key) }),
		)

		It("do not forward it to the service", func() {
			response := f.do("POST", "/services/desk/x", "", "Cookie", "k="+f.key, "X-Api-Key", f.key, "X-Other", f.key, "X-Request-Id", f.key, "X-Kept", "1")
			Expect(response.status).To(Equal(200))
			call := f.relay.services[0]
			for name, values := range call.Header {
				Expect(strings.Join(values, " ")).NotTo(ContainSubstring(f.key), name)
			}
			Expect(call.Header).To(HaveKey("X-Kept"))
			Expect(call.Header).NotTo(HaveKey("Cookie"))
			Expect(call.ID).NotTo(ContainSubstring(f.key))
		})
	})
})
