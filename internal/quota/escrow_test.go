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
	// freedShareDelay is longer than the time after which a crashed holder's
	// share is free.
	freedShareDelay = 35 * time.Minute
)

func startedWorld(perZone ...int) *world {
	w := newWorld(1, perZone...)
	w.setFaultRate(0)
	w.converge()
	w.accept(w.document(rate, burst))
	w.deliverDocument()
	w.converge()
	return w
}

// reserveAll reserves in small requests until the instance refuses.
func (n *node) reserveAll(tokens int64) (admitted int64) {
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
		Expect(refused.RetryAfter).To(BeNumerically("~", minRetryAfter, time.Second))
	})

	It("admits no more than the rate and burst over all instances", func() {
		w := startedWorld(3, 2, 2)
		for range 200 {
			for _, n := range w.nodes {
				n.reserveAll(50)
			}
			w.clock.Advance(100 * time.Millisecond)
		}
		Expect(w.findViolation("a")).To(BeEmpty())
	})

	It("refuses a request that exceeds the burst", func() {
		w := startedWorld(1, 1)
		_, err := w.nodes[0].reserve("a", burst+1)
		var refused *quota.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(quota.ReasonTooLarge))
	})

	It("reassigns a crashed holder's share only after its lease has ended", func() {
		w := startedWorld(2)
		w.nodes[1].crash()
		w.converge()
		w.clock.Advance(15 * time.Second)
		w.converge()
		Expect(states(w.nodes[0])).To(ConsistOf(quota.ShareActive, quota.ShareFenced))
		w.clock.Advance(20 * time.Minute)
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate/2, 1))
		w.clock.Advance(freedShareDelay - 20*time.Minute)
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate, 1))
	})

	It("spends nothing after a pause longer than its lease", func() {
		w := startedWorld(2)
		w.nodes[1].paused = true
		w.converge()
		w.clock.Advance(15 * time.Second)
		w.converge()
		w.clock.Advance(freedShareDelay)
		w.converge()
		w.nodes[0].reserveAll(10)
		w.nodes[1].paused = false
		w.network.SetPartition(w.nodes[0].name, w.nodes[1].name, true)
		Expect(w.nodes[1].reserveAll(10)).To(BeZero())
		Expect(w.findViolation("a")).To(BeEmpty())
	})

	It("serves during a platform outage and lends to an instance that starts during it", func() {
		w := startedWorld(2, 1)
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		w.nodes[1].crash()
		w.nodes[1].start()
		w.clock.Advance(10 * time.Minute)
		w.converge()
		_, err := w.nodes[1].reserve("a", 100)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reassigns the share of a zone that is taken out of service and restores it afterwards", func() {
		w := startedWorld(1, 1)
		w.accept(w.document(rate, burst), "zone-2")
		w.deliverDocument()
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate, 1))
		w.accept(w.document(rate, burst))
		w.deliverDocument()
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate/2, 1))
		Expect(w.nodes[1].activeRate()).To(BeNumerically("~", rate/2, 1))
	})

	It("keeps the share of a partitioned zone until an operator releases it", func() {
		w := startedWorld(1, 1)
		w.store.SetFaults(platformstandin.Faults{CutZones: []string{"zone-2"}})
		w.network.SetZonePartition("zone-2", true)
		w.accept(w.document(rate, burst), "zone-2")
		w.nodes[0].view = w.accepted
		w.clock.Advance(15 * time.Second)
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate/2, 1))
		w.nodes[1].crash()
		for _, h := range w.nodes[0].escrow.Shares() {
			if h.Zone == "zone-2" {
				Expect(w.nodes[0].escrow.Release(GinkgoT().Context(), h.Zone, h.Incarnation)).To(Succeed())
			}
		}
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate, 1))
	})

	It("rarely writes to the platform in a steady state", func() {
		w := startedWorld(3, 2, 2)
		before := w.store.Stats().Writes
		for range 60 {
			w.clock.Advance(time.Minute)
			w.converge()
		}
		Expect(w.store.Stats().Writes - before).To(BeNumerically("<=", 3*60))
	})

	It("gives a joining instance no share before the others have applied their reductions", func() {
		w := newWorld(1, 2)
		w.setFaultRate(0)
		w.nodes[1].crash()
		w.converge()
		w.accept(w.document(rate, burst))
		w.deliverDocument()
		w.converge()
		w.nodes[0].paused = true
		w.nodes[1].start()
		w.converge()
		w.clock.Advance(9 * time.Second)
		Expect(w.nodes[1].reserveAll(10)).To(BeZero())
		w.nodes[0].paused = false
		w.nodes[0].reserveAll(10)
		Expect(w.findViolation("a")).To(BeEmpty())
		w.converge()
		Expect(w.nodes[1].activeRate()).To(BeNumerically("~", rate/2, 1))
	})

	It("stops spending a loan no later than it expires at the lender", func() {
		w := startedWorld(1, 1)
		w.nodes[0].reserveAll(10)
		w.nodes[1].reserveAll(10)
		w.clock.Advance(20 * time.Second)
		w.responseDelay = func() time.Duration { return 1500 * time.Millisecond }
		_, err := w.nodes[0].reserve("a", burst/2+1000)
		Expect(err).NotTo(HaveOccurred())
		w.responseDelay = nil
		w.clock.Advance(time.Second)
		w.network.SetPartition(w.nodes[0].name, w.nodes[1].name, true)
		for range 20 {
			w.nodes[1].reserveAll(10)
			w.nodes[0].reserveAll(10)
			w.clock.Advance(time.Second)
		}
		Expect(w.findViolation("a")).To(BeEmpty())
	})

	It("lets a zone that returns without holders claim its share again", func() {
		w := startedWorld(1, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		w.nodes[1].escrow.Leave(ctx)
		w.converge()
		w.nodes[1].crash()
		w.accept(w.document(rate, burst), "zone-2")
		w.nodes[0].view = w.accepted
		w.converge()
		Expect(w.nodes[0].activeRate()).To(BeNumerically("~", rate, 1))
		staleView := w.nodes[1].view
		w.nodes[1].start()
		w.nodes[1].view = staleView
		w.converge()
		w.network.SetPartition(w.nodes[0].name, w.nodes[1].name, true)
		w.clock.Advance(time.Minute)
		w.nodes[0].reserveAll(10)
		w.nodes[1].reserveAll(10)
		Expect(w.findViolation("a")).To(BeEmpty())
	})

	It("drops a refund if the bucket has been full since the reservation", func() {
		w := startedWorld(1)
		long, err := w.nodes[0].reserve("a", 5000)
		Expect(err).NotTo(HaveOccurred())
		w.clock.Advance(time.Minute)
		w.nodes[0].reserveAll(10)
		long.settle(0)
		w.nodes[0].reserveAll(10)
		Expect(w.findViolation("a")).To(BeEmpty())
	})

	It("creates no tokens when accounts are removed and added again", func() {
		w := startedWorld(1, 1)
		for range 5 {
			w.nodes[0].reserveAll(50)
			w.accept(environment.Document{Zones: w.document(1, 1).Zones})
			w.deliverDocument()
			w.converge()
			w.accept(w.document(rate, burst))
			w.deliverDocument()
			w.converge()
		}
		Expect(w.findViolation("a")).To(BeEmpty())
	})
})

// minRetryAfter is the minimum of RetryAfter. The whole rate adds ten tokens in
// less time.
const minRetryAfter = 100 * time.Millisecond

func states(n *node) (out []quota.ShareState) {
	for _, h := range n.escrow.Shares() {
		out = append(out, h.State)
	}
	return out
}

// activeRate returns the rate that the instance holds and may spend, according
// to the newest division that it knows.
func (n *node) activeRate() (sum float64) {
	for _, h := range n.escrow.Shares() {
		if h.Holder == n.name && h.State == quota.ShareActive {
			sum += h.Share.Rate
		}
	}
	return sum
}
