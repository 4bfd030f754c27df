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
	// tickInterval is how often an instance checks whether it was paused and
	// whether it has to watch the platform.
	tickInterval = 250 * time.Millisecond
	// statusInterval is how often the status of each peer is requested.
	statusInterval = time.Second
	// statusTimeout limits one status exchange, and thereby the time that an
	// exchange adds to relayed ages.
	statusTimeout = time.Second
	fetchTimeout  = 2 * time.Second
	// relayAfter is the confirmation age above which an instance relays its reports
	// of other zones. Below it they are not needed, and they are most of a status.
	relayAfter = 2 * time.Second
	// platformReachableTimeout is how long the platform counts as reachable after
	// the last successful watch call.
	platformReachableTimeout = 2 * time.Second
)

// Members provides the live and the listed instances. membership.Membership
// implements it.
type Members interface {
	// Members returns the live instances, including this one.
	Members() []membership.Member
	// Listed returns the instances in the platform's list when it was last read.
	Listed() []membership.Member
}

// Syncer keeps the state of a store up to date from the platform and from other
// instances, and decides whether it may be served. It is safe for concurrent use.
//
// Lock order: mu before the lock of the store.
type Syncer struct {
	store           *Store
	mesh            mesh.Mesh
	members         Members
	clock           clockwork.Clock
	log             *log.Logger
	metrics         *metrics
	exchangeTrigger chan string

	mu                sync.Mutex
	freshness         *Freshness
	platformReachedAt time.Time
	// resumedAt is when the instance started or last resumed after a pause.
	resumedAt time.Time
}

// NewSyncer returns a syncer for the store and sets it as the store's replicator.
func NewSyncer(store *Store, m mesh.Mesh, members Members, clock clockwork.Clock, registerer prometheus.Registerer, logger *log.Logger) *Syncer {
	now := clock.Now()
	s := &Syncer{
		store:           store,
		mesh:            m,
		members:         members,
		clock:           clock,
		log:             logger,
		exchangeTrigger: make(chan string, 1),
		freshness:       NewFreshness(now),
		resumedAt:       now,
	}
	s.metrics = newMetrics(registerer, s)
	store.SetReplicator(s)
	store.Subscribe(func(*View) { s.triggerExchange("") })
	mesh.Handle(m, methodStatus, s.onStatus)
	mesh.Handle(m, methodFetch, s.onFetch)
	mesh.Handle(m, methodPush, s.onPush)
	return s
}

// Run keeps the state up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.runWatcher(ctx)
	tick := s.clock.NewTicker(tickInterval)
	defer tick.Stop()
	exchange := s.clock.NewTicker(statusInterval)
	defer exchange.Stop()
	for {
		select {
		case <-tick.Chan():
			s.Tick()
		case <-exchange.Chan():
			s.exchangeWithAll(ctx)
		case from := <-s.exchangeTrigger:
			s.exchangeWithAll(ctx)
			if from != "" {
				go s.exchangeWith(ctx, from)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick records that the instance is running and detects pauses. It also updates
// the verdict metric.
func (s *Syncer) Tick() {
	peers := len(s.zonePeers()) > 0
	s.mu.Lock()
	now := s.clock.Now()
	paused := s.freshness.Tick(now, peers)
	if paused {
		s.resumedAt = now
	}
	s.mu.Unlock()
	if paused {
		s.log.Warn("Resumed after a pause.")
		s.triggerExchange("")
	}
	s.metrics.setVerdict(s.Verdict())
}

// triggerExchange makes Run start a round of status exchanges immediately, with an
// extra exchange with from unless it is empty. It does nothing if a trigger is
// already pending.
func (s *Syncer) triggerExchange(from string) {
	select {
	case s.exchangeTrigger <- from:
	default:
	}
}

// runWatcher watches the platform while this instance is a watcher.
func (s *Syncer) runWatcher(ctx context.Context) {
	var w watch
	for ctx.Err() == nil {
		if s.IsWatcher() {
			s.watchAndRecord(ctx, &w)
			continue
		}
		select {
		case <-s.clock.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

// watchAndRecord makes one watch call to the platform and records its outcome.
func (s *Syncer) watchAndRecord(ctx context.Context, w *watch) {
	if !s.store.watchWithBackoff(ctx, w) {
		s.metrics.platformFailures.Inc()
		return
	}
	s.metrics.confirmations.Inc()
	s.recordPlatformResponse()
}

// recordPlatformResponse records a successful watch call: the platform is
// reachable, and this instance has the newest state of its zone.
func (s *Syncer) recordPlatformResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformReachedAt = s.clock.Now()
	s.freshness.MarkAuthoritative()
}

// IsWatcher reports whether this instance has to watch the platform for its zone.
func (s *Syncer) IsWatcher() bool {
	now := s.clock.Now()
	return isWatcher(s.mesh.Self(), s.members.Members(), now.Sub(s.confirmedAt()))
}

func (s *Syncer) confirmedAt() time.Time { return s.store.View().ConfirmedAt }

// Verdict returns on which grounds the current state may be served now, if any.
// It reads the clock after the view, so that a pause in between adds to the age of
// the view.
func (s *Syncer) Verdict() Verdict {
	view := s.store.View()
	zones := knownZones(view, s.members.Members(), s.members.Listed())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Confirm(view.ConfirmedAt)
	return s.freshness.Verdict(s.clock.Now(), s.mesh.Self().Zone, view.State.Revision, zones)
}

// knownZones returns the zones of the document and of all known instances.
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
