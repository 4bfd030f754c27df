package inventory_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// BenchmarkPublish measures Publish while the view and the bodies of reports stay
// the same.
func BenchmarkPublish(b *testing.B) {
	for _, engines := range []int{12, 260, 2600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			fleet := enginestandin.NewFleet()
			var state environment.State
			for i := range engines {
				cfg := enginestandin.DefaultConfig(fmt.Sprintf("e%d", i))
				for n := range 8 {
					cfg.Residents = append(cfg.Residents, target.Resident{Model: fmt.Sprintf("m%d", (i+n*97)%1700), MemoryMB: 1})
				}
				fleet.Add(cfg.Name, enginestandin.New(cfg, clock, 1))
				state.Document.Targets = append(state.Document.Targets, environment.Target{Name: cfg.Name, Address: cfg.Name, Kind: environment.TargetEngine})
			}
			view := environment.NewView(&state, clock.Now())
			i := inventory.New(func() *environment.View { return view }, fleet, clock, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
			i.Poll(context.Background())
			for b.Loop() {
				i.Publish()
			}
		})
	}
}
