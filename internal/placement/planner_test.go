package placement

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/orders/orderstest"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	testEngineMB = 100
	testModelMB  = 30
	testLoads    = 2
	testRate     = 1.0
)

// fleet is a world whose instances also plan.
type fleet struct {
	*orderstest.World
	network *meshtest.Network
	// mostLoading is the most model loads that ran at once on all engines.
	mostLoading int
	recorders   map[string]*Recorder
}

// newFleet has an engine in each of three zones and an instance beside each. The
// models m0, m1, ... are resident on engine n modulo 3, as far as resident says.
func newFleet(models, adapters, resident int) *fleet {
	f := &fleet{network: meshtest.NewNetwork(), recorders: make(map[string]*Recorder)}
	d := environment.Document{WeightStore: environment.WeightStore{LoadsPerSecond: testRate, LoadsAtOnce: testLoads, AdapterLoadsAtOnce: 2}}
	for n := range models {
		d.Models = append(d.Models, environment.Model{Name: fmt.Sprintf("m%d", n), MemoryMB: testModelMB})
	}
	for n := range adapters {
		d.Adapters = append(d.Adapters, environment.Adapter{Name: fmt.Sprintf("a%d", n), Model: fmt.Sprintf("m%d", n%models), MemoryMB: 2})
	}
	f.World = orderstest.New(d)
	for n := range 3 {
		cfg := enginestandin.DefaultConfig(fmt.Sprintf("e%d", n))
		cfg.MemoryMB, cfg.LoadMS, cfg.ChecksFencing = testEngineMB, 5000, n != 1
		for m := n; m < resident; m += 3 {
			cfg.Residents = append(cfg.Residents, target.Resident{Model: d.Models[m].Name, MemoryMB: testModelMB})
		}
		f.AddEngine(fmt.Sprintf("z%d", n), cfg, 3000)
	}
	f.OnStart = f.startPlanner
	f.Check = f.check
	for n := range 3 {
		f.AddInstance(fmt.Sprintf("i%d", n), fmt.Sprintf("z%d", n))
	}
	return f
}

func (f *fleet) startPlanner(i *orderstest.Instance) func(context.Context) {
	f.recorders[i.Name] = NewRecorder(f.Clock)
	planner := NewPlanner(Config{
		Environment: orderstest.Env, Session: i.Session(), Objects: f.Store, Leases: i.Leases, Mesh: f.network.Join(i.Name, i.Zone),
		Snapshot: i.Inventory.Snapshot, Recorder: f.recorders[i.Name], Policy: CostBenefit{}, Clock: f.Clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Metrics: prometheus.NewRegistry(),
	})
	return planner.Tick
}

func (f *fleet) check() {
	loading := 0
	for _, e := range f.Engines {
		w := e.Witness()
		Expect(w.Overcommits).To(BeZero(), w.Name)
		Expect(w.PeakMemoryMB).To(BeNumerically("<=", w.MemoryMB), w.Name)
		if report, err := e.Report(context.Background()); err == nil {
			for _, r := range report.Residents {
				if r.State == target.ResidencyLoading && r.Adapter == "" {
					loading++
				}
			}
		}
	}
	f.mostLoading = max(f.mostLoading, loading)
}

// copies returns the engines that hold the model or adapter.
func (f *fleet) copies(model, adapter string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Holds(model, adapter) {
			n++
		}
	}
	return n
}

func (f *fleet) expectAllHeld() {
	GinkgoHelper()
	for _, m := range f.State.Document.Models {
		Expect(f.copies(m.Name, "")).To(BeNumerically(">=", 1), m.Name)
	}
	for _, a := range f.State.Document.Adapters {
		Expect(f.copies(a.Model, a.Name)).To(BeNumerically(">=", 1), a.Name)
	}
}

func (f *fleet) loads() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Witness().Loads
	}
	return n
}

var _ = Describe("The planner with its orderers", func() {
	It("brings every model and adapter up from nothing within the weight store's limits", func() {
		f := newFleet(6, 12, 0)
		f.Run(time.Minute)
		f.expectAllHeld()
		Expect(f.mostLoading).To(BeNumerically("<=", testLoads))
	})

	It("gives models a copy in a second zone where memory is free", func() {
		f := newFleet(3, 0, 3)
		f.Run(90 * time.Second)
		for _, m := range f.State.Document.Models {
			Expect(f.copies(m.Name, "")).To(BeNumerically(">=", 2), m.Name)
		}
	})

	It("loads elsewhere what a zone taken out held, and loads nothing when it returns", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.ZonesOut = []string{"z2"}
		f.Run(2 * time.Minute)
		for _, m := range f.State.Document.Models {
			Expect(f.Engines[0].Holds(m.Name, "") || f.Engines[1].Holds(m.Name, "")).To(BeTrue(), m.Name)
		}
		before := f.loads()
		f.State.ZonesOut = nil
		f.Run(time.Minute)
		Expect(f.loads()).To(Equal(before))
	})

	It("makes copies ready before a planned leave, while the zone serves on", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.Document.Zones = []environment.Zone{{Name: "z0"}, {Name: "z1"}, {Name: "z2", LeavingSoon: true}}
		f.Run(2 * time.Minute)
		for _, m := range f.State.Document.Models {
			Expect(f.Engines[0].Holds(m.Name, "") || f.Engines[1].Holds(m.Name, "")).To(BeTrue(), m.Name)
		}
		Expect(f.Engines[2].Holds("m2", "")).To(BeTrue())
		before := f.loads()
		f.State.ZonesOut = []string{"z2"}
		f.Run(30 * time.Second)
		Expect(f.loads()).To(Equal(before))
	})

	It("replaces the copies of an engine that died", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		Expect(f.copies("m2", "") + f.copies("m5", "")).To(Equal(2))
		f.Engines[2].SetFaults(enginestandin.Faults{Down: true})
		f.Run(time.Minute)
		for _, m := range []string{"m2", "m5"} {
			Expect(f.Engines[0].Holds(m, "") || f.Engines[1].Holds(m, "")).To(BeTrue(), m)
		}
	})

	It("goes on after the planner's death within 10 s", func() {
		f := newFleet(6, 0, 0)
		f.Run(4 * time.Second)
		for _, i := range f.Instances {
			if i.Leases.Holder(LeaseName) == i.Name {
				i.Crashed = true
			}
		}
		before := f.loads()
		f.Run(25 * time.Second)
		Expect(f.loads()).To(BeNumerically(">", before))
		f.Run(time.Minute)
		f.expectAllHeld()
		Expect(f.mostLoading).To(BeNumerically("<=", testLoads))
	})

	It("waits during an outage of the platform and goes on after it", func() {
		f := newFleet(6, 0, 3)
		f.Store.SetFaults(platformstandin.Faults{Outage: true})
		f.Run(30 * time.Second)
		Expect(f.loads()).To(BeZero())
		f.Store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.2})
		f.Run(2 * time.Minute)
		f.expectAllHeld()
	})

	It("moves a copy aside, load first, where a missing model finds no room", func() {
		f := newFleet(6, 0, 6)
		f.State.Document.Models = append(f.State.Document.Models, environment.Model{Name: "big", MemoryMB: 70})
		f.Run(4 * time.Minute)
		f.expectAllHeld()
	})

	It("gives a model that is asked for at all instances a further copy, in place of one that is not", func() {
		f := newFleet(7, 0, 7)
		f.Run(time.Minute)
		Expect(f.copies("m6", "")).To(Equal(1))
		for range 12 * 60 {
			for _, r := range f.recorders {
				r.Note("m6", 1000)
			}
			f.Run(time.Second)
		}
		Expect(f.copies("m6", "")).To(BeNumerically(">=", 2))
		f.expectAllHeld()
	})

	It("unloads what the document no longer names, but not at once", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.Document.Models = f.State.Document.Models[1:]
		f.Run(retireAfter - 5*time.Second)
		Expect(f.copies("m0", "")).To(BeNumerically(">=", 1))
		f.Run(time.Minute)
		Expect(f.copies("m0", "")).To(BeZero())
		f.expectAllHeld()
	})

	It("unloads nothing for a model that no engine can hold", func() {
		f := newFleet(6, 0, 6)
		f.State.Document.Models = append(f.State.Document.Models, environment.Model{Name: "huge", MemoryMB: 1000})
		f.Run(time.Minute)
		for n := range 6 {
			Expect(f.copies(fmt.Sprintf("m%d", n), "")).To(BeNumerically(">=", 1))
		}
	})

	It("keeps platform writes under 50 a second in calm", func() {
		f := newFleet(6, 0, 6)
		f.Run(time.Minute)
		before := f.Store.Stats().Writes
		f.Run(20 * time.Second)
		Expect(f.Store.Stats().Writes - before).To(BeNumerically("<", 50*20))
	})
})

var _ = Describe("The rules that bind every policy", func() {
	one := orders.Resource{Model: "m"}
	state := func(targets ...Target) *State {
		return &State{Models: []environment.Model{{Name: "m", MemoryMB: 10}}, Targets: targets, Budget: Budget{5, 5}}
	}
	holder := func(name string, s HoldingState) Target {
		return Target{Name: name, Zone: name, Concurrency: 1, Fresh: true, Holdings: []Holding{{Resource: one, MemoryMB: 10, State: s}}}
	}

	It("never takes the last sure copy away", func() {
		for _, other := range []HoldingState{Coming, Doubtful, Going, Lost} {
			Expect(newBoard(state(holder("a", Sure), holder("b", other))).unload(0, one, "")).To(BeFalse())
		}
		Expect(newBoard(state(holder("a", Sure), holder("b", Sure))).unload(0, one, "")).To(BeTrue())
	})

	It("takes one copy away at a time", func() {
		b := newBoard(state(holder("a", Sure), holder("b", Sure), holder("c", Sure)))
		Expect(b.unload(0, one, "")).To(BeTrue())
		Expect(b.unload(1, one, "")).To(BeFalse())
	})

	It("does not count copies on targets that are out", func() {
		out := holder("b", Sure)
		out.Out = true
		Expect(newBoard(state(holder("a", Sure), out)).unload(0, one, "")).To(BeFalse())
	})

	It("loads no adapter without its model", func() {
		s := state(Target{Name: "a", Fresh: true, FreeMB: 100})
		s.Adapters = []environment.Adapter{{Name: "x", Model: "m", MemoryMB: 1}}
		Expect(newBoard(s).load(0, orders.Resource{Model: "m", Adapter: "x"}, "")).To(BeFalse())
	})
})
