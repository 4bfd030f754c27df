package peers

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var _ = Describe("The time for which a peer counts as heard", func() {
	of := func(instances int) *Exchange {
		e := NewExchange(mesh.NewNode(mesh.Peer{Name: "self"}, nil, telemetry.Discard()), "127.0.0.1:1", "run", telemetry.Discard())
		var list []mesh.PeerAddress
		for i := range instances - 1 {
			list = append(list, mesh.PeerAddress{Peer: mesh.Peer{Name: fmt.Sprint("i-", i)}, Address: "127.0.0.1:2"})
		}
		e.Add(list)
		return e
	}

	It("is the same up to 80 instances, and more than two statuses beyond: 300 of them would hear of no one", func() {
		Expect(of(7).ReachableTimeout()).To(Equal(1300 * time.Millisecond))
		Expect(of(80).ReachableTimeout()).To(Equal(1300 * time.Millisecond))
		large := of(300)
		Expect(large.Interval()).To(BeNumerically(">", 1300*time.Millisecond))
		Expect(large.ReachableTimeout()).To(BeNumerically(">", 2*large.Interval()))
	})
})
