package trial_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/internal/trial"
)

var _ = Describe("Trials", func() {
	var (
		ctx    = context.Background()
		store  *environment.Store
		trials *trial.Trials
	)

	document := func(rate int64) *environment.Document {
		d := fleet.New("", fleet.Small(20)).Document
		d.Accounts[0].RateTokensPerSecond = rate
		return &d
	}

	BeforeEach(func() {
		clock := clockwork.NewRealClock()
		platform := platformstandin.NewStore(clock, 1)
		store = environment.NewStore("production", platform, clock, telemetry.Discard())
		trials = trial.New("production", store, platform, clock)
		first, err := trials.Start(ctx, "ada", document(100))
		Expect(err).NotTo(HaveOccurred())
		_, err = trials.Promote(ctx, "ada", first.ID)
		Expect(err).NotTo(HaveOccurred())
	})

	It("promotes exactly the document of the trial", func() {
		t, err := trials.Start(ctx, "ada", document(200))
		Expect(err).NotTo(HaveOccurred())
		state, err := trials.Promote(ctx, "bob", t.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(trial.Digest(&state.Document)).To(Equal(t.SHA256))
		Expect(state.Change.Operator).To(Equal("bob"))
	})

	It("promotes only one of two concurrent trials and names its operator to the other", func() {
		a, err := trials.Start(ctx, "ada", document(200))
		Expect(err).NotTo(HaveOccurred())
		b, err := trials.Start(ctx, "bob", document(300))
		Expect(err).NotTo(HaveOccurred())
		_, err = trials.Promote(ctx, "ada", a.ID)
		Expect(err).NotTo(HaveOccurred())
		_, err = trials.Promote(ctx, "bob", b.ID)
		Expect(err).To(MatchError(trial.ErrOutdated))
		Expect(err.Error()).To(ContainSubstring("by ada"))
		Expect(store.View().Account("celula").RateTokensPerSecond).To(BeEquivalentTo(200))
	})

	It("is not outdated by a key that is created in the meantime", func() {
		t, err := trials.Start(ctx, "ada", document(200))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Change(ctx, "bob", "create key", 0, func(s *environment.State) error {
			s.Keys = append(s.Keys, environment.Key{ID: "k", Account: "celula"})
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		state, err := trials.Promote(ctx, "ada", t.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Keys).To(HaveLen(1))
	})

	It("returns the same revision when a trial is promoted again", func() {
		t, err := trials.Start(ctx, "ada", document(200))
		Expect(err).NotTo(HaveOccurred())
		first, err := trials.Promote(ctx, "ada", t.ID)
		Expect(err).NotTo(HaveOccurred())
		second, err := trials.Promote(ctx, "ada", t.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Revision).To(Equal(first.Revision))
	})

	It("keeps a bounded number of trials", func() {
		var last *trial.Trial
		first, err := trials.Start(ctx, "ada", document(1))
		Expect(err).NotTo(HaveOccurred())
		for i := range int64(30) {
			last, err = trials.Start(ctx, "ada", document(i+2))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = trials.Get(ctx, first.ID)
		Expect(err).To(MatchError(trial.ErrNotFound))
		_, err = trials.Get(ctx, last.ID)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Evaluate", func() {
	It("reports what a promotion would change", func() {
		now := time.Unix(1000, 0)
		layout := fleet.New("", fleet.Small(20))
		state := &environment.State{Document: layout.Document, Keys: []environment.Key{{ID: "k1", Account: "celula"}}}
		var states []*inventory.TargetState
		for i := range layout.Document.Targets {
			s := &inventory.TargetState{Target: &layout.Document.Targets[i], RequestedAt: now}
			if s.Target.Name == "engine-1" {
				s.Report = target.Report{MemoryMB: 30_500, Residents: layout.Engines[0].Config.Residents}
			}
			states = append(states, s)
		}
		snapshot := inventory.NewSnapshot(environment.NewView(state, now), states)
		next := fleet.New("", fleet.Small(20)).Document
		next.Accounts = next.Accounts[1:]
		next.Accounts[0].RateTokensPerSecond = 1
		next.Targets[0].MemoryMB = 30_000
		report, err := trial.Evaluate(state, snapshot, &next, now)
		Expect(err).NotTo(HaveOccurred())
		text := fmt.Sprint(report.Findings)
		Expect(text).To(ContainSubstring("keys of removed accounts stop working: k1"))
		Expect(text).To(ContainSubstring("account ingrassa gets less"))
		Expect(text).To(ContainSubstring("account celula is removed"))
		Expect(text).To(ContainSubstring("target engine-1 holds 30500 MB, more than its 30000 MB"))
		Expect(report.ModelsToLoad).To(ConsistOf("planner", "planner-gates"))
		Expect(state.Document.Accounts).To(HaveLen(2), "the evaluated configuration is not changed")
	})
})
