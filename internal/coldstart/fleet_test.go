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

// stepInterval is the time between two steps of a cluster, callDuration the time
// after which a call ends.
const (
	stepInterval = 50 * time.Millisecond
	callDuration = 250 * time.Millisecond
)

// instance is an instance with its inventory, permits and router.
type instance struct {
	name, zone string
	inventory  *inventory.Inventory
	permits    *coldstart.Service
	router     *routing.Router
	calls      []runningCall
	dead       bool
	leaving    bool
}

type runningCall struct {
	slot   *routing.Slot
	stream target.Stream
	since  time.Time
}

// cluster is seven instances in three zones in front of stand-in engines.
type cluster struct {
	clock      *clockwork.FakeClock
	network    *meshtest.Network
	fleet      *enginestandin.Fleet
	engines    []*enginestandin.Engine
	state      environment.State
	view       *environment.View
	instances  []*instance
	random     *rand.Rand
	lastCallID int
	// served and failed count ended calls; started counts started calls by target.
	served, failed int
	started        map[string]int
	steps          int
	// bytes is the size of all request and response bodies that instances exchanged
	// over the mesh.
	bytes atomic.Int64
}

// countingMesh counts the body bytes that an instance sends and receives as a
// caller.
type countingMesh struct {
	mesh.Mesh
	bytes *atomic.Int64
}

func (m *countingMesh) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	answer, err := m.Mesh.Call(ctx, to, method, body)
	m.bytes.Add(int64(len(body) + len(answer)))
	return answer, err
}

func newCluster(engines int, configure func(*enginestandin.Config)) *cluster {
	p := &cluster{
		clock:   clockwork.NewFakeClock(),
		network: meshtest.NewNetwork(),
		fleet:   enginestandin.NewFleet(),
		random:  rand.New(rand.NewPCG(7, 7)),
		started: make(map[string]int),
	}
	for i := range engines {
		cfg := enginestandin.DefaultConfig(fmt.Sprintf("e%d", i))
		cfg.Residents = []target.Resident{{Model: "reader", MemoryMB: 1}}
		configure(&cfg)
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
		p.addInstance(fmt.Sprintf("i%d", i+1), string(rune('a'+i%3)))
	}
	return p
}

// publish makes the current state effective at every instance.
func (p *cluster) publish() {
	p.state.Revision++
	p.view = environment.NewView(p.state.Clone(), p.clock.Now())
	for _, inst := range p.instances {
		inst.inventory.Publish()
	}
}

func (p *cluster) addInstance(name, zone string) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	member := &countingMesh{Mesh: p.network.Join(name, zone), bytes: &p.bytes}
	members := func() []membership.Member { return p.members(name) }
	inst := &instance{name: name, zone: zone}
	inst.inventory = inventory.New(func() *environment.View { return p.view }, p.fleet, p.clock, logger)
	inst.inventory.UseMesh(member, members)
	inst.permits = coldstart.New(coldstart.Config{
		Mesh: member, Members: members, Snapshot: inst.inventory.Snapshot, Clock: p.clock, Log: logger,
		Metrics: coldstart.NewMetrics(prometheus.NewRegistry()), NewID: p.random.Uint64, Go: func(f func()) { f() },
	})
	inst.router = routing.New(zone, inst.inventory.Snapshot, p.clock, routing.WithGate(inst.permits), routing.WithRandom(p.random.IntN),
		routing.WithLiveInstances(func(zone string) int {
			n := 0
			for _, m := range members() {
				if zone == "" || m.Zone == zone {
					n++
				}
			}
			return n
		}))
	p.instances = append(p.instances, inst)
}

func (p *cluster) members(viewer string) []membership.Member {
	var out []membership.Member
	for _, inst := range p.instances {
		if !inst.dead {
			out = append(out, membership.Member{Name: inst.name, Zone: inst.zone, Leaving: inst.leaving})
		}
	}
	return out
}

// step advances the clock by stepInterval. Every live instance ends its due calls
// and tries to start load calls; every fifth step, staggered by instance, it also
// polls its targets and requests permits.
func (p *cluster) step(load int) {
	p.clock.Advance(stepInterval)
	p.steps++
	for n, inst := range p.instances {
		if inst.dead {
			continue
		}
		p.finishDueCalls(inst)
		if (p.steps+n)%5 == 0 {
			inst.inventory.Poll(context.Background())
			inst.permits.Tick(context.Background())
		}
		for range load {
			p.call(inst)
		}
	}
}

func (p *cluster) run(d time.Duration, load int) {
	for range d / stepInterval {
		p.step(load)
	}
}

// call tries to start a call on up to three targets.
func (p *cluster) call(inst *instance) {
	request := routing.Request{Served: "reader"}
	for range 3 {
		slot, err := inst.router.Pick(request)
		if err != nil {
			return
		}
		p.lastCallID++
		stream, err := p.fleet.Generate(context.Background(), slot.Target.Address, &target.ModelCall{
			ID: fmt.Sprint(p.lastCallID), Kind: target.KindCompletion, Model: "reader", Stream: true, Body: []byte(`{"prompt":"x","max_tokens":1}`),
		})
		p.started[slot.Target.Name]++
		if err == nil {
			inst.calls = append(inst.calls, runningCall{slot, stream, p.clock.Now()})
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

// finishDueCalls reads the responses of calls that are due.
func (p *cluster) finishDueCalls(inst *instance) {
	var remaining []runningCall
	for _, c := range inst.calls {
		if p.clock.Since(c.since) < callDuration {
			remaining = append(remaining, c)
			continue
		}
		if err := readAll(c.stream); err != nil {
			p.failed++
			c.slot.Done(outcomeOf(err))
			continue
		}
		p.served++
		c.slot.Done(routing.Completed)
	}
	inst.calls = remaining
}

func readAll(s target.Stream) error {
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

// uncongestedEngine sets enough slots that calls never queue.
func uncongestedEngine(c *enginestandin.Config) {
	c.Slots, c.TokenIntervalMS, c.BatchSlowdown = 16, 1, 0
}

var _ = Describe("Cold engines behind seven instances", func() {
	It("start within their bound and warm up with completed calls", func() {
		p := newCluster(3, func(c *enginestandin.Config) { uncongestedEngine(c); c.StartCold = true; c.ReportLagMS = 400 })
		p.run(30*time.Second, 2)
		for _, e := range p.engines {
			w := e.Witness()
			Expect(w.FallOvers).To(BeZero(), w.Name)
			Expect(w.PeakColdConcurrent).To(BeNumerically("<=", 2), w.Name)
			Expect(w.Completed).To(BeNumerically(">", 100), w.Name)
		}
	})

	It("do not fall over after a restart under full load once it is detected", func() {
		p := newCluster(3, func(c *enginestandin.Config) { uncongestedEngine(c); c.ReportLagMS = 400; c.FallOverMS = 1000 })
		p.run(10*time.Second, 1)
		p.engines[0].Restart()
		p.run(2*time.Second, 1)
		before := p.engines[0].Witness().FallOvers
		p.run(30*time.Second, 1)
		w := p.engines[0].Witness()
		Expect(w.FallOvers).To(Equal(before))
		Expect(w.Completed).To(BeNumerically(">", 300))
	})

	It("get no calls above the bound after they turned cold without warning", func() {
		p := newCluster(3, func(c *enginestandin.Config) { uncongestedEngine(c); c.ReportLagMS = 400 })
		p.run(10*time.Second, 1)
		p.engines[0].TurnCold()
		p.run(2*time.Second, 1)
		before := p.engines[0].Witness().FallOvers
		served := p.served
		p.run(20*time.Second, 1)
		Expect(p.engines[0].Witness().FallOvers).To(Equal(before))
		Expect(p.served - served).To(BeNumerically(">", 1000))
	})

	It("of a zone taken out get no new work, finish running calls and return with a ramp", func() {
		p := newCluster(3, uncongestedEngine)
		p.run(10*time.Second, 1)
		p.state.ZonesOut = []string{"a"}
		p.publish()
		before := p.started["e0"]
		p.run(5*time.Second, 1)
		Expect(p.started["e0"]).To(Equal(before))
		Expect(p.failed).To(BeZero())
		p.state.ZonesOut = nil
		p.publish()
		startedBefore := p.started["e0"]
		p.step(3)
		Expect(p.started["e0"] - startedBefore).To(BeNumerically("<=", 2))
		p.run(20*time.Second, 3)
		Expect(p.started["e0"] - startedBefore).To(BeNumerically(">", 300))
		Expect(p.failed).To(BeZero())
	})

	It("keep serving while all instances of their zone are leaving", func() {
		p := newCluster(1, uncongestedEngine)
		p.run(10*time.Second, 1)
		for _, inst := range p.instances {
			inst.leaving = inst.zone == "a"
		}
		p.run(10*time.Second, 1)
		before := p.served
		p.run(5*time.Second, 1)
		Expect(p.served - before).To(BeNumerically(">", 100))
		Expect(p.failed).To(BeZero())
	})

	It("keep their bound when the grantor stops", func() {
		p := newCluster(1, func(c *enginestandin.Config) { uncongestedEngine(c); c.StartCold = true; c.ColdCompletions = 1_000_000 })
		p.run(12*time.Second, 1)
		served := p.served
		Expect(served).To(BeNumerically(">", 0))
		p.instances[0].dead = true
		p.network.Leave("i1")
		for _, c := range p.instances[0].calls {
			_ = c.stream.Close()
		}
		p.run(20*time.Second, 1)
		w := p.engines[0].Witness()
		Expect(w.FallOvers).To(BeZero())
		Expect(w.PeakColdConcurrent).To(BeNumerically("<=", 2))
		Expect(p.served - served).To(BeNumerically(">", 20))
	})

	It("cost an instance less than 17 KB per second of control traffic at the current size of 12 engines", func() {
		p := newCluster(12, func(c *enginestandin.Config) {
			uncongestedEngine(c)
			for n := range 20 {
				c.Residents = append(c.Residents, target.Resident{Model: "reader", Adapter: fmt.Sprintf("adapter-%d", n), MemoryMB: 1})
			}
		})
		p.run(10*time.Second, 1)
		p.bytes.Store(0)
		p.run(10*time.Second, 1)
		perSecond := float64(p.bytes.Load()) / 10 / 7
		AddReportEntry("bytes per second and instance, as a caller", perSecond)
		Expect(perSecond).To(BeNumerically("<", 17_000))
	})
})
