package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A target that limits its request rate", func() {
	// Guards against instances that don't read the limit, or keep it each by itself.
	It("gets no more than that from all instances together, and the sound ones serve the rest", func() {
		f := newRateFleet(3, 3)
		var served tally
		defer f.load(120, "/batch/x", &served)()
		f.targets[0].name("1.1")
		time.Sleep(12 * time.Second)
		Expect(f.targets[0].most(time.Time{})).To(BeNumerically("<=", allowed(1.1)))
		Expect(served.share()).To(BeNumerically(">=", 0.98), served.String())
	})

	// Guards against streams, and their continuations at other targets, beyond the limit.
	It("gets no more streams than that", func() {
		f := newRateFleet(4, 5)
		var served tally
		f.targets[1].breaks.Store(true)
		defer f.load(150, "/stream/x", &served)()
		f.targets[0].name("5")
		time.Sleep(10 * time.Second)
		Expect(f.targets[0].most(time.Time{})).To(BeNumerically("<=", allowed(5)))
	})

	// Guards against rejected calls that are sent once more beyond the limit.
	It("gets no more than that if it rejects calls and all targets limit their rate", func() {
		f := newRateFleet(3, 3)
		var served tally
		defer f.load(30, "/batch/x", &served)()
		for _, t := range f.targets {
			t.rejects.Store(true)
			t.name("1")
		}
		time.Sleep(10 * time.Second)
		for _, t := range f.targets {
			Expect(t.most(time.Time{})).To(BeNumerically("<=", allowed(1)), t.id)
		}
	})
})
