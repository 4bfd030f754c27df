package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

// TestPlannerUnderFaults runs the planner with random demand while instances,
// engines and the platform fail at random. It checks the state of the engine
// stand-ins: memory is never overcommitted and every model always has a copy.
func TestPlannerUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &faultTest{T: rt, fleet: newFleet(7, 4, 7)}
		f.fleet.Check = f.check
		f.run()
	})
}

type faultTest struct {
	*rapid.T
	fleet   *fleet
	failure string
}

func (f *faultTest) check() {
	for _, e := range f.fleet.Engines {
		if w := e.Witness(); w.Overcommits > 0 || w.PeakMemoryMB > w.MemoryMB {
			f.failure = w.Name + " overcommitted"
		}
	}
	for _, m := range f.fleet.State.Document.Models {
		if f.fleet.countCopies(m.Name, "") == 0 {
			f.failure = "no copy of " + m.Name + " left"
		}
	}
}

func (f *faultTest) run() {
	f.fleet.Run(15 * time.Second)
	for range 15 {
		f.injectFault(rapid.IntRange(0, 13).Draw(f.T, "action"))
		f.driveDemand(rapid.SampledFrom(f.fleet.State.Document.Models).Draw(f.T, "hot").Name)
		if f.failure != "" {
			f.Fatal(f.failure)
		}
	}
}

// driveDemand records requests for one model only, for a random time.
func (f *faultTest) driveDemand(hot string) {
	for range rapid.SampledFrom([]int{2, 10, 40}).Draw(f.T, "seconds") {
		for _, r := range f.fleet.recorders {
			r.Note(hot, 1500)
		}
		f.fleet.Run(time.Second)
	}
}

func (f *faultTest) injectFault(action int) {
	instance := f.fleet.Instances[rapid.IntRange(0, 2).Draw(f.T, "instance")]
	engine := f.fleet.Engines[rapid.IntRange(0, 2).Draw(f.T, "engine")]
	delay := rapid.IntRange(0, 3000).Draw(f.T, "delay")
	switch action {
	case 0:
		instance.Paused = !instance.Paused
	case 1:
		instance.Crashed = true
	case 2:
		instance.Restart()
	case 3:
		engine.SetFaults(enginestandin.Faults{LoseOrders: 2, DoubleOrders: 5, DoubleDelayMS: delay})
	case 4:
		engine.SetFaults(enginestandin.Faults{OrderDelayMS: delay, LoseOrderAnswers: 2})
	case 5:
		engine.SetFaults(enginestandin.Faults{FreezeReports: true})
	case 6:
		engine.SetFaults(enginestandin.Faults{Down: true})
	case 7:
		engine.Restart()
	case 8:
		f.fleet.Store.SetFaults(platformstandin.Faults{Outage: true})
	case 9:
		f.fleet.Store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.3, StaleReads: rapid.Bool().Draw(f.T, "stale")})
	case 10:
		f.fleet.State.ZonesOut = []string{"z0"}
	case 11:
		f.fleet.State.ZonesOut = nil
	default:
		f.clearFaults()
	}
}

func (f *faultTest) clearFaults() {
	f.fleet.Store.SetFaults(platformstandin.Faults{})
	for _, e := range f.fleet.Engines {
		e.SetFaults(enginestandin.Faults{})
	}
	for _, i := range f.fleet.Instances {
		if i.Crashed {
			i.Restart()
		}
		i.Paused = false
	}
}
