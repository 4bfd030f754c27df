package residency

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/catalog"
)

// engine holds three models of 70 GB and eight adapters.
func engine(models int) *catalog.Engine {
	e := &catalog.Engine{WeightsMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 1.4, Models: make(map[string]catalog.Model)}
	for i := range models {
		name := fmt.Sprint("m", i)
		e.Models[name] = catalog.Model{Name: name, WeightsMB: 70_000, LoadTime: 4 * time.Second, Adapters: 10, AdapterMB: 60}
	}
	return e
}

func slot(id string, held ...string) Slot {
	return Slot{TargetID: id, Zone: "z", Held: held, Free: true}
}

// apply returns the models held after the steps.
func apply(slots []Slot, steps []Step) map[string][]string {
	out := make(map[string][]string)
	for _, s := range slots {
		out[s.TargetID] = slices.Clone(s.Held)
	}
	for _, st := range steps {
		held := slices.DeleteFunc(out[st.TargetID], func(m string) bool { return m == st.Unload })
		out[st.TargetID] = append(held, st.Load)
	}
	return out
}

var _ = Describe("Plan", func() {
	It("copies a model that has become busy, where the copies of an idle one make way", func() {
		s := Situation{
			Engine: engine(3), Settled: true, StoreLoads: 2,
			Slots:  []Slot{slot("t1", "m0", "m1"), slot("t2", "m0", "m2"), slot("t3", "m0", "m1", "m2")},
			Demand: map[string]float64{"m1": 1.5},
		}
		steps := Plan(s)
		Expect(steps).To(HaveLen(1))
		Expect(steps[0]).To(Equal(Step{TargetID: "t2", Load: "m1", FromStore: true}))
	})

	It("never unloads the last copy", func() {
		s := Situation{
			Engine: engine(7), Settled: true, StoreLoads: 9,
			Slots:  []Slot{slot("t1", "m0", "m1", "m2"), slot("t2", "m3", "m4", "m5")},
			Demand: map[string]float64{"m0": 5},
		}
		Expect(Plan(s)).To(BeEmpty())
	})

	It("does not count a copy under way as one that lets another make way", func() {
		s := Situation{
			Engine: engine(4), Settled: true, StoreLoads: 9, Coming: map[string]int{"m1": 1},
			Slots:  []Slot{slot("t1", "m1", "m2", "m3")},
			Demand: map[string]float64{"m0": 5},
		}
		for _, st := range Plan(s) {
			Expect(st.Unload).NotTo(Equal("m1"))
		}
	})

	It("keeps its copy of a model for other zones if they rely on it", func() {
		s := Situation{
			Engine: engine(4), Settled: true, StoreLoads: 9, Elsewhere: map[string]int{"m1": 1, "m2": 1, "m3": 1}, HeldElsewhere: map[string]int{"m1": 1, "m2": 1, "m3": 1},
			Slots:  []Slot{slot("t1", "m1", "m2", "m3")},
			Demand: map[string]float64{"m0": 5},
		}
		s.MayDrop = func(model string) bool { return model == "m2" }
		steps := Plan(s)
		Expect(steps).To(HaveLen(1))
		Expect(steps[0].Unload).To(Equal("m2"))
		s.MayDrop = func(string) bool { return false }
		Expect(Plan(s)).To(BeEmpty())
	})

	It("restores a model without a copy before it serves a busy one", func() {
		s := Situation{
			Engine: engine(3), Settled: true, StoreLoads: 1,
			Slots:  []Slot{slot("t1"), slot("t2", "m0", "m1")},
			Demand: map[string]float64{"m0": 2},
		}
		steps := Plan(s)
		Expect(steps).To(HaveLen(1))
		Expect(steps[0].Load).To(Equal("m2"))
	})

	It("restores only models that calls asked for until all targets are known", func() {
		s := Situation{Engine: engine(3), StoreLoads: 5, Slots: []Slot{slot("t1"), slot("t2"), slot("t3")}}
		Expect(Plan(s)).To(BeEmpty())
		s.Wanted = map[string]bool{"m1": true}
		steps := Plan(s)
		Expect(steps).To(HaveLen(1))
		Expect(steps[0].Load).To(Equal("m1"))
	})

	It("loads copies at hand beyond the budget of the weight store", func() {
		s := Situation{
			Engine: engine(2), Settled: true, StoreLoads: 0,
			Slots:  []Slot{slot("t1", "m0"), slot("t2", "m1")},
			Demand: map[string]float64{"m0": 2},
		}
		Expect(Plan(s)).To(BeEmpty())
		s.Slots[1].AtHand = []string{"m0"}
		steps := Plan(s)
		Expect(steps).To(Equal([]Step{{TargetID: "t2", Load: "m0"}}))
	})

	It("gives no order to targets that are busy or leave", func() {
		busy, leaving := slot("t1"), slot("t2")
		busy.Free, leaving.Leaving = false, true
		s := Situation{Engine: engine(1), Settled: true, StoreLoads: 5, Slots: []Slot{busy, leaving}}
		Expect(Plan(s)).To(BeEmpty())
	})

	It("never overcommits memory, drops a last copy or exceeds the budget, whatever the situation", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := engine(rapid.IntRange(1, 12).Draw(t, "models"))
			names := make([]string, 0, len(e.Models))
			for name := range e.Models {
				names = append(names, name)
			}
			slices.Sort(names)
			s := Situation{
				Engine: e, Settled: rapid.Bool().Draw(t, "settled"), StoreLoads: rapid.IntRange(0, 4).Draw(t, "loads"),
				Demand: make(map[string]float64),
			}
			for _, name := range names {
				s.Demand[name] = rapid.Float64Range(0, 4).Draw(t, "demand")
			}
			for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
				x := slot(fmt.Sprint("t", i))
				x.Held = append(x.Held, rapid.Permutation(names).Draw(t, "order")[:rapid.IntRange(0, min(3, len(names))).Draw(t, "held")]...)
				x.Free = rapid.Bool().Draw(t, "free")
				if rapid.Bool().Draw(t, "at hand") {
					x.AtHand = names[:1]
				}
				s.Slots = append(s.Slots, x)
			}
			before := make(map[string]int)
			for _, x := range s.Slots {
				for _, m := range x.Held {
					before[m]++
				}
			}
			budget := s.StoreLoads
			steps := Plan(s)
			after := make(map[string]int)
			for id, held := range apply(s.Slots, steps) {
				if len(held) > 3 {
					t.Fatalf("target %s holds %v", id, held)
				}
				for _, m := range held {
					after[m]++
				}
			}
			fromStore := 0
			for _, st := range steps {
				if st.FromStore {
					fromStore++
				}
			}
			if fromStore > budget {
				t.Fatalf("%d loads from the store, %d allowed", fromStore, budget)
			}
			for m, n := range before {
				if n > 0 && after[m] == 0 {
					t.Fatalf("no copy of %s is left", m)
				}
			}
		})
	})
})
