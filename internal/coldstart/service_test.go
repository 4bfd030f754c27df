package coldstart_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxGrantDelay is longer than a new grantor waits before it grants permits: for
// leases of an earlier grantor to expire and for the lag of reports.
const maxGrantDelay = 8 * time.Second

var _ = Describe("Cold start over several instances", func() {
	var sim *simulation

	BeforeEach(func() { sim = newSimulation(300*time.Millisecond, "a", "a", "b", "b", "b", "c", "c") })

	turnCold := func() { sim.engine.cold = true; sim.record() }
	endAll := func() {
		for _, n := range sim.nodes {
			for range len(n.calls) {
				sim.endCall(n)
			}
		}
	}

	It("grants the cold bound and no more to seven instances", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		sim.startAllFor(time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
		sim.startAllFor(20 * time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
	})

	It("starts no calls above the bound after a warm target turned cold without warning", func() {
		sim.run(maxGrantDelay)
		for _, n := range sim.nodes {
			Expect(sim.startCall(n)).To(BeTrue())
		}
		turnCold()
		sim.run(time.Second)
		Expect(sim.startAll()).To(BeZero())
		endAll()
		sim.run(time.Second)
		sim.startAllFor(time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
	})

	It("stops treating a target as warm at once on the suspecting instance and after one step on all others", func() {
		sim.run(maxGrantDelay)
		suspecting := sim.nodes[4]
		suspecting.service.Suspect(sim.target)
		Expect(sim.startCall(suspecting)).To(BeFalse())
		sim.step(50 * time.Millisecond)
		for _, n := range sim.nodes {
			Expect(n.service.IsWarm(sim.target)).To(BeFalse(), n.name)
		}
	})

	It("ramps up with completed calls, not with time", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		sim.startAllFor(time.Second)
		sim.engine.cold = false
		sim.startAllFor(30 * time.Second)
		Expect(len(sim.engine.calls)).To(Equal(coldBound))
		endAll()
		sim.run(time.Second)
		sim.startAllFor(time.Second)
		Expect(len(sim.engine.calls)).To(BeNumerically("<=", 2*coldBound))
		for range 60 {
			endAll()
			sim.run(400 * time.Millisecond)
			sim.startAll()
		}
		for _, n := range sim.nodes {
			Expect(n.service.IsWarm(sim.target)).To(BeTrue(), n.name)
		}
	})

	It("counts a target without fresh reports as cold", func() {
		sim.run(maxGrantDelay)
		sim.reportsStale = true
		sim.run(time.Second)
		sim.startAllFor(time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
	})

	It("keeps the bound when the grantor crashes while its calls go on", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		grantor := sim.nodes[0]
		for range 20 {
			if sim.startCall(grantor) {
				break
			}
			sim.step(200 * time.Millisecond)
		}
		Expect(grantor.calls).NotTo(BeEmpty())
		sim.crash(grantor)
		for range 150 {
			sim.step(200 * time.Millisecond)
			sim.startAll()
			Expect(len(sim.engine.calls)).To(BeNumerically("<=", coldBound))
		}
		sim.reap(grantor)
		endAll()
		sim.run(2 * time.Second)
		sim.startAllFor(time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
	})

	It("continues a ramp under the next grantor", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		sim.engine.cold = false
		sim.run(2 * time.Second)
		sim.crash(sim.nodes[0])
		sim.run(maxGrantDelay)
		sim.startAllFor(2 * time.Second)
		Expect(len(sim.engine.calls)).To(Equal(coldBound))
	})

	It("counts the calls of a crashed holder until reports show their end", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		holder := sim.nodes[6]
		for range 50 {
			sim.startCall(holder)
			sim.step(100 * time.Millisecond)
		}
		Expect(holder.calls).NotTo(BeEmpty())
		sim.crash(holder)
		sim.startAllFor(20 * time.Second)
		Expect(len(sim.engine.calls)).To(Equal(coldBound))
		sim.reap(holder)
		endAll()
		sim.run(2 * time.Second)
		sim.startAllFor(time.Second)
		Expect(len(sim.engine.calls)).To(Equal(coldBound))
	})

	It("lets only the instances of a cut-off zone start calls on its targets, within their bound", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		sim.cutZone("a", true)
		sim.run(maxGrantDelay)
		for range 10 {
			sim.startAll()
			sim.step(200 * time.Millisecond)
		}
		Expect(sim.engine.calls).To(HaveLen(coldBound))
		for _, owner := range sim.engine.calls {
			Expect([]string{"i1", "i2"}).To(ContainElement(owner))
		}
	})

	It("passes permits on to waiting instances", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		served := make(map[string]bool)
		for range 80 {
			sim.startAll()
			for _, owner := range sim.engine.calls {
				served[owner] = true
			}
			endAll()
			sim.step(250 * time.Millisecond)
		}
		Expect(served).To(HaveLen(len(sim.nodes)))
	})

	It("starts no call on a permit that expired while the holder was paused", func() {
		sim.beginCold()
		sim.run(maxGrantDelay)
		holder := sim.nodes[len(sim.nodes)-1]
		sim.startAll()
		endAll()
		sim.pause(holder, true)
		sim.run(3 * time.Second)
		sim.startAllFor(time.Second)
		Expect(sim.engine.calls).To(HaveLen(coldBound))
		sim.pause(holder, false)
		Expect(sim.startCall(holder)).To(BeFalse())
	})
})
