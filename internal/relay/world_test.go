package relay_test

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// steppingClock advances by the duration of every wait, so that backoff takes no
// real time.
type steppingClock struct{ *clockwork.FakeClock }

func (c steppingClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// servicesByAddress maps addresses to plain services.
type servicesByAddress map[string]*servicestandin.Service

func (s servicesByAddress) Invoke(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error) {
	return s[address].Invoke(ctx, address, call)
}

// world is a relay with two engines and two services as targets.
type world struct {
	clock    steppingClock
	engines  []*enginestandin.Engine
	services []*servicestandin.Service
	relay    *relay.Relay
}

const targetCount = 2

func address(i int) string { return "target-" + strconv.Itoa(i) }

// newWorld returns a world whose model calls go through modelCaller, or directly to
// the engines if modelCaller is nil.
func newWorld(modelCaller target.ModelCaller) *world {
	w := &world{clock: steppingClock{clockwork.NewFakeClock()}}
	fleet := enginestandin.NewFleet()
	byAddress := make(servicesByAddress)
	for i := range targetCount {
		cfg := enginestandin.DefaultConfig(address(i))
		cfg.TokenIntervalMS, cfg.PrefillTokensPerSecond = 0, 1e12
		cfg.Residents = []target.Resident{{Model: "reader", MemoryMB: 1}}
		w.engines = append(w.engines, enginestandin.New(cfg, w.clock, 1))
		w.services = append(w.services, servicestandin.New("desk", w.clock))
		fleet.Add(address(i), w.engines[i])
		byAddress[address(i)] = w.services[i]
	}
	if modelCaller == nil {
		modelCaller = fleet
	}
	router := routing.New("zone", func() *inventory.Snapshot { return w.snapshot(address) }, w.clock)
	w.relay = w.newRelay(admission.NewDirectPicker(router), modelCaller, byAddress)
	return w
}

func (w *world) newRelay(picker relay.Picker, engines target.ModelCaller, services target.ServiceCaller) *relay.Relay {
	return relay.New(relay.Config{
		Picker: picker, Engines: engines, Services: services, Clock: w.clock,
		Tracer: telemetry.NoTracing().Tracer, Log: telemetry.Discard(),
		Jitter: func() float64 { return 1 },
	})
}

// snapshot returns a snapshot in which all targets are idle and reported just now.
func (w *world) snapshot(address func(int) string) *inventory.Snapshot {
	var states []*inventory.TargetState
	for i := range targetCount {
		engine := &environment.Target{Name: fmt.Sprintf("engine-%d", i), Kind: environment.TargetEngine, Address: address(i), Zone: "zone", Concurrency: 64}
		service := &environment.Target{Name: fmt.Sprintf("service-%d", i), Kind: environment.TargetService, Service: "desk", Address: address(i), Zone: "zone", Concurrency: 64}
		report := target.Report{Residents: []target.Resident{{Model: "reader", State: target.ResidencyReady}}}
		states = append(states,
			&inventory.TargetState{Target: engine, Report: report, RequestedAt: w.clock.Now()},
			&inventory.TargetState{Target: service, RequestedAt: w.clock.Now()})
	}
	return inventory.NewSnapshot(environment.NewView(&environment.State{}, w.clock.Now()), states)
}

// setFaults sets the same faults on all engines.
func (w *world) setFaults(f enginestandin.Faults) {
	for _, e := range w.engines {
		e.SetFaults(f)
	}
}

// runs returns the number of attempts that ran on the engines, by their identifiers.
func (w *world) runs() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.Witness().Runs)
	}
	return n
}

func (w *world) serviceRuns() int {
	n := 0
	for _, s := range w.services {
		n += s.Witness().Runs
	}
	return n
}

func (w *world) call(tokens int, stream bool) *relay.Call {
	body := fmt.Sprintf(`{"model":"reader","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"gate 7"}]}`, stream, tokens)
	return &relay.Call{
		ID: "caller-chosen", Account: "celula", Served: "reader", Kind: target.KindChat, Body: []byte(body),
		Stream: stream, Class: routing.ClassInteractive, Deadline: w.clock.Now().Add(time.Minute), MaxTokens: int64(tokens),
	}
}

func (w *world) serviceCall(idempotent bool) *relay.ServiceCall {
	return &relay.ServiceCall{ID: "1", Account: "celula", Service: "desk", Method: "POST", Path: "/bookings", Body: []byte("pack 7"), Idempotent: idempotent, Deadline: w.clock.Now().Add(time.Minute)}
}

// sink records the data that a caller would receive.
type sink struct {
	chunks  []string
	onChunk func(n int) error
}

func (s *sink) Chunk(c target.Chunk) error {
	s.chunks = append(s.chunks, string(c.Data))
	if s.onChunk == nil {
		return nil
	}
	return s.onChunk(len(s.chunks))
}

var tokenPattern = regexp.MustCompile(`[0-9a-f]{8}:([0-9]+) `)

// expectTokens checks that the sink received tokens 0 to n-1, each once and in order.
func (s *sink) expectTokens(n int) {
	got := []string{}
	for _, chunk := range s.chunks {
		for _, m := range tokenPattern.FindAllStringSubmatch(chunk, -1) {
			got = append(got, m[1])
		}
	}
	want := []string{}
	for i := range n {
		want = append(want, strconv.Itoa(i))
	}
	ExpectWithOffset(1, got).To(Equal(want))
}

type pickerFunc func(request routing.Request) (*routing.Slot, error)

func (f pickerFunc) Pick(_ context.Context, request routing.Request) (*routing.Slot, error) {
	return f(request)
}

func (w *world) router() *routing.Router {
	return routing.New("zone", func() *inventory.Snapshot { return w.snapshot(address) }, w.clock)
}

func (w *world) fleet() *enginestandin.Fleet {
	fleet := enginestandin.NewFleet()
	for i, e := range w.engines {
		fleet.Add(address(i), e)
	}
	return fleet
}
