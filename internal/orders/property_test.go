package orders_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders/orderstest"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/target"
)

// TestMemoryAndLastCopy lets orders, instances, engines and the platform fail
// in random order. The engines' own account is the check: memory is never
// overcommitted and a model that was resident keeps a ready copy.
func TestMemoryAndLastCopy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newRun(rt).play()
	})
}

const (
	runSteps   = 30
	shortDelay = 3000
)

// run is one random interleaving.
type run struct {
	*rapid.T
	world  *orderstest.World
	models []string
	faults []enginestandin.Faults
	nested bool
}

func newRun(t *rapid.T) *run {
	r := &run{T: t, models: []string{"a", "b", "c", "d"}}
	r.world = orderstest.New(environment.Document{Zones: []environment.Zone{{Name: "z1"}}})
	for n := range 3 {
		cfg := enginestandin.DefaultConfig(fmt.Sprintf("e%d", n))
		cfg.MemoryMB = 150
		cfg.ChecksFencing = rapid.Bool().Draw(t, "fencing")
		cfg.ReportLagMS = rapid.SampledFrom([]int{0, 500, 2000}).Draw(t, "lag")
		cfg.LoadMS = rapid.SampledFrom([]int{500, 6000}).Draw(t, "load")
		for _, m := range [][]string{{"a", "b"}, {"a", "c"}, {"b", "d"}}[n] {
			cfg.Residents = append(cfg.Residents, target.Resident{Model: m, MemoryMB: modelMB})
		}
		r.world.AddEngine("z1", cfg, shortDelay)
		r.faults = append(r.faults, enginestandin.Faults{})
	}
	r.world.Check = r.check
	r.world.Gap = r.gap
	for n := range 3 {
		r.world.AddInstance(fmt.Sprintf("i%d", n), "z1")
	}
	return r
}

func (r *run) check() {
	for _, e := range r.world.Engines {
		w := e.Witness()
		if w.Overcommits > 0 || w.PeakMemoryMB > w.MemoryMB {
			r.Fatalf("%s overcommitted: %d of %d MB; orders %+v", w.Name, w.PeakMemoryMB, w.MemoryMB, w.Orders)
		}
	}
	for _, m := range r.models {
		if !r.isHeld(m) {
			r.Fatalf("no copy of %s left", m)
		}
	}
}

func (r *run) isHeld(model string) bool {
	for _, e := range r.world.Engines {
		if e.Holds(model, "") {
			return true
		}
	}
	return false
}

// gap stops an instance between its last look at the clock and the sending.
func (r *run) gap(*orderstest.Instance) {
	if r.nested || rapid.IntRange(0, 5).Draw(r.T, "gap") > 0 {
		return
	}
	r.nested = true
	defer func() { r.nested = false }()
	r.world.Run(time.Duration(rapid.IntRange(1, 25).Draw(r.T, "pause")) * time.Second)
}

func (r *run) play() {
	r.world.Run(4 * time.Second)
	for range runSteps {
		r.act(rapid.IntRange(0, 11).Draw(r.T, "action"))
		r.world.Run(time.Duration(rapid.IntRange(1, 24).Draw(r.T, "steps")) * orderstest.Step)
	}
}

func (r *run) act(action int) {
	instance := r.world.Instances[rapid.IntRange(0, 2).Draw(r.T, "instance")]
	n := rapid.IntRange(0, 2).Draw(r.T, "engine")
	f := &r.faults[n]
	switch action {
	case 0:
		instance.Paused = !instance.Paused
	case 1:
		instance.Dead = true
	case 2:
		instance.Restart()
	case 3:
		f.LoseOrders = rapid.IntRange(0, 2).Draw(r.T, "lose")
	case 4:
		f.DoubleOrders, f.DoubleDelayMS = 2, rapid.IntRange(0, shortDelay).Draw(r.T, "doubled")
	case 5:
		f.OrderDelayMS = rapid.IntRange(0, shortDelay).Draw(r.T, "delay")
	case 6:
		f.FreezeReports = !f.FreezeReports
	case 7:
		r.world.Engines[n].Restart()
	case 8:
		r.world.Store.SetFaults(platformstandin.Faults{
			Outage:          rapid.Bool().Draw(r.T, "outage"),
			StaleReads:      rapid.Bool().Draw(r.T, "stale"),
			LoseAnswerShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(r.T, "lost"),
		})
	default:
		r.move(n)
	}
	r.world.Engines[n].SetFaults(*f)
}

// move adds a random move. Like the planner, it takes one copy of a model away
// at a time.
func (r *run) move(n int) {
	model := rapid.SampledFrom(r.models).Draw(r.T, "model")
	name := r.world.State.Document.Targets[n].Name
	if rapid.Bool().Draw(r.T, "load") {
		r.world.AddMove(load(name, model))
		return
	}
	plan, _ := r.world.Plan()
	for _, m := range plan.Moves {
		record := r.world.Record(m.Target)
		if m.Model == model && m.Action == target.ActionUnloadModel && record.DoneThrough < m.Seq {
			return
		}
	}
	r.world.AddMove(unload(name, model))
	r.world.AddMove(load(name, rapid.SampledFrom(r.models).Draw(r.T, "replacement")))
}
