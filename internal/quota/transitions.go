package quota

import (
	"slices"
	"sort"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// divisions are the divisions of all zones as read in one answer of the
// platform.
type divisions map[string]*division

// next returns a copy with the next generation.
func (d *division) next() *division {
	n := d.clone()
	n.Generation++
	return n
}

// grow lets the holders hold their parts once the generation is settled.
func (d *division) grow() *division {
	if !d.isSettled() {
		return d
	}
	for i := range d.Holders {
		if h := &d.Holders[i]; !h.Fenced {
			h.Bound = h.Parts
		}
	}
	return d
}

// divideParts gives the holders that are not fenced equal parts of what the
// fenced ones leave, the first one the remainder.
func (d *division) divideParts() {
	free, n := int64(wholeParts), int64(0)
	for _, h := range d.Holders {
		if h.Fenced {
			free -= h.Parts
		} else {
			n++
		}
	}
	rest := int64(0)
	if n > 0 {
		rest = free % n
	}
	for i := range d.Holders {
		if !d.Holders[i].Fenced {
			d.Holders[i].Parts = free/n + rest
			rest = 0
		}
	}
}

// join adds a holder. Earlier incarnations of the same instance are fenced. A
// division without holders starts again without claims, because other zones may
// have taken over what it held.
func (d *division) join(name, incarnation string) *division {
	n := d.next()
	if len(n.Holders) == 0 {
		n.resetClaims()
	}
	n.fenceName(name)
	n.Holders = append(n.Holders, holder{Name: name, Incarnation: incarnation, Joined: n.Generation})
	n.divideParts()
	return n.grow()
}

func (d *division) resetClaims() {
	d.Changes++
	d.Fingerprint = ""
	for i := range d.Claims {
		d.Claims[i].Held = Share{}
		d.Claims[i].Target = Share{}
	}
}

func (d *division) fenceName(name string) {
	for i := range d.Holders {
		if d.Holders[i].Name == name {
			d.Holders[i].fence()
		}
	}
}

// fence forbids a holder to spend. Its parts become the most that it may still
// hold, so that the generation need not wait for it unless claims were cut.
func (d *division) fence(incarnation string) *division {
	n := d.next()
	n.holder(incarnation).fence()
	n.divideParts()
	return n.grow()
}

func (h *holder) fence() {
	h.Fenced = true
	h.Parts = h.Bound
}

// remove frees the parts of a holder that certainly spends no more. The others
// grow by it once every pending cut is kept.
func (d *division) remove(incarnation string) *division {
	n := d.next()
	n.Holders = slices.DeleteFunc(n.Holders, func(h holder) bool { return h.Incarnation == incarnation })
	for i := range n.Claims {
		n.Claims[i].Full = false
	}
	n.divideParts()
	return n.grow()
}

// settle notes that incarnations keep the generation.
func (d *division) settle(kept map[string]bool) *division {
	n := d.next()
	for i := range n.Holders {
		h := &n.Holders[i]
		if kept[h.Incarnation] {
			h.Bound, h.OwesCut = min(h.Bound, h.Parts), false
		}
	}
	return n.grow()
}

// retarget follows a new document: claims above their targets are cut at once,
// claims below are raised later.
func (d *division) retarget(zone string, v *environment.View) *division {
	n := d.next()
	n.Revision = v.State.Revision
	n.Fingerprint = fingerprint(v)
	n.Changes++
	n.Announced = false
	for _, a := range v.State.Document.Accounts {
		if _, ok := n.find(a.Name); !ok {
			n.Claims = append(n.Claims, claim{Account: a.Name})
			sort.Slice(n.Claims, func(i, j int) bool { return n.Claims[i].Account < n.Claims[j].Account })
		}
	}
	isCut := false
	for i := range n.Claims {
		c := &n.Claims[i]
		c.Target = entitlement(v, zone, c.Account)
		isCut = isCut || !c.Held.fits(c.Target)
		c.Held = Share{Rate: min(c.Held.Rate, c.Target.Rate), Burst: min(c.Held.Burst, c.Target.Burst)}
	}
	for i := range n.Holders {
		n.Holders[i].OwesCut = n.Holders[i].OwesCut || isCut
	}
	return n
}

// renew changes nothing: its effect proves that no holder of it was fenced
// before.
func (d *division) renew() *division { return d.next() }

// announce lets every reader see the targets before claims are raised to them.
func (d *division) announce() *division {
	n := d.next()
	n.Announced = true
	return n
}

// raise grows claims to their targets where every other zone allows it. It
// returns nil if nothing grows.
func (d *division) raise(zone string, all divisions, v *environment.View) *division {
	if !isNewest(all, v) {
		return nil
	}
	var n *division
	for i := range d.Claims {
		c := d.Claims[i]
		if c.Target.fits(c.Held) || !allowsRaise(zone, c.Account, all, v) {
			continue
		}
		if n == nil {
			n = d.next()
		}
		n.Claims[i].Held = c.Target
		n.Claims[i].Full = false
		if c.OpenedGeneration == 0 {
			n.Claims[i].OpenedGeneration = n.Generation
			n.Claims[i].OpenedChanges = n.Changes
			n.Claims[i].Full = isUnspent(zone, d.Fingerprint, c.Account, all)
		}
	}
	return n
}

// isNewest reports whether no zone follows a newer revision than the view.
func isNewest(all divisions, v *environment.View) bool {
	for _, d := range all {
		if d.Revision > v.State.Revision {
			return false
		}
	}
	return true
}

// allowsRaise reports whether all other zones hold and aim at no more than the
// document gives them. A zone without holders holds nothing.
func allowsRaise(zone, account string, all divisions, v *environment.View) bool {
	for other, d := range all {
		if other == zone || len(d.Holders) == 0 {
			continue
		}
		if !d.claim(account).most().fits(entitlement(v, other, account)) {
			return false
		}
	}
	return true
}

// isUnspent reports whether the zone's part of an account has never been held
// by any other zone, so that it may start with a full bucket: every zone that
// ever held the account has had one and the same target since.
func isUnspent(zone, current, account string, all divisions) bool {
	for other, d := range all {
		c := d.claim(account)
		if other == zone || c.OpenedGeneration == 0 {
			continue
		}
		if d.Fingerprint != current || d.Changes != c.OpenedChanges {
			return false
		}
	}
	return true
}
