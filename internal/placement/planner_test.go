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
	testEngineMB       = 100
	testModelMB        = 30
	testLoadsAtOnce    = 2
	testLoadsPerSecond = 1.0
)

// fleet is an orderstest.World whose instances also run planners.
type fleet struct {
	*orderstest.World
	network *meshtest.Network
	// peakLoading is the maximum number of concurrent model loads on all engines.
	peakLoading int
	recorders   map[string]*Recorder
}

// newFleet returns a fleet of three zones with one engine and one instance each. The
// models below number residentModels are loaded at the start, model n on engine n
// modulo 3.
func newFleet(models, adapters, residentModels int) *fleet {
	f := &fleet{network: meshtest.NewNetwork(), recorders: make(map[string]*Recorder)}
	d := environment.Document{WeightStore: environment.WeightStore{LoadsPerSecond: testLoadsPerSecond, LoadsAtOnce: testLoadsAtOnce, AdapterLoadsAtOnce: 2}}
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
		for m := n; m < residentModels; m += 3 {
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
	f.peakLoading = max(f.peakLoading, loading)
}

// countCopies returns the number of engines that hold the model or adapter.
func (f *fleet) countCopies(model, adapter string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Holds(model, adapter) {
			n++
		}
	}
	return n
}

func (f *fleet) expectCopiesOfAll() {
	GinkgoHelper()
	for _, m := range f.State.Document.Models {
		Expect(f.countCopies(m.Name, "")).To(BeNumerically(">=", 1), m.Name)
	}
	for _, a := range f.State.Document.Adapters {
		Expect(f.countCopies(a.Model, a.Name)).To(BeNumerically(">=", 1), a.Name)
	}
}

func (f *fleet) countLoads() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Witness().Loads
	}
	return n
}

var _ = Describe("The planner and its orderers", func() {
	It("loads every model and adapter on empty engines within the weight store's limits", func() {
		f := newFleet(6, 12, 0)
		f.Run(time.Minute)
		f.expectCopiesOfAll()
		Expect(f.peakLoading).To(BeNumerically("<=", testLoadsAtOnce))
	})

	It("loads a copy of each model in a second zone if memory is free", func() {
		f := newFleet(3, 0, 3)
		f.Run(90 * time.Second)
		for _, m := range f.State.Document.Models {
			Expect(f.countCopies(m.Name, "")).To(BeNumerically(">=", 2), m.Name)
		}
	})

	It("loads elsewhere the models of a zone taken out of service, and loads nothing when the zone returns", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.ZonesOut = []string{"z2"}
		f.Run(2 * time.Minute)
		for _, m := range f.State.Document.Models {
			Expect(f.Engines[0].Holds(m.Name, "") || f.Engines[1].Holds(m.Name, "")).To(BeTrue(), m.Name)
		}
		before := f.countLoads()
		f.State.ZonesOut = nil
		f.Run(time.Minute)
		Expect(f.countLoads()).To(Equal(before))
	})

	It("loads copies elsewhere before an announced leave while the zone still serves", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.Document.Zones = []environment.Zone{{Name: "z0"}, {Name: "z1"}, {Name: "z2", LeavingSoon: true}}
		f.Run(2 * time.Minute)
		for _, m := range f.State.Document.Models {
			Expect(f.Engines[0].Holds(m.Name, "") || f.Engines[1].Holds(m.Name, "")).To(BeTrue(), m.Name)
		}
		Expect(f.Engines[2].Holds("m2", "")).To(BeTrue())
		before := f.countLoads()
		f.State.ZonesOut = []string{"z2"}
		f.Run(30 * time.Second)
		Expect(f.countLoads()).To(Equal(before))
	})

	It("replaces the copies of an engine that failed", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		Expect(f.countCopies("m2", "") + f.countCopies("m5", "")).To(Equal(2))
		f.Engines[2].SetFaults(enginestandin.Faults{Down: true})
		f.Run(time.Minute)
		for _, m := range []string{"m2", "m5"} {
			Expect(f.Engines[0].Holds(m, "") || f.Engines[1].Holds(m, "")).To(BeTrue(), m)
		}
	})

	It("resumes loading within 25 s after the planner's instance fails", func() {
		f := newFleet(6, 0, 0)
		f.Run(4 * time.Second)
		for _, i := range f.Instances {
			if i.Leases.Holder(LeaseName) == i.Name {
				i.Crashed = true
			}
		}
		before := f.countLoads()
		f.Run(25 * time.Second)
		Expect(f.countLoads()).To(BeNumerically(">", before))
		f.Run(time.Minute)
		f.expectCopiesOfAll()
		Expect(f.peakLoading).To(BeNumerically("<=", testLoadsAtOnce))
	})

	It("loads nothing during a platform outage and resumes afterwards", func() {
		f := newFleet(6, 0, 3)
		f.Store.SetFaults(platformstandin.Faults{Outage: true})
		f.Run(30 * time.Second)
		Expect(f.countLoads()).To(BeZero())
		f.Store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.2})
		f.Run(2 * time.Minute)
		f.expectCopiesOfAll()
	})

	It("relocates a copy, load before unload, if no engine has enough memory for a missing model", func() {
		f := newFleet(6, 0, 6)
		f.State.Document.Models = append(f.State.Document.Models, environment.Model{Name: "big", MemoryMB: 70})
		f.Run(4 * time.Minute)
		f.expectCopiesOfAll()
	})

	It("loads another copy of a model that all instances request, in place of one that is not requested", func() {
		f := newFleet(7, 0, 7)
		f.Run(time.Minute)
		Expect(f.countCopies("m6", "")).To(Equal(1))
		for range 12 * 60 {
			for _, r := range f.recorders {
				r.Note("m6", 1000)
			}
			f.Run(time.Second)
		}
		Expect(f.countCopies("m6", "")).To(BeNumerically(">=", 2))
		f.expectCopiesOfAll()
	})

	It("unloads a model that the document no longer names, after a delay", func() {
		f := newFleet(6, 0, 6)
		f.Run(20 * time.Second)
		f.State.Document.Models = f.State.Document.Models[1:]
		f.Run(retireAfter - 5*time.Second)
		Expect(f.countCopies("m0", "")).To(BeNumerically(">=", 1))
		f.Run(time.Minute)
		Expect(f.countCopies("m0", "")).To(BeZero())
		f.expectCopiesOfAll()
	})

	It("unloads nothing for a model that does not fit on any engine", func() {
		f := newFleet(6, 0, 6)
		f.State.Document.Models = append(f.State.Document.Models, environment.Model{Name: "huge", MemoryMB: 1000})
		f.Run(time.Minute)
		for n := range 6 {
			Expect(f.countCopies(fmt.Sprintf("m%d", n), "")).To(BeNumerically(">=", 1))
		}
	})

	It("keeps platform writes below 50 per second in steady state", func() {
		f := newFleet(6, 0, 6)
		f.Run(time.Minute)
		before := f.Store.Stats().Writes
		f.Run(20 * time.Second)
		Expect(f.Store.Stats().Writes - before).To(BeNumerically("<", 50*20))
	})
})

var _ = Describe("The rules for every policy", func() {
	resource := orders.Resource{Model: "m"}
	state := func(targets ...Target) *State {
		return &State{Models: []environment.Model{{Name: "m", MemoryMB: 10}}, Targets: targets, Budget: Budget{5, 5}}
	}
	targetWithCopy := func(name string, s CopyState) Target {
		return Target{Name: name, Zone: name, Concurrency: 1, Fresh: true, Copies: []Copy{{Resource: resource, MemoryMB: 10, State: s}}}
	}

	It("never unloads the last confirmed copy", func() {
		for _, other := range []CopyState{Loading, Unconfirmed, Unloading, Lost} {
			Expect(newPlanBuilder(state(targetWithCopy("a", Confirmed), targetWithCopy("b", other))).unload(0, resource, "")).To(BeFalse())
		}
		Expect(newPlanBuilder(state(targetWithCopy("a", Confirmed), targetWithCopy("b", Confirmed))).unload(0, resource, "")).To(BeTrue())
	})

	It("unloads one copy at a time", func() {
		b := newPlanBuilder(state(targetWithCopy("a", Confirmed), targetWithCopy("b", Confirmed), targetWithCopy("c", Confirmed)))
		Expect(b.unload(0, resource, "")).To(BeTrue())
		Expect(b.unload(1, resource, "")).To(BeFalse())
	})

	It("does not count copies on draining targets", func() {
		draining := targetWithCopy("b", Confirmed)
		draining.Draining = true
		Expect(newPlanBuilder(state(targetWithCopy("a", Confirmed), draining)).unload(0, resource, "")).To(BeFalse())
	})

	It("loads no adapter on a target without its model", func() {
		s := state(Target{Name: "a", Fresh: true, FreeMB: 100})
		s.Adapters = []environment.Adapter{{Name: "x", Model: "m", MemoryMB: 1}}
		Expect(newPlanBuilder(s).load(0, orders.Resource{Model: "m", Adapter: "x"}, "")).To(BeFalse())
	})
})
