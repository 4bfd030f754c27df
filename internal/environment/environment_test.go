package environment

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
)

// verdicts returns the verdicts of all instances.
func (w *world) verdicts() []Verdict {
	var out []Verdict
	for _, i := range w.instances {
		out = append(out, i.syncer.Verdict())
	}
	return out
}

var _ = Describe("The freshness rule", func() {
	var w *world

	BeforeEach(func() {
		w = newWorld(1, []int{1, 1, 1}, 0)
		w.changeDepth = maxChangeDepth
		w.changeKeyAt(w.instances[0], false)
		w.run(2 * time.Second)
		Expect(w.created).To(HaveLen(1))
	})

	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	It("cuts off a zone that reaches neither the platform nor other zones", func() {
		w.inject(fault{Kind: "isolated", Instance: 1, For: time.Minute})
		w.changeKeyAt(w.instances[0], true)
		Expect(w.withdrawnAt).To(HaveLen(1))
		w.run(withdrawalBound)
		Expect(w.verdicts()).To(Equal([]Verdict{VerdictFresh, VerdictCutOff, VerdictFresh}))
		w.run(withdrawalBound)
	})

	It("keeps serving while the platform is down for all zones", func() {
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.run(30 * time.Second)
		Expect(w.verdicts()).To(HaveEach(VerdictOutage))
	})

	It("does not serve during an outage when a zone has no live instance", func() {
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.run(10 * time.Second)
		w.network.Leave(w.instances[2].name)
		w.run(withdrawalBound)
		Expect(w.verdicts()).To(HaveEach(VerdictCutOff))
	})

	It("lets a restarted instance fetch the state from peers during an outage without reporting for its zone", func() {
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.run(10 * time.Second)
		w.instances[2].start()
		w.run(withdrawalBound)
		Expect(w.instances[2].store.View().State.Revision).To(Equal(w.instances[0].store.View().State.Revision))
		Expect(w.verdicts()).To(HaveEach(VerdictCutOff))
	})

	It("enforces a withdrawal that one instance wrote between two outages before it was paused", func() {
		w = newWorld(1, []int{2, 1}, 0)
		w.changeDepth = maxChangeDepth
		w.changeKeyAt(w.instances[0], false)
		w.inject(fault{Kind: "outage", For: 10 * time.Second})
		w.run(8 * time.Second)
		Expect(w.verdicts()).To(HaveEach(VerdictOutage))
		clear(w.faultEnds)
		w.inject(fault{Kind: "cut from platform", Instance: 2, For: time.Minute})
		w.changeKeyAt(w.instances[0], true)
		Expect(w.withdrawnAt).To(HaveLen(1))
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.inject(fault{Kind: "pause", Instance: 0, For: time.Minute})
		w.run(2 * withdrawalBound)
	})

	It("stays fresh when the watcher of the only zone is paused", func() {
		w = newWorld(1, []int{2}, 0)
		Expect(w.instances[0].syncer.IsWatcher()).To(BeTrue())
		Expect(w.instances[1].syncer.IsWatcher()).To(BeFalse())
		w.inject(fault{Kind: "pause", Instance: 0, For: time.Minute})
		for range 2 * withdrawalBound / simStep {
			w.run(simStep)
			Expect(w.instances[1].syncer.Verdict()).To(Equal(VerdictFresh))
		}
		Expect(w.instances[1].syncer.IsWatcher()).To(BeTrue())
	})

	It("keeps serving during an outage by reports relayed within the zone", func() {
		w = newWorld(1, []int{2, 2}, 0)
		w.network.SetOutcomes(func(from, to mesh.Peer, _ string) meshtest.Outcome {
			if from.Zone != to.Zone && (from.Name[1] != '0' || to.Name[1] != '0') {
				return meshtest.LoseRequest
			}
			return meshtest.Deliver
		})
		w.inject(fault{Kind: "outage", For: time.Minute})
		for range 4 * withdrawalBound / simStep {
			w.run(simStep)
			Expect(w.verdicts()).To(HaveEach(Not(Equal(VerdictCutOff))))
		}
		Expect(w.verdicts()).To(HaveEach(VerdictOutage))
	})

	It("counts the age of a late response from when its request was sent", func() {
		i := w.instances[0]
		w.inject(fault{Kind: "outage", For: time.Minute})
		w.run(withdrawalBound)
		before := i.store.View().ConfirmedAt
		sentAt := w.clock.Now().Add(-time.Second)
		response := &status{Revision: i.store.View().State.Revision, Nonce: i.store.View().State.Change.Nonce, ConfirmedAgeMS: 0}
		i.syncer.applyStatus("b0", sentAt, response)
		Expect(i.store.View().ConfirmedAt).To(Equal(later(before, sentAt)))
	})

	It("ignores older reports of a zone and expires reports after the maximum age", func() {
		now := w.clock.Now()
		f := NewFreshness(now)
		f.MarkAuthoritative()
		f.ObserveZone("zone-b", ZoneReport{AsOf: now, Revision: 3})
		f.ObserveZone("zone-b", ZoneReport{AsOf: now.Add(-time.Second), Revision: 2})
		f.Tick(now.Add(maxReportAge), false)
		zones := []string{"zone-a", "zone-b"}
		verdictAt := func(after time.Duration, revision uint64) Verdict {
			return f.Verdict(now.Add(after), "zone-a", revision, zones)
		}
		Expect(verdictAt(maxReportAge, 3)).To(Equal(VerdictOutage))
		Expect(verdictAt(maxReportAge, 2)).To(Equal(VerdictCutOff))
		Expect(verdictAt(maxReportAge+1, 3)).To(Equal(VerdictCutOff))
		f.ObserveZone("zone-b", ZoneReport{AsOf: now.Add(maxReportAge), Revision: 3, ReachesPlatform: true})
		Expect(verdictAt(maxReportAge, 3)).To(Equal(VerdictCutOff))
	})

	It("is not authoritative after a pause until its state is confirmed again", func() {
		now := w.clock.Now()
		f := NewFreshness(now)
		f.Tick(now, true)
		f.MarkAuthoritative()
		Expect(f.Verdict(now, "zone-a", 1, []string{"zone-a"})).To(Equal(VerdictOutage))
		resumed := now.Add(2 * time.Second)
		Expect(f.Verdict(resumed, "zone-a", 1, []string{"zone-a"})).To(Equal(VerdictCutOff))
		Expect(f.Tick(resumed, false)).To(BeTrue())
		Expect(f.Verdict(resumed, "zone-a", 1, []string{"zone-a"})).To(Equal(VerdictCutOff))
		f.MarkAuthoritative()
		Expect(f.Verdict(resumed, "zone-a", 1, []string{"zone-a"})).To(Equal(VerdictOutage))
	})
})
