package inventory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

func BenchmarkNewSnapshot(b *testing.B) {
	for _, engines := range []int{12, 260, 2600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var state environment.State
			var states []*inventory.TargetState
			for i := range engines {
				t := &environment.Target{Name: fmt.Sprintf("e%d", i), Kind: environment.TargetEngine}
				s := &inventory.TargetState{Target: t, ReceivedAt: time.Now()}
				for n := range 8 {
					s.Report.Residents = append(s.Report.Residents, target.Resident{Model: fmt.Sprintf("m%d", (i+n*97)%1700), State: target.ResidencyReady})
				}
				states = append(states, s)
			}
			view := environment.NewView(&state, time.Now())
			for b.Loop() {
				inventory.NewSnapshot(view, states)
			}
		})
	}
}
