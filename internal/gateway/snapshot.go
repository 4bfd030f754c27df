package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/streamversion"
)

// methodSnapshot requests the snapshot of a peer.
const methodSnapshot = "gateway.snapshot"

type snapshotRequest struct{}

// snapshot holds all objects that an instance follows, as one full update for each
// prefix.
type snapshot struct {
	Updates [][]byte `msgpack:"w"`
	// AgeMS is the time since the store confirmed the oldest of them, in milliseconds.
	AgeMS int64 `msgpack:"a"`
	// Levels are what the peer believes to be left of the accounts' units.
	Levels []allowance.AccountLevel `msgpack:"q,omitempty"`
	// Rates are the request rates that targets name.
	Rates []allowance.RateUpdate `msgpack:"r,omitempty"`
	// Assignments and Streams tell the software versions of streams.
	Assignments streamversion.History  `msgpack:"va,omitempty"`
	Streams     []streamversion.Record `msgpack:"vs,omitempty"`
	// Departed are the targets that leave or have left, as the peer knows.
	Departed []fleet.Departed `msgpack:"d,omitempty"`
	// MayBeCold are the targets that may have become cold without announcing it.
	MayBeCold []dispatch.ColdSuspicion `msgpack:"c,omitempty"`
	// Suspicions are the prompt parts and requests under which targets crashed.
	Suspicions []quarantine.Suspicion `msgpack:"p,omitempty"`
}

// maxFreshSnapshotAge is the age up to which the snapshot of a peer counts as fresh. It
// is the age up to which an update of the configuration or of the targets is not
// overdue.
const maxFreshSnapshotAge = watchWait + follow.OverdueAfter

func (s *storeState) handleSnapshot(context.Context, mesh.Peer, *snapshotRequest) (*snapshot, error) {
	s.packMu.Lock()
	defer s.packMu.Unlock()
	// The versions are read before the objects, which may then be newer. Applying a
	// change twice does no harm.
	var versions snapshotVersions
	var oldest time.Duration
	if state := s.catalog.Current(); state != nil {
		versions.state = state.Version
	}
	for i, f := range s.followers() {
		version, age := f.Confirmed()
		versions.store[i] = version
		oldest = max(oldest, age)
	}
	if s.packedUpdates == nil || versions != s.packedVersions || !versions.complete() {
		updates, err := s.pack(versions)
		if err != nil {
			return nil, err
		}
		s.packedUpdates, s.packedVersions = updates, versions
	}
	return &snapshot{Updates: s.packedUpdates, AgeMS: oldest.Milliseconds(), Departed: s.fleet.Departures(), MayBeCold: s.dispatcher.ColdSuspicions(time.Now())}, nil
}

// snapshotVersions are the store versions of the followers and the version of the
// configuration in force. The latter may come from a peer and be newer.
type snapshotVersions struct {
	store [3]uint64
	state int64
}

// complete reports whether all followers have read the store or received updates. Data
// that comes from stale snapshots of peers alone has no store version.
func (v snapshotVersions) complete() bool {
	return v.store[0] > 0 && v.store[1] > 0 && v.store[2] > 0
}

// pack returns an encoded full update for each follower.
func (s *storeState) pack(versions snapshotVersions) ([][]byte, error) {
	var out [][]byte
	for i, f := range s.followers() {
		u := follow.Update{Prefix: f.Prefix, Full: true, To: versions.store[i], Objects: s.objectsOf(f.Prefix)}
		body, err := u.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, body)
	}
	return out, nil
}

// objectsOf returns the newest readable objects under a prefix.
func (s *storeState) objectsOf(prefix string) []follow.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []follow.Object
	add := func(o platform.Object) { out = append(out, follow.ObjectOf(o)) }
	switch prefix {
	case s.source.ConfigPrefix:
		if len(s.rawConfig.Value) > 0 {
			add(s.rawConfig)
		}
	case s.source.TargetPrefix:
		for _, o := range s.rawTargets {
			add(o)
		}
	case s.source.EvacuationPrefix:
		for _, e := range s.fleet.Evacuations() {
			add(platform.Object{Key: prefix + e.Zone, Version: e.Version})
		}
	}
	return out
}

// applySnapshot applies the snapshot of a peer where the store has not been read yet or
// does not answer. It applies a newer configuration in any case, and reports whether the
// peer has one.
func (s *storeState) applySnapshot(snap *snapshot, now time.Time) (hasConfig bool) {
	age := time.Duration(snap.AgeMS) * time.Millisecond
	s.fleet.AddDepartures(snap.Departed, now)
	s.dispatcher.AddColdSuspicions(snap.MayBeCold, now)
	for _, body := range snap.Updates {
		u, err := follow.DecodeUpdate(body)
		if err != nil {
			s.log.WithError(err).Warn("gateway: Ignoring undecodable snapshot.")
			return hasConfig
		}
		hasConfig = hasConfig || u.Prefix == s.source.ConfigPrefix && len(u.Objects) > 0
		ended := s.eras.Hear(platform.Version(u.To).Era()) != nil
		for _, f := range s.followers() {
			if f.Prefix != u.Prefix {
				continue
			}
			if !ended && age <= maxFreshSnapshotAge && u.To > 0 && f.Version() == 0 {
				f.Apply(u)
				s.catalog.Confirm(now.Add(-age))
				continue
			}
			s.applyStale(u, now)
		}
	}
	return hasConfig
}

// applyStale applies objects that may have been replaced in the store since.
func (s *storeState) applyStale(u follow.Update, now time.Time) {
	list := u.List()
	if u.Prefix == s.source.ConfigPrefix {
		s.applyConfigObjects(list, now)
		return
	}
	known := s.targets.Version()
	if known > 0 && !s.storeIsLost() {
		return
	}
	if u.Prefix == s.source.TargetPrefix {
		// All changes up to the known version were received, among them removals.
		list = slices.DeleteFunc(list, func(o platform.Object) bool { return known > 0 && uint64(o.Version) <= known })
		s.applyTargetChanges(list, known == 0, now)
		return
	}
	for _, o := range list {
		s.fleet.BeginEvacuation(evacuationOf(o))
	}
}
