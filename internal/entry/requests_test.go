package entry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/entry"
)

var _ = Describe("Checks of requests", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// refused checks an answer that names the field and that nothing was sent.
	refused := func(a answer, status int, param string) {
		GinkgoHelper()
		Expect(a.status).To(Equal(status), a.body)
		message, gotParam, code := a.failure()
		Expect(gotParam).To(Equal(param))
		Expect(message).To(ContainSubstring(param))
		Expect(code).NotTo(BeEmpty())
		Expect(a.header.Get(entry.HeaderOutcome)).To(Equal(entry.OutcomeNotRun))
		Expect(a.header.Get(entry.HeaderRequestID)).NotTo(BeEmpty())
		Expect(w.carrier.reached()).To(BeZero())
		Expect(w.ledger.reserved).To(BeEmpty())
	}

	DescribeTable("refuse a bad chat request and name the field",
		func(body, param string) { refused(w.do("POST", "/v1/chat/completions", body), 400, param) },
		Entry("no JSON", `{"model":`, "body"),
		Entry("an array", `[]`, "body"),
		Entry("null", `null`, "body"),
		Entry("no model", `{"messages":[{}]}`, "model"),
		Entry("model of another type", `{"model":7,"messages":[{}]}`, "model"),
		Entry("model in another case", `{"MODEL":"reader","messages":[{}]}`, "model"),
		Entry("no messages", `{"model":"reader"}`, "messages"),
		Entry("empty messages", `{"model":"reader","messages":[]}`, "messages"),
		Entry("messages of another type", `{"model":"reader","messages":"x"}`, "messages"),
		Entry("stream of another type", `{"model":"reader","messages":[{}],"stream":"yes"}`, "stream"),
		Entry("two choices", `{"model":"reader","messages":[{}],"n":2}`, "n"),
		Entry("best of two", `{"model":"reader","messages":[{}],"best_of":2}`, "best_of"),
		Entry("no tokens", `{"model":"reader","messages":[{}],"max_tokens":0}`, "max_tokens"),
		Entry("half a token", `{"model":"reader","messages":[{}],"max_tokens":0.5}`, "max_tokens"),
		Entry("too many tokens", `{"model":"reader","messages":[{}],"max_completion_tokens":1001}`, "max_completion_tokens"),
		Entry("stream options without a stream", `{"model":"reader","messages":[{}],"stream_options":{"include_usage":true}}`, "stream_options"),
		Entry("stream options of another type", `{"model":"reader","messages":[{}],"stream":true,"stream_options":1}`, "stream_options"),
	)

	It("refuse an unknown model with 404", func() {
		refused(w.do("POST", "/v1/chat/completions", `{"model":"x","messages":[{}]}`), 404, "model")
	})

	DescribeTable("refuse bad prompts of the other calls",
		func(path, body, param string) { refused(w.do("POST", path, body), 400, param) },
		Entry("completion without a prompt", "/v1/completions", `{"model":"reader"}`, "prompt"),
		Entry("completion of an object", "/v1/completions", `{"model":"reader","prompt":{}}`, "prompt"),
		Entry("embedding without input", "/v1/embeddings", `{"model":"reader","input":""}`, "input"),
		Entry("embedding as a stream", "/v1/embeddings", `{"model":"reader","input":"x","stream":true}`, "stream"),
	)

	DescribeTable("refuse bad headers",
		func(name, value string) { refused(w.chat("", name, value), 400, name) },
		Entry("class", entry.HeaderClass, "urgent"),
		Entry("deadline zero", entry.HeaderDeadline, "0"),
		Entry("deadline in words", entry.HeaderDeadline, "soon"),
		Entry("deadline beyond ten minutes", entry.HeaderDeadline, "600001"),
	)

	It("refuse bodies and headers that are too large", func() {
		refused(w.do("POST", "/services/desk/x", strings.Repeat("x", 4<<20+1)), 413, "")
		Expect(w.chat("", "X-Large", strings.Repeat("x", 64<<10)).status).To(Equal(431))
	})

	DescribeTable("refuse requests without a valid key",
		func(authorization string) {
			refused(w.chat("", "Authorization", authorization), 401, "")
			refused(w.do("GET", "/v1/models", "", "Authorization", authorization), 401, "")
			refused(w.do("POST", "/services/desk/x", "", "Authorization", authorization), 401, "")
		},
		Entry("none", ""),
		Entry("another scheme", "Basic eDp5"),
		Entry("a made-up key", "Bearer dk_0123456789abcdef_aaaaaaaaaaaaaaaaaaaaaaaa"),
	)

	DescribeTable("refuse paths that targets could read otherwise",
		func(path string) {
			a := w.do("GET", path, "", "Authorization", "")
			Expect(a.status).To(Equal(400), a.body)
			Expect(w.carrier.reached()).To(BeZero())
		},
		Entry("parent segment", "/services/desk/open/../bookings"),
		Entry("encoded parent segment", "/services/desk/open/%2e%2e/bookings"),
		Entry("encoded separator", "/services/desk/open%2f..%2fbookings"),
		Entry("empty segment", "/services/desk/open//x"),
		Entry("backslash", "/services/desk/open/..%5cbookings"),
	)

	It("let open routes in without a key, and no others", func() {
		Expect(w.do("GET", "/services/desk/open/gates", "", "Authorization", "").status).To(Equal(200))
		Expect(w.do("GET", "/services/desk/opening", "", "Authorization", "").status).To(Equal(401))
	})

	It("answer unknown routes and methods in the same form", func() {
		refused(w.do("GET", "/v2/x", ""), 404, "")
		refused(w.do("GET", "/v1/chat/completions", ""), 405, "")
		refused(w.do("GET", "/services/mill/x", ""), 404, "path")
	})

	It("list models and adapters", func() {
		a := w.do("GET", "/v1/models", "")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(ContainSubstring(`"id":"reader"`))
		Expect(a.body).To(ContainSubstring(`"id":"reader-lot"`))
		Expect(a.body).To(ContainSubstring(`"parent":"reader"`))
	})

	It("tell the balancer when the instance leaves", func() {
		Expect(w.do("GET", "/readyz", "").status).To(Equal(200))
		w.entry.FailReadiness()
		Expect(w.do("GET", "/readyz", "").status).To(Equal(503))
		Expect(w.do("GET", "/healthz", "").status).To(Equal(200))
	})

	It("set no timeout that would end a long stream", func() {
		server := w.entry.HTTPServer()
		Expect(server.ReadTimeout).To(BeZero())
		Expect(server.WriteTimeout).To(BeZero())
		Expect(server.ReadHeaderTimeout).NotTo(BeZero())
	})

	Context("with the caller's key in the wrong place", func() {
		DescribeTable("refuse it", func(call func() answer) {
			a := call()
			Expect(a.status).To(Equal(400), a.body)
			Expect(a.body).NotTo(ContainSubstring(w.key))
			Expect(w.carrier.reached()).To(BeZero())
		},
			Entry("user", func() answer { return w.chat(`,"user":"` + w.key + `"`) }),
			Entry("metadata", func() answer { return w.chat(`,"metadata":{"a":["` + w.key + `"]}`) }),
			Entry("metadata with escapes", func() answer { return w.chat(`,"metadata":{"a":"\u0064` + w.key[1:] + `"}`) }),
			Entry("query", func() answer { return w.do("GET", "/services/desk/x?a="+w.key, "") }),
			Entry("encoded query", func() answer { return w.do("GET", "/services/desk/x?a=%64"+w.key[1:], "") }),
			Entry("path", func() answer { return w.do("GET", "/services/desk/"+w.key, "") }),
			Entry("idempotency key", func() answer { return w.do("POST", "/services/desk/x", "", "Idempotency-Key", w.key) }),
		)

		It("keep it from the service", func() {
			a := w.do("POST", "/services/desk/x", "", "Cookie", "k="+w.key, "X-Api-Key", w.key, "X-Other", w.key, "X-Request-Id", w.key, "X-Kept", "1")
			Expect(a.status).To(Equal(200))
			call := w.carrier.services[0]
			for name, values := range call.Header {
				Expect(strings.Join(values, " ")).NotTo(ContainSubstring(w.key), name)
			}
			Expect(call.Header).To(HaveKey("X-Kept"))
			Expect(call.Header).NotTo(HaveKey("Cookie"))
			Expect(call.ID).NotTo(ContainSubstring(w.key))
		})
	})
})
