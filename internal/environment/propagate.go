package environment

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	// peerDiscoveryTimeout is how long an instance that started or was paused
	// waits for the listed peers of its zone before it may change the
	// environment without them.
	peerDiscoveryTimeout  = 5 * time.Second
	peerDiscoveryInterval = 50 * time.Millisecond
	pushTimeout           = time.Second
	pushRetryInterval     = 100 * time.Millisecond
	// takeoverAge is the age of the newest confirmation after which a second
	// instance of a zone watches the platform as well.
	takeoverAge = 2 * time.Second
)

var _ Replicator = (*Syncer)(nil)

// isWatcher reports whether an instance has to watch the platform for its zone.
// Its rank is the number of the zone's instances before it by name that are not
// leaving. Rank 0 watches; rank 1 watches as well while the newest confirmation is
// older than takeoverAge. Several watchers at once are harmless.
func isWatcher(self mesh.Peer, members []membership.Member, confirmationAge time.Duration) bool {
	rank := 0
	for _, m := range members {
		if m.Zone == self.Zone && m.Name < self.Name && !m.Leaving {
			rank++
		}
	}
	return rank == 0 || (rank == 1 && confirmationAge > takeoverAge)
}

// WaitUntilWritable implements Replicator. It waits until the instance knows the
// peers of its zone. It returns an error if the instance's zone is not in the
// document, since other zones do not require reports of such a zone while they know
// none of its instances.
func (s *Syncer) WaitUntilWritable(ctx context.Context, current *State) error {
	if current.Revision == 0 {
		return nil
	}
	if len(current.Document.Zones) > 0 && !current.Document.HasZone(s.mesh.Self().Zone) {
		return merry.Wrap(ErrNotAccepted, merry.AppendMessagef("zone %s of this instance is not in the document", s.mesh.Self().Zone))
	}
	for !s.knowsZonePeers() {
		select {
		case <-s.clock.After(peerDiscoveryInterval):
		case <-ctx.Done():
			return merry.Wrap(ErrNotAccepted, merry.WithCause(ctx.Err()))
		}
	}
	return nil
}

// knowsZonePeers reports whether this instance knows every instance that may
// report for the zone: the list has been read and all its instances of the zone
// are alive, or peerDiscoveryTimeout has passed since this instance started or
// resumed. It returns false if the instance was paused since the last tick.
func (s *Syncer) knowsZonePeers() bool {
	alive := make(map[string]bool)
	for _, m := range s.members.Members() {
		alive[m.Name] = true
	}
	missing := false
	listed := s.members.Listed()
	for _, m := range listed {
		missing = missing || (m.Zone == s.mesh.Self().Zone && !alive[m.Name])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.freshness.IsRunning(now) {
		return false
	}
	return now.Sub(s.resumedAt) >= peerDiscoveryTimeout || (len(listed) > 0 && !missing)
}

// Replicate implements Replicator. It pushes the state to the live instances of
// the zone until all of them have it; it does not wait for instances whose
// heartbeats have stopped. Other zones get the state from the status exchanges
// that a new revision triggers; their older reports of this zone expire after
// maxReportAge.
func (s *Syncer) Replicate(ctx context.Context, state *State) error {
	message, err := encodeForPeers(state)
	if err != nil {
		return err
	}
	updated := make(map[string]bool)
	for {
		s.pushToZone(ctx, state.Revision, message, updated)
		if s.isZoneUpdated(updated) {
			return nil
		}
		select {
		case <-s.clock.After(pushRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushToZone pushes the state once to each peer of the zone that is not in updated
// and adds the peers that have it afterwards.
func (s *Syncer) pushToZone(ctx context.Context, revision uint64, message *stateMessage, updated map[string]bool) {
	var pending []string
	for _, peer := range s.zonePeers() {
		if !updated[peer.Name] {
			pending = append(pending, peer.Name)
		}
	}
	var mu sync.Mutex
	var round sync.WaitGroup
	for _, peer := range pending {
		round.Go(func() {
			if s.push(ctx, peer, revision, message) {
				mu.Lock()
				defer mu.Unlock()
				updated[peer] = true
			}
		})
	}
	round.Wait()
}

func (s *Syncer) push(ctx context.Context, peer string, revision uint64, message *stateMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	response, err := mesh.Call[stateMessage, pushResponse](ctx, s.mesh, peer, methodPush, message)
	if err != nil {
		s.log.Debugf("Pushing the state to %s failed: %v.", peer, err)
		return false
	}
	return response.Revision >= revision
}

func (s *Syncer) isZoneUpdated(updated map[string]bool) bool {
	for _, peer := range s.zonePeers() {
		if !updated[peer.Name] {
			return false
		}
	}
	return true
}
