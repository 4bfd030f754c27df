package inventory

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
)

// pollerOf returns the instance that polls the target. It is chosen by rendezvous
// hashing among the live instances of the target's zone that are not leaving. If
// there are none, it is chosen among those of all zones, and as a last resort
// among the leaving ones. Without members it is "". When an instance joins or
// leaves, only the targets assigned to it move.
func pollerOf(t *environment.Target, members []membership.Member) string {
	name := highestRanked(t, members, func(m membership.Member) bool { return m.Zone == t.Zone && !m.Leaving })
	if name == "" {
		name = highestRanked(t, members, func(m membership.Member) bool { return !m.Leaving })
	}
	if name == "" {
		name = highestRanked(t, members, func(membership.Member) bool { return true })
	}
	return name
}

// highestRanked returns the eligible instance with the highest hash of its name
// and the target's name.
func highestRanked(t *environment.Target, members []membership.Member, isEligible func(membership.Member) bool) string {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		if !isEligible(m) {
			continue
		}
		if hash := xxhash.Sum64String(m.Name + "\x00" + t.Name); best == "" || hash > bestHash {
			best, bestHash = m.Name, hash
		}
	}
	return best
}
