package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

// TestPlannerUnderFaults lets the planner follow random demand while instances,
// engines and the platform fail in random order. The engines' own account is
// the check: memory is never overcommitted and no model's last copy is unloaded.
func TestPlannerUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &faultyPlay{T: rt, fleet: newFleet(7, 4, 7)}
		p.fleet.Check = p.check
		p.play()
	})
}

type faultyPlay struct {
	*rapid.T
	fleet   *fleet
	failure string
}

func (p *faultyPlay) check() {
	for _, e := range p.fleet.Engines {
		if w := e.Witness(); w.Overcommits > 0 || w.PeakMemoryMB > w.MemoryMB {
			p.failure = w.Name + " overcommitted"
		}
	}
	for _, m := range p.fleet.State.Document.Models {
		if p.fleet.copies(m.Name, "") == 0 {
			p.failure = "no copy of " + m.Name + " left"
		}
	}
}

func (p *faultyPlay) play() {
	p.fleet.Run(15 * time.Second)
	for range 15 {
		p.act(rapid.IntRange(0, 13).Draw(p.T, "action"))
		p.demand(rapid.SampledFrom(p.fleet.State.Document.Models).Draw(p.T, "hot").Name)
		if p.failure != "" {
			p.Fatal(p.failure)
		}
	}
}

// demand asks for one model far more than for the others for a while.
func (p *faultyPlay) demand(hot string) {
	for range rapid.SampledFrom([]int{2, 10, 40}).Draw(p.T, "seconds") {
		for _, r := range p.fleet.recorders {
			r.Note(hot, 1500)
		}
		p.fleet.Run(time.Second)
	}
}

func (p *faultyPlay) act(action int) {
	instance := p.fleet.Instances[rapid.IntRange(0, 2).Draw(p.T, "instance")]
	engine := p.fleet.Engines[rapid.IntRange(0, 2).Draw(p.T, "engine")]
	delay := rapid.IntRange(0, 3000).Draw(p.T, "delay")
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
		p.fleet.Store.SetFaults(platformstandin.Faults{Outage: true})
	case 9:
		p.fleet.Store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.3, StaleReads: rapid.Bool().Draw(p.T, "stale")})
	case 10:
		p.fleet.State.ZonesOut = []string{"z0"}
	case 11:
		p.fleet.State.ZonesOut = nil
	default:
		p.heal()
	}
}

func (p *faultyPlay) heal() {
	p.fleet.Store.SetFaults(platformstandin.Faults{})
	for _, e := range p.fleet.Engines {
		e.SetFaults(enginestandin.Faults{})
	}
	for _, i := range p.fleet.Instances {
		if i.Crashed {
			i.Restart()
		}
		i.Paused = false
	}
}
