package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// Source names what operators and targets write to the store, and decodes it.
type Source struct {
	ConfigPrefix     string
	ConfigKey        string
	TargetPrefix     string
	EvacuationPrefix string
	DecodeConfig     func(value []byte) (*catalog.State, error)
	DecodeTarget     func(id string, value []byte) (fleet.Announcement, error)
}

// storeState is the data that an instance follows in the store: the configuration in
// force, the targets and the evacuated zones. It keeps the newest readable value of each
// object, so that an instance that starts during an outage of the store can fetch them
// from a peer.
type storeState struct {
	source     Source
	catalog    *catalog.Holder
	fleet      *fleet.Table
	dispatcher *dispatch.Dispatcher
	eras       *platform.Eras
	log        log.Interface

	config, targets, evacuations *follow.Follower
	// confirmed is set once the store or the watcher has confirmed the data of a peer.
	confirmed atomic.Bool

	mu         sync.Mutex
	rawConfig  platform.Object
	rawTargets map[string]platform.Object
	// lost is set while the store does not answer. answeringSince is when it answered
	// for the first time, or again after an outage.
	lost           bool
	answeringSince time.Time

	// packedUpdates is the last encoded snapshot, and packedVersions its versions. It
	// is cached because many instances that restart together all request it at once.
	// Lock order: packMu before mu.
	packMu         sync.Mutex
	packedUpdates  [][]byte
	packedVersions snapshotVersions
}

const (
	// watchWait is how long a watch of the configuration or of the targets waits. A
	// change has to take effect within two seconds, and the store may silently stop
	// reporting changes for a while.
	watchWait = time.Second
	// evacuationWait is the same for evacuations, which may take effect later.
	evacuationWait = 2 * time.Second
)

// followerConfig is what followers need from the instance.
type followerConfig struct {
	objects  platform.Objects
	watching func() bool
	leading  func() bool
	relay    func(u follow.Update)
}

func newStoreState(source Source, c *catalog.Holder, f *fleet.Table, d *dispatch.Dispatcher, eras *platform.Eras, logger log.Interface) *storeState {
	s := &storeState{source: source, catalog: c, fleet: f, dispatcher: d, eras: eras, log: logger, rawTargets: make(map[string]platform.Object)}
	eras.OnChange(s.enterEra)
	return s
}

// wire creates the followers.
func (s *storeState) wire(c followerConfig) {
	newFollower := func(prefix string, wait time.Duration, sink follow.Sink) *follow.Follower {
		return follow.New(follow.Config{
			Objects: c.objects, Prefix: prefix, Wait: wait, Sink: sink, Watching: c.watching, Leading: c.leading, Relay: c.relay,
			OnFailure: s.onStoreFailure, OnSuccess: s.onStoreSuccess, Log: s.log,
		})
	}
	s.config = newFollower(s.source.ConfigPrefix, watchWait, configSink{s})
	s.targets = newFollower(s.source.TargetPrefix, watchWait, targetSink{s})
	s.evacuations = newFollower(s.source.EvacuationPrefix, evacuationWait, evacuationSink{s})
}

// followers returns all followers.
func (s *storeState) followers() [3]*follow.Follower {
	return [3]*follow.Follower{s.config, s.targets, s.evacuations}
}

// applyUpdate applies an update of the watcher.
func (s *storeState) applyUpdate(u follow.Update) {
	if s.eras.Hear(platform.Version(u.To).Era()) != nil {
		return
	}
	for _, f := range s.followers() {
		if f.Prefix == u.Prefix {
			f.Apply(u)
		}
	}
	// The watcher reads the store, so its update confirms that the data is current.
	s.confirmed.Store(true)
	now := time.Now()
	s.catalog.Confirm(now)
	s.fleet.StoreBack(now)
}

// Sinks of the three followers.
type (
	configSink     struct{ *storeState }
	targetSink     struct{ *storeState }
	evacuationSink struct{ *storeState }
)

func (s configSink) Replace(list []platform.Object, now time.Time) { s.applyConfigObjects(list, now) }
func (s configSink) Change(list []platform.Object, now time.Time)  { s.applyConfigObjects(list, now) }
func (s targetSink) Replace(list []platform.Object, now time.Time) { s.replaceTargets(list, now) }
func (s targetSink) Change(list []platform.Object, now time.Time) {
	s.applyTargetChanges(list, false, now)
}
func (s evacuationSink) Replace(list []platform.Object, now time.Time) {
	s.replaceEvacuations(list, now)
}
func (s evacuationSink) Change(list []platform.Object, now time.Time) {
	for _, o := range list {
		s.applyEvacuation(o, now)
	}
}

func (s *storeState) onStoreFailure(err error) {
	s.fleet.StoreLost()
	s.mu.Lock()
	first := !s.lost
	s.lost = true
	s.mu.Unlock()
	if first {
		s.log.WithError(err).Warn("gateway: Store does not answer.")
	}
}

func (s *storeState) onStoreSuccess(now time.Time) {
	s.confirmed.Store(true)
	s.catalog.Confirm(now)
	s.mu.Lock()
	wasLost := s.lost
	s.lost = false
	if wasLost || s.answeringSince.IsZero() {
		s.answeringSince = now
	}
	s.mu.Unlock()
	if wasLost {
		s.fleet.StoreBack(now)
		s.log.Info("gateway: Store answers again.")
	}
}

func (s *storeState) applyConfigObjects(list []platform.Object, now time.Time) {
	for _, o := range list {
		s.applyConfig(o, now)
	}
}

func (s *storeState) applyConfig(o platform.Object, now time.Time) {
	if o.Key != s.source.ConfigKey || o.Deleted {
		return
	}
	state, err := s.source.DecodeConfig(o.Value)
	if err != nil {
		s.log.WithField("version", uint64(o.Version)).WithError(err).Warn("gateway: Cannot decode configuration, keeping the current one.")
		return
	}
	if !s.catalog.SetIfNewer(state, now) {
		return
	}
	s.mu.Lock()
	s.rawConfig = o
	s.mu.Unlock()
	s.log.WithFields(log.Fields{"version": state.Version, "routes": len(state.Routes), "accounts": len(state.Accounts)}).Info("gateway: Configuration applied.")
}

func (s *storeState) replaceTargets(list []platform.Object, now time.Time) {
	var all []fleet.Announcement
	s.mu.Lock()
	s.rawTargets = make(map[string]platform.Object, len(list))
	for _, o := range list {
		if a, ok := s.decodeTarget(o); ok {
			s.rawTargets[o.Key] = o
			all = append(all, a)
		}
	}
	s.mu.Unlock()
	s.recordRestarts(all, now)
	s.fleet.Replace(all, now)
	s.log.WithField("targets", len(all)).Debug("gateway: Targets listed.")
}

func (s *storeState) decodeTarget(o platform.Object) (fleet.Announcement, bool) {
	a, err := s.source.DecodeTarget(follow.NameOf(o.Key), o.Value)
	if err != nil {
		s.log.WithField("target", follow.NameOf(o.Key)).WithError(err).Warn("gateway: Ignoring undecodable announcement.")
		return a, false
	}
	return a, true
}

// applyTargetChanges applies changed entries of targets. If stale is set, they may be older
// than what is known.
func (s *storeState) applyTargetChanges(list []platform.Object, stale bool, now time.Time) {
	var changes []fleet.Change
	var announced []fleet.Announcement
	s.mu.Lock()
	for _, o := range list {
		a, ok := fleet.Announcement{ID: follow.NameOf(o.Key)}, false
		if !o.Deleted {
			a, ok = s.decodeTarget(o)
		}
		if !ok {
			delete(s.rawTargets, o.Key)
			changes = append(changes, fleet.Change{Announcement: fleet.Announcement{ID: follow.NameOf(o.Key)}, Removed: true})
			continue
		}
		s.rawTargets[o.Key] = o
		changes = append(changes, fleet.Change{Announcement: a, Stale: stale})
		announced = append(announced, a)
	}
	s.mu.Unlock()
	s.recordRestarts(announced, now)
	s.fleet.Apply(changes, now)
	s.logTargets(changes)
}

func (s *storeState) logTargets(changes []fleet.Change) {
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

// recordRestarts reports restarted targets to the dispatcher.
func (s *storeState) recordRestarts(list []fleet.Announcement, now time.Time) {
	known := s.fleet.View().Targets
	for _, a := range list {
		if old := known[a.ID]; old != nil && old.BornMS != a.BornMS {
			s.dispatcher.Restarted(a.ID, now)
		}
	}
}

func (s *storeState) replaceEvacuations(list []platform.Object, now time.Time) {
	var all []fleet.Evacuation
	for _, o := range list {
		all = append(all, evacuationOf(o))
	}
	for _, zone := range s.fleet.Evacuate(all, now) {
		s.evacuationEnded(zone, now)
	}
}

func evacuationOf(o platform.Object) fleet.Evacuation {
	return fleet.Evacuation{Zone: follow.NameOf(o.Key), Version: o.Version}
}

func (s *storeState) applyEvacuation(o platform.Object, now time.Time) {
	e := evacuationOf(o)
	if o.Deleted {
		s.fleet.EndEvacuation(e.Zone)
		s.evacuationEnded(e.Zone, now)
		return
	}
	s.fleet.BeginEvacuation(e)
	s.log.WithField("zone", e.Zone).Info("gateway: Zone evacuated.")
}

// expire drops what is still missing in the store after an outage or a new era.
func (s *storeState) expire(now time.Time) {
	for _, zone := range s.fleet.Expire(now) {
		s.evacuationEnded(zone, now)
	}
}

// enterEra records that the store came back from a copy of itself.
func (s *storeState) enterEra(before, era platform.Era) {
	s.fleet.EraChanged(time.Now())
	s.log.WithFields(log.Fields{"before": int(before), "era": int(era)}).Warn("gateway: Store came back from a copy, leases and entries written since are given up.")
}

// evacuationEnded marks the targets of a zone that is no longer evacuated as suspected to
// be cold, because they may have become cold in the meantime.
func (s *storeState) evacuationEnded(zone string, now time.Time) {
	s.log.WithField("zone", zone).Info("gateway: Zone no longer evacuated.")
	for id, t := range s.fleet.View().Targets {
		if t.Zone == zone {
			s.dispatcher.SuspectCold(id, now)
		}
	}
}

// answeringFor returns how long the store has been answering this instance.
func (s *storeState) answeringFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.answeringSince.IsZero() {
		return 0
	}
	return now.Sub(s.answeringSince)
}

// storeIsLost reports whether the store does not answer this instance.
func (s *storeState) storeIsLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}
