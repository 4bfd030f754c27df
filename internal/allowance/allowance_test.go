package allowance_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/allowance"
)

var start = time.Unix(1000, 0)

// spender is one instance under a load that exceeds the account's rate.
type spender struct {
	quota *allowance.Quota
	run   string
	spent float64
}

// simulation runs instances that tell one another their spending after a delay.
type simulation struct {
	limit   allowance.AccountLimit
	bounds  allowance.QuotaBounds
	nodes   []*spender
	perCall float64
	// tellEvery is the number of steps between two words of an instance.
	tellEvery int
	// cut reports whether two instances hear each other at a time.
	cut func(a, b int, at time.Duration) bool
	// only, if set, is the number of instances that calls reach.
	only           int
	asked, refused int
	// spentAt holds the units spent in each step.
	spentAt []float64
}

const step = 10 * time.Millisecond

func newSimulation(n int, bounds allowance.QuotaBounds, perCall float64) *simulation {
	s := &simulation{limit: allowance.AccountLimit{Rate: 100_000, Burst: 100_000}, bounds: bounds, perCall: perCall, tellEvery: 10}
	for i := range n {
		s.nodes = append(s.nodes, &spender{quota: allowance.NewQuota(bounds, start.Add(-time.Minute)), run: fmt.Sprint("run", i)})
	}
	return s
}

// run plays the time, with demand calls a second at each instance.
func (s *simulation) run(length time.Duration, demand float64, seed int64) {
	random := rand.New(rand.NewSource(seed))
	// Instances hear one another before the first call.
	for _, node := range s.nodes {
		for _, peer := range s.nodes {
			peer.quota.ApplyPeerSpending(node.run, nil, start)
		}
	}
	lag := time.Duration(s.tellEvery) * step
	heardFor := allowance.SpendingTimeout(lag)
	heard := make([][]time.Duration, len(s.nodes))
	for i := range heard {
		heard[i] = make([]time.Duration, len(s.nodes))
	}
	for tick := 0; time.Duration(tick)*step < length; tick++ {
		at := time.Duration(tick) * step
		now := start.Add(at)
		s.spentAt = append(s.spentAt, 0)
		for i, node := range s.nodes {
			count := 1
			for j := range s.nodes {
				if j != i && at-heard[i][j] < heardFor {
					count++
				}
			}
			node.quota.SetShare(allowance.ReachableShare(count, len(s.nodes)), count, lag, now)
			if (s.only == 0 || i < s.only) && random.Float64() < demand*step.Seconds() {
				s.asked++
				s.refused++
				if _, ok := node.quota.Spend("a", s.limit, s.perCall, now); ok {
					s.refused--
					node.spent += s.perCall
					s.spentAt[tick] += s.perCall
				}
			}
			if tick%s.tellEvery != i%s.tellEvery {
				continue
			}
			told := node.quota.SpendingUpdate(tick%(50*s.tellEvery) == i%s.tellEvery)
			for j, peer := range s.nodes {
				if j == i || s.cut != nil && s.cut(i, j, at) {
					continue
				}
				peer.quota.Track("a", s.limit, now)
				peer.quota.ApplyPeerSpending(node.run, told, now)
				heard[j][i] = at
			}
		}
	}
}

// most returns the most units spent in any window.
func (s *simulation) most(window time.Duration) float64 {
	n := int(window / step)
	sum, most := 0.0, 0.0
	for i, v := range s.spentAt {
		sum += v
		if i >= n {
			sum -= s.spentAt[i-n]
		}
		most = max(most, sum)
	}
	return most
}

func (s *simulation) total() float64 {
	sum := 0.0
	for _, v := range s.spentAt {
		sum += v
	}
	return sum
}

var _ = Describe("Quota", func() {
	bounds := allowance.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000}
	allowed := (100_000*8+100_000)*1.1 + 110_000

	DescribeTable("keeps an account that sends six times its rate within the bound, and serves what is inside the rate",
		func(instances, tellEvery int, length time.Duration, demand float64, seed int64, served float64) {
			s := newSimulation(instances, bounds, 9_000)
			s.tellEvery = tellEvery
			s.run(length, demand, seed)
			Expect(s.most(8 * time.Second)).To(BeNumerically("<=", allowed))
			Expect(s.total()).To(BeNumerically(">", length.Seconds()*100_000*served))
		},
		Entry("over 7 instances", 7, 10, 24*time.Second, 10.0, int64(1), 0.95),
		Entry("over 80 instances whose words are rare", 80, 52, 20*time.Second, 6*100_000/9_000.0/80, int64(4), 0.8),
		Entry("over 300 instances, whose words are 1.8 s apart: a peer is not unheard between two of them", 300, 184, 20*time.Second, 6*100_000/9_000.0/300, int64(5), 0.6),
	)

	It("keeps it within the bound while instances are cut off, and serves on both sides", func() {
		s := newSimulation(7, bounds, 9_000)
		s.cut = func(a, b int, at time.Duration) bool {
			return at > 5*time.Second && at < 15*time.Second && (a < 2) != (b < 2)
		}
		s.run(25*time.Second, 10, 2)
		Expect(s.most(8 * time.Second)).To(BeNumerically("<=", allowed))
		Expect(s.total()).To(BeNumerically(">", 25*100_000*0.85))
	})

	It("keeps the bound for any number of instances, cuts and sizes of calls", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "instances")
			perCall := rapid.Float64Range(200, 12_000).Draw(t, "units a call")
			from := time.Duration(rapid.IntRange(0, 10).Draw(t, "cut from")) * time.Second
			side := rapid.IntRange(0, n).Draw(t, "side")
			s := newSimulation(n, bounds, perCall)
			s.cut = func(a, b int, at time.Duration) bool {
				return at > from && at < from+6*time.Second && (a < side) != (b < side)
			}
			s.run(18*time.Second, 6*100_000/perCall/float64(n), int64(rapid.IntRange(1, 1000).Draw(t, "seed")))
			if most := s.most(8 * time.Second); most > allowed {
				t.Fatalf("%.0f units in a window, %.0f allowed: %d instances, %.0f a call, cut from %s, side %d", most, allowed, n, perCall, from, side)
			}
		})
	})

	It("lets a fresh instance earn its burst", func() {
		q := allowance.NewQuota(allowance.QuotaBounds{}, start)
		limit := allowance.AccountLimit{Rate: 100, Burst: 1000}
		wait, ok := q.Spend("a", limit, 500, start)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 5*time.Second, time.Millisecond))
		_, ok = q.Spend("a", limit, 500, start.Add(6*time.Second))
		Expect(ok).To(BeTrue())
	})

	It("passes a call larger than the burst on a full bucket", func() {
		q := allowance.NewQuota(allowance.QuotaBounds{}, start.Add(-time.Hour))
		_, ok := q.Spend("a", allowance.AccountLimit{Rate: 100, Burst: 1000}, 5000, start)
		Expect(ok).To(BeTrue())
	})

	It("refuses nothing of an account inside its rate, also if all its calls reach one instance", func() {
		for _, spread := range []bool{true, false} {
			s := newSimulation(7, bounds, 9_000)
			if !spread {
				s.only = 1
			}
			calls := 7.0
			if spread {
				calls = 1
			}
			s.run(20*time.Second, calls*0.6*100_000/9_000/7*1, 3)
			Expect(s.refused).To(BeNumerically("<=", s.asked/100), "spread %t", spread)
		}
	})

	It("gives back what did not run", func() {
		q := allowance.NewQuota(allowance.QuotaBounds{}, start.Add(-time.Hour))
		limit := allowance.AccountLimit{Rate: 1, Burst: 100}
		_, ok := q.Spend("a", limit, 100, start)
		Expect(ok).To(BeTrue())
		q.Refund("a", 100)
		_, ok = q.Spend("a", limit, 100, start)
		Expect(ok).To(BeTrue())
	})

	It("knows no limit for a rate of zero", func() {
		q := allowance.NewQuota(allowance.QuotaBounds{}, start)
		_, ok := q.Spend("a", allowance.AccountLimit{}, 1e12, start)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("Retries", func() {
	It("keeps all instances together within ratio and slack", func() {
		const instances = 7
		bounds := allowance.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 54}
		calls, repeats := 0, 0
		for range instances {
			r := allowance.NewRetryBudget(bounds)
			for i := range 100 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				r.RecordCall("s", now)
				calls++
				if r.TryRetry("s", instances, now) {
					repeats++
				}
			}
		}
		Expect(float64(repeats)).To(BeNumerically("<=", 0.2*float64(calls)+54))
		Expect(repeats).To(BeNumerically(">", calls/10))
	})

	It("forgets repeats after the window", func() {
		r := allowance.NewRetryBudget(allowance.RetryBounds{Window: time.Second, Ratio: 0, Slack: 2})
		Expect(r.TryRetry("s", 1, start)).To(BeTrue())
		Expect(r.TryRetry("s", 1, start)).To(BeFalse())
		Expect(r.TryRetry("s", 1, start.Add(1100*time.Millisecond))).To(BeTrue())
	})
})

var _ = Describe("Quota of a fleet that starts anew at once", func() {
	It("is not spent by instances that do not know of one another yet: 68 of them would each take the whole rate", func() {
		limit := allowance.AccountLimit{Rate: 250_000, Burst: 250_000}
		spent := 0.0
		for range 68 {
			q := allowance.NewQuota(allowance.QuotaBounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000}, start)
			q.Suspend()
			q.Track("a", limit, start)
			for ms := range 1000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms == 250 {
					q.SetShare(1.0/68, 1, 520*time.Millisecond, now)
				}
				if _, ok := q.Spend("a", limit, 9_000, now); ok {
					spent += 9_000
				}
			}
		}
		Expect(spent).To(BeNumerically("<=", 1.1*250_000+110_000))
	})
})

var _ = Describe("Cold", func() {
	It("drops a target that is gone, but not calls that a target announced again still bears", func() {
		c := allowance.NewColdLimiter(allowance.ColdBounds{})
		now := time.Now()
		gone := func(string) bool { return false }
		Expect(c.Take("t", 1, now)).To(BeTrue())
		c.Prune(gone, now.Add(500*time.Millisecond))
		Expect(c.Take("t", 1, now.Add(600*time.Millisecond))).To(BeFalse(), "announced again within the window")
		c.Prune(gone, now.Add(2*time.Second))
		Expect(c.TimeToCapacity("t", 1, now.Add(600*time.Millisecond))).To(BeZero(), "no window is kept")
	})

	It("keeps the parts of all instances within the bound, whatever their number", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 320).Draw(t, "instances")
			rate := rapid.Float64Range(1, 20).Draw(t, "rate")
			var members []string
			for i := range n {
				members = append(members, fmt.Sprint("instance-", i))
			}
			c := allowance.NewColdLimiter(allowance.ColdBounds{Overshoot: 1.5, Slack: 5})
			sum := 0
			for _, self := range members {
				sum += c.CallsPerWindow("target", rate, self, members)
			}
			if float64(sum) > rate*1.5+5 || sum == 0 {
				t.Fatalf("parts of %d instances add up to %d of %.1f", n, sum, rate*1.5+5)
			}
		})
	})

	It("counts and checks in one step", func() {
		c := allowance.NewColdLimiter(allowance.ColdBounds{Overshoot: 1.5, Slack: 5})
		Expect(c.HasCapacity("t", 2, start)).To(BeTrue())
		Expect(c.Take("t", 2, start)).To(BeTrue())
		Expect(c.Take("t", 2, start)).To(BeTrue())
		Expect(c.HasCapacity("t", 2, start)).To(BeFalse())
		Expect(c.Take("t", 2, start)).To(BeFalse())
		Expect(c.TimeToCapacity("t", 2, start)).To(BeNumerically(">", time.Second))
		Expect(c.Take("t", 2, start.Add(1200*time.Millisecond))).To(BeTrue())
	})

	It("counts calls to warm targets, which may turn out to be cold", func() {
		c := allowance.NewColdLimiter(allowance.ColdBounds{})
		Expect(c.Take("t", -1, start)).To(BeTrue())
		Expect(c.Take("t", -1, start)).To(BeTrue())
		Expect(c.Take("t", 2, start)).To(BeFalse())
	})
})
