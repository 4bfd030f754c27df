package orders

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/membership"
)

// maxCandidates is the maximum number of instances that watch one lease and may
// acquire it.
const maxCandidates = 3

// Groups returns the sorted names of the groups that contain engine targets, and
// the availability zone of each.
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

// Candidates returns the candidacies of the instance for the leases of target
// groups. Instances in the zone of a group rank first. Within the zone and
// outside it, rendezvous hashing decides, so that a change of members moves few
// groups.
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

// Rank returns the rank of the instance among the candidates for a lease, 0 for
// the first, or a negative number if it is not a candidate. Instances that are
// leaving are not ranked. With an empty zone, no zone is preferred.
func Rank(self string, members []membership.Member, name, zone string) int {
	type scored struct {
		member membership.Member
		score  uint64
	}
	var ranked []scored
	for _, m := range members {
		if !m.Leaving {
			ranked = append(ranked, scored{m, xxhash.Sum64String(name + "/" + m.Name)})
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := &ranked[i], &ranked[j]
		if inZone := a.member.Zone == zone; inZone != (b.member.Zone == zone) {
			return inZone
		}
		return a.score > b.score
	})
	for rank := range min(maxCandidates, len(ranked)) {
		if ranked[rank].member.Name == self {
			return rank
		}
	}
	return -1
}
