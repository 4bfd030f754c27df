package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// reportLag is how old a report may be.
	reportLag = 200 * time.Millisecond
	// loadTime is how long a model is loaded or unloaded.
	loadTime = 600 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 50 * time.Millisecond
)

// arrival is a request that reached a runner.
type arrival struct {
	runner, id, path string
	at               time.Time
	// outcome is how its run ended, "not run" if the runner rejected it.
	outcome string
}

// order is an order that reached a runner.
type order struct {
	runner string
	at     time.Time
	status int
	orderBody
}

type orderBody struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	FencingToken                      uint64
}

// runner is a stand-in of a runner. It serves plain calls, streams, and the orders of an engine
// if it has slots for adapters. It announces itself in the store.
type runner struct {
	w                    *world
	id, service, address string
	zone                 string
	work                 time.Duration
	adapterSlots         int
	listener             net.Listener
	server               *http.Server

	// running holds a place for each request that runs or waits, turn one for each that runs.
	running, turn chan struct{}

	mu       sync.Mutex
	state    string
	born     int64
	sequence int64
	silent   bool
	ended    bool
	// models holds the adapters of each model, accepted counts orders.
	models   map[string][]string
	accepted int64
	busy     bool
	told     []byte
	toldAt   time.Time
}

// startRunner starts a runner and announces it.
func (w *world) startRunner(id, service, zone, address string, models map[string][]string) *runner {
	return w.startRunnerAt(time.Now(), id, service, zone, address, models)
}

// startRunnerAt is startRunner on a machine with the given time of day.
func (w *world) startRunnerAt(clock time.Time, id, service, zone, address string, models map[string][]string) *runner {
	if models == nil {
		models = make(map[string][]string)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.cannotRun("runner %s: %v", id, err)
	}
	r := &runner{
		w: w, id: id, service: service, zone: zone, address: address, listener: l,
		work: 15 * time.Millisecond, state: "ready", born: clock.UnixMilli(), models: models,
	}
	if len(models) > 0 {
		r.adapterSlots = 5
	}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l) //nolint:errcheck // Ends with the process.
	r.announce()
	go func() {
		for {
			time.Sleep(heartbeat)
			r.mu.Lock()
			silent, ended := r.silent, r.ended
			r.mu.Unlock()
			if ended {
				return
			}
			if !silent {
				r.announce()
			}
		}
	}()
	w.runners = append(w.runners, r)
	return r
}

func (r *runner) held() []map[string]any {
	held := []map[string]any{}
	for name, adapters := range r.models {
		held = append(held, map[string]any{"Name": name, "Version": 1, "Adapters": slices.Clone(adapters)})
	}
	return held
}

// announce writes the entry of the runner, and returns when the store has accepted it.
func (r *runner) announce() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return time.Now()
	}
	r.sequence++
	entry := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.w.slots,
		"State": r.state, "ColdLeftMs": 0, "Sequence": r.sequence, "born": r.born,
	}
	if r.adapterSlots > 0 {
		entry["Stage"], entry["Models"], entry["Slots"] = "both", r.held(), 64
	}
	return r.w.store.put("servers", r.id, entry)
}

// end closes the runner with all its connections, as when its process exits.
func (r *runner) end() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Dotterellink-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Dotterellink-Attempt-Id", id)
	}
	if expected := q.Header.Get("X-Dotterellink-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Dotterellink-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/dotterellink/report":
		r.report(w)
		return
	case "/dotterellink/order":
		r.order(w, q)
		return
	case "/healthz":
		w.Header().Set("X-Dotterellink-Instance-Id", r.id)
		return
	}
	at := time.Now()
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	if model, adapter, _ := strings.Cut(q.Header.Get("X-Dotterellink-Model"), "/"); model != "" && !r.holds(model, adapter) {
		w.Header().Set("X-Dotterellink-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.w.arrived(arrival{r.id, id, q.URL.Path, at, "not run"})
		return
	}
	if !r.enter(q) {
		w.Header().Set("X-Dotterellink-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		r.w.arrived(arrival{r.id, id, q.URL.Path, at, "not run"})
		return
	}
	defer r.leave()
	w.Header().Set("X-Dotterellink-Server-Seal", "seal."+r.id)
	i := r.w.arrived(arrival{r.id, id, q.URL.Path, at, "running"})
	if strings.Contains(q.URL.Path, "/stream/") {
		r.stream(w, q, id, i)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.w.ran(i, "broken off")
		return
	}
	_, err := fmt.Fprintf(w, "answer to %s", id)
	r.w.ran(i, outcomeOf(err))
}

// bound makes the runner run so many requests at once, and queue so many more.
func (r *runner) bound(slots, queue int) {
	r.running, r.turn = make(chan struct{}, slots+queue), make(chan struct{}, slots)
}

// enter waits for the turn of a request. It returns false if the runner is full.
func (r *runner) enter(q *http.Request) bool {
	if r.turn == nil {
		return true
	}
	select {
	case r.running <- struct{}{}:
	default:
		return false
	}
	select {
	case r.turn <- struct{}{}:
		return true
	case <-q.Context().Done():
		<-r.running
		return false
	}
}

func (r *runner) leave() {
	if r.turn != nil {
		<-r.turn
		<-r.running
	}
}

func outcomeOf(err error) string {
	if err != nil {
		return "broken off"
	}
	return "complete"
}

// stream answers with as many events as the query names.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string, i int) {
	n, _ := strconv.Atoi(q.URL.Query().Get("events"))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for e := 1; e <= n; e++ {
		select {
		case <-time.After(eventGap):
		case <-q.Context().Done():
			r.w.ran(i, "broken off")
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e, id); err != nil || flusher.Flush() != nil {
			r.w.ran(i, "broken off")
			return
		}
	}
	r.w.ran(i, "complete")
}

func (r *runner) holds(model, adapter string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, ok := r.models[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	if time.Since(r.toldAt) > reportLag {
		r.told, _ = json.Marshal(map[string]any{
			"Stage": "both", "Models": r.held(), "Busy": r.busy, "Sequence": r.accepted, "Queued": 0, "InFlight": 0,
			"KvUsed": 0, "KvTotal": 229164, "Handles": 0, "born": r.born,
			"AtHand": map[string]any{"InMemory": []string{}, "OnDisk": []string{}},
		})
		r.toldAt = time.Now()
	}
	told := r.told
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(told)
}

// order takes an order. Orders for adapters are carried out at once.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	at := time.Now()
	var o orderBody
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.carryOut(o)
	r.w.ordered(order{r.id, at, status, o})
	w.WriteHeader(status)
}

func (r *runner) carryOut(o orderBody) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, holds := r.models[o.Model]
	switch {
	case o.Expected != nil && *o.Expected != r.accepted, r.busy:
		return http.StatusConflict
	case o.Adapter == "":
		return r.moveModel(o, holds)
	case !holds:
		return http.StatusBadRequest
	case o.Operation == "model_load" && slices.Contains(adapters, o.Adapter):
		return http.StatusOK
	case o.Operation == "model_load":
		r.models[o.Model] = append(adapters, o.Adapter)
		r.accepted++
		return http.StatusAccepted
	}
	r.models[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
	r.accepted++
	return http.StatusOK
}

// moveModel requires r.mu. It loads or unloads a model.
func (r *runner) moveModel(o orderBody, holds bool) int {
	if holds == (o.Operation == "model_load") {
		return http.StatusOK
	}
	r.accepted++
	r.busy = true
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.busy = false
		if holds {
			delete(r.models, o.Model)
		} else {
			r.models[o.Model] = nil
		}
		r.mu.Unlock()
		r.announce()
	})
	return http.StatusAccepted
}
