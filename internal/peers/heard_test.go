package peers

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var _ = Describe("The time for which a peer counts as reachable", func() {
	exchangeWith := func(instances int) *Exchange {
		e := NewExchange(mesh.NewNode(mesh.Peer{Name: "self"}, nil, telemetry.Discard()), "127.0.0.1:1", "run", telemetry.Discard())
		var list []mesh.PeerAddress
		for i := range instances - 1 {
			list = append(list, mesh.PeerAddress{Peer: mesh.Peer{Name: fmt.Sprint("i-", i)}, Address: "127.0.0.1:2"})
		}
		e.Add(list)
		return e
	}

	It("is constant up to 80 instances and exceeds two intervals beyond, because 300 instances would otherwise find no peer reachable", func() {
		Expect(exchangeWith(7).ReachableTimeout()).To(Equal(1300 * time.Millisecond))
		Expect(exchangeWith(80).ReachableTimeout()).To(Equal(1300 * time.Millisecond))
		large := exchangeWith(300)
		Expect(large.Interval()).To(BeNumerically(">", 1300*time.Millisecond))
		Expect(large.ReachableTimeout()).To(BeNumerically(">", 2*large.Interval()))
	})
})
