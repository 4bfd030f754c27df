package quota

import (
	"slices"
	"sort"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// divisions holds the newest known division of each zone.
type divisions map[string]*division

// next returns a copy with the next generation number.
func (d *division) next() *division {
	n := d.clone()
	n.Generation++
	return n
}

// raiseBounds sets the bound of each holder to its parts if the generation is
// confirmed. It skips fenced holders.
func (d *division) raiseBounds() *division {
	if !d.isConfirmed() {
		return d
	}
	for i := range d.Holders {
		if h := &d.Holders[i]; !h.Fenced {
			h.Bound = h.Parts
		}
	}
	return d
}

// divideParts divides the parts that no fenced holder has among the other
// holders, in equal numbers. The first of these also gets the remainder.
func (d *division) divideParts() {
	free, n := int64(totalParts), int64(0)
	for _, h := range d.Holders {
		if h.Fenced {
			free -= h.Parts
		} else {
			n++
		}
	}
	remainder := int64(0)
	if n > 0 {
		remainder = free % n
	}
	for i := range d.Holders {
		if !d.Holders[i].Fenced {
			d.Holders[i].Parts = free/n + remainder
			remainder = 0
		}
	}
}

// join adds a holder and fences earlier incarnations of the same instance. If
// the division has no holders, its claims are reset, because other zones may
// have taken over its shares.
func (d *division) join(name, incarnation string) *division {
	n := d.next()
	if len(n.Holders) == 0 {
		n.resetClaims()
	}
	n.fenceInstance(name)
	n.Holders = append(n.Holders, holder{Name: name, Incarnation: incarnation, Joined: n.Generation})
	n.divideParts()
	return n.raiseBounds()
}

func (d *division) resetClaims() {
	d.Changes++
	d.Fingerprint = ""
	for i := range d.Claims {
		d.Claims[i].Held = Share{}
		d.Claims[i].Target = Share{}
	}
}

func (d *division) fenceInstance(name string) {
	for i := range d.Holders {
		if d.Holders[i].Name == name {
			d.Holders[i].fence()
		}
	}
}

// fence forbids a holder to spend. Its parts become the most that it may still
// hold, so that the generation waits for it only if claims were reduced.
func (d *division) fence(incarnation string) *division {
	n := d.next()
	n.holder(incarnation).fence()
	n.divideParts()
	return n.raiseBounds()
}

func (h *holder) fence() {
	h.Fenced = true
	h.Parts = h.Bound
}

// remove frees the parts of a holder that has certainly stopped spending. The
// other holders grow once all pending reductions are confirmed.
func (d *division) remove(incarnation string) *division {
	n := d.next()
	n.Holders = slices.DeleteFunc(n.Holders, func(h holder) bool { return h.Incarnation == incarnation })
	for i := range n.Claims {
		n.Claims[i].Full = false
	}
	n.divideParts()
	return n.raiseBounds()
}

// confirm records that incarnations have applied the generation.
func (d *division) confirm(applied map[string]bool) *division {
	n := d.next()
	for i := range n.Holders {
		h := &n.Holders[i]
		if applied[h.Incarnation] {
			h.Bound, h.UnconfirmedReduction = min(h.Bound, h.Parts), false
		}
	}
	return n.raiseBounds()
}

// retarget computes the targets from a new document. Claims above their targets
// are reduced immediately. Claims below are raised later.
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
	isReduced := false
	for i := range n.Claims {
		c := &n.Claims[i]
		c.Target = entitlement(v, zone, c.Account)
		isReduced = isReduced || !c.Held.fitsIn(c.Target)
		c.Held = Share{Rate: min(c.Held.Rate, c.Target.Rate), Burst: min(c.Held.Burst, c.Target.Burst)}
	}
	for i := range n.Holders {
		n.Holders[i].UnconfirmedReduction = n.Holders[i].UnconfirmedReduction || isReduced
	}
	return n
}

// renew changes only the generation. The write is conditional, so its success
// proves that no other write has fenced the holder since the division was read.
func (d *division) renew() *division { return d.next() }

// announce marks the targets as announced, so that every reader sees them
// before claims are raised to them.
func (d *division) announce() *division {
	n := d.next()
	n.Announced = true
	return n
}

// raise raises claims to their targets where the divisions of all other zones
// allow it. It returns nil if no claim grows.
func (d *division) raise(zone string, all divisions, v *environment.View) *division {
	if !isNewestRevision(all, v) {
		return nil
	}
	var n *division
	for i := range d.Claims {
		c := d.Claims[i]
		if c.Target.fitsIn(c.Held) || !allowsRaise(zone, c.Account, all, v) {
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
			n.Claims[i].Full = wasNeverHeldElsewhere(zone, d.Fingerprint, c.Account, all)
		}
	}
	return n
}

// isNewestRevision reports whether no division is based on a newer revision
// than the view.
func isNewestRevision(all divisions, v *environment.View) bool {
	for _, d := range all {
		if d.Revision > v.State.Revision {
			return false
		}
	}
	return true
}

// allowsRaise reports whether the claims and targets of all other zones are
// within their shares according to the document. A zone without holders holds
// nothing.
func allowsRaise(zone, account string, all divisions, v *environment.View) bool {
	for other, d := range all {
		if other == zone || len(d.Holders) == 0 {
			continue
		}
		if !d.claim(account).maxShare().fitsIn(entitlement(v, other, account)) {
			return false
		}
	}
	return true
}

// wasNeverHeldElsewhere reports whether no other zone has ever held the zone's
// share of an account, so that it may start with a full bucket. This is so if
// every other zone that ever held a share of the account has the current
// targets, those of ownFingerprint, and has not changed them since it first
// held the share.
func wasNeverHeldElsewhere(zone, ownFingerprint, account string, all divisions) bool {
	for other, d := range all {
		c := d.claim(account)
		if other == zone || c.OpenedGeneration == 0 {
			continue
		}
		if d.Fingerprint != ownFingerprint || d.Changes != c.OpenedChanges {
			return false
		}
	}
	return true
}
