package dispatch

import "time"

// PickIdle returns the candidate with the lowest score of those at which no instance has a
// call, as far as is known, or false if there is none. After UseZones, only candidates of the
// own zone count.
func (d *Dispatcher) PickIdle(candidates []Candidate, q Query) (Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best, p Pick
	for i := range candidates {
		c := &candidates[i]
		if c.ZoneUnreachable || d.zones != nil && c.Target.Zone != q.Zone || !d.state(c.Target.ID).isIdle(q.Now) {
			continue
		}
		if d.consider(c, &q, &p) && !p.Down {
			best.offer(&p)
		}
	}
	return best, best.Target != nil
}

// PickWithIdle returns what Pick and PickIdle return, in the time that Pick takes. The Target of
// the second pick is nil if no candidate is idle.
func (d *Dispatcher) PickWithIdle(candidates []Candidate, q Query) (best, idle Pick, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, found = d.pick(candidates, q, &idle)
	return best, idle, found
}

// offerIdle replaces a pick by that of a candidate which is idle, may be used as such, and is
// better. It does nothing for a nil pick.
func (p *Pick) offerIdle(c *Candidate, other *Pick) {
	if p != nil && other.Load.Running == 0 && !c.ZoneUnreachable && !other.Down {
		p.offer(other)
	}
}

// isIdle reports whether no instance is known to have a call at the target. It requires
// Dispatcher.mu.
func (s *targetState) isIdle(now time.Time) bool {
	if s.own.Running > 0 {
		return false
	}
	if p, ok := s.peers[s.busyPeer]; ok && now.Sub(p.at) < peerLoadTTL {
		return false
	}
	for name, p := range s.peers {
		if now.Sub(p.at) < peerLoadTTL {
			s.busyPeer = name
			return false
		}
	}
	return true
}
