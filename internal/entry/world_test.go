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

// views shows one environment with one account.
type views struct{ view *environment.View }

func (v *views) View() *environment.View { return v.view }
func (v *views) Admit(string) error      { return nil }

// ledger is a limiter that keeps what was reserved and settled.
type ledger struct {
	mu       sync.Mutex
	refuse   error
	reserved []int64
	settled  []int64
}

func (l *ledger) Reserve(_ context.Context, _ string, tokens int64) (quota.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse != nil {
		return nil, l.refuse
	}
	l.reserved = append(l.reserved, tokens)
	return settlement{l}, nil
}

type settlement struct{ ledger *ledger }

func (s settlement) Settle(used int64) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.settled = append(s.ledger.settled, used)
}

func (l *ledger) lastSettled() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.settled) == 0 {
		return -1
	}
	return l.settled[len(l.settled)-1]
}

// carrier is a scripted relay that keeps what reached it.
type carrier struct {
	generate func(ctx context.Context, call *relay.Call, sink relay.Sink) (relay.Result, error)
	invoke   func(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error)

	mu       sync.Mutex
	calls    []*relay.Call
	services []*relay.ServiceCall
}

func (c *carrier) Generate(ctx context.Context, call *relay.Call, sink relay.Sink) (relay.Result, error) {
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	return c.generate(ctx, call, sink)
}

func (c *carrier) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	c.mu.Lock()
	c.services = append(c.services, call)
	c.mu.Unlock()
	return c.invoke(ctx, call)
}

// reached counts the requests that got past the entry.
func (c *carrier) reached() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) + len(c.services)
}

type world struct {
	key     string
	ledger  *ledger
	carrier *carrier
	views   *views
	entry   *entry.Server
	server  *httptest.Server
}

const promptBytes = len(`[{"role":"user","content":"gate 7"}]`)

func newWorld() *world {
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
	w := &world{key: key, ledger: &ledger{}, carrier: &carrier{}, views: &views{environment.NewView(state, clock.Now())}}
	w.carrier.generate = func(context.Context, *relay.Call, relay.Sink) (relay.Result, error) { return relay.Result{}, nil }
	w.carrier.invoke = func(context.Context, *relay.ServiceCall) (*target.ServiceReply, error) {
		return &target.ServiceReply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("ok")}, nil
	}
	w.entry = entry.New(entry.Config{
		Views: w.views, Limiter: w.ledger, Relay: w.carrier,
		Tracer: telemetry.NoTracing().Tracer, Clock: clock, Log: telemetry.Discard(), Metrics: prometheus.NewRegistry(),
	})
	w.server = httptest.NewUnstartedServer(nil)
	w.server.Config = w.entry.HTTPServer()
	w.server.Start()
	DeferCleanup(w.server.Close)
	return w
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
}

// failure returns the error object of an answer.
func (a answer) failure() (message, param, code string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Param   string `json:"param"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	ExpectWithOffset(1, json.Unmarshal([]byte(a.body), &body)).To(Succeed(), a.body)
	ExpectWithOffset(1, body.Error.Type).NotTo(BeEmpty())
	return body.Error.Message, body.Error.Param, body.Error.Code
}

// do sends a request with the account's key unless header has another.
func (w *world) do(method, path, body string, header ...string) answer {
	r, err := http.NewRequest(method, w.server.URL, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.URL.Opaque = path
	r.Header.Set("Authorization", "Bearer "+w.key)
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
	return answer{response.StatusCode, response.Header, string(data)}
}

func (w *world) chat(fields string, header ...string) answer {
	return w.do("POST", "/v1/chat/completions", `{"model":"reader","messages":[{"role":"user","content":"gate 7"}]`+fields+`}`, header...)
}
