package quota

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
)

const (
	// leaseDuration is how long an instance may spend its share, counted from
	// the start of the last write that proved it to be a holder. It is also the
	// longest platform outage during which shares can be spent. If the outage
	// starts just before a renewal, that time is only renewBefore.
	leaseDuration = 30 * time.Minute
	// renewBefore is how long before the end of the lease it is renewed.
	renewBefore = leaseDuration / 2
	// fenceWait is the time after which a fenced holder has certainly stopped
	// spending: the lease duration plus 1% for clock drift and 5 s.
	fenceWait = leaseDuration + leaseDuration/100 + 5*time.Second
	// suspectTimeout is how long a holder has to be missing from the member
	// list before it is fenced.
	suspectTimeout = 10 * time.Second
)

// action names a transition of a division.
type action string

// Actions. The values appear in logs and metrics.
const (
	actionNone     action = ""
	actionJoin     action = "join"
	actionLeave    action = "leave"
	actionRenew    action = "renew"
	actionFence    action = "fence"
	actionRemove   action = "remove"
	actionConfirm  action = "settle"
	actionRetarget action = "retarget"
	actionAnnounce action = "announce"
	actionRaise    action = "raise"
	actionRelease  action = "release"
)

// stepInput holds the state that the next step depends on.
type stepInput struct {
	now         time.Time
	name        string
	zone        string
	incarnation string
	// isLeader means that the instance performs the steps that one instance
	// performs for its zone.
	isLeader bool
	leaving  bool
	// hasLent means that the instance has outstanding loans to peers.
	hasLent    bool
	leaseUntil time.Time
	// hasReadOthers means that the other zones' divisions were read after the
	// last write of the own division.
	hasReadOthers bool
	view          *environment.View
	divisions     divisions
	// fencedSince holds the time at which each fenced incarnation was first
	// seen fenced.
	fencedSince map[string]time.Time
	// suspects are the incarnations that have been missing from the member list
	// for suspectTimeout.
	suspects map[string]bool
	// applied are the pending incarnations that have applied the current
	// generation.
	applied map[string]bool
}

// step returns the next write of the zone's division by this instance, or
// actionNone if none is due.
func (s *stepInput) step() (*division, action) {
	d := s.divisions[s.zone]
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
	case s.isLeader:
		return s.leaderStep(d)
	}
	return nil, actionNone
}

// leaderStep returns the next write that the leader makes for the zone.
func (s *stepInput) leaderStep(d *division) (*division, action) {
	for _, h := range d.Holders {
		since, isKnown := s.fencedSince[h.Incarnation]
		if h.Fenced && isKnown && s.now.Sub(since) >= fenceWait {
			return d.remove(h.Incarnation), actionRemove
		}
		if !h.Fenced && s.suspects[h.Incarnation] {
			return d.fence(h.Incarnation), actionFence
		}
	}
	// Revision 0 means that the instance knows no document yet.
	if s.view.State.Revision >= max(1, d.Revision) && fingerprint(s.view) != d.Fingerprint {
		return d.retarget(s.zone, s.view), actionRetarget
	}
	if len(s.applied) > 0 {
		return d.confirm(s.applied), actionConfirm
	}
	if !d.isConfirmed() || fingerprint(s.view) != d.Fingerprint {
		return nil, actionNone
	}
	if !d.Announced {
		return d.announce(), actionAnnounce
	}
	if !s.hasReadOthers {
		return nil, actionNone
	}
	if n := d.raise(s.zone, s.divisions, s.view); n != nil {
		return n, actionRaise
	}
	return nil, actionNone
}
