package inventory

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
)

// pollerOf returns the instance that polls the target: among the live instances
// of the target's zone that are not leaving, or of all zones if that has none,
// the one with the highest hash of both names. Leaving instances poll if there
// are no others. A change of membership moves only the targets of the instance
// that came or went.
func pollerOf(t *environment.Target, members []membership.Member) string {
	name := highest(t, members, func(m membership.Member) bool { return m.Zone == t.Zone && !m.Leaving })
	if name == "" {
		name = highest(t, members, func(m membership.Member) bool { return !m.Leaving })
	}
	if name == "" {
		name = highest(t, members, func(membership.Member) bool { return true })
	}
	return name
}

func highest(t *environment.Target, members []membership.Member, counts func(membership.Member) bool) string {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		if !counts(m) {
			continue
		}
		if hash := xxhash.Sum64String(m.Name + "\x00" + t.Name); best == "" || hash > bestHash {
			best, bestHash = m.Name, hash
		}
	}
	return best
}
