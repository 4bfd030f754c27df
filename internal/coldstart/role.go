package coldstart

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/membership"
)

// grantorOf returns the name of the grantor of a zone: the first by name among
// the zone's live instances, with leaving instances considered only if there is
// no other. A zone that has had no live instance for foreignGrantorDelay gets the
// first instance of all zones that is not leaving; until then it has no grantor.
func grantorOf(zone string, members []membership.Member, absentFor time.Duration) string {
	if name := firstName(members, func(m membership.Member) bool { return m.Zone == zone && !m.Leaving }); name != "" {
		return name
	}
	if name := firstName(members, func(m membership.Member) bool { return m.Zone == zone }); name != "" {
		return name
	}
	if absentFor < foreignGrantorDelay {
		return ""
	}
	return firstName(members, func(m membership.Member) bool { return !m.Leaving })
}

func firstName(members []membership.Member, eligible func(membership.Member) bool) string {
	name := ""
	for _, m := range members {
		if eligible(m) && (name == "" || m.Name < name) {
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
