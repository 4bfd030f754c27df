package environment

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// askAll starts an exchange with every connected peer, so that a slow one holds
// up no other.
func (s *Syncer) askAll(ctx context.Context) {
	for _, p := range s.mesh.Peers() {
		go s.ask(ctx, p.Name)
	}
}

// ask learns the status of a peer and fetches its state if that is newer.
func (s *Syncer) ask(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	asked := s.clock.Now()
	request := &statusRequest{Revision: s.store.View().State.Revision}
	answer, err := mesh.Call[statusRequest, status](ctx, s.mesh, peer, methodStatus, request)
	if err != nil {
		s.log.Debugf("No status from %s: %v.", peer, err)
		return
	}
	if answer.Revision > s.store.View().State.Revision {
		s.fetch(ctx, peer)
	}
	s.learn(peer, asked, answer)
}

// learn merges the answer of a peer that was asked at the time asked.
func (s *Syncer) learn(peer string, asked time.Time, answer *status) {
	known := s.store.View().State
	if answer.Revision == known.Revision && answer.Nonce != known.Change.Nonce {
		s.metrics.conflicts.Inc()
		s.log.Errorf("Instance %s serves another revision %d; nothing is taken from it.", peer, known.Revision)
		return
	}
	if answer.ConfirmedAgeMS != neverConfirmed {
		s.store.Confirm(answer.Revision, timeOf(asked, answer.ConfirmedAgeMS))
	}
	zone := s.zoneOf(peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Entitled {
		s.hearPeer(zone, asked, answer)
	}
	for _, z := range answer.Zones {
		if z.Zone != s.mesh.Self().Zone {
			s.freshness.ObserveZone(z.Zone, ZoneReport{AsOf: timeOf(asked, z.AgeMS), Revision: z.Revision, ReachesPlatform: z.ReachesPlatform})
		}
	}
}

// hearPeer takes the answer of an entitled peer. It is called with mu held.
func (s *Syncer) hearPeer(zone string, asked time.Time, answer *status) {
	if zone != s.mesh.Self().Zone {
		s.freshness.ObserveZone(zone, ZoneReport{AsOf: asked, Revision: answer.Revision, ReachesPlatform: answer.ReachesPlatform})
		return
	}
	if s.store.View().State.Revision >= answer.Revision {
		s.freshness.MarkAuthoritative()
	}
}

func (s *Syncer) zoneOf(peer string) string {
	for _, p := range s.mesh.Peers() {
		if p.Name == peer {
			return p.Zone
		}
	}
	return ""
}

// fetch takes the whole state of a peer. It confirms nothing.
func (s *Syncer) fetch(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	answer, err := mesh.Call[fetchRequest, stateMessage](ctx, s.mesh, peer, methodFetch, &fetchRequest{})
	if err != nil {
		s.log.Warnf("State of %s not fetched: %v.", peer, err)
		return
	}
	state, err := answer.decode()
	if err != nil {
		s.log.Errorf("State of %s refused: %v.", peer, err)
		return
	}
	s.store.Apply(state, time.Time{})
}

func (s *Syncer) onStatus(_ context.Context, from mesh.Peer, request *statusRequest) (*status, error) {
	view := s.store.View()
	if request.Revision > view.State.Revision {
		s.wake(from.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	answer := &status{
		Revision:        view.State.Revision,
		Nonce:           view.State.Change.Nonce,
		ConfirmedAgeMS:  neverConfirmed,
		Entitled:        s.freshness.IsAuthoritative(now) && view.State.Revision > 0,
		ReachesPlatform: !s.reachedAt.IsZero() && now.Sub(s.reachedAt) <= reachedFor,
	}
	if !view.ConfirmedAt.IsZero() {
		answer.ConfirmedAgeMS = ageMS(now, view.ConfirmedAt)
	}
	if now.Sub(view.ConfirmedAt) <= passOnAfter {
		return answer, nil
	}
	for zone, z := range s.freshness.RecentReports(now) {
		answer.Zones = append(answer.Zones, zoneStatus{Zone: zone, AgeMS: ageMS(now, z.AsOf), Revision: z.Revision, ReachesPlatform: z.ReachesPlatform})
	}
	return answer, nil
}

func (s *Syncer) onFetch(context.Context, mesh.Peer, *fetchRequest) (*stateMessage, error) {
	return encodeForPeers(s.store.View().State)
}

func (s *Syncer) onPush(_ context.Context, _ mesh.Peer, m *stateMessage) (*pushAnswer, error) {
	state, err := m.decode()
	if err != nil {
		return nil, err
	}
	s.store.Apply(state, time.Time{})
	return &pushAnswer{Revision: s.store.View().State.Revision}, nil
}
