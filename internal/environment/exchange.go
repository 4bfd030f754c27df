package environment

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/mesh"
)

// exchangeWithAll starts a status exchange with every connected peer. Each runs in
// a goroutine of its own, so that a slow peer delays no other.
func (s *Syncer) exchangeWithAll(ctx context.Context) {
	for _, p := range s.mesh.Peers() {
		go s.exchangeWith(ctx, p.Name)
	}
}

// exchangeWith requests the status of a peer and fetches its state if it is newer.
func (s *Syncer) exchangeWith(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	sentAt := s.clock.Now()
	request := &statusRequest{Revision: s.store.View().State.Revision}
	response, err := mesh.Call[statusRequest, status](ctx, s.mesh, peer, methodStatus, request)
	if err != nil {
		s.log.Debugf("Status request to %s failed: %v.", peer, err)
		return
	}
	if response.Revision > s.store.View().State.Revision {
		s.fetchState(ctx, peer)
	}
	s.applyStatus(peer, sentAt, response)
}

// applyStatus merges the status of a peer in response to a request sent at sentAt.
func (s *Syncer) applyStatus(peer string, sentAt time.Time, response *status) {
	known := s.store.View().State
	if response.Revision == known.Revision && response.Nonce != known.Change.Nonce {
		s.metrics.conflicts.Inc()
		s.log.Errorf("Instance %s has a conflicting state of revision %d; its status is ignored.", peer, known.Revision)
		return
	}
	if response.ConfirmedAgeMS != neverConfirmed {
		s.store.Confirm(response.Revision, timeBefore(sentAt, response.ConfirmedAgeMS))
	}
	zone := s.zoneOf(peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if response.Authoritative {
		s.observeAuthoritativePeer(zone, sentAt, response)
	}
	for _, z := range response.Zones {
		if z.Zone != s.mesh.Self().Zone {
			s.freshness.ObserveZone(z.Zone, ZoneReport{AsOf: timeBefore(sentAt, z.AgeMS), Revision: z.Revision, ReachesPlatform: z.ReachesPlatform})
		}
	}
}

// observeAuthoritativePeer merges the status that an authoritative peer reports
// for its zone. It is called with mu held.
func (s *Syncer) observeAuthoritativePeer(zone string, sentAt time.Time, response *status) {
	if zone != s.mesh.Self().Zone {
		s.freshness.ObserveZone(zone, ZoneReport{AsOf: sentAt, Revision: response.Revision, ReachesPlatform: response.ReachesPlatform})
		return
	}
	if s.store.View().State.Revision >= response.Revision {
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

// fetchState fetches and applies the whole state of a peer, without confirming it.
func (s *Syncer) fetchState(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	response, err := mesh.Call[fetchRequest, stateMessage](ctx, s.mesh, peer, methodFetch, &fetchRequest{})
	if err != nil {
		s.log.Warnf("Fetching the state from %s failed: %v.", peer, err)
		return
	}
	state, err := response.decode()
	if err != nil {
		s.log.Errorf("State fetched from %s rejected: %v.", peer, err)
		return
	}
	s.store.Apply(state, time.Time{})
}

func (s *Syncer) onStatus(_ context.Context, from mesh.Peer, request *statusRequest) (*status, error) {
	view := s.store.View()
	if request.Revision > view.State.Revision {
		s.triggerExchange(from.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	response := &status{
		Revision:        view.State.Revision,
		Nonce:           view.State.Change.Nonce,
		ConfirmedAgeMS:  neverConfirmed,
		Authoritative:   s.freshness.IsAuthoritative(now) && view.State.Revision > 0,
		ReachesPlatform: !s.platformReachedAt.IsZero() && now.Sub(s.platformReachedAt) <= platformReachableTimeout,
	}
	if !view.ConfirmedAt.IsZero() {
		response.ConfirmedAgeMS = ageMS(now, view.ConfirmedAt)
	}
	if now.Sub(view.ConfirmedAt) <= relayAfter {
		return response, nil
	}
	for zone, z := range s.freshness.RecentReports(now) {
		response.Zones = append(response.Zones, zoneStatus{Zone: zone, AgeMS: ageMS(now, z.AsOf), Revision: z.Revision, ReachesPlatform: z.ReachesPlatform})
	}
	return response, nil
}

func (s *Syncer) onFetch(context.Context, mesh.Peer, *fetchRequest) (*stateMessage, error) {
	return encodeForPeers(s.store.View().State)
}

func (s *Syncer) onPush(_ context.Context, _ mesh.Peer, m *stateMessage) (*pushResponse, error) {
	state, err := m.decode()
	if err != nil {
		return nil, err
	}
	s.store.Apply(state, time.Time{})
	return &pushResponse{Revision: s.store.View().State.Revision}, nil
}
