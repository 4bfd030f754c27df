package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// RelaysPerZone is the number of instances of a zone that keep connections to
// other zones. In a zone with at most this number of instances, all are relays.
const RelaysPerZone = 3

// ChoosePeers returns the instances to which self keeps connections: all of its
// own zone and, if self is a relay of its zone, the relays of every other zone.
// Relays are chosen by rendezvous hashing, so that at most one relay of a zone
// changes when an instance joins or leaves.
func ChoosePeers(self mesh.Peer, known []mesh.PeerAddress, relaysPerZone int) []mesh.PeerAddress {
	zones := make(map[string][]mesh.PeerAddress)
	selfListed := false
	for _, p := range known {
		selfListed = selfListed || p.Name == self.Name
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	if !selfListed {
		zones[self.Zone] = append(zones[self.Zone], mesh.PeerAddress{Peer: self})
	}
	isRelay := slices.ContainsFunc(relays(zones[self.Zone], relaysPerZone), func(p mesh.PeerAddress) bool { return p.Name == self.Name })
	var out []mesh.PeerAddress
	for zone, instances := range zones {
		switch {
		case zone == self.Zone:
			out = append(out, instances...)
		case isRelay:
			out = append(out, relays(instances, relaysPerZone)...)
		}
	}
	out = slices.DeleteFunc(out, func(p mesh.PeerAddress) bool { return p.Name == self.Name })
	slices.SortFunc(out, func(a, b mesh.PeerAddress) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// relays returns the instances of one zone with the highest hashes, at most count.
func relays(instances []mesh.PeerAddress, count int) []mesh.PeerAddress {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b mesh.PeerAddress) int {
		return cmp.Or(cmp.Compare(hashOf(b), hashOf(a)), cmp.Compare(a.Name, b.Name))
	})
	return sorted[:min(count, len(sorted))]
}

func hashOf(p mesh.PeerAddress) uint64 { return xxhash.Sum64String(p.Zone + "/" + p.Name) }
