package coldstart

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/membership"
)

// grantorOf returns the instance that divides the permits of a zone: the first
// by name among the zone's live instances that are not leaving. A zone without
// live instances since foreignDelay falls to the first of all instances; before
// that it has none.
func grantorOf(zone string, members []membership.Member, absentFor time.Duration) string {
	first, foreign := "", ""
	for _, m := range members {
		if m.Leaving {
			continue
		}
		if m.Zone == zone && (first == "" || m.Name < first) {
			first = m.Name
		}
		if foreign == "" || m.Name < foreign {
			foreign = m.Name
		}
	}
	if first == "" && absentFor >= foreignDelay {
		return foreign
	}
	return first
}

// hasMember reports whether the zone has a live instance, leaving or not.
func hasMember(zone string, members []membership.Member) bool {
	for _, m := range members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
