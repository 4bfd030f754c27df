package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// fakeViews returns view and admits every account.
type fakeViews struct{ view *environment.View }

func (v *fakeViews) View() *environment.View { return v.view }
func (v *fakeViews) Admit(string) error      { return nil }

// fakeLimiter is a limiter that records the tokens reserved and settled. It
// refuses reservations with the error refuse if that is set.
type fakeLimiter struct {
	mu       sync.Mutex
	refuse   error
	reserved []int64
	settled  []int64
}

func (l *fakeLimiter) Reserve(_ context.Context, _ string, tokens int64) (quota.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse != nil {
		return nil, l.refuse
	}
	l.reserved = append(l.reserved, tokens)
	return fakeReservation{l}, nil
}

type fakeReservation struct{ limiter *fakeLimiter }

func (r fakeReservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.settled = append(r.limiter.settled, used)
}

func (l *fakeLimiter) lastSettled() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.settled) == 0 {
		return -1
	}
	return l.settled[len(l.settled)-1]
}

// fakeRelay is a relay that records the calls and runs the given functions.
type fakeRelay struct {
	generate func(ctx context.Context, call *relay.Call, sink relay.Sink) (relay.Result, error)
	invoke   func(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error)

	mu       sync.Mutex
	calls    []*relay.Call
	services []*relay.ServiceCall
}

func (r *fakeRelay) Generate(ctx context.Context, call *relay.Call, sink relay.Sink) (relay.Result, error) {
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	return r.generate(ctx, call, sink)
}

func (r *fakeRelay) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	r.mu.Lock()
	r.services = append(r.services, call)
	r.mu.Unlock()
	return r.invoke(ctx, call)
}

// callCount returns the number of calls that reached the relay.
func (r *fakeRelay) callCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls) + len(r.services)
}

type fixture struct {
	key     string
	limiter *fakeLimiter
	relay   *fakeRelay
	views   *fakeViews
	entry   *entry.Server
	server  *httptest.Server
}

// promptBytes is the size of the prompt that chat sends.
const promptBytes = len(`[{"role":"user","content":"gate 7"}]`)

func newFixture() *fixture {
	key, record := keys.New()
	record.Account = "celula"
	document := environment.Document{
		Accounts: []environment.Account{{Name: "celula", RateTokensPerSecond: 1000, BurstTokens: 10_000}},
		Models:   []environment.Model{{Name: "reader", ContextTokens: 1000, DefaultMaxTokens: 50}},
		Adapters: []environment.Adapter{{Name: "reader-lot", Model: "reader"}},
		Services: []environment.Service{{Name: "desk", Calls: []environment.ServiceCall{{Method: "GET", PathPrefix: "/", Idempotent: true}}}},
		OpenRoutes: []environment.OpenRoute{
			{Method: "GET", PathPrefix: "/services/desk/open"},
			{Method: "POST", PathPrefix: "/services/desk/open"},
		},
	}
	state := &environment.State{Revision: 1, Document: document, Keys: []environment.Key{record}}
	clock := clockwork.NewRealClock()
	f := &fixture{key: key, limiter: &fakeLimiter{}, relay: &fakeRelay{}, views: &fakeViews{environment.NewView(state, clock.Now())}}
	f.relay.generate = func(context.Context, *relay.Call, relay.Sink) (relay.Result, error) { return relay.Result{}, nil }
	f.relay.invoke = func(context.Context, *relay.ServiceCall) (*target.ServiceReply, error) {
		return &target.ServiceReply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("ok")}, nil
	}
	f.entry = entry.New(entry.Config{
		Views: f.views, Limiter: f.limiter, Relay: f.relay,
		Tracer: telemetry.NoTracing().Tracer, Clock: clock, Log: telemetry.Discard(), Metrics: prometheus.NewRegistry(),
	})
	f.server = httptest.NewUnstartedServer(nil)
	f.server.Config = f.entry.HTTPServer()
	f.server.Start()
	DeferCleanup(f.server.Close)
	return f
}

// httpResponse is a response as the caller receives it.
type httpResponse struct {
	status int
	header http.Header
	body   string
}

// errorFields decodes the error object of a response.
func (r httpResponse) errorFields() (message, param, code string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Param   string `json:"param"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	ExpectWithOffset(1, json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	ExpectWithOffset(1, body.Error.Type).NotTo(BeEmpty())
	return body.Error.Message, body.Error.Param, body.Error.Code
}

// do sends a request with the account's key and with path exactly as given. header
// lists names and values of headers to set; an empty value removes the header.
func (f *fixture) do(method, path, body string, header ...string) httpResponse {
	r, err := http.NewRequest(method, f.server.URL, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.URL.Opaque = path
	r.Header.Set("Authorization", "Bearer "+f.key)
	for i := 0; i < len(header); i += 2 {
		if header[i+1] == "" {
			r.Header.Del(header[i])
			continue
		}
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return httpResponse{response.StatusCode, response.Header, string(data)}
}

// chat sends a chat request. fields is JSON text that is added to its body, such as
// `,"stream":true`.
func (f *fixture) chat(fields string, header ...string) httpResponse {
	return f.do("POST", "/v1/chat/completions", `{"model":"reader","messages":[{"role":"user","content":"gate 7"}]`+fields+`}`, header...)
}
