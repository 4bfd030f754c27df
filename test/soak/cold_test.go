package soak_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
)

var _ = Describe("Instances before an engine that begins anew while the store is down", func() {
	// Guards against calls at the full rate to an engine that nobody could announce as cold,
	// but that the orderer had given a model again.
	It("send it few calls while it is cold", func() {
		w := newWorld(1, defaultInstances)
		defer w.end()
		calling, stop := context.WithCancel(context.Background())
		defer stop()
		var callers sync.WaitGroup
		for _, n := range w.instances {
			for range callersPerInstance {
				callers.Go(func() { w.callOn(n, calling) })
			}
		}
		w.pause(2 * time.Second)
		w.disturb(nil, 3*contact)
		w.store.SetFaults(platformstandin.Faults{Outage: true})
		for _, t := range w.allTargets() {
			if t.engine != nil && w.pick(2) == 0 {
				go t.beginAnew(minAway)
			}
		}
		w.pause(minAway + 2*coldStart)
		stop()
		callers.Wait()
		w.store.SetFaults(platformstandin.Faults{})
		Expect(w.book.judge(w)).To(BeEmpty())
	})
})
