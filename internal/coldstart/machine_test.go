package coldstart_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/coldstart"
)

var _ = Describe("Grantor and Holder", func() {
	start := time.Unix(1_000_000, 0)
	observation := coldstart.Observation{Target: "e", ColdConcurrency: 2, Concurrency: 16, Fresh: true, Incarnation: "1"}
	cold := func(at time.Time) []coldstart.Observation {
		o := observation
		o.Cold, o.AskedAt = true, at
		return []coldstart.Observation{o}
	}
	warm := func(at time.Time) []coldstart.Observation {
		o := observation
		o.AskedAt = at
		return []coldstart.Observation{o}
	}
	want := []coldstart.Entry{{Target: "e", Want: 5}}

	// ready returns a grantor past the leases of earlier ones.
	ready := func(targets func(time.Time) []coldstart.Observation) (*coldstart.Grantor, time.Time) {
		g := coldstart.NewGrantor(1, nil, start)
		g.Observe(targets(start), start)
		now := start.Add(settle)
		g.Observe(targets(now), now)
		return g, now
	}
	// ask makes a holder act by the newest list and returns its last answer.
	ask := func(g *coldstart.Grantor, name string, seq uint64, now time.Time) coldstart.Answer {
		GinkgoHelper()
		first, err := g.Ask(name, coldstart.Ask{Incarnation: 1, Seq: seq}, now)
		Expect(err).NotTo(HaveOccurred())
		second, err := g.Ask(name, coldstart.Ask{Incarnation: 1, Seq: seq + 1, Epoch: first.Epoch, Version: first.Version, Entries: want}, now)
		Expect(err).NotTo(HaveOccurred())
		return second
	}

	It("lends nothing while leases of an earlier grantor may live", func() {
		g := coldstart.NewGrantor(1, nil, start)
		for age := time.Duration(0); age < coldstart.WarmTTL+coldstart.ReportLag; age += 100 * time.Millisecond {
			now := start.Add(age)
			g.Observe(cold(now), now)
			Expect(ask(g, "i1", 1+2*uint64(age), now).Grants[0].Permits).To(BeZero())
		}
	})

	It("lends nothing while a holder may still act on the target as warm", func() {
		g, now := ready(warm)
		_, err := g.Ask("i2", coldstart.Ask{Incarnation: 1, Seq: 1}, now)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(100 * time.Millisecond)
		g.Observe(cold(now), now)
		Expect(ask(g, "i1", 1, now).Grants[0].Permits).To(BeZero())
		ask(g, "i2", 2, now)
		Expect(ask(g, "i1", 3, now).Grants[0].Permits).To(BeNumerically(">", 0))
	})

	It("answers a repeated ask alike and refuses one that was overtaken", func() {
		g, now := ready(cold)
		first := ask(g, "i1", 1, now)
		again, err := g.Ask("i1", coldstart.Ask{Incarnation: 1, Seq: 2, Entries: want}, now.Add(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		_, err = g.Ask("i1", coldstart.Ask{Incarnation: 1, Seq: 1}, now)
		Expect(errors.Is(err, coldstart.ErrOldAsk)).To(BeTrue())
	})

	It("drops late answers and counts leases from the ask", func() {
		h := coldstart.NewHolder(1)
		Expect(h.Acquire("e", "a", start)).To(BeFalse())
		first := h.Ask("a", start)
		second := h.Ask("a", start.Add(100*time.Millisecond))
		grants := []coldstart.Grant{{Target: "e", Permits: 1}}
		h.Answered("a", coldstart.Answer{Seq: first.Seq, Grants: grants})
		Expect(h.CanAcquire("e", "a", start.Add(200*time.Millisecond))).To(BeFalse())
		h.Answered("a", coldstart.Answer{Seq: second.Seq, Grants: grants})
		Expect(h.CanAcquire("e", "a", start.Add(coldstart.GrantTTL))).To(BeTrue())
		Expect(h.CanAcquire("e", "a", start.Add(100*time.Millisecond+coldstart.GrantTTL))).To(BeFalse())
	})

	It("returns unspent permits with each ask", func() {
		h := coldstart.NewHolder(1)
		h.Acquire("e", "a", start)
		h.Answered("a", coldstart.Answer{Seq: h.Ask("a", start).Seq, Grants: []coldstart.Grant{{Target: "e", Permits: 1}}})
		Expect(h.CanAcquire("e", "a", start)).To(BeTrue())
		ask := h.Ask("a", start)
		Expect(h.CanAcquire("e", "a", start)).To(BeFalse())
		h.Failed("a", ask.Seq)
		Expect(h.CanAcquire("e", "a", start)).To(BeFalse())
	})

	It("counts a call that was given up until the engine has noticed", func() {
		h := coldstart.NewHolder(1)
		h.Acquire("e", "a", start)
		h.Answered("a", coldstart.Answer{Seq: h.Ask("a", start).Seq, Grants: []coldstart.Grant{{Target: "e", Permits: 1}}})
		Expect(h.Acquire("e", "a", start)).To(BeTrue())
		h.Release("e", false, start)
		Expect(h.InFlight("e", start.Add(coldstart.EndingGrace/2))).To(Equal(1))
		Expect(h.InFlight("e", start.Add(coldstart.EndingGrace))).To(BeZero())
	})
})
