package quota_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

const (
	rate  = 700
	burst = 7000
	// longest is more than the time after which a dead holder's share is free.
	longest = 35 * time.Minute
)

func startedWorld(perZone ...int) *world {
	w := newWorld(1, perZone...)
	w.chance(0)
	w.settle()
	w.accept(w.document(rate, burst))
	w.learn()
	w.settle()
	return w
}

// drain reserves in small requests until the instance refuses.
func (n *node) drain(tokens int64) (admitted int64) {
	for {
		if _, err := n.reserve("a", tokens); err != nil {
			return admitted
		}
		admitted += tokens
	}
}

var _ = Describe("Escrow", func() {
	It("admits a request as large as the burst at one instance", func() {
		w := startedWorld(3, 2, 2)
		Expect(w.nodes[6].reserve("a", burst)).NotTo(BeNil())
		_, err := w.nodes[0].reserve("a", 10)
		var refused *quota.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(BeNumerically("~", minimum, time.Second))
	})

	It("admits no more than the rate and burst over all instances", func() {
		w := startedWorld(3, 2, 2)
		for range 200 {
			for _, n := range w.nodes {
				n.drain(50)
			}
			w.clock.Advance(100 * time.Millisecond)
		}
		Expect(w.overdraft("a")).To(BeEmpty())
	})

	It("refuses at once what exceeds the burst", func() {
		w := startedWorld(1, 1)
		_, err := w.nodes[0].reserve("a", burst+1)
		var refused *quota.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(quota.ReasonTooLarge))
	})

	It("gives a dead holder's share on only after its lease", func() {
		w := startedWorld(2)
		w.nodes[1].crash()
		w.settle()
		w.clock.Advance(15 * time.Second)
		w.settle()
		Expect(states(w.nodes[0])).To(ConsistOf(quota.ShareActive, quota.ShareFenced))
		w.clock.Advance(20 * time.Minute)
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate/2, 1))
		w.clock.Advance(longest - 20*time.Minute)
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate, 1))
	})

	It("spends nothing after a pause beyond its lease", func() {
		w := startedWorld(2)
		w.nodes[1].paused = true
		w.settle()
		w.clock.Advance(15 * time.Second)
		w.settle()
		w.clock.Advance(longest)
		w.settle()
		w.nodes[0].drain(10)
		w.nodes[1].paused = false
		w.network.Cut(w.nodes[0].name, w.nodes[1].name, true)
		Expect(w.nodes[1].drain(10)).To(BeZero())
		Expect(w.overdraft("a")).To(BeEmpty())
	})

	It("serves through an outage, and lends to an instance that starts in it", func() {
		w := startedWorld(2, 1)
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		w.nodes[1].crash()
		w.nodes[1].start()
		w.clock.Advance(10 * time.Minute)
		w.settle()
		_, err := w.nodes[1].reserve("a", 100)
		Expect(err).NotTo(HaveOccurred())
	})

	It("gives a zone's share back once it is taken out, and to it again", func() {
		w := startedWorld(1, 1)
		w.accept(w.document(rate, burst), "zone-2")
		w.learn()
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate, 1))
		w.accept(w.document(rate, burst))
		w.learn()
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate/2, 1))
		Expect(w.nodes[1].share()).To(BeNumerically("~", rate/2, 1))
	})

	It("keeps the share of a zone that is cut off until an operator releases it", func() {
		w := startedWorld(1, 1)
		w.store.SetFaults(platformstandin.Faults{CutZones: []string{"zone-2"}})
		w.network.CutZone("zone-2", true)
		w.accept(w.document(rate, burst), "zone-2")
		w.nodes[0].view = w.accepted
		w.clock.Advance(15 * time.Second)
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate/2, 1))
		w.nodes[1].crash()
		for _, h := range w.nodes[0].escrow.Shares() {
			if h.Zone == "zone-2" {
				Expect(w.nodes[0].escrow.Release(GinkgoT().Context(), h.Zone, h.Incarnation)).To(Succeed())
			}
		}
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate, 1))
	})

	It("writes almost nothing to the platform in calm", func() {
		w := startedWorld(3, 2, 2)
		before := w.store.Stats().Writes
		for range 60 {
			w.clock.Advance(time.Minute)
			w.settle()
		}
		Expect(w.store.Stats().Writes - before).To(BeNumerically("<=", 3*60))
	})

	It("gives a joining instance nothing before the others keep their cut", func() {
		w := newWorld(1, 2)
		w.chance(0)
		w.nodes[1].crash()
		w.settle()
		w.accept(w.document(rate, burst))
		w.learn()
		w.settle()
		w.nodes[0].paused = true
		w.nodes[1].start()
		w.settle()
		w.clock.Advance(9 * time.Second)
		Expect(w.nodes[1].drain(10)).To(BeZero())
		w.nodes[0].paused = false
		w.nodes[0].drain(10)
		Expect(w.overdraft("a")).To(BeEmpty())
		w.settle()
		Expect(w.nodes[1].share()).To(BeNumerically("~", rate/2, 1))
	})

	It("spends a loan no longer than the lender lends it", func() {
		w := startedWorld(1, 1)
		w.nodes[0].drain(10)
		w.nodes[1].drain(10)
		w.clock.Advance(20 * time.Second)
		w.late = func() time.Duration { return 1500 * time.Millisecond }
		_, err := w.nodes[0].reserve("a", burst/2+1000)
		Expect(err).NotTo(HaveOccurred())
		w.late = nil
		w.clock.Advance(time.Second)
		w.network.Cut(w.nodes[0].name, w.nodes[1].name, true)
		for range 20 {
			w.nodes[1].drain(10)
			w.nodes[0].drain(10)
			w.clock.Advance(time.Second)
		}
		Expect(w.overdraft("a")).To(BeEmpty())
	})

	It("lets a zone that comes back empty claim its part anew", func() {
		w := startedWorld(1, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w.nodes[1].escrow.Leave(ctx)
		w.settle()
		w.nodes[1].crash()
		w.accept(w.document(rate, burst), "zone-2")
		w.nodes[0].view = w.accepted
		w.settle()
		Expect(w.nodes[0].share()).To(BeNumerically("~", rate, 1))
		behind := w.nodes[1].view
		w.nodes[1].start()
		w.nodes[1].view = behind
		w.settle()
		w.network.Cut(w.nodes[0].name, w.nodes[1].name, true)
		w.clock.Advance(time.Minute)
		w.nodes[0].drain(10)
		w.nodes[1].drain(10)
		Expect(w.overdraft("a")).To(BeEmpty())
	})

	It("adds no refund to a bucket that has been full since", func() {
		w := startedWorld(1)
		long, err := w.nodes[0].reserve("a", 5000)
		Expect(err).NotTo(HaveOccurred())
		w.clock.Advance(time.Minute)
		w.nodes[0].drain(10)
		long.end(0)
		w.nodes[0].drain(10)
		Expect(w.overdraft("a")).To(BeEmpty())
	})

	It("lets accounts come and go without new tokens", func() {
		w := startedWorld(1, 1)
		for range 5 {
			w.nodes[0].drain(50)
			w.accept(environment.Document{Zones: w.document(1, 1).Zones})
			w.learn()
			w.settle()
			w.accept(w.document(rate, burst))
			w.learn()
			w.settle()
		}
		Expect(w.overdraft("a")).To(BeEmpty())
	})
})

// minimum is the time in which the whole rate brings ten tokens, at least 0.1 s.
const minimum = 100 * time.Millisecond

func states(n *node) (out []quota.ShareState) {
	for _, h := range n.escrow.Shares() {
		out = append(out, h.State)
	}
	return out
}

// share is the rate that the instance holds by the newest division it knows.
func (n *node) share() (sum float64) {
	for _, h := range n.escrow.Shares() {
		if h.Holder == n.name && h.State == quota.ShareActive {
			sum += h.Share.Rate
		}
	}
	return sum
}
