package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// followed is what an instance follows in the store: the state in force, the
// targets and the evacuated zones. It keeps the newest readable value of each
// object, so that an instance that starts while the store is away can take them
// from a peer.
type followed struct {
	source  Source
	catalog *catalog.Holder
	fleet   *fleet.Table
	board   *dispatch.Board
	log     log.Interface

	config, targets, evacuations *watcher

	mu        sync.Mutex
	rawConfig platform.Object
	rawTarget map[string]platform.Object
	// lost is set while the store does not answer.
	lost bool
	// coldZones gives the time until which targets of a zone that was taken back
	// may be cold without having told so.
	coldZones map[string]time.Time
}

func newFollowed(source Source, objects platform.Objects, c *catalog.Holder, f *fleet.Table, b *dispatch.Board, logger log.Interface) *followed {
	s := &followed{
		source: source, catalog: c, fleet: f, board: b, log: logger,
		rawTarget: make(map[string]platform.Object), coldZones: make(map[string]time.Time),
	}
	s.config = newWatcher(objects, source.ConfigPrefix, logger)
	s.config.replace, s.config.change = s.configListed, s.configChanged
	s.targets = newWatcher(objects, source.TargetPrefix, logger)
	s.targets.replace, s.targets.change = s.targetsListed, s.targetChanged
	s.evacuations = newWatcher(objects, source.EvacuationPrefix, logger)
	s.evacuations.replace, s.evacuations.change = s.evacuationsListed, s.evacuationChanged
	for _, w := range []*watcher{s.config, s.targets, s.evacuations} {
		w.lost, w.back = s.storeLost, s.storeBack
	}
	return s
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
	if !s.catalog.Offer(state, now) {
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
	s.log.WithField("targets", len(all)).Info("gateway: Targets listed.")
}

func (s *followed) readTarget(o platform.Object) (fleet.Announcement, bool) {
	a, err := s.source.DecodeTarget(nameOf(o.Key), o.Value)
	if err != nil {
		s.log.WithField("target", nameOf(o.Key)).WithError(err).Warn("gateway: Announcement unreadable, not used.")
		return a, false
	}
	return a, true
}

func (s *followed) targetChanged(o platform.Object, now time.Time) {
	id := nameOf(o.Key)
	if o.Deleted {
		s.mu.Lock()
		delete(s.rawTarget, o.Key)
		s.mu.Unlock()
		s.fleet.Removed(id, now)
		s.log.WithField("target", id).Info("gateway: Announcement removed.")
		return
	}
	a, ok := s.readTarget(o)
	if !ok {
		s.fleet.Removed(id, now)
		return
	}
	s.mu.Lock()
	s.rawTarget[o.Key] = o
	s.mu.Unlock()
	s.noteRestarts([]fleet.Announcement{a}, now)
	s.fleet.Announced(a, now)
	s.log.WithFields(log.Fields{
		"target": id, "draining": a.Draining, "cold_ms": a.ColdLeft.Milliseconds(), "models": len(a.Models), "orders": a.Orders,
	}).Info("gateway: Target announced.")
}

// noteRestarts tells the board of targets that began anew.
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
		zones = append(zones, nameOf(o.Key))
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
	zone := nameOf(o.Key)
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
			s.board.Restarted(id, now)
		}
	}
}

// methodSnapshot asks a peer for what it follows.
const methodSnapshot = "gateway.snapshot"

type snapshotRequest struct{}

// snapshot holds raw objects, which the receiver reads like those of the store.
type snapshot struct {
	Config  []byte            `msgpack:"c"`
	Targets map[string][]byte `msgpack:"t"`
	Zones   []string          `msgpack:"z"`
}

func (s *followed) snapshotAsked(context.Context, mesh.Peer, *snapshotRequest) (*snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &snapshot{Config: s.rawConfig.Value, Targets: make(map[string][]byte, len(s.rawTarget))}
	for key, o := range s.rawTarget {
		out.Targets[key] = o.Value
	}
	for zone := range s.fleet.View().Evacuated {
		out.Zones = append(out.Zones, zone)
	}
	return out, nil
}

// take uses the snapshot of a peer for what the store has not told yet.
func (s *followed) take(p *snapshot, now time.Time) {
	if s.config.at() == 0 && len(p.Config) > 0 {
		s.configChanged(platform.Object{Key: s.source.ConfigKey, Value: p.Config}, now)
	}
	if s.targets.at() == 0 {
		for key, value := range p.Targets {
			s.targetChanged(platform.Object{Key: key, Value: value}, now)
		}
	}
	if s.evacuations.at() == 0 {
		s.fleet.Evacuate(p.Zones)
	}
}
