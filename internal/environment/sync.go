package environment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	// tickInterval is how often an instance checks that it was not paused and
	// whether it has to follow the platform.
	tickInterval = 250 * time.Millisecond
	// statusInterval is how often each peer is asked for its status.
	statusInterval = time.Second
	// statusTimeout bounds one exchange, and with it the time that an answer
	// adds to ages.
	statusTimeout = time.Second
	fetchTimeout  = 2 * time.Second
	// passOnAfter is the confirmation age from which statements of zones are
	// passed on. Before, nobody needs them, and they are most of a status.
	passOnAfter = 2 * time.Second
	// reachedFor is how long a call that the platform answered counts.
	reachedFor = 2 * time.Second
)

// Members is what the environment needs to know of other instances;
// membership.Membership is one.
type Members interface {
	// Members returns the instances that are alive, this one included.
	Members() []membership.Member
	// Listed returns the instances that the platform's list named last.
	Listed() []membership.Member
}

// Syncer keeps the state of a store fresh by the platform and by other
// instances, and tells for how long it may be served. It is safe for concurrent
// use.
//
// Lock order: mu before the lock of the store.
type Syncer struct {
	store   *Store
	mesh    mesh.Mesh
	members Members
	clock   clockwork.Clock
	log     *log.Logger
	metrics *metrics
	syncNow chan string

	mu        sync.Mutex
	freshness *Freshness
	reachedAt time.Time
	// wokeAt is when the instance started or last came out of a pause.
	wokeAt time.Time
}

// NewSyncer returns a syncer that propagates the changes of the store.
func NewSyncer(store *Store, m mesh.Mesh, members Members, clock clockwork.Clock, registerer prometheus.Registerer, logger *log.Logger) *Syncer {
	now := clock.Now()
	s := &Syncer{
		store:     store,
		mesh:      m,
		members:   members,
		clock:     clock,
		log:       logger,
		syncNow:   make(chan string, 1),
		freshness: NewFreshness(now),
		wokeAt:    now,
	}
	s.metrics = newMetrics(registerer, s)
	store.SetReplicator(s)
	store.Subscribe(func(*View) { s.wake("") })
	mesh.Handle(m, methodStatus, s.onStatus)
	mesh.Handle(m, methodFetch, s.onFetch)
	mesh.Handle(m, methodPush, s.onPush)
	return s
}

// Run keeps the state fresh until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.follow(ctx)
	tick := s.clock.NewTicker(tickInterval)
	defer tick.Stop()
	exchange := s.clock.NewTicker(statusInterval)
	defer exchange.Stop()
	for {
		select {
		case <-tick.Chan():
			s.Tick()
		case <-exchange.Chan():
			s.askAll(ctx)
		case from := <-s.syncNow:
			s.askAll(ctx)
			if from != "" {
				go s.ask(ctx, from)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick notes that the instance runs.
func (s *Syncer) Tick() {
	peers := len(s.zonePeers()) > 0
	s.mu.Lock()
	now := s.clock.Now()
	paused := s.freshness.Tick(now, peers)
	if paused {
		s.wokeAt = now
	}
	s.mu.Unlock()
	if paused {
		s.log.Warn("Woken from a pause.")
		s.wake("")
	}
	s.metrics.note(s.Verdict())
}

// wake makes a round of exchanges start at once.
func (s *Syncer) wake(from string) {
	select {
	case s.syncNow <- from:
	default:
	}
}

// follow confirms by the platform while it is this instance's duty.
func (s *Syncer) follow(ctx context.Context) {
	var w watch
	for ctx.Err() == nil {
		if s.IsWatcher() {
			s.confirmOnce(ctx, &w)
			continue
		}
		select {
		case <-s.clock.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

// confirmOnce makes one call to the platform.
func (s *Syncer) confirmOnce(ctx context.Context, w *watch) {
	if !s.store.step(ctx, w) {
		s.metrics.platformFailures.Inc()
		return
	}
	s.metrics.confirmations.Inc()
	s.reached()
}

// reached notes an answer of the platform that showed the newest state.
func (s *Syncer) reached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachedAt = s.clock.Now()
	s.freshness.MarkAuthoritative()
}

// IsWatcher reports whether this instance has to follow the platform.
func (s *Syncer) IsWatcher() bool {
	now := s.clock.Now()
	return isConfirmer(s.mesh.Self(), s.members.Members(), now.Sub(s.confirmedAt()))
}

func (s *Syncer) confirmedAt() time.Time { return s.store.View().ConfirmedAt }

// Verdict tells by which knowledge the present state may be served now. The
// clock is read after the view, so that a pause in between makes the view older.
func (s *Syncer) Verdict() Verdict {
	view := s.store.View()
	zones := knownZones(view, s.members.Members(), s.members.Listed())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Confirm(view.ConfirmedAt)
	return s.freshness.Verdict(s.clock.Now(), s.mesh.Self().Zone, view.State.Revision, zones)
}

// knownZones returns the zones of the document and of all instances heard of.
func knownZones(view *View, known ...[]membership.Member) []string {
	var zones []string
	for _, z := range view.State.Document.Zones {
		zones = append(zones, z.Name)
	}
	for _, members := range known {
		for _, m := range members {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// zonePeers returns the other live instances of the zone.
func (s *Syncer) zonePeers() []membership.Member {
	self := s.mesh.Self()
	var out []membership.Member
	for _, m := range s.members.Members() {
		if m.Zone == self.Zone && m.Name != self.Name {
			out = append(out, m)
		}
	}
	return out
}
