package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// Source names what operators and targets write to the store, and reads it.
type Source struct {
	ConfigPrefix     string
	ConfigKey        string
	TargetPrefix     string
	EvacuationPrefix string
	DecodeConfig     func(value []byte) (*catalog.State, error)
	DecodeTarget     func(id string, value []byte) (fleet.Announcement, error)
}

// followed is what an instance follows in the store: the state in force, the
// targets and the evacuated zones. It keeps the newest readable value of each
// object, so that an instance that starts while the store is away can take them
// from a peer.
type followed struct {
	source  Source
	catalog *catalog.Holder
	fleet   *fleet.Table
	board   *dispatch.Dispatcher
	log     log.Interface

	config, targets, evacuations *follow.Follower

	mu        sync.Mutex
	rawConfig platform.Object
	rawTarget map[string]platform.Object
	// lost is set while the store does not answer; backAt is when it answered first,
	// or again.
	lost   bool
	backAt time.Time

	// packed is the last snapshot given and packedAt what it holds: after a loss of
	// many instances all of them ask at once. Lock order: packing before mu.
	packing  sync.Mutex
	packed   [][]byte
	packedAt snapshotVersions
}

const (
	// watchWait is how long a watch of the configuration and of the targets waits:
	// a change has to act within two seconds, and the store may stop telling
	// changes for a while without a word.
	watchWait = time.Second
	// evacuationWait is the same for evacuated zones, for which there is more
	// time.
	evacuationWait = 2 * time.Second
)

// followWiring is what followers need of the instance.
type followWiring struct {
	objects  platform.Objects
	watching func() bool
	leading  func() bool
	relay    func(w follow.Update)
}

func newFollowed(source Source, c *catalog.Holder, f *fleet.Table, b *dispatch.Dispatcher, logger log.Interface) *followed {
	return &followed{source: source, catalog: c, fleet: f, board: b, log: logger, rawTarget: make(map[string]platform.Object)}
}

// wire makes the followers.
func (s *followed) wire(w followWiring) {
	make := func(prefix string, wait time.Duration, sink follow.Sink) *follow.Follower {
		return follow.New(follow.Config{
			Objects: w.objects, Prefix: prefix, Wait: wait, Sink: sink, Watching: w.watching, Leading: w.leading, Relay: w.relay,
			OnFailure: s.storeLost, OnSuccess: s.storeBack, Log: s.log,
		})
	}
	s.config = make(s.source.ConfigPrefix, watchWait, configSink{s})
	s.targets = make(s.source.TargetPrefix, watchWait, targetSink{s})
	s.evacuations = make(s.source.EvacuationPrefix, evacuationWait, evacuationSink{s})
}

// all lists the followers.
func (s *followed) all() [3]*follow.Follower {
	return [3]*follow.Follower{s.config, s.targets, s.evacuations}
}

// heard takes a word of the instance that watches.
func (s *followed) heard(w follow.Update) {
	for _, f := range s.all() {
		if f.Prefix == w.Prefix {
			f.Apply(w)
		}
	}
	// The peer reads the store: what it lists is as the store has it.
	now := time.Now()
	s.catalog.Confirm(now)
	s.fleet.StoreBack(now)
}

// Sinks of the three followers.
type (
	configSink     struct{ *followed }
	targetSink     struct{ *followed }
	evacuationSink struct{ *followed }
)

func (s configSink) Replace(list []platform.Object, now time.Time) { s.configListed(list, now) }
func (s configSink) Change(list []platform.Object, now time.Time)  { s.configListed(list, now) }
func (s targetSink) Replace(list []platform.Object, now time.Time) { s.targetsListed(list, now) }
func (s targetSink) Change(list []platform.Object, now time.Time)  { s.targetsChanged(list, now) }
func (s evacuationSink) Replace(list []platform.Object, now time.Time) {
	s.evacuationsListed(list, now)
}
func (s evacuationSink) Change(list []platform.Object, now time.Time) {
	for _, o := range list {
		s.evacuationChanged(o, now)
	}
}

func (s *followed) storeLost(err error) {
	s.fleet.StoreLost()
	s.mu.Lock()
	first := !s.lost
	s.lost = true
	s.mu.Unlock()
	if first {
		s.log.WithError(err).Warn("gateway: Store lost.")
	}
}

func (s *followed) storeBack(now time.Time) {
	s.catalog.Confirm(now)
	s.mu.Lock()
	before := s.lost
	s.lost = false
	if before || s.backAt.IsZero() {
		s.backAt = now
	}
	s.mu.Unlock()
	if before {
		s.fleet.StoreBack(now)
		s.log.Info("gateway: Store back.")
	}
}

func (s *followed) configListed(list []platform.Object, now time.Time) {
	for _, o := range list {
		s.configChanged(o, now)
	}
}

func (s *followed) configChanged(o platform.Object, now time.Time) {
	if o.Key != s.source.ConfigKey || o.Deleted {
		return
	}
	state, err := s.source.DecodeConfig(o.Value)
	if err != nil {
		s.log.WithField("version", uint64(o.Version)).WithError(err).Warn("gateway: Configuration unreadable, keeping the last.")
		return
	}
	if !s.catalog.SetIfNewer(state, now) {
		return
	}
	s.mu.Lock()
	s.rawConfig = o
	s.mu.Unlock()
	s.log.WithFields(log.Fields{"version": state.Version, "routes": len(state.Routes), "accounts": len(state.Accounts)}).Info("gateway: State in force.")
}

func (s *followed) targetsListed(list []platform.Object, now time.Time) {
	var all []fleet.Announcement
	s.mu.Lock()
	s.rawTarget = make(map[string]platform.Object, len(list))
	for _, o := range list {
		if a, ok := s.readTarget(o); ok {
			s.rawTarget[o.Key] = o
			all = append(all, a)
		}
	}
	s.mu.Unlock()
	s.noteRestarts(all, now)
	s.fleet.Replace(all, now)
	s.log.WithField("targets", len(all)).Debug("gateway: Targets listed.")
}

func (s *followed) readTarget(o platform.Object) (fleet.Announcement, bool) {
	a, err := s.source.DecodeTarget(follow.NameOf(o.Key), o.Value)
	if err != nil {
		s.log.WithField("target", follow.NameOf(o.Key)).WithError(err).Warn("gateway: Announcement unreadable, not used.")
		return a, false
	}
	return a, true
}

func (s *followed) targetsChanged(list []platform.Object, now time.Time) {
	var changes []fleet.Change
	var announced []fleet.Announcement
	s.mu.Lock()
	for _, o := range list {
		a, ok := fleet.Announcement{ID: follow.NameOf(o.Key)}, false
		if !o.Deleted {
			a, ok = s.readTarget(o)
		}
		if !ok {
			delete(s.rawTarget, o.Key)
			changes = append(changes, fleet.Change{Announcement: fleet.Announcement{ID: follow.NameOf(o.Key)}, Removed: true})
			continue
		}
		s.rawTarget[o.Key] = o
		changes = append(changes, fleet.Change{Announcement: a})
		announced = append(announced, a)
	}
	s.mu.Unlock()
	s.noteRestarts(announced, now)
	s.fleet.Apply(changes, now)
	s.logTargets(changes)
}

func (s *followed) logTargets(changes []fleet.Change) {
	for _, c := range changes {
		if c.Removed {
			s.log.WithField("target", c.ID).Info("gateway: Announcement removed.")
			continue
		}
		s.log.WithFields(log.Fields{
			"target": c.ID, "draining": c.Draining, "cold_ms": c.ColdLeft.Milliseconds(), "models": len(c.Models),
		}).Info("gateway: Target announced.")
	}
}

// noteRestarts tells the dispatcher which targets have restarted.
func (s *followed) noteRestarts(list []fleet.Announcement, now time.Time) {
	known := s.fleet.View().Targets
	for _, a := range list {
		if old := known[a.ID]; old != nil && old.BornMS != a.BornMS {
			s.board.Restarted(a.ID, now)
		}
	}
}

func (s *followed) evacuationsListed(list []platform.Object, now time.Time) {
	before := s.fleet.View().Evacuated
	var zones []string
	for _, o := range list {
		zones = append(zones, follow.NameOf(o.Key))
	}
	s.fleet.Evacuate(zones)
	after := s.fleet.View().Evacuated
	for zone := range before {
		if !after[zone] {
			s.takenBack(zone, now)
		}
	}
}

func (s *followed) evacuationChanged(o platform.Object, now time.Time) {
	zone := follow.NameOf(o.Key)
	s.fleet.EvacuateZone(zone, !o.Deleted)
	if o.Deleted {
		s.takenBack(zone, now)
		return
	}
	s.log.WithField("zone", zone).Info("gateway: Zone taken out.")
}

// takenBack notes that the targets of a zone may have become cold meanwhile.
func (s *followed) takenBack(zone string, now time.Time) {
	s.log.WithField("zone", zone).Info("gateway: Zone taken back.")
	for id, t := range s.fleet.View().Targets {
		if t.Zone == zone {
			s.board.SuspectCold(id, now)
		}
	}
}

// answeredFor returns how long the store has been answering this instance.
func (s *followed) answeredFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.backAt.IsZero() {
		return 0
	}
	return now.Sub(s.backAt)
}

// storeIsLost reports whether the store does not answer this instance.
func (s *followed) storeIsLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}
