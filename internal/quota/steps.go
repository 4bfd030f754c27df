package quota

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
)

const (
	// leaseDuration is how long an instance spends its share after the start of
	// the last write that proved it to be a holder. It is also the longest outage
	// of the platform through which shares are spent.
	leaseDuration = 30 * time.Minute
	// renewBefore is the time before the end of the lease at which it is renewed.
	renewBefore = leaseDuration / 2
	// fenceWait is the time after which a fenced holder certainly spends no more:
	// the lease, with 1% for clocks that run at different speeds.
	fenceWait = leaseDuration + leaseDuration/100 + 5*time.Second
	// suspectAfter is how long a holder has to be out of sight before it is
	// fenced.
	suspectAfter = 10 * time.Second
)

// action names a transition of a division.
type action string

// Actions.
const (
	actionNone     action = ""
	actionJoin     action = "join"
	actionLeave    action = "leave"
	actionRenew    action = "renew"
	actionFence    action = "fence"
	actionRemove   action = "remove"
	actionSettle   action = "settle"
	actionRetarget action = "retarget"
	actionAnnounce action = "announce"
	actionRaise    action = "raise"
	actionRelease  action = "release"
)

// situation is what the choice of the next step depends on.
type situation struct {
	now         time.Time
	name        string
	zone        string
	incarnation string
	// isLead tells that the instance does what one instance of the zone does for
	// all.
	isLead  bool
	leaving bool
	// hasLent tells that loans of the instance are still out.
	hasLent    bool
	leaseUntil time.Time
	// isCurrent tells that other zones' divisions were read after the last write
	// of the own one.
	isCurrent bool
	view      *environment.View
	all       divisions
	// fencedSince is when each fenced incarnation was first seen fenced.
	fencedSince map[string]time.Time
	// suspects are the incarnations that have been out of sight for long.
	suspects map[string]bool
	// kept are the pending incarnations that keep the present generation.
	kept map[string]bool
}

// step returns the next write of the zone's division that the instance should
// make, if any.
func (s *situation) step() (*division, action) {
	d := s.all[s.zone]
	if d == nil {
		d = &division{}
	}
	own := d.holder(s.incarnation)
	switch {
	case own == nil && s.leaving:
		return nil, actionNone
	case own == nil:
		return d.join(s.name, s.incarnation), actionJoin
	case own.Fenced || s.leaving:
		if s.hasLent {
			return nil, actionNone
		}
		return d.remove(s.incarnation), actionLeave
	case s.leaseUntil.Sub(s.now) < renewBefore:
		return d.renew(), actionRenew
	case s.isLead:
		return s.leadStep(d)
	}
	return nil, actionNone
}

// leadStep returns the next step that is made for the whole zone.
func (s *situation) leadStep(d *division) (*division, action) {
	for _, h := range d.Holders {
		since, isFenced := s.fencedSince[h.Incarnation]
		if h.Fenced && isFenced && s.now.Sub(since) >= fenceWait {
			return d.remove(h.Incarnation), actionRemove
		}
		if !h.Fenced && s.suspects[h.Incarnation] {
			return d.fence(h.Incarnation), actionFence
		}
	}
	if s.view.State.Revision >= max(1, d.Revision) && fingerprint(s.view) != d.Fingerprint {
		return d.retarget(s.zone, s.view), actionRetarget
	}
	if len(s.kept) > 0 {
		return d.settle(s.kept), actionSettle
	}
	if !d.isSettled() || fingerprint(s.view) != d.Fingerprint {
		return nil, actionNone
	}
	if !d.Announced {
		return d.announce(), actionAnnounce
	}
	if !s.isCurrent {
		return nil, actionNone
	}
	if n := d.raise(s.zone, s.all, s.view); n != nil {
		return n, actionRaise
	}
	return nil, actionNone
}
