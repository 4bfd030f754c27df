package lease

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// The exploration visits all interleavings of two candidates, a store that goes back to
// an older copy of itself, lost and late answers, and pauses. A step of the clock is
// one second; a candidate that takes no step is paused.
const (
	exploredDuration = 2 * time.Second
	exploredRenewal  = time.Second
	// exploredTime, exploredRewinds and exploredCopies bound the exploration.
	exploredTime    = 24
	exploredRewinds = 3
	exploredCopies  = 3
	// exploredDepth is the number of steps from the start; LEASE_DEPTH replaces it.
	exploredDepth = 10
	// walks is the number of random walks beyond that depth, and walkedDepth their length.
	walks       = 2000
	walkedDepth = 100
)

var exploredStart = time.Unix(1_000_000, 0)

// storedLease is the record in the store; Version.Revision is 0 if there is none.
type storedLease struct {
	record  Record
	version platform.Version
}

// storeImage is the state of the store, or a copy of it.
type storeImage struct {
	lease    storedLease
	revision uint64
}

// sentWrite is a write that is on its way to the store, or whose answer is on its way
// back.
type sentWrite struct {
	open     bool
	action   Action
	record   Record
	expected platform.Version
	sentAt   time.Time
	// done is set once the store has carried it out or refused it; taken and version
	// are the answer.
	done, taken bool
	version     platform.Version
}

// candidate is one instance.
type candidate struct {
	state State
	write sentWrite
	// late is a write whose answer the candidate no longer waits for, and which the
	// store may still carry out.
	late sentWrite
}

// exploredWorld is one state. It is comparable; times are relative to exploredStart,
// which is always now.
type exploredWorld struct {
	candidates [2]candidate
	store      storeImage
	era        platform.Era
	copied     storeImage
	hasCopy    bool
	seconds    int
	copies     int
	rewinds    int
	// highest is the highest token with which an order may have been sent, and lastHolder
	// who held it.
	highest    uint64
	lastHolder int
}

func newExploredWorld() exploredWorld {
	w := exploredWorld{lastHolder: -1, store: storeImage{revision: 3}}
	for i := range w.candidates {
		s := NewTimedState(fmt.Sprint("i", i), fmt.Sprint("s", i), Timing{Duration: exploredDuration, RenewInterval: exploredRenewal, HolderResumes: true})
		w.candidates[i].state = *s
	}
	return w
}

// settle records which candidate holds the lease, and returns what is wrong, if
// anything.
func (w *exploredWorld) settle() string {
	holder := -1
	for i := range w.candidates {
		if !w.candidates[i].state.Held(exploredStart) {
			continue
		}
		if holder >= 0 {
			return "two candidates hold the lease"
		}
		holder = i
	}
	if holder < 0 {
		return ""
	}
	token := w.candidates[holder].state.Token()
	if token < w.highest {
		return fmt.Sprintf("token %d after %d", token, w.highest)
	}
	if token == w.highest && w.lastHolder >= 0 && w.lastHolder != holder {
		return fmt.Sprintf("token %d of two holders", token)
	}
	w.highest, w.lastHolder = token, holder
	return ""
}

// age moves all times of the world into the past by a second.
func (w *exploredWorld) age() {
	for i := range w.candidates {
		c := &w.candidates[i]
		c.state.shift(-time.Second)
		c.write.sentAt = c.write.sentAt.Add(-time.Second)
		if !c.write.open {
			c.write.sentAt = time.Time{}
		}
		c.late.sentAt = time.Time{}
	}
	w.seconds++
}

// shift moves all times by d.
func (s *State) shift(d time.Duration) {
	for _, t := range []*time.Time{&s.observedAt, &s.sentAt, &s.outrankedSince, &s.freeSince, &s.eraKnownAt, &s.heldUntil} {
		if !t.IsZero() {
			*t = t.Add(d)
		}
		// Times that no longer matter are made equal.
		if !t.IsZero() && t.Before(exploredStart.Add(-20*time.Second)) {
			*t = exploredStart.Add(-20 * time.Second)
		}
	}
}

// carryOut lets the store carry out a write.
func (w *exploredWorld) carryOut(s *sentWrite) {
	s.done = true
	if s.expected.Revision() != w.store.lease.version.Revision() {
		return
	}
	w.store.revision++
	s.taken, s.version = true, platform.NewVersion(w.era, w.store.revision)
	w.store.lease = storedLease{s.record, s.version}
}

// next calls visit with each world that follows in one step.
func (w *exploredWorld) next(visit func(step string, next exploredWorld)) {
	if w.seconds < exploredTime {
		n := *w
		n.age()
		visit("second", n)
	}
	if w.copies < exploredCopies && (!w.hasCopy || w.copied.revision != w.store.revision) {
		n := *w
		n.copied, n.hasCopy = n.store, true
		n.copies++
		visit("copy", n)
	}
	if w.hasCopy && w.rewinds < exploredRewinds && w.copied.revision != w.store.revision {
		n := *w
		n.store = n.copied
		n.era++
		n.rewinds++
		n.store.lease.version = platform.NewVersion(n.era, n.store.lease.version.Revision())
		visit("rewind", n)
	}
	for i := range w.candidates {
		w.nextOf(i, visit)
	}
}

// nextOf visits the steps of one candidate and of its writes.
func (w *exploredWorld) nextOf(i int, visit func(step string, next exploredWorld)) {
	c := &w.candidates[i]
	step := func(name string, change func(n *exploredWorld, c *candidate)) {
		n := *w
		change(&n, &n.candidates[i])
		visit(fmt.Sprint(name, " ", i), n)
	}
	if !c.write.open {
		step("read", func(n *exploredWorld, c *candidate) {
			version := n.store.lease.version
			if version.Revision() == 0 {
				version = platform.NewVersion(n.era, 0)
			}
			c.state.Observe(n.store.lease.record, uint64(version), exploredStart)
		})
		if action := c.state.Next(exploredStart, 0); action == Acquire || action == Renew {
			step("send", func(_ *exploredWorld, c *candidate) {
				record, expected := c.state.Proposed(action)
				c.write = sentWrite{open: true, action: action, record: record, expected: platform.Version(expected), sentAt: exploredStart}
			})
		}
	}
	if c.write.open && !c.write.done {
		step("carry out", func(n *exploredWorld, c *candidate) { n.carryOut(&c.write) })
	}
	if c.write.open {
		step("give up", func(_ *exploredWorld, c *candidate) {
			if !c.write.done {
				c.late = c.write
			}
			c.write = sentWrite{}
		})
	}
	if c.late.open && !c.late.done {
		step("carry out late", func(n *exploredWorld, c *candidate) {
			n.carryOut(&c.late)
			c.late = sentWrite{}
		})
	}
	if c.write.open && c.write.done {
		step("receive", func(_ *exploredWorld, c *candidate) {
			if s := c.write; s.taken {
				c.state.ApplyWrite(s.action, s.record, uint64(s.version), s.sentAt, exploredStart)
			}
			c.write = sentWrite{}
		})
	}
	if c.state.era != w.era {
		step("learn the era", func(n *exploredWorld, c *candidate) { c.state.EnterEra(n.era, exploredStart) })
	}
}

// explore visits all worlds within depth steps and returns their number, and the steps
// to the first world in which something is wrong.
func explore(depth int) (worlds int, wrong string) {
	type from struct {
		world uint64
		step  string
	}
	seed := maphash.MakeSeed()
	start := newExploredWorld()
	before := map[uint64]from{maphash.Comparable(seed, start): {}}
	frontier := []exploredWorld{start}
	for range depth {
		var further []exploredWorld
		for _, w := range frontier {
			parent := maphash.Comparable(seed, w)
			w.next(func(step string, n exploredWorld) {
				problem := n.settle()
				id := maphash.Comparable(seed, n)
				if _, known := before[id]; known || wrong != "" {
					return
				}
				before[id] = from{parent, step}
				if problem == "" {
					further = append(further, n)
					return
				}
				wrong = problem
				for at := before[id]; at.step != ""; at = before[at.world] {
					wrong = at.step + "\n" + wrong
				}
			})
			if wrong != "" {
				return len(before), wrong
			}
		}
		frontier = further
	}
	return len(before), ""
}

var _ = Describe("All interleavings of two candidates and a store that goes back to older copies", func() {
	It("never let both hold the lease or a token be used twice", func() {
		depth := exploredDepth
		if n, err := strconv.Atoi(os.Getenv("LEASE_DEPTH")); err == nil {
			depth = n
		}
		worlds, wrong := explore(depth)
		GinkgoWriter.Printf("%d worlds within %d steps\n", worlds, depth)
		Expect(wrong).To(BeEmpty())
	})

	It("never do so in long random walks either", func() {
		for seed := range uint64(walks) {
			random := rand.New(rand.NewPCG(seed, 0))
			w := newExploredWorld()
			var steps []string
			for range walkedDepth {
				var names []string
				var worlds []exploredWorld
				w.next(func(step string, n exploredWorld) {
					names, worlds = append(names, step), append(worlds, n)
				})
				if len(worlds) == 0 {
					break
				}
				i := random.IntN(len(worlds))
				w, steps = worlds[i], append(steps, names[i])
				Expect(w.settle()).To(BeEmpty(), "seed %d: %v", seed, steps)
			}
		}
	})
})
