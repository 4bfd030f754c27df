package placement

import (
	"fmt"
	"testing"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
)

// BenchmarkPlan plans moves at the design size: 2,600 targets and 1,700 models with
// at least two copies each. One model in a hundred is overloaded.
func BenchmarkPlan(b *testing.B) {
	const targets, models = 2600, 1700
	s := &State{Budget: Budget{5, 50}}
	for n := range models {
		name := fmt.Sprintf("m%d", n)
		s.Models = append(s.Models, environment.Model{Name: name, MemoryMB: 20_000})
		slots := 10.0
		if n%100 == 0 {
			slots = 150
		}
		s.Demand = append(s.Demand, Demand{Served: name, Slots: slots, LongTermSlots: slots})
	}
	for n := range targets {
		t := Target{Name: fmt.Sprintf("e%d", n), Zone: fmt.Sprintf("z%d", n%17), MemoryMB: 80_000, Concurrency: 32, Fresh: true}
		for c := range 3 {
			m := (n*3 + c) % models
			t.Copies = append(t.Copies, Copy{Resource: orders.Resource{Model: s.Models[m].Name}, MemoryMB: 20_000})
		}
		t.FreeMB = 20_000
		s.Targets = append(s.Targets, t)
	}
	b.ReportAllocs()
	for b.Loop() {
		CostBenefit{}.Plan(s)
	}
}
