package routing_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

// fixture is a set of warm engines that all serve "reader", spread round robin
// over three zones.
type fixture struct {
	clock    *clockwork.FakeClock
	state    environment.State
	states   []*inventory.TargetState
	snapshot *inventory.Snapshot
}

func newFixture(engines int) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	for i := range engines {
		f.state.Document.Targets = append(f.state.Document.Targets, environment.Target{
			Name: fmt.Sprintf("e%d", i), Kind: environment.TargetEngine, Zone: string(rune('a' + i%3)), Concurrency: 32, ColdConcurrency: 2,
		})
	}
	for i := range engines {
		f.states = append(f.states, &inventory.TargetState{
			Target:      &f.state.Document.Targets[i],
			RequestedAt: f.clock.Now(),
			Report:      target.Report{Incarnation: "1", Residents: []target.Resident{{Model: "reader", State: target.ResidencyReady}}},
		})
	}
	f.publish()
	return f
}

// publish creates a new snapshot of the current states.
func (f *fixture) publish() {
	f.state.Revision++
	state := f.state
	states := make([]*inventory.TargetState, len(f.states))
	for i, s := range f.states {
		copied := *s
		states[i] = &copied
	}
	f.snapshot = inventory.NewSnapshot(environment.NewView(&state, f.clock.Now()), states)
}

func (f *fixture) router(options ...routing.Option) *routing.Router {
	random := rand.New(rand.NewPCG(1, 1))
	options = append(options, routing.WithRandom(random.IntN))
	return routing.New("a", func() *inventory.Snapshot { return f.snapshot }, f.clock, options...)
}

// fakeGate grants the permits that the test sets. Targets without an entry are
// warm.
type fakeGate struct {
	permits      map[string]int
	acquireCalls map[string]int
	suspects     []string
}

func (g *fakeGate) IsWarm(t *environment.Target) bool { _, cold := g.permits[t.Name]; return !cold }
func (g *fakeGate) CanAcquire(t *environment.Target) bool {
	return g.IsWarm(t) || g.permits[t.Name] > 0
}
func (g *fakeGate) Release(*environment.Target, bool) {}
func (g *fakeGate) Suspect(t *environment.Target)     { g.suspects = append(g.suspects, t.Name) }
func (g *fakeGate) Acquire(t *environment.Target) bool {
	g.acquireCalls[t.Name]++
	ok := g.CanAcquire(t)
	if !g.IsWarm(t) && ok {
		g.permits[t.Name]--
	}
	return ok
}

// ejected returns the value of the gauge of ejected targets.
func ejected(r *routing.Router) float64 {
	GinkgoHelper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(r.Collector())
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		if f.GetName() == "dotterellink_routing_ejected_targets" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	Fail("no gauge of ejected targets")
	return 0
}

var reader = routing.Request{Served: "reader"}

func pick(r *routing.Router, request routing.Request) *routing.Slot {
	GinkgoHelper()
	slot, err := r.Pick(request)
	Expect(err).NotTo(HaveOccurred())
	return slot
}

var _ = Describe("Router", func() {
	It("prefers the own zone while it has capacity and then uses other zones", func() {
		f := newFixture(6)
		r := f.router()
		for range 20 {
			Expect(pick(r, reader).Target.Zone).To(Equal("a"))
		}
		otherZone := 0
		for range 150 {
			if slot, err := r.Pick(reader); err == nil && slot.Target.Zone != "a" {
				otherZone++
			}
		}
		Expect(otherZone).To(BeNumerically(">", 60))
	})

	It("never exceeds a target's concurrency and distinguishes full from unknown", func() {
		f := newFixture(3)
		r := f.router()
		for range 3 * 32 {
			pick(r, reader)
		}
		_, err := r.Pick(reader)
		Expect(errors.Is(err, routing.ErrNoCapacity)).To(BeTrue())
		_, err = r.Pick(routing.Request{Served: "unknown"})
		Expect(errors.Is(err, routing.ErrNoTarget)).To(BeTrue())
	})

	It("uses only its share of the free capacity between two reports", func() {
		f := newFixture(1)
		total := 0
		for range 7 {
			r := f.router(routing.WithLiveInstances(func(string) int { return 7 }))
			for {
				if _, err := r.Pick(reader); err != nil {
					break
				}
				total++
			}
		}
		Expect(total).To(BeNumerically("<=", 32+7))
	})

	It("does not pick leaving targets, targets of zones out and removed targets", func() {
		f := newFixture(3)
		r := f.router()
		f.state.TargetsLeaving = []string{"e0"}
		f.state.ZonesOut = []string{"b"}
		f.publish()
		for range 10 {
			Expect(pick(r, reader).Target.Name).To(Equal("e2"))
		}
		f.states = f.states[:2]
		f.publish()
		_, err := r.Pick(reader)
		Expect(errors.Is(err, routing.ErrNoTarget)).To(BeTrue())
	})

	It("picks the target with the longest cached prefix until it is evicted", func() {
		f := newFixture(12)
		r := f.router()
		prompt := make([]byte, 20*target.PrefixBlockBytes)
		hashes := target.PrefixHashes(prompt)
		events := inventory.TargetEvents{Target: "e6"}
		for _, h := range hashes[:10] {
			events.Events = append(events.Events, target.CacheEvent{Model: "reader", Prefix: h.String()})
		}
		r.ApplyCacheEvents([]inventory.TargetEvents{events})
		request := routing.Request{Served: "reader", Prefixes: hashes}
		for range 5 {
			Expect(pick(r, request).Target.Name).To(Equal("e6"))
		}
		events.Events[0].Evicted = true
		for i := range events.Events {
			events.Events[i].Evicted = true
		}
		r.ApplyCacheEvents([]inventory.TargetEvents{events})
		names := make(map[string]bool)
		for range 20 {
			names[pick(r, request).Target.Name] = true
		}
		Expect(len(names)).To(BeNumerically(">", 1))
	})

	It("ejects a failing target, probes it once and restores it", func() {
		f := newFixture(3)
		r := f.router()
		fail := func() {
			slot := pick(r, routing.Request{Served: "reader", Exclude: []string{"e1", "e2"}})
			Expect(slot.Target.Name).To(Equal("e0"))
			slot.Done(routing.Failed)
		}
		for range 3 {
			fail()
		}
		for range 20 {
			slot := pick(r, reader)
			Expect(slot.Target.Name).NotTo(Equal("e0"))
			slot.Done(routing.Completed)
		}
		f.clock.Advance(2 * time.Second)
		f.publish()
		probe := pick(r, routing.Request{Served: "reader", Exclude: []string{"e1", "e2"}})
		for range 20 {
			Expect(pick(r, reader).Target.Name).NotTo(Equal("e0"))
		}
		probe.Done(routing.Completed)
		Expect(pick(r, reader).Target.Name).To(Equal("e0"))
	})

	It("ejects at most a third of a model's targets and never the last one", func() {
		f := newFixture(9)
		r := f.router()
		for range 400 {
			slot := pick(r, reader)
			slot.Done(routing.Failed)
		}
		Expect(ejected(r)).To(BeNumerically("==", 3))
		one := newFixture(1)
		alone := one.router()
		for range 20 {
			pick(alone, reader).Done(routing.Failed)
		}
		Expect(ejected(alone)).To(BeZero())
	})

	It("starts no call on a cold target without a permit and requests one", func() {
		f := newFixture(1)
		g := &fakeGate{permits: map[string]int{"e0": 0}, acquireCalls: make(map[string]int)}
		r := f.router(routing.WithGate(g))
		_, err := r.Pick(reader)
		Expect(errors.Is(err, routing.ErrNoCapacity)).To(BeTrue())
		Expect(g.acquireCalls["e0"]).To(Equal(1))
		g.permits["e0"] = 1
		pick(r, reader)
		_, err = r.Pick(reader)
		Expect(errors.Is(err, routing.ErrNoCapacity)).To(BeTrue())
	})

	It("suspects a target after several consecutive rejected or slow calls", func() {
		f := newFixture(1)
		g := &fakeGate{permits: map[string]int{}, acquireCalls: make(map[string]int)}
		r := f.router(routing.WithGate(g))
		for range 3 {
			pick(r, reader).Done(routing.Rejected)
		}
		Expect(g.suspects).To(Equal([]string{"e0"}))
		respond := func(after time.Duration) {
			slot := pick(r, reader)
			f.clock.Advance(after)
			slot.FirstToken()
			slot.Done(routing.Completed)
		}
		for range 20 {
			respond(50 * time.Millisecond)
		}
		Expect(g.suspects).To(HaveLen(1))
		for range 3 {
			respond(900 * time.Millisecond)
		}
		Expect(g.suspects).To(HaveLen(2))
	})

	It("skips a target that no longer has the model loaded, for that model only", func() {
		f := newFixture(2)
		f.states[0].Report.Residents = append(f.states[0].Report.Residents, target.Resident{Model: "planner", State: target.ResidencyReady})
		f.publish()
		g := &fakeGate{permits: map[string]int{}, acquireCalls: make(map[string]int)}
		r := f.router(routing.WithGate(g))
		for range 4 {
			slot := pick(r, reader)
			if slot.Target.Name == "e0" {
				slot.Done(routing.NotResident)
			}
		}
		Expect(pick(r, reader).Target.Name).To(Equal("e1"))
		Expect(pick(r, routing.Request{Served: "planner"}).Target.Name).To(Equal("e0"))
		Expect(g.suspects).To(BeEmpty())
		f.publish()
		Expect(pick(r, reader).Target.Name).To(Equal("e0"))
	})

	It("calls OnFreed functions without locks held when a slot is freed", func() {
		f := newFixture(1)
		r := f.router()
		freed := 0
		r.OnFreed(func() { freed++; _, _ = r.Pick(reader) })
		pick(r, reader).Done(routing.Completed)
		Expect(freed).To(Equal(1))
	})

	It("reserves capacity for interactive calls", func() {
		f := newFixture(1)
		r := f.router()
		batch := routing.Request{Served: "reader", Class: routing.ClassBatch}
		for range 28 {
			pick(r, batch)
		}
		_, err := r.Pick(batch)
		Expect(errors.Is(err, routing.ErrNoCapacity)).To(BeTrue())
		Expect(pick(r, reader)).NotTo(BeNil())
	})
})

func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{12, 260, 2600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := newFixture(engines)
			r := f.router(routing.WithGate(&fakeGate{permits: map[string]int{}, acquireCalls: make(map[string]int)}))
			request := routing.Request{Served: "reader", Prefixes: target.PrefixHashes(make([]byte, 16*target.PrefixBlockBytes))}
			b.ReportAllocs()
			for b.Loop() {
				slot, err := r.Pick(request)
				if err != nil {
					b.Fatal(err)
				}
				slot.Done(routing.Completed)
			}
		})
	}
}
