package routing_test

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

var _ = Describe("Baseline", func() {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	state := &environment.State{TargetsLeaving: []string{"gone"}, Document: environment.Document{Targets: []environment.Target{
		{Name: "one", Kind: environment.TargetEngine, Concurrency: 2},
		{Name: "two", Kind: environment.TargetEngine, Concurrency: 2},
		{Name: "gone", Kind: environment.TargetEngine, Concurrency: 2},
	}}}
	view := environment.NewView(state, clock.Now())
	var states []*inventory.TargetState
	for i := range state.Document.Targets {
		report := target.Report{Residents: []target.Resident{{Model: "reader", State: target.ResidencyReady}}}
		states = append(states, &inventory.TargetState{Target: &state.Document.Targets[i], Report: report, RequestedAt: clock.Now()})
	}
	snapshot := func() *inventory.Snapshot { return inventory.NewSnapshot(view, states) }

	It("distributes calls evenly up to the concurrency and releases them", func() {
		for _, b := range []*routing.Baseline{routing.NewLeastOutstanding(snapshot, clock), routing.NewRoundRobin(snapshot, clock)} {
			counts := make(map[string]int)
			var last *routing.Slot
			for range 4 {
				slot, err := b.Pick(routing.Request{Served: "reader"})
				Expect(err).NotTo(HaveOccurred())
				counts[slot.Target.Name]++
				last = slot
			}
			Expect(counts).To(HaveLen(2))
			Expect(counts["one"]).To(Equal(2))
			_, err := b.Pick(routing.Request{Served: "reader"})
			Expect(errors.Is(err, routing.ErrNoCapacity)).To(BeTrue())
			last.Done(routing.Completed)
			_, err = b.Pick(routing.Request{Served: "reader", Exclude: []string{"one", "two"}})
			Expect(errors.Is(err, routing.ErrNoTarget)).To(BeTrue())
		}
	})
})
