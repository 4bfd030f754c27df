package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

var engine = dispatch.Engine{Slots: 64, KVTokens: 200_000}

func target(id, zone string) *fleet.Target {
	return &fleet.Target{Announcement: fleet.Announcement{ID: id, Zone: zone, Slots: 6}}
}

func candidates(targets ...*fleet.Target) []dispatch.Candidate {
	var out []dispatch.Candidate
	for _, t := range targets {
		out = append(out, dispatch.Candidate{Target: t})
	}
	return out
}

// draft is a long prompt of which the first parts are shared.
func draft(session uint64, own int) dispatch.Work {
	return dispatch.NewWork(&call.Call{
		Model: "m", PromptTokens: 6300 + own, MaxOutputTokens: 50,
		Prefix: []call.PrefixPart{{ID: 1, Tokens: 2520}, {ID: session, Tokens: 3780}, {ID: session * 1000, Tokens: own}},
	})
}

var _ = Describe("Pick", func() {
	var b *dispatch.Dispatcher
	var now time.Time
	t1, t2, far := target("t1", "z1"), target("t2", "z1"), target("far", "z2")

	pick := func(w dispatch.Work, c ...dispatch.Candidate) dispatch.Pick {
		p, ok := b.Pick(c, dispatch.Query{Work: w, Zone: "z1", Engine: engine, Now: now})
		Expect(ok).To(BeTrue())
		return p
	}

	BeforeEach(func() { b, now = dispatch.NewDispatcher(), time.Unix(1000, 0) })

	It("sends drafts that share a prompt to the target that keeps it", func() {
		first := pick(draft(7, 2890), candidates(t1, t2)...)
		b.Begin(first, draft(7, 2890), now).End(dispatch.Served, now)
		for range 5 {
			again := pick(draft(7, 2890), candidates(t1, t2)...)
			Expect(again.Target.ID).To(Equal(first.Target.ID))
			Expect(again.KeptTokens).To(BeNumerically(">=", 6300))
		}
	})

	It("leaves the target that keeps the prompt once its queue costs more than reading it again", func() {
		first := pick(draft(7, 2890), candidates(t1, t2)...)
		b.Begin(first, draft(7, 2890), now)
		for i := range uint64(4) {
			b.Begin(first, draft(100+i, 2890), now)
		}
		Expect(pick(draft(7, 2890), candidates(t1, t2)...).Target.ID).NotTo(Equal(first.Target.ID))
	})

	It("spreads a burst over all targets that hold the model", func() {
		count := make(map[string]int)
		for i := range uint64(20) {
			p := pick(draft(i+10, 2890), candidates(t1, t2)...)
			b.Begin(p, draft(i+10, 2890), now)
			count[p.Target.ID]++
		}
		Expect(count["t1"]).To(BeNumerically("~", 10, 2))
	})

	It("counts the load that peers tell, until they fall silent", func() {
		b.ApplyPeerUpdate("peer", []dispatch.TargetLoad{{TargetID: "t1", Running: 3, WaitingUS: 900_000}}, nil, now)
		Expect(pick(draft(1, 100), candidates(t1, t2)...).Target.ID).To(Equal("t2"))
		now = now.Add(4 * time.Second)
		Expect(pick(draft(1, 100), candidates(t1)...).Load.Running).To(BeZero())
	})

	It("prefers the own zone, but not to a wait that is longer than the way", func() {
		Expect(pick(draft(1, 100), candidates(far, t1)...).Target.ID).To(Equal("t1"))
		b.ApplyPeerUpdate("peer", []dispatch.TargetLoad{{TargetID: "t1", Running: 1, WaitingUS: 100_000}}, nil, now)
		Expect(pick(draft(1, 100), candidates(far, t1)...).Target.ID).To(Equal("far"))
	})

	It("avoids a zone of which nothing is heard while another target answers soon", func() {
		b.ApplyPeerUpdate("peer", []dispatch.TargetLoad{{TargetID: "t1", Running: 1, WaitingUS: 100_000}}, nil, now)
		Expect(pick(draft(1, 100), dispatch.Candidate{Target: far, ZoneCut: true}, dispatch.Candidate{Target: t1}).Target.ID).To(Equal("t1"))
	})

	It("leaves a target alone that takes no connection while another is there, and tries it if none is", func() {
		p := pick(draft(1, 100), candidates(t1)...)
		b.Begin(p, draft(1, 100), now).End(dispatch.Unreachable, now)
		b.ApplyPeerUpdate("peer", []dispatch.TargetLoad{{TargetID: "far", Running: 9, WaitingUS: 900_000}}, nil, now)
		Expect(pick(draft(1, 100), candidates(t1, far)...).Target.ID).To(Equal("far"))
		Expect(pick(draft(1, 100), candidates(t1)...).Target.ID).To(Equal("t1"))
		now = now.Add(600 * time.Millisecond)
		Expect(pick(draft(1, 100), candidates(t1, far)...).Target.ID).To(Equal("t1"))
	})

	It("sends 80 instances not each to a dead target: what peers could not reach is avoided for as long as they leave it alone", func() {
		for i := range 3 {
			b.ApplyPeerUpdate(fmt.Sprint("peer-", i), []dispatch.TargetLoad{{TargetID: "t1", DownMS: 2000}}, nil, now)
		}
		b.ApplyPeerUpdate("peer-9", []dispatch.TargetLoad{{TargetID: "t2", Running: 3, WaitingUS: 250_000}}, nil, now)
		now = now.Add(1500 * time.Millisecond)
		Expect(pick(draft(1, 100), candidates(t1, t2)...).Target.ID).To(Equal("t2"))
		now = now.Add(600 * time.Millisecond)
		Expect(pick(draft(1, 100), candidates(t1, t2)...).Target.ID).To(Equal("t1"), "the words have run out")
	})

	It("keeps all targets in use that one of many peers cannot reach", func() {
		b.ApplyPeerUpdate("peer", []dispatch.TargetLoad{{TargetID: "t1", DownMS: 500}, {TargetID: "t2", DownMS: 500}}, nil, now)
		Expect(pick(draft(1, 100), candidates(t1, t2)...).Target.ID).NotTo(BeEmpty())
		Expect(pick(draft(1, 100), candidates(t1, t2, far)...).Target.ID).To(Equal("far"))
	})

	It("moves away from a target that fails a part of its calls while its health is good", func() {
		for range 3 {
			b.Begin(pick(draft(1, 100), candidates(t1)...), draft(1, 100), now).End(dispatch.Failed, now)
		}
		Expect(pick(draft(1, 100), candidates(t1, far)...).Target.ID).To(Equal("far"))
		now = now.Add(40 * time.Second)
		Expect(pick(draft(2, 100), candidates(t1, far)...).Target.ID).To(Equal("t1"), "failures are forgotten")
	})

	It("moves away from a target that has turned slow", func() {
		for range 8 {
			p := pick(draft(1, 2000), candidates(t1)...)
			ticket := b.Begin(p, draft(1, 2000), now)
			now = now.Add(5 * p.Expected)
			ticket.FirstAnswer(now)
			ticket.End(dispatch.Served, now)
		}
		fresh := draft(9, 2000)
		Expect(pick(fresh, candidates(t1, far)...).Target.ID).To(Equal("far"))
	})

	It("does not ask again at once for an adapter that a target turned out to lack", func() {
		w := dispatch.NewWork(&call.Call{Model: "m", Adapter: "a1", PromptTokens: 100})
		b.Begin(pick(w, candidates(t1)...), w, now).End(dispatch.NotHeld, now)
		_, ok := b.Pick(candidates(t1), dispatch.Query{Work: w, Engine: engine, Now: now})
		Expect(ok).To(BeFalse())
		other := dispatch.NewWork(&call.Call{Model: "m", Adapter: "a2", PromptTokens: 100})
		Expect(pick(other, candidates(t1)...).Target.ID).To(Equal("t1"))
	})

	It("skips limited and excluded targets", func() {
		c := []dispatch.Candidate{{Target: t1, Limited: true}, {Target: t2}}
		_, ok := b.Pick(c, dispatch.Query{Work: draft(1, 1), Engine: engine, Now: now, Excluded: map[string]bool{"t2": true}})
		Expect(ok).To(BeFalse())
	})

	It("forgets the prompts of a target that began anew", func() {
		b.Begin(pick(draft(7, 100), candidates(t1)...), draft(7, 100), now).End(dispatch.Served, now)
		b.Restarted("t1", now)
		Expect(pick(draft(7, 100), candidates(t1)...).KeptTokens).To(BeZero())
	})

	It("does not take a broken connection for a cold start, so that lost answers leave all targets in use", func() {
		for _, r := range []dispatch.Result{dispatch.Failed, dispatch.Unreachable} {
			b.Begin(pick(draft(1, 100), candidates(t1)...), draft(1, 100), now).End(r, now)
			Expect(b.MayBeColdSince("t1")).To(BeZero())
		}
		b.SuspectCold("t1", now)
		Expect(b.MayBeColdSince("t1")).To(Equal(now))
	})

	It("learns the speed of a model from its answers", func() {
		before := b.TokenTime("m")
		for range 40 {
			p := pick(draft(1, 3000), candidates(t1)...)
			ticket := b.Begin(p, draft(1, 3000), now)
			now = now.Add(p.Expected / 2)
			ticket.FirstAnswer(now)
			ticket.End(dispatch.Served, now)
			b.Restarted("t1", now)
			now = now.Add(10 * time.Second)
		}
		Expect(b.TokenTime("m")).To(BeNumerically("<", before/2))
	})

	It("ends a ticket once", func() {
		ticket := b.Begin(pick(draft(1, 100), candidates(t1)...), draft(1, 100), now)
		ticket.End(dispatch.Served, now)
		ticket.End(dispatch.Failed, now)
		Expect(pick(draft(1, 100), candidates(t1)...).Load.Running).To(BeZero())
	})

	It("tells only what changed, or all that runs", func() {
		b.Begin(pick(draft(1, 100), candidates(t1)...), draft(1, 100), now)
		Expect(b.Pending()).To(BeTrue())
		loads, read := b.TakeUpdates(false, now)
		Expect(loads).To(HaveLen(1))
		Expect(read).To(HaveLen(1))
		Expect(b.Pending()).To(BeFalse())
		loads, _ = b.TakeUpdates(true, now)
		Expect(loads).To(HaveLen(1))
	})
})

func BenchmarkPick(bm *testing.B) {
	for _, n := range []int{12, 60, 2600} {
		bm.Run(fmt.Sprint(n, "-targets"), func(bm *testing.B) {
			b, now := dispatch.NewDispatcher(), time.Unix(1000, 0)
			var c []dispatch.Candidate
			// A model lives on some targets; the others are no candidates.
			for i := range min(n, 12) {
				c = append(c, dispatch.Candidate{Target: target(fmt.Sprint("t", i), "z1")})
			}
			w := draft(1, 2890)
			bm.ReportAllocs()
			for bm.Loop() {
				b.Pick(c, dispatch.Query{Work: w, Zone: "z1", Engine: engine, Now: now})
			}
		})
	}
}
