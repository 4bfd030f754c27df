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
	// settleAfterWake is how long an instance that started or was paused waits
	// for the peers of its zone that the platform lists before it may change the
	// environment without them.
	settleAfterWake = 5 * time.Second
	settlePoll      = 50 * time.Millisecond
	pushTimeout     = time.Second
	pushRetry       = 100 * time.Millisecond
	// takeoverAge is the age of the newest confirmation after which a second
	// instance of a zone follows the platform.
	takeoverAge = 2 * time.Second
)

var _ Replicator = (*Syncer)(nil)

// isConfirmer reports whether an instance has to follow the platform: the first
// by name among those of its zone that stay, and while confirmations are late
// the second as well. Several confirmers at once are harmless.
func isConfirmer(self mesh.Peer, members []membership.Member, confirmationAge time.Duration) bool {
	rank := 0
	for _, m := range members {
		if m.Zone == self.Zone && m.Name < self.Name && !m.Leaving {
			rank++
		}
	}
	return rank == 0 || (rank == 1 && confirmationAge > takeoverAge)
}

// WaitUntilWritable implements Replicator. It refuses changes by an instance whose zone
// is not in the document, since other zones do not wait for its statements, and
// waits until the instance knows the peers of its zone.
func (s *Syncer) WaitUntilWritable(ctx context.Context, current *State) error {
	if current.Revision == 0 {
		return nil
	}
	if len(current.Document.Zones) > 0 && !current.Document.HasZone(s.mesh.Self().Zone) {
		return merry.Wrap(ErrNotAccepted, merry.AppendMessagef("zone %s of this instance is not in the document", s.mesh.Self().Zone))
	}
	for !s.knowsZone() {
		select {
		case <-s.clock.After(settlePoll):
		case <-ctx.Done():
			return merry.Wrap(ErrNotAccepted, merry.WithCause(ctx.Err()))
		}
	}
	return nil
}

// knowsZone reports whether every instance of the zone that could answer for it
// is known to this one.
func (s *Syncer) knowsZone() bool {
	heard := make(map[string]bool)
	for _, m := range s.members.Members() {
		heard[m.Name] = true
	}
	missing := false
	listed := s.members.Listed()
	for _, m := range listed {
		missing = missing || (m.Zone == s.mesh.Self().Zone && !heard[m.Name])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.freshness.IsRunning(now) {
		return false
	}
	return now.Sub(s.wokeAt) >= settleAfterWake || (len(listed) > 0 && !missing)
}

// Replicate implements Replicator: every live instance of the zone has the state
// when it returns nil. Instances that no longer answer heartbeats are not waited
// for. Other zones learn the state from the exchanges that a new revision
// starts; what they know of this zone is void within maxStatementAge.
func (s *Syncer) Replicate(ctx context.Context, state *State) error {
	message, err := encodeForPeers(state)
	if err != nil {
		return err
	}
	told := make(map[string]bool)
	for {
		s.pushRound(ctx, state.Revision, message, told)
		if s.isZoneTold(told) {
			return nil
		}
		select {
		case <-s.clock.After(pushRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushRound offers the state to the peers of the zone not in told and adds those
// that hold it.
func (s *Syncer) pushRound(ctx context.Context, revision uint64, message *stateMessage, told map[string]bool) {
	var untold []string
	for _, peer := range s.zonePeers() {
		if !told[peer.Name] {
			untold = append(untold, peer.Name)
		}
	}
	var mu sync.Mutex
	var round sync.WaitGroup
	for _, peer := range untold {
		round.Go(func() {
			if s.push(ctx, peer, revision, message) {
				mu.Lock()
				defer mu.Unlock()
				told[peer] = true
			}
		})
	}
	round.Wait()
}

func (s *Syncer) push(ctx context.Context, peer string, revision uint64, message *stateMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	answer, err := mesh.Call[stateMessage, pushAnswer](ctx, s.mesh, peer, methodPush, message)
	if err != nil {
		s.log.Debugf("State not pushed to %s: %v.", peer, err)
		return false
	}
	return answer.Revision >= revision
}

func (s *Syncer) isZoneTold(told map[string]bool) bool {
	for _, peer := range s.zonePeers() {
		if !told[peer.Name] {
			return false
		}
	}
	return true
}
