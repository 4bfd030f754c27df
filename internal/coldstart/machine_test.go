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
		o.Cold, o.RequestedAt = true, at
		return []coldstart.Observation{o}
	}
	warm := func(at time.Time) []coldstart.Observation {
		o := observation
		o.RequestedAt = at
		return []coldstart.Observation{o}
	}
	usage := []coldstart.TargetUsage{{Target: "e", Want: 5}}

	// readyGrantor returns a grantor for which no lease of an earlier one is valid.
	readyGrantor := func(targets func(time.Time) []coldstart.Observation) (*coldstart.Grantor, time.Time) {
		g := coldstart.NewGrantor(1, nil, start)
		g.Observe(targets(start), start)
		now := start.Add(maxGrantDelay)
		g.Observe(targets(now), now)
		return g, now
	}
	// request sends two requests, so that the holder has the newest warm list in the
	// second, and returns the second response.
	request := func(g *coldstart.Grantor, name string, seq uint64, now time.Time) coldstart.Response {
		GinkgoHelper()
		first, err := g.HandleRequest(name, coldstart.Request{Incarnation: 1, Seq: seq}, now)
		Expect(err).NotTo(HaveOccurred())
		second, err := g.HandleRequest(name, coldstart.Request{Incarnation: 1, Seq: seq + 1, Epoch: first.Epoch, Version: first.Version, Usage: usage}, now)
		Expect(err).NotTo(HaveOccurred())
		return second
	}

	It("grants nothing while leases of an earlier grantor may be valid", func() {
		g := coldstart.NewGrantor(1, nil, start)
		for age := time.Duration(0); age < coldstart.WarmTTL+coldstart.MaxReportLag; age += 100 * time.Millisecond {
			now := start.Add(age)
			g.Observe(cold(now), now)
			Expect(request(g, "i1", 1+2*uint64(age), now).Grants[0].Permits).To(BeZero())
		}
	})

	It("grants nothing while a holder may still treat the target as warm", func() {
		g, now := readyGrantor(warm)
		_, err := g.HandleRequest("i2", coldstart.Request{Incarnation: 1, Seq: 1}, now)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(100 * time.Millisecond)
		g.Observe(cold(now), now)
		Expect(request(g, "i1", 1, now).Grants[0].Permits).To(BeZero())
		request(g, "i2", 2, now)
		Expect(request(g, "i1", 3, now).Grants[0].Permits).To(BeNumerically(">", 0))
	})

	It("gives a repeated request the same response and refuses a superseded one", func() {
		g, now := readyGrantor(cold)
		first := request(g, "i1", 1, now)
		again, err := g.HandleRequest("i1", coldstart.Request{Incarnation: 1, Seq: 2, Usage: usage}, now.Add(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		_, err = g.HandleRequest("i1", coldstart.Request{Incarnation: 1, Seq: 1}, now)
		Expect(errors.Is(err, coldstart.ErrStaleRequest)).To(BeTrue())
	})

	It("ignores late responses and counts leases from the request", func() {
		h := coldstart.NewHolder(1)
		Expect(h.Acquire("e", "a", start)).To(BeFalse())
		first := h.NewRequest("a", start)
		second := h.NewRequest("a", start.Add(100*time.Millisecond))
		grants := []coldstart.Grant{{Target: "e", Permits: 1}}
		h.ApplyResponse("a", coldstart.Response{Seq: first.Seq, Grants: grants})
		Expect(h.CanAcquire("e", "a", start.Add(200*time.Millisecond))).To(BeFalse())
		h.ApplyResponse("a", coldstart.Response{Seq: second.Seq, Grants: grants})
		Expect(h.CanAcquire("e", "a", start.Add(coldstart.GrantTTL))).To(BeTrue())
		Expect(h.CanAcquire("e", "a", start.Add(100*time.Millisecond+coldstart.GrantTTL))).To(BeFalse())
	})

	It("returns unused permits with each request", func() {
		h := coldstart.NewHolder(1)
		h.Acquire("e", "a", start)
		h.ApplyResponse("a", coldstart.Response{Seq: h.NewRequest("a", start).Seq, Grants: []coldstart.Grant{{Target: "e", Permits: 1}}})
		Expect(h.CanAcquire("e", "a", start)).To(BeTrue())
		request := h.NewRequest("a", start)
		Expect(h.CanAcquire("e", "a", start)).To(BeFalse())
		h.FailRequest("a", request.Seq)
		Expect(h.CanAcquire("e", "a", start)).To(BeFalse())
	})

	It("counts an abandoned call until its grace has ended", func() {
		h := coldstart.NewHolder(1)
		h.Acquire("e", "a", start)
		h.ApplyResponse("a", coldstart.Response{Seq: h.NewRequest("a", start).Seq, Grants: []coldstart.Grant{{Target: "e", Permits: 1}}})
		Expect(h.Acquire("e", "a", start)).To(BeTrue())
		h.Release("e", false, start)
		Expect(h.InFlight("e", start.Add(coldstart.AbandonedCallGrace/2))).To(Equal(1))
		Expect(h.InFlight("e", start.Add(coldstart.AbandonedCallGrace))).To(BeZero())
	})
})
