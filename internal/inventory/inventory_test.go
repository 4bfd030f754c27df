package inventory_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// countingReporter counts the report requests to each address.
type countingReporter struct {
	*enginestandin.Fleet
	mu       sync.Mutex
	requests map[string]int
}

func (c *countingReporter) Report(ctx context.Context, address string) (target.Report, error) {
	c.mu.Lock()
	c.requests[address]++
	c.mu.Unlock()
	return c.Fleet.Report(ctx, address)
}

type fakeProber struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (p *fakeProber) Probe(context.Context, string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.err
}

// cluster is a set of instances with inventories on one network.
type cluster struct {
	clock       *clockwork.FakeClock
	network     *meshtest.Network
	reporter    *countingReporter
	prober      *fakeProber
	engines     []*enginestandin.Engine
	view        *environment.View
	members     map[string][]membership.Member
	inventories map[string]*inventory.Inventory
	names       []string
}

// newCluster returns a cluster of two zones with two instances and two engines in
// each.
func newCluster() *cluster {
	s := &cluster{
		clock:       clockwork.NewFakeClock(),
		network:     meshtest.NewNetwork(),
		reporter:    &countingReporter{Fleet: enginestandin.NewFleet(), requests: make(map[string]int)},
		prober:      &fakeProber{},
		members:     make(map[string][]membership.Member),
		inventories: make(map[string]*inventory.Inventory),
		names:       []string{"a1", "a2", "b1", "b2"},
	}
	var state environment.State
	for i := range 4 {
		name := fmt.Sprintf("e%d", i)
		cfg := enginestandin.DefaultConfig(name)
		cfg.Residents = []target.Resident{{Model: "reader", MemoryMB: 1}}
		engine := enginestandin.New(cfg, s.clock, 1)
		s.engines = append(s.engines, engine)
		s.reporter.Add(name, engine)
		state.Document.Targets = append(state.Document.Targets, environment.Target{Name: name, Kind: environment.TargetEngine, Address: name, Zone: []string{"a", "b"}[i%2], Concurrency: 8, ColdConcurrency: 2})
	}
	state.Document.Targets = append(state.Document.Targets, environment.Target{Name: "desk", Kind: environment.TargetService, Service: "desk", Zone: "a", Concurrency: 4})
	s.view = environment.NewView(&state, s.clock.Now())
	s.setMembers(s.names, s.names...)
	for _, name := range s.names {
		i := inventory.New(func() *environment.View { return s.view }, s.reporter, s.clock, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
		i.UseProber(s.prober)
		i.UseMesh(s.network.Join(name, name[:1]), func() []membership.Member { return s.members[name] })
		s.inventories[name] = i
	}
	return s
}

// setMembers sets the instances that the viewers consider alive.
func (s *cluster) setMembers(viewers []string, alive ...string) {
	var members []membership.Member
	for _, name := range alive {
		members = append(members, membership.Member{Name: name, Zone: name[:1]})
	}
	for _, v := range viewers {
		s.members[v] = members
	}
}

// poll advances the clock by d. The named instances poll after each poll interval.
func (s *cluster) poll(d time.Duration, names ...string) {
	const step = 250 * time.Millisecond
	for range d / step {
		s.clock.Advance(step)
		for _, name := range names {
			s.inventories[name].Poll(context.Background())
		}
	}
}

func (s *cluster) state(instance, name string) *inventory.TargetState {
	return s.inventories[instance].Snapshot().Target(name)
}

var _ = Describe("Inventory", func() {
	var s *cluster

	BeforeEach(func() { s = newCluster() })

	It("polls each target from one instance and shares the reports with all", func() {
		s.poll(time.Second, s.names...)
		for i := range 4 {
			Expect(s.reporter.requests[fmt.Sprintf("e%d", i)]).To(Equal(4))
		}
		Expect(s.prober.calls).To(BeNumerically("<=", 2))
		for _, name := range s.names {
			Expect(s.inventories[name].Snapshot().Serving("reader")).To(HaveLen(4), name)
			for i := range 4 {
				Expect(s.state(name, fmt.Sprintf("e%d", i)).IsFresh(s.clock.Now())).To(BeTrue())
			}
		}
	})

	It("does not show a report as younger when an engine repeats it", func() {
		s.poll(time.Second, s.names...)
		s.engines[0].SetFaults(enginestandin.Faults{FreezeReports: true})
		s.poll(250*time.Millisecond, s.names...)
		var before []time.Time
		for _, name := range s.names {
			before = append(before, s.state(name, "e0").RequestedAt)
		}
		s.poll(4*time.Second, s.names...)
		for n, name := range s.names {
			Expect(s.state(name, "e0").RequestedAt).To(BeTemporally("<=", before[n].Add(time.Millisecond)))
			Expect(s.state(name, "e0").IsFresh(s.clock.Now())).To(BeFalse())
			Expect(s.state(name, "e2").IsFresh(s.clock.Now())).To(BeTrue())
		}
	})

	It("counts the age that a report already had when it was pulled", func() {
		s.poll(250*time.Millisecond, "a1", "a2")
		polledAt := s.clock.Now()
		for _, engine := range s.engines {
			engine.SetFaults(enginestandin.Faults{Down: true})
		}
		s.clock.Advance(2 * time.Second)
		s.poll(250*time.Millisecond, "b1")
		Expect(s.state("b1", "e0").RequestedAt).To(BeTemporally("<=", polledAt))
		s.clock.Advance(time.Second)
		Expect(s.state("b1", "e0").IsFresh(s.clock.Now())).To(BeFalse())
	})

	It("takes over the polling of a crashed instance's targets", func() {
		s.poll(time.Second, s.names...)
		s.network.Leave("a1")
		remaining := []string{"a2", "b1", "b2"}
		s.setMembers(remaining, remaining...)
		s.poll(500*time.Millisecond, remaining...)
		for _, name := range remaining {
			for i := range 4 {
				Expect(s.clock.Since(s.state(name, fmt.Sprintf("e%d", i)).RequestedAt)).To(BeNumerically("<", time.Second))
			}
		}
	})

	It("polls from another zone only if a zone has no live instance", func() {
		remaining := []string{"b1", "b2"}
		s.network.Leave("a1")
		s.network.Leave("a2")
		s.setMembers(remaining, remaining...)
		s.poll(time.Second, remaining...)
		Expect(s.state("b1", "e0").IsFresh(s.clock.Now())).To(BeTrue())
		Expect(s.state("b2", "e0").IsFresh(s.clock.Now())).To(BeTrue())
	})

	It("moves the polling away from leaving instances unless there are no others", func() {
		leaving := membership.Member{Name: "a1", Zone: "a", Leaving: true}
		for _, name := range s.names {
			s.members[name] = []membership.Member{leaving, {Name: "a2", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "b2", Zone: "b"}}
		}
		s.poll(time.Second, "a1")
		Expect(s.reporter.requests).To(BeEmpty())
		s.members["a1"] = []membership.Member{leaving}
		s.poll(time.Second, "a1")
		Expect(s.state("a1", "e0").IsFresh(s.clock.Now())).To(BeTrue())
	})

	It("keeps reports of the own zone fresh during a partition while those of the other zone go stale", func() {
		s.poll(time.Second, s.names...)
		s.network.SetZonePartition("b", true)
		s.poll(4*time.Second, s.names...)
		Expect(s.state("a1", "e0").IsFresh(s.clock.Now())).To(BeTrue())
		Expect(s.state("a1", "e1").IsFresh(s.clock.Now())).To(BeFalse())
		Expect(s.state("b1", "e1").IsFresh(s.clock.Now())).To(BeTrue())
	})

	It("publishes a change of the view without a poll", func() {
		s.poll(time.Second, s.names...)
		state := *s.view.State
		state.TargetsLeaving = []string{"e0"}
		state.Revision++
		s.view = environment.NewView(&state, s.clock.Now())
		s.inventories["b2"].Publish()
		snapshot := s.inventories["b2"].Snapshot()
		Expect(snapshot.View.IsTargetOut(snapshot.Target("e0").Target)).To(BeTrue())
	})

	It("delivers each cache event to every instance once", func() {
		got := make(map[string]int)
		for _, name := range s.names {
			s.inventories[name].OnEvents(func(events []inventory.TargetEvents) {
				for _, e := range events {
					got[name] += len(e.Events)
				}
			})
		}
		prompt := make([]byte, 4*target.PrefixBlockBytes)
		for i := range prompt {
			prompt[i] = 'x'
		}
		_, err := s.engines[1].Generate(context.Background(), &target.ModelCall{ID: "1", Kind: target.KindCompletion, Model: "reader", Stream: true, Body: []byte(`{"prompt":"` + string(prompt) + `"}`)})
		Expect(err).NotTo(HaveOccurred())
		s.poll(2*time.Second, s.names...)
		for _, name := range s.names {
			Expect(got[name]).To(Equal(4), name)
		}
	})

	It("marks a plain service as unreachable after failed probes and as reachable after a successful one", func() {
		s.prober.err = errors.New("refused")
		s.poll(4*time.Second, s.names...)
		for _, name := range s.names {
			Expect(s.state(name, "desk").Unreachable).To(BeTrue(), name)
		}
		s.prober.err = nil
		s.poll(3*time.Second, s.names...)
		for _, name := range s.names {
			Expect(s.state(name, "desk").Unreachable).To(BeFalse(), name)
		}
	})
})
