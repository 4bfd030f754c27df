package coldstart_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/coldstart"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// stepTime is the time between two steps of a plant, callTime the time after
// which a call has ended.
const (
	stepTime = 50 * time.Millisecond
	callTime = 250 * time.Millisecond
)

// entry is one instance with inventory, permits and router.
type entry struct {
	name, zone string
	inventory  *inventory.Inventory
	permits    *coldstart.Service
	router     *routing.Router
	calls      []running
	dead       bool
	leaving    bool
}

type running struct {
	slot   *routing.Slot
	stream target.Stream
	since  time.Time
}

// plant is seven instances in three zones before engines of the stand-in.
type plant struct {
	clock   *clockwork.FakeClock
	network *meshtest.Network
	fleet   *enginestandin.Fleet
	engines []*enginestandin.Engine
	state   environment.State
	view    *environment.View
	entries []*entry
	random  *rand.Rand
	nextID  int
	// served and failed count ends of calls; started counts starts by target.
	served, failed int
	started        map[string]int
	steps          int
	// bytes counts the bodies of calls and answers of all instances.
	bytes atomic.Int64
}

// countingMesh counts the bodies that an instance sends and gets as a caller.
type countingMesh struct {
	mesh.Mesh
	bytes *atomic.Int64
}

func (m *countingMesh) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	answer, err := m.Mesh.Call(ctx, to, method, body)
	m.bytes.Add(int64(len(body) + len(answer)))
	return answer, err
}

func newPlant(engines int, change func(*enginestandin.Config)) *plant {
	p := &plant{
		clock:   clockwork.NewFakeClock(),
		network: meshtest.NewNetwork(),
		fleet:   enginestandin.NewFleet(),
		random:  rand.New(rand.NewPCG(7, 7)),
		started: make(map[string]int),
	}
	for i := range engines {
		cfg := enginestandin.DefaultConfig(fmt.Sprintf("e%d", i))
		cfg.Residents = []target.Resident{{Model: "reader", MemoryMB: 1}}
		change(&cfg)
		engine := enginestandin.New(cfg, p.clock, uint64(i))
		p.engines = append(p.engines, engine)
		p.fleet.Add(cfg.Name, engine)
		p.state.Document.Targets = append(p.state.Document.Targets, environment.Target{
			Name: cfg.Name, Kind: environment.TargetEngine, Address: cfg.Name, Zone: string(rune('a' + i%3)),
			Concurrency: cfg.Slots, ColdConcurrency: cfg.ColdConcurrency,
		})
	}
	p.publish()
	for i := range 7 {
		p.addEntry(fmt.Sprintf("i%d", i+1), string(rune('a'+i%3)))
	}
	return p
}

// publish puts the present state in force at every instance.
func (p *plant) publish() {
	p.state.Revision++
	p.view = environment.NewView(p.state.Clone(), p.clock.Now())
	for _, e := range p.entries {
		e.inventory.Publish()
	}
}

func (p *plant) addEntry(name, zone string) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	member := &countingMesh{Mesh: p.network.Join(name, zone), bytes: &p.bytes}
	members := func() []membership.Member { return p.members(name) }
	e := &entry{name: name, zone: zone}
	e.inventory = inventory.New(func() *environment.View { return p.view }, p.fleet, p.clock, logger)
	e.inventory.Share(member, members)
	e.permits = coldstart.New(coldstart.Config{
		Mesh: member, Members: members, Snapshot: e.inventory.Snapshot, Clock: p.clock, Log: logger,
		Metrics: coldstart.NewMetrics(prometheus.NewRegistry()), Draw: p.random.Uint64, Go: func(f func()) { f() },
	})
	e.router = routing.New(zone, e.inventory.Snapshot, p.clock, routing.WithGate(e.permits), routing.WithRandom(p.random.IntN),
		routing.WithLiveInstances(func(zone string) int {
			n := 0
			for _, m := range members() {
				if zone == "" || m.Zone == zone {
					n++
				}
			}
			return n
		}))
	p.entries = append(p.entries, e)
}

func (p *plant) members(viewer string) []membership.Member {
	var out []membership.Member
	for _, e := range p.entries {
		if !e.dead {
			out = append(out, membership.Member{Name: e.name, Zone: e.zone, Leaving: e.leaving})
		}
	}
	return out
}

// step advances time; every instance ends old calls, polls and asks in its turn,
// and tries to start load calls.
func (p *plant) step(load int) {
	p.clock.Advance(stepTime)
	p.steps++
	for n, e := range p.entries {
		if e.dead {
			continue
		}
		p.endOld(e)
		if (p.steps+n)%5 == 0 {
			e.inventory.Poll(context.Background())
			e.permits.Tick(context.Background())
		}
		for range load {
			p.call(e)
		}
	}
}

func (p *plant) run(d time.Duration, load int) {
	for range d / stepTime {
		p.step(load)
	}
}

// call starts a call and tries it elsewhere when a target does not take it.
func (p *plant) call(e *entry) {
	request := routing.Request{Served: "reader"}
	for range 3 {
		slot, err := e.router.Pick(request)
		if err != nil {
			return
		}
		p.nextID++
		stream, err := p.fleet.Generate(context.Background(), slot.Target.Address, &target.ModelCall{
			ID: fmt.Sprint(p.nextID), Kind: target.KindCompletion, Model: "reader", Stream: true, Body: []byte(`{"prompt":"x","max_tokens":1}`),
		})
		p.started[slot.Target.Name]++
		if err == nil {
			e.calls = append(e.calls, running{slot, stream, p.clock.Now()})
			return
		}
		slot.Done(outcomeOf(err))
		request.Exclude = append(request.Exclude, slot.Target.Name)
	}
}

func outcomeOf(err error) routing.Outcome {
	if errors.Is(err, target.ErrRejected) {
		return routing.Rejected
	}
	return routing.Failed
}

// endOld reads the answers of calls that are due.
func (p *plant) endOld(e *entry) {
	var left []running
	for _, c := range e.calls {
		if p.clock.Since(c.since) < callTime {
			left = append(left, c)
			continue
		}
		if err := drain(c.stream); err != nil {
			p.failed++
			c.slot.Done(outcomeOf(err))
			continue
		}
		p.served++
		c.slot.Done(routing.Completed)
	}
	e.calls = left
}

func drain(s target.Stream) error {
	for {
		_, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			_ = s.Close()
			return err
		}
	}
}

// coldEngine has plenty of places, so that calls never queue.
func coldEngine(c *enginestandin.Config) {
	c.Slots, c.TokenIntervalMS, c.BatchSlowdown = 16, 1, 0
}

var _ = Describe("Cold engines before seven instances", func() {
	It("start within their bound and warm up by completions", func() {
		p := newPlant(3, func(c *enginestandin.Config) { coldEngine(c); c.StartCold = true; c.ReportLagMS = 400 })
		p.run(30*time.Second, 2)
		for _, e := range p.engines {
			w := e.Witness()
			Expect(w.FallOvers).To(BeZero(), w.Name)
			Expect(w.PeakColdConcurrent).To(BeNumerically("<=", 2), w.Name)
			Expect(w.Completed).To(BeNumerically(">", 100), w.Name)
		}
	})

	It("bear a restart under full load after the time of detection", func() {
		p := newPlant(3, func(c *enginestandin.Config) { coldEngine(c); c.ReportLagMS = 400; c.FallOverMS = 1000 })
		p.run(10*time.Second, 1)
		p.engines[0].Restart()
		p.run(2*time.Second, 1)
		before := p.engines[0].Witness().FallOvers
		p.run(30*time.Second, 1)
		w := p.engines[0].Witness()
		Expect(w.FallOvers).To(Equal(before))
		Expect(w.Completed).To(BeNumerically(">", 300))
	})

	It("get nothing new over the bound after they turned cold without warning", func() {
		p := newPlant(3, func(c *enginestandin.Config) { coldEngine(c); c.ReportLagMS = 400 })
		p.run(10*time.Second, 1)
		p.engines[0].TurnCold()
		p.run(2*time.Second, 1)
		before := p.engines[0].Witness().FallOvers
		served := p.served
		p.run(20*time.Second, 1)
		Expect(p.engines[0].Witness().FallOvers).To(Equal(before))
		Expect(p.served - served).To(BeNumerically(">", 1000))
	})

	It("of a zone taken out get no new work, end running calls and come back by a ramp", func() {
		p := newPlant(3, coldEngine)
		p.run(10*time.Second, 1)
		p.state.ZonesOut = []string{"a"}
		p.publish()
		before := p.started["e0"]
		p.run(5*time.Second, 1)
		Expect(p.started["e0"]).To(Equal(before))
		Expect(p.failed).To(BeZero())
		p.state.ZonesOut = nil
		p.publish()
		back := p.started["e0"]
		p.step(3)
		Expect(p.started["e0"] - back).To(BeNumerically("<=", 2))
		p.run(20*time.Second, 3)
		Expect(p.started["e0"] - back).To(BeNumerically(">", 300))
		Expect(p.failed).To(BeZero())
	})

	It("go on at once while all instances of their zone are leaving", func() {
		p := newPlant(1, coldEngine)
		p.run(10*time.Second, 1)
		for _, e := range p.entries {
			e.leaving = e.zone == "a"
		}
		p.run(10*time.Second, 1)
		before := p.served
		p.run(5*time.Second, 1)
		Expect(p.served - before).To(BeNumerically(">", 100))
		Expect(p.failed).To(BeZero())
	})

	It("keep their bound when the grantor dies", func() {
		p := newPlant(1, func(c *enginestandin.Config) { coldEngine(c); c.StartCold = true; c.ColdCompletions = 1_000_000 })
		p.run(12*time.Second, 1)
		served := p.served
		Expect(served).To(BeNumerically(">", 0))
		p.entries[0].dead = true
		p.network.Leave("i1")
		for _, c := range p.entries[0].calls {
			_ = c.stream.Close()
		}
		p.run(20*time.Second, 1)
		w := p.engines[0].Witness()
		Expect(w.FallOvers).To(BeZero())
		Expect(w.PeakColdConcurrent).To(BeNumerically("<=", 2))
		Expect(p.served - served).To(BeNumerically(">", 20))
	})

	It("cost an instance less than 17 KB a second of control traffic at today's size", func() {
		p := newPlant(12, func(c *enginestandin.Config) {
			coldEngine(c)
			for n := range 20 {
				c.Residents = append(c.Residents, target.Resident{Model: "reader", Adapter: fmt.Sprintf("adapter-%d", n), MemoryMB: 1})
			}
		})
		p.run(10*time.Second, 1)
		p.bytes.Store(0)
		p.run(10*time.Second, 1)
		perSecond := float64(p.bytes.Load()) / 10 / 7
		AddReportEntry("bytes a second and instance, as a caller", perSecond)
		Expect(perSecond).To(BeNumerically("<", 17_000))
	})
})
