package dispatch

import "time"

// TargetLoad is the load that one instance causes at one target.
type TargetLoad struct {
	TargetID string `msgpack:"t"`
	Running  int    `msgpack:"r"`
	// WaitingUS is Load.Waiting in microseconds.
	WaitingUS int64 `msgpack:"w"`
	Tokens    int   `msgpack:"k"`
	// DownMS is how much longer the instance avoids the target because it accepted
	// no connection.
	DownMS int64 `msgpack:"d,omitempty"`
	// Pace is the pace that the target last reported to the instance, if it changed
	// noticeably: percent of the usual time, shifted left by 4 bits, with the age of the
	// reading in steps of 50 ms in the low bits. It takes 5 bytes.
	Pace int `msgpack:"p,omitempty"`
}

// TakeUpdates returns the loads and prompts recorded since the last TakeUpdates, to
// be broadcast to peers. If full is set, it also returns the unchanged loads of all
// targets with running calls.
func (d *Dispatcher) TakeUpdates(full bool, now time.Time) ([]TargetLoad, []PrefixUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []TargetLoad
	for id, s := range d.targets {
		if !d.changed[id] && !(full && s.own.Running > 0) {
			continue
		}
		loads = append(loads, TargetLoad{
			TargetID: id, Running: s.own.Running, WaitingUS: s.own.Waiting.Microseconds(),
			Tokens: s.own.Tokens, DownMS: max(0, s.downUntil.Sub(now).Milliseconds()),
			Pace: s.pace.takeUpdate(now),
		})
	}
	prefixes := d.prefixUpdates
	d.prefixUpdates = nil
	clear(d.changed)
	return loads, prefixes
}

// Pending reports whether TakeUpdates would return changes.
func (d *Dispatcher) Pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.changed) > 0 || len(d.prefixUpdates) > 0 || d.suspicionsChanged
}

// ApplyPeerUpdate records the loads and prompts reported by a peer.
func (d *Dispatcher) ApplyPeerUpdate(peer string, loads []TargetLoad, prefixes []PrefixUpdate, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spread != nil {
		d.spread.heardAt[peer] = now
	}
	for _, l := range loads {
		s := d.state(l.TargetID)
		if l.Running <= 0 {
			delete(s.peers, peer)
		} else {
			waiting := time.Duration(min(max(l.WaitingUS, 0), maxEstimate.Microseconds())) * time.Microsecond
			s.peers[peer] = peerLoad{Load{min(l.Running, maxPeerRunning), waiting, max(l.Tokens, 0)}, now}
		}
		delete(s.peerDownUntil, peer)
		if l.DownMS > 0 {
			s.peerDownUntil[peer] = now.Add(min(time.Duration(l.DownMS)*time.Millisecond, maxConnectBackoff))
		}
		s.applyPace(l.Pace, now)
	}
	for _, r := range prefixes {
		s := d.state(r.TargetID)
		for i, key := range r.Keys {
			if i < len(r.Tokens) {
				s.cache.touch(key, r.Tokens[i], defaultCacheTokens)
			}
		}
	}
}

// RemovePeer drops the loads and the down reports of a peer that has ended.
func (d *Dispatcher) RemovePeer(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spread != nil {
		delete(d.spread.heardAt, peer)
	}
	for _, s := range d.targets {
		delete(s.peers, peer)
		delete(s.peerDownUntil, peer)
	}
}
