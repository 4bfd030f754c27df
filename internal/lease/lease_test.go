package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/standin/steppedclock"
)

const name = "zone-a.0"

// takeoverBound bounds the time from the failure of an instance to the takeover
// of its leases. The documented bound for its targets is longer by the longest
// delay of an order.
const takeoverBound = 5 * time.Second

var _ = Describe("Leases", func() {
	var clock *steppedclock.Clock
	var store *platformstandin.Store
	ctx := context.Background()

	manager := func(holder string, rank *int, leases ...string) *lease.Manager {
		if len(leases) == 0 {
			leases = []string{name}
		}
		return lease.NewManager(lease.Config{
			Prefix: "leases/test/", Holder: holder, Session: holder + "-1", Objects: store, Clock: clock,
			Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Metrics: prometheus.NewRegistry(), Parallel: 1,
			Candidates: func() []lease.Candidacy {
				var out []lease.Candidacy
				for _, l := range leases {
					out = append(out, lease.Candidacy{Name: l, Rank: *rank})
				}
				return out
			},
		})
	}
	holds := func(m *lease.Manager) bool {
		_, err := m.Held(name, 0)
		return err == nil
	}
	run := func(d time.Duration, managers ...*lease.Manager) {
		for range d / (50 * time.Millisecond) {
			clock.Advance(50 * time.Millisecond)
			held := 0
			for _, m := range managers {
				m.Tick(ctx)
				if holds(m) {
					held++
				}
			}
			Expect(held).To(BeNumerically("<=", 1))
		}
	}
	rank := func(n int) *int { return &n }

	BeforeEach(func() {
		clock = steppedclock.New()
		store = platformstandin.NewStore(clock, 1)
	})

	It("have one holder, which renews them", func() {
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(20*time.Second, a, b)
		Expect(holds(a)).To(BeTrue())
		Expect(holds(b)).To(BeFalse())
	})

	It("pass to another candidate with a higher token when the holder fails", func() {
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(3*time.Second, a, b)
		before, err := a.Held(name, 0)
		Expect(err).NotTo(HaveOccurred())
		run(takeoverBound, b)
		after, err := b.Held(name, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Token).To(BeNumerically(">", before.Token))
	})

	It("are not held by a holder that continues after a pause", func() {
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(3*time.Second, a, b)
		run(takeoverBound, b)
		Expect(holds(a)).To(BeFalse())
		a.Tick(ctx)
		Expect(holds(a)).To(BeFalse())
		Expect(holds(b)).To(BeTrue())
	})

	It("expire at the holder during an outage before another candidate acquires them", func() {
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(3*time.Second, a, b)
		store.SetFaults(platformstandin.Faults{Outage: true})
		run(lease.Duration, a, b)
		Expect(holds(a)).To(BeFalse())
		store.SetFaults(platformstandin.Faults{})
		run(takeoverBound, a, b)
		Expect(holds(a) || holds(b)).To(BeTrue())
	})

	It("have at most one holder under lost responses and stale reads", func() {
		store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.3, StaleReads: true})
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(30*time.Second, a, b)
		store.SetFaults(platformstandin.Faults{LoseAnswerShare: 0.3})
		run(takeoverBound, a, b)
		Expect(holds(a) || holds(b)).To(BeTrue())
		run(takeoverBound, b)
		Expect(holds(b)).To(BeTrue())
	})

	It("pass without waiting for expiry after a release", func() {
		a, b := manager("a", rank(0)), manager("b", rank(1))
		run(3*time.Second, a, b)
		a.ReleaseAll(ctx)
		run(time.Second, b)
		Expect(holds(b)).To(BeTrue())
	})

	It("pass to the candidate that becomes the preferred one, with at most one holder at any time", func() {
		rankOfA := rank(0)
		a, b := manager("a", rankOfA), manager("b", rank(0))
		run(3*time.Second, a)
		*rankOfA = 1
		run(time.Minute, a, b)
		Expect(holds(b)).To(BeTrue())
	})

	It("need fewer than 50 platform writes per second for the current 13 groups and 7 instances", func() {
		var managers []*lease.Manager
		for i := range 7 {
			var own []string
			for n := i; n < 13; n += 7 {
				own = append(own, fmt.Sprintf("group.%d", n))
			}
			managers = append(managers, manager(fmt.Sprintf("i%d", i), rank(0), own...))
		}
		for range 4 * 10 {
			clock.Advance(250 * time.Millisecond)
			for _, m := range managers {
				m.Tick(ctx)
			}
		}
		stats := store.Stats()
		Expect(stats.Writes).To(BeNumerically("<", 50*10))
		Expect(stats.Writes).To(BeNumerically(">", 0))
		GinkgoWriter.Printf("%d writes and %d reads in 10 s for 13 leases of 7 instances\n", stats.Writes, stats.Reads)
	})
})
