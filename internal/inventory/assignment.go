package inventory

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
)

// pollerOf returns the instance that polls the target: among the live instances
// of the target's zone, or of all zones if that has none, the one with the
// highest hash of both names. A change of membership moves only the targets of
// the instance that came or went.
func pollerOf(t *environment.Target, members []membership.Member) string {
	if name := highest(t, members, true); name != "" {
		return name
	}
	return highest(t, members, false)
}

func highest(t *environment.Target, members []membership.Member, ownZone bool) string {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		if m.Leaving || (ownZone && m.Zone != t.Zone) {
			continue
		}
		if hash := xxhash.Sum64String(m.Name + "\x00" + t.Name); best == "" || hash > bestHash {
			best, bestHash = m.Name, hash
		}
	}
	return best
}
