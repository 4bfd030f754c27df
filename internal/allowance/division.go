package allowance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// division tells which instances have a part of a bound that all instances share.
// Instances with the same list of members agree on it without a message. After a change
// of the members their former lists apply too, for the time span: a member that is gone
// or has no part any more may just have used its own.
type division struct {
	span    time.Duration
	members []string
	// source is the first element of the list from which members was copied. Lists do not
	// change, so that the same list need not be compared again.
	source *string
	former []formerMembers
	// generation changes with the lists.
	generation uint64
}

type formerMembers struct {
	members []string
	until   time.Time
}

// update sets the members. Lists must not be changed afterwards.
func (d *division) update(members []string, now time.Time) {
	known := len(members) == len(d.members) && (len(members) == 0 || &members[0] == d.source)
	if !known && !slices.Equal(members, d.members) {
		if d.members != nil {
			d.former = append(d.former, formerMembers{d.members, now})
		}
		d.members = slices.Clone(members)
		d.generation++
	}
	if len(members) > 0 {
		d.source = &members[0]
	}
	if len(d.former) == 0 {
		return
	}
	count := len(d.former)
	d.former = slices.DeleteFunc(d.former, func(f formerMembers) bool { return now.Sub(f.until) >= d.span })
	if len(d.former) != count {
		d.generation++
	}
}

// smallest returns the least part that self has by one of the lists.
func (d *division) smallest(part func(members []string) int) int {
	least := part(d.members)
	for _, f := range d.former {
		least = min(least, part(f.members))
	}
	return least
}

// position returns the number of members that come before self in the order for a key.
func position(key, self string, members []string) int {
	ahead := 0
	own := rank(key, self)
	for _, m := range members {
		if r := rank(key, m); m != self && (r > own || r == own && m < self) {
			ahead++
		}
	}
	return ahead
}

// rank orders instances for a key (rendezvous hashing).
func rank(key, instance string) uint64 { return xxhash.Sum64String(key + "\x00" + instance) }
