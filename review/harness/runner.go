package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	healthPath        = "/healthz"
	// promptTokensPerMS is how fast a model runner reads a prompt, as on the sheet.
	promptTokensPerMS = 38.1
	eventInterval     = 10 * time.Millisecond
	// kvCapacity is the memory of a model runner in tokens. Larger requests are rejected.
	kvCapacity = 244811
)

// arrival is one request that reached a runner and ran.
type arrival struct {
	runner, attempt, tenant string
	tokens                  int
	at                      time.Time
}

// runner is a stand-in for a server of a service. With models it is a model runner and
// answers with events.
type runner struct {
	w                       *world
	id, service, zone, addr string
	slots                   int
	models                  []string
	work                    time.Duration
	born                    time.Time

	mu sync.Mutex
	// coldUntil is the end of its cold start.
	coldUntil time.Time
	// unlisted is set once its entry was removed.
	unlisted bool
	running  int
	sequence int64
	// written is the last written entry, without its sequence.
	written string
}

// startRunner starts a runner, which registers itself and writes heartbeats.
func (w *world) startRunner(id, service, zone string, slots int, work time.Duration, models ...string) *runner {
	l, err := net.Listen("tcp", w.host(200)+":0")
	w.must(err)
	r := &runner{w: w, id: id, service: service, zone: zone, addr: l.Addr().String(), slots: slots, work: work, models: models, born: time.Now()}
	go func() { _ = (&http.Server{Handler: r}).Serve(l) }()
	r.heartbeat()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			r.heartbeat()
		}
	}()
	w.runners = append(w.runners, r)
	return r
}

func (r *runner) held() []map[string]any {
	out := []map[string]any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return out
}

// heartbeat writes the entry of the runner, as far as the store takes it. The entry changes
// when more than its sequence does.
func (r *runner) heartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlisted {
		return
	}
	r.sequence++
	entry := map[string]any{
		"Service": r.service, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready",
		"ColdLeftMs": r.coldLeft().Milliseconds(), "Stage": "both", "Models": r.held(), "born": r.born.UnixMilli(),
	}
	same, err := json.Marshal(entry)
	r.w.must(err)
	if string(same) == r.written {
		return
	}
	entry["Sequence"] = r.sequence
	spec, err := json.Marshal(entry)
	r.w.must(err)
	if r.w.store.write("servers", r.id, spec) {
		r.written = string(same)
	}
}

// coldLeft requires r.mu.
func (r *runner) coldLeft() time.Duration { return max(0, time.Until(r.coldUntil)) }

// turnCold begins a cold start, which the runner writes to its entry at once.
func (r *runner) turnCold(d time.Duration) {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	r.mu.Unlock()
	r.heartbeat()
}

// leave removes the entry of the runner, which goes on serving. It returns when the store
// acknowledged that.
func (r *runner) leave() time.Time {
	r.mu.Lock()
	r.unlisted = true
	r.mu.Unlock()
	if !r.w.store.remove("servers", r.id) {
		r.w.fail("the store did not take the removal of %s", r.id)
	}
	return time.Now()
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if want := q.Header.Get("X-Dotterellink-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Dotterellink-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case healthPath:
		r.health(w)
	case "/dotterellink/report":
		answer(w, http.StatusOK, map[string]any{
			"Stage": "both", "Models": r.held(), "Busy": false, "Sequence": 0, "Queued": 0, "InFlight": 0,
			"KvUsed": 0, "KvTotal": kvCapacity, "Handles": 0, "born": r.born.UnixMilli(),
		})
	case "/dotterellink/order":
		r.order(w, body)
	default:
		r.run(w, q, arrived)
	}
}

func (r *runner) health(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("X-Dotterellink-Instance-Id", r.id)
	w.Header().Set("X-Dotterellink-Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	w.Header().Set("X-Dotterellink-Cold-Ms", strconv.FormatInt(r.coldLeft().Milliseconds(), 10))
	w.WriteHeader(http.StatusOK)
}

// order answers that what is held already is held. The cases need no other order.
func (r *runner) order(w http.ResponseWriter, body []byte) {
	var o struct{ Operation, Model, Adapter string }
	_ = json.Unmarshal(body, &o)
	r.w.note("order at %s: %s", r.id, body)
	if o.Operation == "model_load" && o.Adapter == "" && strings.Contains(strings.Join(r.models, " "), o.Model) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// run runs a request, or rejects it if there is no slot or memory for it.
func (r *runner) run(w http.ResponseWriter, q *http.Request, arrived time.Time) {
	attempt := q.Header.Get("X-Dotterellink-Attempt-Id")
	w.Header().Set("X-Dotterellink-Attempt-Id", attempt)
	in, out := tokensOf(q.Header.Get("X-Dotterellink-Token-Usage"))
	r.mu.Lock()
	full := r.running >= r.slots || len(r.models) > 0 && in+out > kvCapacity
	if !full && attempt != "" {
		r.running++
	}
	r.mu.Unlock()
	if full || attempt == "" {
		w.Header().Set("X-Dotterellink-Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusBadRequest}[full])
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.w.arrived(arrival{runner: r.id, attempt: attempt, tenant: q.Header.Get("X-Dotterellink-Tenant"), tokens: in + out, at: arrived})
	w.Header().Set("X-Dotterellink-Server-Seal", "seal."+attempt)
	if len(r.models) == 0 {
		if pauseFor(q, r.work) {
			_, _ = io.WriteString(w, "done "+attempt+"\n")
		}
		return
	}
	r.stream(w, q, in, out)
}

// stream reads the prompt and then answers with events of 5 tokens.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, in, out int) {
	if !pauseFor(q, time.Duration(float64(in)/promptTokensPerMS*float64(time.Millisecond))) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= max(1, out/5); i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		if !pauseFor(q, eventInterval) {
			return
		}
	}
}

// pauseFor reports false if the request's connection was closed meanwhile.
func pauseFor(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func tokensOf(value string) (in, out int) {
	a, b, _ := strings.Cut(value, ",")
	in, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return in, out
}
