package idempotency_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
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

func (c steppingClock) Sleep(d time.Duration) { c.Advance(d) }

// world is a platform and a service that all instances share.
type world struct {
	clock   steppingClock
	store   *platformstandin.Store
	service *servicestandin.Service
}

func newWorld() *world {
	clock := steppingClock{clockwork.NewFakeClock()}
	store := platformstandin.NewStore(clock, 1)
	store.SetRates(1e6, 1e6)
	return &world{clock: clock, store: store, service: servicestandin.New("desk", clock)}
}

// instance returns the Claims of an instance that uses objects as its platform and
// calls the service through services.
func (w *world) instance(name string, objects platform.Objects, services target.ServiceCaller) *idempotency.Claims {
	t := &environment.Target{Name: "desk-1", Kind: environment.TargetService, Service: "desk", Address: "desk-1", Zone: "zone", Concurrency: 64}
	snapshot := inventory.NewSnapshot(environment.NewView(&environment.State{}, w.clock.Now()), []*inventory.TargetState{{Target: t}})
	router := routing.New("zone", func() *inventory.Snapshot { return snapshot }, w.clock)
	next := relay.New(relay.Config{
		Picker: picker{router}, Services: services, Clock: w.clock,
		Tracer: telemetry.NoTracing().Tracer, Log: telemetry.Discard(), Jitter: func() float64 { return 1 },
	})
	return idempotency.New(next, objects, name, w.clock, telemetry.Discard(), prometheus.NewRegistry())
}

type picker struct{ router *routing.Router }

func (p picker) Pick(_ context.Context, request routing.Request) (*routing.Slot, error) {
	return p.router.Pick(request)
}

func (w *world) call(key, body string) *relay.ServiceCall {
	return &relay.ServiceCall{
		ID: "1", Account: "ingrassa", Service: "desk", Method: "POST", Path: "/greasings",
		Body: []byte(body), IdempotencyKey: key, Deadline: w.clock.Now().Add(30 * time.Second),
	}
}
