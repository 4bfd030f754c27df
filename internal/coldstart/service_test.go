package coldstart_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// settle is the longest time until a new grantor lends: leases of an earlier
// one and the lag of reports.
const settle = 8 * time.Second

var _ = Describe("Cold start over several instances", func() {
	var w *world

	BeforeEach(func() { w = newWorld(300*time.Millisecond, "a", "a", "b", "b", "b", "c", "c") })

	turnCold := func() { w.engine.cold = true; w.note() }
	endAll := func() {
		for _, n := range w.nodes {
			for range len(n.calls) {
				w.end(n)
			}
		}
	}

	It("lends the cold bound and no more to seven instances", func() {
		w.beginCold()
		w.run(settle)
		w.fill(time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
		w.fill(20 * time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
	})

	It("starts nothing over the bound once a warm target turned cold without warning", func() {
		w.run(settle)
		for _, n := range w.nodes {
			Expect(w.start(n)).To(BeTrue())
		}
		turnCold()
		w.run(time.Second)
		Expect(w.startAll()).To(BeZero())
		endAll()
		w.run(time.Second)
		w.fill(time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
	})

	It("stops at once at the instance that suspects and soon at all others", func() {
		w.run(settle)
		suspecting := w.nodes[4]
		suspecting.service.Suspect(w.target)
		Expect(w.start(suspecting)).To(BeFalse())
		w.step(50 * time.Millisecond)
		for _, n := range w.nodes {
			Expect(n.service.IsWarm(w.target)).To(BeFalse(), n.name)
		}
	})

	It("ramps by completions and not by time", func() {
		w.beginCold()
		w.run(settle)
		w.fill(time.Second)
		w.engine.cold = false
		w.fill(30 * time.Second)
		Expect(len(w.engine.calls)).To(Equal(coldBound))
		endAll()
		w.run(time.Second)
		w.fill(time.Second)
		Expect(len(w.engine.calls)).To(BeNumerically("<=", 2*coldBound))
		for range 60 {
			endAll()
			w.run(400 * time.Millisecond)
			w.startAll()
		}
		for _, n := range w.nodes {
			Expect(n.service.IsWarm(w.target)).To(BeTrue(), n.name)
		}
	})

	It("counts a target without fresh reports as cold", func() {
		w.run(settle)
		w.frozen = true
		w.run(time.Second)
		w.fill(time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
	})

	It("keeps the bound when the grantor dies and its calls go on", func() {
		w.beginCold()
		w.run(settle)
		grantor := w.nodes[0]
		for range 20 {
			if w.start(grantor) {
				break
			}
			w.step(200 * time.Millisecond)
		}
		Expect(grantor.calls).NotTo(BeEmpty())
		w.crash(grantor)
		for range 150 {
			w.step(200 * time.Millisecond)
			w.startAll()
			Expect(len(w.engine.calls)).To(BeNumerically("<=", coldBound))
		}
		w.reap(grantor)
		endAll()
		w.run(2 * time.Second)
		w.fill(time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
	})

	It("goes on with a ramp under the next grantor", func() {
		w.beginCold()
		w.run(settle)
		w.engine.cold = false
		w.run(2 * time.Second)
		w.crash(w.nodes[0])
		w.run(settle)
		w.fill(2 * time.Second)
		Expect(len(w.engine.calls)).To(Equal(coldBound))
	})

	It("counts the call of a dead holder until reports show its end", func() {
		w.beginCold()
		w.run(settle)
		holder := w.nodes[6]
		for range 50 {
			w.start(holder)
			w.step(100 * time.Millisecond)
		}
		Expect(holder.calls).NotTo(BeEmpty())
		w.crash(holder)
		w.fill(20 * time.Second)
		Expect(len(w.engine.calls)).To(Equal(coldBound))
		w.reap(holder)
		endAll()
		w.run(2 * time.Second)
		w.fill(time.Second)
		Expect(len(w.engine.calls)).To(Equal(coldBound))
	})

	It("lets a cut-off zone hold the bounds of its own targets and others none", func() {
		w.beginCold()
		w.run(settle)
		w.sever("a", true)
		w.run(settle)
		for range 10 {
			w.startAll()
			w.step(200 * time.Millisecond)
		}
		Expect(w.engine.calls).To(HaveLen(coldBound))
		for _, owner := range w.engine.calls {
			Expect([]string{"i1", "i2"}).To(ContainElement(owner))
		}
	})

	It("passes permits on to instances that wait", func() {
		w.beginCold()
		w.run(settle)
		served := make(map[string]bool)
		for range 80 {
			w.startAll()
			for _, owner := range w.engine.calls {
				served[owner] = true
			}
			endAll()
			w.step(250 * time.Millisecond)
		}
		Expect(served).To(HaveLen(len(w.nodes)))
	})

	It("starts nothing on a permit that ran out while the holder was paused", func() {
		w.beginCold()
		w.run(settle)
		holder := w.nodes[len(w.nodes)-1]
		w.startAll()
		endAll()
		w.pause(holder, true)
		w.run(3 * time.Second)
		w.fill(time.Second)
		Expect(w.engine.calls).To(HaveLen(coldBound))
		w.pause(holder, false)
		Expect(w.start(holder)).To(BeFalse())
	})
})
