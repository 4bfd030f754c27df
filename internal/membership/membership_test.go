package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/mesh/meshtest"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Membership Suite")
}

func fleetOf(zones, perZone int) []mesh.PeerAddress {
	var out []mesh.PeerAddress
	for z := range zones {
		for n := range perZone {
			out = append(out, mesh.PeerAddress{Peer: mesh.Peer{Name: fmt.Sprintf("i-%d-%d", z, n), Zone: fmt.Sprintf("zone-%d", z)}})
		}
	}
	return out
}

var _ = Describe("ChoosePeers", func() {
	It("connects all instances of a fleet of three zones with three instances each", func() {
		fleet := fleetOf(3, 3)
		for _, p := range fleet {
			Expect(membership.ChoosePeers(p.Peer, fleet, membership.RelaysPerZone)).To(HaveLen(len(fleet) - 1))
		}
	})

	It("connects 17 zones of 19 instances through relays, each connection chosen by both of its instances", func() {
		fleet := fleetOf(17, 19)
		links := make(map[string]map[string]bool)
		total := 0
		for _, p := range fleet {
			links[p.Name] = make(map[string]bool)
			for _, q := range membership.ChoosePeers(p.Peer, fleet, membership.RelaysPerZone) {
				links[p.Name][q.Name] = true
				total++
			}
		}
		for from, peers := range links {
			for to := range peers {
				Expect(links[to][from]).To(BeTrue())
			}
		}
		// Each instance connects to the 18 others of its zone, and each of the 3
		// relays of 17 zones to the 3 relays of the 16 other zones.
		Expect(total).To(Equal(17*19*18 + 17*3*16*3))
	})

	It("counts itself as part of its zone when the list does not name it yet", func() {
		self := mesh.Peer{Name: "new", Zone: "zone-0"}
		Expect(membership.ChoosePeers(self, fleetOf(2, 1), membership.RelaysPerZone)).To(HaveLen(2))
	})
})

// fakePeerSetter records the peers that it is given.
type fakePeerSetter struct{ peers []mesh.PeerAddress }

func (d *fakePeerSetter) SetPeers(peers []mesh.PeerAddress) { d.peers = peers }

var _ = Describe("Membership", func() {
	var clock *clockwork.FakeClock
	var network *meshtest.Network
	var store *platformstandin.Store
	ctx := context.Background()

	join := func(name, zone string) (*membership.Membership, *fakePeerSetter) {
		d := &fakePeerSetter{}
		return membership.New(network.Join(name, zone), d, name+":1", store, clock, telemetry.Discard()), d
	}
	names := func(m *membership.Membership) []string {
		var out []string
		for _, member := range m.Members() {
			out = append(out, member.Name)
		}
		return out
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		network = meshtest.NewNetwork()
		store = platformstandin.NewStore(clock, 1)
	})

	It("tracks peers by heartbeats, removes those that time out and shows which are leaving", func() {
		a, _ := join("a", "zone-a")
		b, _ := join("b", "zone-b")
		a.SendHeartbeats(ctx)
		Eventually(func() []string { return names(b) }).Should(Equal([]string{"a", "b"}))
		a.Leave()
		a.SendHeartbeats(ctx)
		Eventually(func() bool { return b.Members()[0].Leaving }).Should(BeTrue())
		network.SetZonePartition("zone-a", true)
		clock.Advance(membership.LivenessTimeout + time.Millisecond)
		Expect(names(b)).To(Equal([]string{"b"}))
	})

	It("connects to peers that are not listed and keeps the last list when the platform returns none", func() {
		store.PutInstance(platform.InstanceRecord{Name: "b", Zone: "zone-a", MeshAddress: "b:1"})
		store.PublishInstances()
		a, _ := join("a", "zone-a")
		b, setter := join("b", "zone-a")
		a.SendHeartbeats(ctx)
		Eventually(func() []string { return names(b) }).Should(HaveLen(2))
		b.Refresh(ctx)
		Expect(setter.peers).To(ConsistOf(HaveField("Address", "a:1")))
		store.RemoveInstance("b")
		store.PublishInstances()
		a.Refresh(ctx)
		b.Refresh(ctx)
		Expect(b.Listed()).To(ConsistOf(HaveField("Name", "b")))
	})

	It("asks the platform for the list once per zone", func() {
		store.PutInstance(platform.InstanceRecord{Name: "a", Zone: "zone-a", MeshAddress: "a:1"})
		store.PublishInstances()
		a, _ := join("a", "zone-a")
		b, _ := join("b", "zone-a")
		a.SendHeartbeats(ctx)
		Eventually(func() []string { return names(b) }).Should(HaveLen(2))
		Eventually(func() []string { return names(a) }).Should(HaveLen(2))
		a.Refresh(ctx)
		b.Refresh(ctx)
		Expect(store.Stats().Reads).To(Equal(uint64(1)))
		Expect(b.Listed()).To(Equal(a.Listed()))
	})
})
