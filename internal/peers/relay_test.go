package peers

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// zoneOf returns connected peers of a zone.
func zoneOf(zone string, count int) []mesh.Peer {
	var out []mesh.Peer
	for i := range count {
		out = append(out, mesh.Peer{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
	}
	return out
}

var _ = Describe("Recipients of a status", func() {
	self := mesh.Peer{Name: "self", Zone: "a"}

	It("are its own zone and one relay in each large zone, so that traffic between zones grows with the zones and not with the instances", func() {
		connected := append(append(zoneOf("a", 26), zoneOf("b", 27)...), zoneOf("c", 26)...)
		own, relays := 0, make(map[string]int)
		for _, r := range recipients(connected, self, rotatingRelay(self, 1)) {
			if r.relays {
				relays[r.name[:1]]++
				continue
			}
			Expect(r.name).To(HavePrefix("a-"))
			own++
		}
		Expect(own).To(Equal(26))
		Expect(relays).To(Equal(map[string]int{"b": 1, "c": 1}))
	})

	It("take turns as relays, so that an unresponsive relay loses one status in as many as its zone has instances", func() {
		connected := zoneOf("b", 20)
		turns := make(map[string]int)
		for seq := range uint64(40) {
			for _, r := range recipients(connected, self, rotatingRelay(self, seq)) {
				turns[r.name]++
			}
		}
		Expect(turns).To(HaveLen(20))
		for _, n := range turns {
			Expect(n).To(Equal(2))
		}
	})

	It("are all instances of a small zone, where the loss of a relay would lose too many statuses", func() {
		for _, r := range recipients(zoneOf("b", relayMinInstances-1), self, rotatingRelay(self, 1)) {
			Expect(r.relays).To(BeFalse())
		}
	})

	It("are two reachable relays for messages that are not sent again", func() {
		reachable := []Peer{{Name: "b-3"}, {Name: "b-4"}, {Name: "b-5"}}
		var relays []string
		for _, r := range recipients(zoneOf("b", 20), self, firstReachable(reachable)) {
			Expect(r.relays).To(BeTrue())
			relays = append(relays, r.name)
		}
		Expect(relays).To(Equal([]string{"b-3", "b-4"}))
		Expect(recipients(zoneOf("b", 20), self, firstReachable(nil))).To(HaveLen(broadcastRelays))
	})
})
