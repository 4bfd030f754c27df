package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quarantine"
)

const (
	// quarantineKey is the object that holds the prompt parts and requests that are quarantined
	// or on trial, for a fleet whose instances are all lost at once.
	quarantineKey = "quarantine/parts"
	// quarantineRetryDelay is the time between attempts to read or write that object.
	quarantineRetryDelay = time.Second
	// quarantineReadTimeout bounds a read of that object.
	quarantineReadTimeout = 500 * time.Millisecond
	// maxStoredParts bounds the parts and requests in that object.
	maxStoredParts = 64
)

// storedQuarantine is the stored object. Parts holds requests too. The ages in it are those
// at WrittenMS.
type storedQuarantine struct {
	WrittenMS int64                  `json:"written_ms"`
	Parts     []quarantine.Suspicion `json:"parts"`
}

// quarantineStore is the state of the stored quarantine. bootstrapFromPeers uses it, and
// keepQuarantine after that.
type quarantineStore struct {
	// unread is set while the object has to be read. A peer that gave a snapshot knows the
	// quarantine or reads it itself.
	unread bool
	// revision is the revision of the tracker that was last written, and version that of
	// the object.
	revision uint64
	version  platform.Version
}

// keepQuarantine reads the stored quarantine if that is still due, and then writes it when
// it changes while this instance watches the store.
func (g *Gateway) keepQuarantine(ctx context.Context) error {
	s := &g.storedParts
	for s.unread {
		if !pause.For(ctx, quarantineRetryDelay) {
			return ctx.Err()
		}
		g.readQuarantine(ctx)
	}
	for pause.For(ctx, housekeepingInterval) {
		if g.quarantine.Revision() == s.revision || !g.watching() {
			continue
		}
		if err := g.writeQuarantine(ctx); err != nil {
			g.log.WithError(err).Info("gateway: Cannot store the quarantine yet.")
			pause.For(ctx, quarantineRetryDelay)
		}
	}
	return ctx.Err()
}

// readQuarantine reads the object, and takes over its parts while they are unread. Later
// they are known from the peers, and may have been lifted since.
func (g *Gateway) readQuarantine(ctx context.Context) {
	s := &g.storedParts
	unread := s.unread
	ctx, cancel := context.WithTimeout(ctx, quarantineReadTimeout)
	defer cancel()
	o, err := g.deps.Objects.Get(ctx, quarantineKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		g.log.WithError(err).Info("gateway: Cannot read the stored quarantine yet.")
		return
	}
	s.unread = false
	if err != nil {
		s.version = 0
		return
	}
	s.version = o.Version
	if !unread {
		return
	}
	var stored storedQuarantine
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		g.log.WithError(err).Warn("gateway: Cannot decode stored quarantine.")
		return
	}
	now := time.Now()
	age := max(0, now.Sub(time.UnixMilli(stored.WrittenMS)))
	for i := range stored.Parts {
		stored.Parts[i].Age(age)
	}
	written := g.quarantine.Revision() == s.revision
	g.quarantine.Merge(stored.Parts, now)
	if written {
		s.revision = g.quarantine.Revision()
	}
}

func (g *Gateway) writeQuarantine(ctx context.Context) error {
	s := &g.storedParts
	now := time.Now()
	parts, revision := g.quarantine.Held(now)
	value, err := json.Marshal(storedQuarantine{WrittenMS: now.UnixMilli(), Parts: parts[:min(len(parts), maxStoredParts)]})
	if err != nil {
		return err
	}
	o, err := g.deps.Objects.Put(ctx, quarantineKey, value, s.version)
	if err != nil {
		g.readQuarantine(ctx)
		return err
	}
	s.version, s.revision = o.Version, revision
	return nil
}
