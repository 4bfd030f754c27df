package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/peers"
)

var _ = Describe("Watching the store for all instances", func() {
	const up, settleTime = time.Minute, 1300 * time.Millisecond
	// fleet returns the other instances of a fleet of 27. The store answers them unless
	// lost is set.
	fleet := func(self int, lost bool) []peers.Peer {
		var out []peers.Peer
		for i := range 27 {
			if i != self {
				out = append(out, peers.Peer{Name: fmt.Sprintf("i-%02d", i), StoreLost: lost})
			}
		}
		return out
	}

	It("is the role of one instance, and of the next one if the store does not answer the first", func() {
		Expect(watchRoleOf("i-00", fleet(0, false)).mayRelay(up, up, settleTime)).To(BeTrue())
		Expect(watchRoleOf("i-01", fleet(1, false)).watches).To(BeFalse())
		others := fleet(1, false)
		others[0].StoreLost = true
		Expect(watchRoleOf("i-01", others).mayRelay(up, up, settleTime)).To(BeTrue())
	})

	It("has one relaying instance when the store answers a large fleet again, because 27 relaying all entries would saturate small links for seconds", func() {
		relaying := 0
		for self := range 27 {
			r := watchRoleOf(fmt.Sprintf("i-%02d", self), fleet(self, true))
			Expect(r.watches).To(BeTrue(), "each reads the store itself until it knows that the store answers another instance")
			if r.mayRelay(up, 100*time.Millisecond, settleTime) {
				relaying++
			}
		}
		Expect(relaying).To(Equal(1))
	})

	It("has no relaying instance while the instances of a starting fleet do not know one another", func() {
		Expect(watchRoleOf("i-05", nil).mayRelay(200*time.Millisecond, 200*time.Millisecond, settleTime)).To(BeFalse())
		Expect(watchRoleOf("i-05", nil).mayRelay(up, up, settleTime)).To(BeTrue())
	})

	// storeReads counts the calls to the store during a burst of 40 versions. Each
	// version takes effect by an update after updateDelay, or never if that is 0.
	storeReads := func(updateDelay time.Duration) (count int) {
		v, now, start := &peerVersions{}, time.Now(), time.Now()
		for i := range int64(40) {
			now = now.Add(50 * time.Millisecond)
			v.observe(i+2, "peer", now)
			inForce := int64(1)
			if updateDelay > 0 {
				inForce += int64(now.Sub(start)-updateDelay) / int64(50*time.Millisecond)
			}
			if _, _, overdue := v.overdue(max(1, inForce), now); overdue {
				count++
			}
		}
		return count
	}

	It("reads no version of a burst while its updates arrive soon", func() {
		Expect(storeReads(100 * time.Millisecond)).To(BeZero())
	})

	It("reads newer versions that peers report while no update of them arrives", func() {
		Expect(storeReads(0)).To(BeNumerically("~", 6, 1), "once in each catchUpDelay")
	})
})
