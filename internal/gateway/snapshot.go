package gateway

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// methodSnapshot asks a peer for what it follows.
const methodSnapshot = "gateway.snapshot"

type snapshotRequest struct{}

// snapshot holds what an instance follows, as words that tell all.
type snapshot struct {
	Words [][]byte `msgpack:"w"`
	// AgeMS is how long ago the store confirmed the oldest of them, in
	// milliseconds.
	AgeMS int64 `msgpack:"a"`
}

// freshSnapshot is the age up to which the word of a peer counts as that of the
// store: that of a word that is just not overdue.
const freshSnapshot = watchWait + follow.OverdueAfter

func (s *followed) snapshotAsked(context.Context, mesh.Peer, *snapshotRequest) (*snapshot, error) {
	s.packing.Lock()
	defer s.packing.Unlock()
	// Versions are read before the objects, which may then be newer: changes that
	// come twice do no harm.
	var versions snapshotVersions
	var oldest time.Duration
	if state := s.catalog.Current(); state != nil {
		versions.state = state.Version
	}
	for i, f := range s.all() {
		version, age := f.Confirmed()
		versions.store[i] = version
		oldest = max(oldest, age)
	}
	if s.packed == nil || versions != s.packedAt || !versions.told() {
		words, err := s.pack(versions)
		if err != nil {
			return nil, err
		}
		s.packed, s.packedAt = words, versions
	}
	return &snapshot{Words: s.packed, AgeMS: oldest.Milliseconds()}, nil
}

// snapshotVersions are the versions of the store that the followers know, and of the
// state in force, which may be a newer one by the word of a peer.
type snapshotVersions struct {
	store [3]uint64
	state int64
}

// told reports whether the store has told all: what comes from peers alone bears no
// version.
func (v snapshotVersions) told() bool {
	return v.store[0] > 0 && v.store[1] > 0 && v.store[2] > 0
}

// pack returns a full word for each follower.
func (s *followed) pack(versions snapshotVersions) ([][]byte, error) {
	var out [][]byte
	for i, f := range s.all() {
		w := follow.Update{Prefix: f.Prefix, Full: true, To: versions.store[i], Objects: s.objectsOf(f.Prefix)}
		body, err := w.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, body)
	}
	return out, nil
}

// objectsOf returns the newest readable objects under a prefix.
func (s *followed) objectsOf(prefix string) []follow.Object {
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
		for _, o := range s.rawTarget {
			add(o)
		}
	case s.source.EvacuationPrefix:
		for zone := range s.fleet.View().Evacuated {
			add(platform.Object{Key: prefix + zone, Version: 1})
		}
	}
	return out
}

// takeSnapshot uses the snapshot of a peer for what the store has not told yet,
// or does not tell now.
func (s *followed) takeSnapshot(p *snapshot, now time.Time) {
	age := time.Duration(p.AgeMS) * time.Millisecond
	for _, body := range p.Words {
		w, err := follow.DecodeUpdate(body)
		if err != nil {
			s.log.WithError(err).Warn("gateway: Snapshot unreadable, not used.")
			return
		}
		for _, f := range s.all() {
			if f.Prefix != w.Prefix {
				continue
			}
			if age <= freshSnapshot && w.To > 0 && f.Version() == 0 {
				f.Apply(w)
				s.catalog.Confirm(now.Add(-age))
				continue
			}
			s.takeStale(w, now)
		}
	}
}

// takeStale uses objects that the store may have replaced meanwhile.
func (s *followed) takeStale(w follow.Update, now time.Time) {
	list := w.List()
	if w.Prefix == s.source.ConfigPrefix {
		s.configListed(list, now)
		return
	}
	if s.targets.Version() > 0 && !s.storeIsLost() {
		return
	}
	if w.Prefix == s.source.TargetPrefix {
		s.targetsChanged(list, now)
		return
	}
	for _, o := range list {
		s.fleet.EvacuateZone(follow.NameOf(o.Key), true)
	}
}
