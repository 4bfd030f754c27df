package coldstart

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/membership"
)

// grantorOf returns the instance that divides the permits of a zone: the first
// by name among the zone's live instances, those that are leaving only if there
// is no other. A zone without live instances since foreignDelay falls to the
// first of all instances; before that it has none.
func grantorOf(zone string, members []membership.Member, absentFor time.Duration) string {
	if name := first(members, func(m membership.Member) bool { return m.Zone == zone && !m.Leaving }); name != "" {
		return name
	}
	if name := first(members, func(m membership.Member) bool { return m.Zone == zone }); name != "" {
		return name
	}
	if absentFor < foreignDelay {
		return ""
	}
	return first(members, func(m membership.Member) bool { return !m.Leaving })
}

func first(members []membership.Member, counts func(membership.Member) bool) string {
	name := ""
	for _, m := range members {
		if counts(m) && (name == "" || m.Name < name) {
			name = m.Name
		}
	}
	return name
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
