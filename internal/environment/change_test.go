package environment

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

var _ = Describe("A change", func() {
	var w *world
	var a, b *Store
	ctx := context.Background()
	addKey := func(id string) func(*State) error {
		return func(s *State) error {
			s.Keys = append(s.Keys, Key{ID: id})
			return nil
		}
	}
	change := func(s *Store, id string) (*State, error) { return s.Change(ctx, "op", "add", 0, addKey(id)) }
	stored := func() *State {
		object, err := w.platform.Get(ctx, StateKey("production"))
		Expect(err).NotTo(HaveOccurred())
		state, err := decodeState(object)
		Expect(err).NotTo(HaveOccurred())
		return state
	}

	BeforeEach(func() {
		w = newWorld(1, []int{1, 1}, 0)
		w.changeDepth = maxChangeDepth
		a, b = w.instances[0].store, w.instances[1].store
	})

	It("is recognized as accepted when its response was lost and another change replaced it", func() {
		before := stored().Revision
		w.platform.SetFaults(platformstandin.Faults{LoseAnswers: 1})
		w.onWait = func() {
			_, err := change(b, "second")
			Expect(err).NotTo(HaveOccurred())
		}
		state, err := change(a, "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Revision).To(Equal(before + 1))
		Expect(stored().Revision).To(Equal(before + 2))
		Expect(stored().Keys).To(HaveLen(2))
		Expect(a.View().Key("second")).NotTo(BeNil())
	})

	It("is not lost when operators make changes concurrently", func() {
		w.changeDepth = 0
		for n := range 10 {
			_, err := change(a, strings.Repeat("x", n+1))
			Expect(err).NotTo(HaveOccurred())
		}
		w.changeDepth = maxChangeDepth
		for n := range 10 {
			Expect(stored().Keys).To(ContainElement(HaveField("ID", strings.Repeat("x", n+1))))
		}
	})

	It("on a given revision is refused when another change was accepted first", func() {
		revision := stored().Revision
		_, err := change(b, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Change(ctx, "op", "late", revision, addKey("late"))
		Expect(err).To(MatchError(ErrConflict))
	})

	It("is not accepted on top of a stale read and reverts nothing", func() {
		_, err := change(a, "first")
		Expect(err).NotTo(HaveOccurred())
		w.faultEnds["stale reads zone-a"] = w.clock.Now().Add(time.Minute)
		w.applyFaults()
		_, err = change(a, "second")
		Expect(err).To(MatchError(ErrNotAccepted))
		clear(w.faultEnds)
		w.applyFaults()
		Expect(stored().Keys).To(HaveLen(1))
	})

	It("is refused with its size when the state would exceed 1 MiB", func() {
		_, err := change(a, strings.Repeat("k", platform.MaxValueBytes))
		Expect(err).To(MatchError(ErrTooLarge))
		Expect(err.Error()).To(MatchRegexp(`would have 10\d{5} bytes`))
		Expect(stored().Keys).To(BeEmpty())
		_, err = encodeForPeers(&State{Keys: []Key{{ID: strings.Repeat("k", platform.MaxValueBytes)}}})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	It("is not accepted while the platform is down", func() {
		w.faultEnds["outage zone-a"] = w.clock.Now().Add(time.Minute)
		w.applyFaults()
		_, err := change(a, "first")
		Expect(err).To(MatchError(ErrNotAccepted))
		Expect(a.View().Key("first")).To(BeNil())
	})

	It("does not let a conflicting state of the same revision be applied", func() {
		known := a.View().State
		other := known.Clone()
		other.Change.Nonce = "restored"
		other.Keys = []Key{{ID: "old"}}
		confirmed := a.View().ConfirmedAt
		Expect(a.Apply(other, w.clock.Now().Add(time.Second))).To(BeFalse())
		Expect(a.View().State).To(BeIdenticalTo(known))
		Expect(a.View().ConfirmedAt).To(Equal(confirmed))
	})

	It("is refused by an instance whose zone is not in the document", func() {
		_, err := a.Change(ctx, "op", "drop", 0, func(s *State) error {
			s.Document.Zones = []Zone{{Name: "zone-b"}}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = change(a, "first")
		Expect(err).To(MatchError(ErrNotAccepted))
		_, err = change(b, "first")
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Watch calls to the platform after an outage", func() {
	It("stay within the call budget with 7 instances", func() {
		w := newWorld(1, []int{3, 2, 2}, 0)
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.run(time.Minute - simStep)
		before := w.platform.Stats()
		w.run(withdrawalBound)
		after := w.platform.Stats()
		Expect(after.Throttled).To(BeZero())
		// At most two watchers in each zone, each with at most one call per step.
		Expect(after.Watches - before.Watches).To(BeNumerically("<=", 2*3*int(withdrawalBound/simStep)))
		Expect(w.verdicts()).To(HaveEach(VerdictFresh))
	})
})
