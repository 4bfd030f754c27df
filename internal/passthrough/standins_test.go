package passthrough_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/passthrough"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

// plain is a dialect of its own, so that the specs depend on no platform.
type plain struct{}

func (plain) Decode(r *http.Request, arrived time.Time) (*call.Call, error) {
	if r.Header.Get("Id") == "" {
		return nil, call.ErrMalformed
	}
	ms, _ := strconv.Atoi(r.Header.Get("Patience"))
	tokens, _ := strconv.Atoi(r.Header.Get("Tokens"))
	return &call.Call{
		ID: r.Header.Get("Id"), Method: r.Method, URI: r.RequestURI, Host: r.Host, Path: r.URL.Path, Key: r.Header.Get("Key"),
		Arrived: arrived, Timeout: time.Duration(ms) * time.Millisecond, Header: http.Header{}, HasBody: r.ContentLength != 0,
		Model: r.Header.Get("Model"), HasTokenCounts: tokens > 0, PromptTokens: tokens, LastEventID: r.Header.Get("Last"),
	}, nil
}

func (plain) AttemptHeader(c *call.Call, a call.Attempt) http.Header {
	h := http.Header{"Id": {c.ID}, "Remaining": {strconv.FormatInt(a.Remaining.Milliseconds(), 10)}, "Target": {a.TargetID}, "Account": {a.Account}}
	if a.LastEventID != "" {
		h.Set("Last", a.LastEventID)
	}
	return h
}

func (plain) Outcome(status int, h http.Header) call.Outcome {
	return call.Outcome{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", WrongTarget: status == 421, Authentic: h.Get("Seal") != ""}
}
func (plain) AnswerHeader(h http.Header) http.Header { return h.Clone() }
func (plain) RefusalHeader(_ *call.Call, after time.Duration) http.Header {
	return http.Header{"Retry-After": {strconv.FormatFloat(after.Seconds(), 'f', 2, 64)}}
}

type everywhere struct{ unserved atomic.Int32 }

func (*everywhere) Holds(t *fleet.Target, model, _ string) (bool, bool) {
	return model == "" || t.Holds(model), model != "bare"
}
func (*everywhere) EnsureAdapter(context.Context, string, string, string, string) (string, error) {
	return "", errors.New("none")
}
func (e *everywhere) Demand(_, _, _ string, _ time.Duration, unserved bool) {
	if unserved {
		e.unserved.Add(1)
	}
}
func (*everywhere) ExpectedLoad(string, string) (time.Duration, bool) { return 2 * time.Second, true }
func (*everywhere) MovesEnd(string, string) (time.Duration, bool) {
	return 1800 * time.Millisecond, true
}

type one struct{}

func (one) Self() string        { return "i1" }
func (one) Names() []string     { return []string{"i1"} }
func (one) ZoneCut(string) bool { return false }
func (one) AllKnown() bool      { return true }

// fresh is an instance that does not know of the others yet.
type fresh struct{ one }

func (fresh) AllKnown() bool { return false }

// standIn is a target whose behavior a spec sets.
type standIn struct {
	id    string
	calls atomic.Int32
	mu    sync.Mutex
	seen  []http.Header
	do    http.HandlerFunc
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.mu.Lock()
	s.seen = append(s.seen, r.Header.Clone())
	do := s.do
	s.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", s.id)
	do(w, r)
}

func (s *standIn) header(i int) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[i]
}

func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cut(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// events sends the events from to until, and ends the stream whole or cut.
func events(from, until int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := from; i <= until; i++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			fmt.Fprint(w, "id: ")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// newServer returns a server in front of the targets of a table.
func newServer(holder *catalog.Holder, table *fleet.Table, residency passthrough.Residency) *passthrough.Server {
	registry := prometheus.NewRegistry()
	return passthrough.NewServer(passthrough.Dependencies{
		Zone: "z", Dialect: plain{}, Catalog: holder, Fleet: table, Dispatcher: dispatch.NewDispatcher(), Upstream: upstream.NewClient(registry),
		Quota:   allowance.NewQuota(allowance.QuotaBounds{}, time.Now().Add(-time.Hour)),
		Retries: allowance.NewRetryBudget(allowance.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}),
		Cold:    allowance.NewColdLimiter(allowance.ColdBounds{Overshoot: 1, Slack: 2}), Residency: residency, Members: one{},
		Log: telemetry.Discard(), Tracer: telemetry.NoTracing().Tracer, Metrics: registry, Now: time.Now,
	})
}
