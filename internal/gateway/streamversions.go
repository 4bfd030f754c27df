package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/streamversion"
)

const (
	// assignmentKey is the object that holds the assignments of software versions. The
	// platform keeps objects of the kind "versions" for itself and rejects writes to them.
	assignmentKey = "streamversions/assignment"
	// streamsPrefix is the prefix of the objects that hold the recorded versions of streams,
	// one for each instance.
	streamsPrefix = "streams/"
	// versionsRetryDelay is the time between attempts to read or write these objects, and
	// between two writes of either.
	versionsRetryDelay = time.Second
	// versionsReadTimeout bounds a read of either.
	versionsReadTimeout = 500 * time.Millisecond
	// maxStoredStreams bounds the streams in the object of an instance.
	maxStoredStreams = 5_000
)

// storedVersions is what keepStreamVersions knows of the stored objects.
type storedVersions struct {
	// unread is set while they have to be read. A peer that gave a snapshot knows them.
	unread bool
	// assignment is the version of the stored assignment, streams that of the own streams.
	assignment, streams platform.Version
	// revision is the revision of the own records that was last written.
	revision uint64
	// writtenAt is when the own records were last written.
	writtenAt time.Time
}

// readStreamVersions reads the stored assignment, and the stored streams if any is needed to
// tell their versions.
func (g *Gateway) readStreamVersions(ctx context.Context) {
	s := &g.storedVersions
	ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
	defer cancel()
	history, err := g.readAssignment(ctx)
	if err != nil {
		g.log.WithError(err).Info("gateway: Cannot read the software versions of streams yet.")
		return
	}
	if s.unread && isMixed(history) {
		list, _, err := g.deps.Objects.List(ctx, streamsPrefix)
		if err != nil {
			g.log.WithError(err).Info("gateway: Cannot read the software versions of streams yet.")
			return
		}
		g.applyStoredStreams(list)
	}
	s.unread = false
	g.versions.Adopt(history, true, time.Now())
}

// isMixed reports whether any service may have had several versions lately.
func isMixed(h streamversion.History) bool {
	for _, a := range h {
		for _, weights := range a.Services {
			if len(weights) > 1 {
				return true
			}
		}
	}
	return len(h) != 1
}

// readAssignment returns the stored assignments, none if there are none.
func (g *Gateway) readAssignment(ctx context.Context) (streamversion.History, error) {
	o, err := g.deps.Objects.Get(ctx, assignmentKey)
	if errors.Is(err, platform.ErrNotFound) {
		g.storedVersions.assignment = 0
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var history streamversion.History
	if err := json.Unmarshal(o.Value, &history); err != nil {
		g.log.WithError(err).Warn("gateway: Cannot decode the stored assignment of software versions.")
	}
	g.storedVersions.assignment = o.Version
	return history, nil
}

func (g *Gateway) applyStoredStreams(list []platform.Object) {
	for _, o := range list {
		var records []streamversion.Record
		if err := json.Unmarshal(o.Value, &records); err != nil {
			g.log.WithField("key", o.Key).WithError(err).Warn("gateway: Cannot decode stored streams.")
			continue
		}
		if o.Key == streamsPrefix+g.settings.Name {
			g.storedVersions.streams = o.Version
			g.versions.ApplyFormer(records, time.Now())
			continue
		}
		g.versions.Apply(records, time.Now())
	}
}

// keepStreamVersions reads what is stored if that is still due. While this instance watches
// the store, it assigns new streams to the versions that serve; it always stores those of
// its streams that a new process could not tell the version of.
func (g *Gateway) keepStreamVersions(ctx context.Context) error {
	for g.storedVersions.unread {
		if !pause.For(ctx, versionsRetryDelay) {
			return ctx.Err()
		}
		g.readStreamVersions(ctx)
	}
	for pause.For(ctx, housekeepingInterval) {
		g.versions.Prune(time.Now())
		if err := errors.Join(g.assignVersions(ctx), g.storeStreams(ctx)); err != nil {
			g.log.WithError(err).Info("gateway: Cannot store the software versions of streams yet.")
			pause.For(ctx, versionsRetryDelay)
		}
	}
	return ctx.Err()
}

// servingVersions counts the usable targets of each software version.
func (g *Gateway) servingVersions() map[string]streamversion.Weights {
	out := make(map[string]streamversion.Weights)
	for service, targets := range g.fleet.View().ByService {
		weights := make(streamversion.Weights)
		for _, t := range targets {
			weights[t.Version]++
		}
		out[service] = weights
	}
	return out
}

// assignVersions writes a new assignment if the versions that serve have changed. It comes
// into force once it is stored.
func (g *Gateway) assignVersions(ctx context.Context) error {
	if g.assignmentLost.Load() && g.watching() {
		return g.restoreAssignment(ctx)
	}
	history, changed := g.versions.Next(g.servingVersions(), time.Now())
	first := !g.versions.Known() && g.leading()
	if !changed || !g.watching() && !first || g.ready.isLeaving() || g.store.storeIsLost() {
		return nil
	}
	value, err := json.Marshal(history)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
	defer cancel()
	o, err := g.deps.Objects.Put(ctx, assignmentKey, value, g.storedVersions.assignment)
	if err != nil {
		// Another watcher may have written, or an answer was lost.
		if stored, readErr := g.readAssignment(ctx); readErr == nil {
			g.versions.Adopt(stored, true, time.Now())
		}
		return err
	}
	g.storedVersions.assignment = o.Version
	g.versions.Adopt(history, false, time.Now())
	g.assignmentChanged.Store(true)
	g.exchange.TriggerBroadcast()
	g.log.WithFields(log.Fields{"revision": history[0].Revision, "services": len(history[0].Services)}).Info("gateway: Streams are assigned to software versions.")
	return nil
}

// restoreAssignment writes the assignment in force again if the store, which came back from
// a copy of itself, has an older one.
func (g *Gateway) restoreAssignment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
	defer cancel()
	stored, err := g.readAssignment(ctx)
	if err != nil {
		return err
	}
	history := g.versions.History(time.Now())
	if len(history) > 0 && (len(stored) == 0 || stored[0].Revision < history[0].Revision) {
		value, err := json.Marshal(history)
		if err != nil {
			return err
		}
		o, err := g.deps.Objects.Put(ctx, assignmentKey, value, g.storedVersions.assignment)
		if err != nil {
			return err
		}
		g.storedVersions.assignment = o.Version
	}
	g.assignmentLost.Store(false)
	return nil
}

// storeStreams writes the records of this instance if they have changed.
func (g *Gateway) storeStreams(ctx context.Context) error {
	s := &g.storedVersions
	now := time.Now()
	if g.versions.Revision() == s.revision || now.Sub(s.writtenAt) < versionsRetryDelay || g.store.storeIsLost() {
		return nil
	}
	records, revision := g.versions.Own(now)
	value, err := json.Marshal(records[:min(len(records), maxStoredStreams)])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
	defer cancel()
	s.writtenAt = now
	key := streamsPrefix + g.settings.Name
	o, err := g.deps.Objects.Put(ctx, key, value, s.streams)
	if err != nil {
		if stored, readErr := g.deps.Objects.Get(ctx, key); readErr == nil {
			g.applyStoredStreams([]platform.Object{stored})
		} else if errors.Is(readErr, platform.ErrNotFound) {
			s.streams = 0
		}
		return err
	}
	s.streams, s.revision = o.Version, revision
	return nil
}

// fillVersions adds the assignment and the records of streams to a status.
func (g *Gateway) fillVersions(s *peers.Status, full bool) {
	now := time.Now()
	if g.assignmentChanged.Swap(false) || full && g.watching() {
		s.Assignments = g.versions.History(now)
	}
	s.Streams = g.versions.Updates(full, now)
}

// applyVersions applies those of a peer.
func (g *Gateway) applyVersions(assignments streamversion.History, streams []streamversion.Record, now time.Time) {
	g.versions.Adopt(assignments, false, now)
	g.versions.Apply(streams, now)
}
