package orders

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/membership"
)

// maxCandidates is the number of instances that watch and may take one lease.
const maxCandidates = 3

// Groups returns the names of the groups that hold targets, in order, with the
// availability zone of each.
func Groups(d *environment.Document) (groups, zones []string) {
	zoneOf := make(map[string]string)
	for i := range d.Targets {
		t := &d.Targets[i]
		if t.Kind == environment.TargetEngine {
			zoneOf[GroupOf(t)] = t.Zone
		}
	}
	for g := range zoneOf {
		groups = append(groups, g)
	}
	sort.Strings(groups)
	for _, g := range groups {
		zones = append(zones, zoneOf[g])
	}
	return groups, zones
}

// Candidates returns the groups of targets that the instance may hold. The
// instances of a group's own zone come first; among equals rendezvous hashing
// decides, so that a change of members moves few groups.
func Candidates(self string, members []membership.Member, d *environment.Document) []lease.Candidacy {
	var out []lease.Candidacy
	groups, zones := Groups(d)
	for i, g := range groups {
		if rank := Rank(self, members, g, zones[i]); rank >= 0 {
			out = append(out, lease.Candidacy{Name: g, Rank: rank})
		}
	}
	return out
}

// Rank returns the place of the instance among the candidates for a lease, or a
// negative number for none. An empty zone prefers no zone.
func Rank(self string, members []membership.Member, name, zone string) int {
	type scored struct {
		member membership.Member
		score  uint64
	}
	var order []scored
	for _, m := range members {
		if !m.Leaving {
			order = append(order, scored{m, xxhash.Sum64String(name + "/" + m.Name)})
		}
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := &order[i], &order[j]
		if own := a.member.Zone == zone; own != (b.member.Zone == zone) {
			return own
		}
		return a.score > b.score
	})
	for rank := range min(maxCandidates, len(order)) {
		if order[rank].member.Name == self {
			return rank
		}
	}
	return -1
}
