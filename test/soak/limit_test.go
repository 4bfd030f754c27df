package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// limitEvery is the mean time between two targets that begin to limit their request
	// rate, shortestLimit and longestLimit the times for which they do.
	limitEvery    = 2 * time.Second
	shortestLimit = 5 * time.Second
	longestLimit  = 9 * time.Second
	// limitWindow, limitOvershoot and limitSlack bound the requests to such a target, from
	// instances that it has told toldBefore or longer ago, and from contact after it first
	// named the limit.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	toldBefore     = 500 * time.Millisecond
)

// limitedRates are the request rates that targets name.
var limitedRates = []float64{0.2, 1, 1.4, 3, 8}

// limitation is a time in which a target names a limit of its request rate.
type limitation struct {
	target   *target
	rate     float64
	from, to time.Time
	// told holds when the first answer named the limit to each instance.
	told map[string]time.Time
}

// limitRate has the target name a limit, 0 none. It returns what ends that.
func (t *target) limitRate(rate float64) (end func()) {
	l := &limitation{target: t, rate: rate, from: time.Now(), told: make(map[string]time.Time)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != nil {
		return func() {}
	}
	t.limit = l
	return func() {
		t.mu.Lock()
		t.limit = nil
		t.mu.Unlock()
		l.to = time.Now()
		t.w.book.mu.Lock()
		defer t.w.book.mu.Unlock()
		t.w.book.limits = append(t.w.book.limits, l)
	}
}

// namedLimit returns the limit that the target names, nil if it names none.
func (t *target) namedLimit() *limitation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit
}

// tell notes that an answer which names the limit has gone to an instance.
func (l *limitation) tell(instance string) {
	if l == nil || instance == "" {
		return
	}
	l.target.mu.Lock()
	defer l.target.mu.Unlock()
	if _, told := l.told[instance]; !told {
		l.told[instance] = time.Now()
	}
}

// disruptLimits has targets limit their request rate, drawn apart from the other faults.
func (w *world) disruptLimits(until time.Time) {
	s := &series{w: w, random: rand.New(rand.NewPCG(w.seed, 3))}
	var ends sync.WaitGroup
	defer ends.Wait()
	for w.pause(min(time.Duration(s.random.ExpFloat64()*float64(limitEvery)), time.Until(until))) && time.Now().Before(until) {
		t, rate := s.aTarget(), limitedRates[s.random.IntN(len(limitedRates))]
		lasts := shortestLimit + time.Duration(s.random.Int64N(int64(longestLimit-shortestLimit)))
		w.note("target limits its request rate: %s, %.1f a second, %v", t.id, rate, lasts.Round(time.Millisecond))
		end := t.limitRate(rate)
		ends.Go(func() {
			w.pause(min(lasts, max(shortestLimit, time.Until(until))))
			end()
		})
	}
}

// judgeLimits checks the requests to targets that name a limit. A restart, pause or cut of an
// instance excuses that instance, answers that are not sound excuse those that they misled.
func (b *book) judgeLimits(w *world) {
	for _, l := range b.limits {
		if !l.target.sound(l.from, l.to) {
			continue
		}
		var counted []time.Time
		for _, a := range b.arrivals[l.target] {
			told, known := l.told[a.instance]
			if !known || a.at.Before(told.Add(toldBefore)) || a.at.Before(l.from.Add(contact)) || a.at.After(l.to) ||
				w.interrupted(a.instance, l.from, a.at) || w.disturbedInstance(a.instance, l.from.Add(-contact), a.at) {
				continue
			}
			counted = append(counted, a.at)
		}
		if n, allowed := mostWithin(counted, limitWindow), int(limitOvershoot*limitWindow.Seconds()*l.rate+limitSlack); n > allowed {
			b.breaks("LIMIT", "%s, which named %.1f a second, got %d requests in %v, %d allowed", l.target.id, l.rate, n, limitWindow, allowed)
		}
	}
}

// mostWithin returns the largest number of times within a span.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for _, begin := range times {
		n := 0
		for _, at := range times {
			if !at.Before(begin) && at.Sub(begin) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("The check of limits", func() {
	// Guards against a check that passes over what it is there for.
	DescribeTable("finds more requests than a limit allows from instances that know it",
		func(count int, told time.Duration, broken bool) {
			w, n, t := quietWorld()
			from := time.Now().Add(-10 * time.Second)
			w.book.limits = []*limitation{{target: t, rate: 1, from: from, to: time.Now(), told: map[string]time.Time{n.name: from.Add(told)}}}
			for i := range count {
				w.book.arrivals[t] = append(w.book.arrivals[t], arrival{instance: n.name, at: from.Add(4*time.Second + time.Duration(i)*100*time.Millisecond)})
			}
			matcher := BeEmpty()
			if broken {
				matcher = ContainElement(HavePrefix("LIMIT:"))
			}
			Expect(w.book.judge(w)).To(matcher)
		},
		Entry("too many", 12, time.Second, true),
		Entry("as many as allowed", 11, time.Second, false),
		Entry("too many, not told", 12, 9*time.Second, false),
	)
})
