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
	// quarantineKey is the object that holds the quarantined prompt parts, for a fleet whose
	// instances are all lost at once.
	quarantineKey = "quarantine/parts"
	// quarantineRetryDelay is the time between attempts to read or write that object.
	quarantineRetryDelay = time.Second
	// maxStoredParts bounds the parts in that object.
	maxStoredParts = 64
)

// storedQuarantine is the stored object. The ages in Parts are those at WrittenMS.
type storedQuarantine struct {
	WrittenMS int64                  `json:"written_ms"`
	Parts     []quarantine.Suspicion `json:"parts"`
}

// quarantineStore is the state of keepQuarantine.
type quarantineStore struct {
	// revision is the revision of the tracker that was last written, and version that of
	// the object.
	revision uint64
	version  platform.Version
}

// keepQuarantine reads the stored quarantine if no peer told it, and then writes it when it
// changes while this instance watches the store.
func (g *Gateway) keepQuarantine(ctx context.Context) error {
	var s quarantineStore
	// A peer that gave a snapshot knows the quarantine or reads it itself.
	if g.catalog.Current() == nil {
		for {
			err := g.readQuarantine(ctx, &s)
			if err == nil {
				break
			}
			g.log.WithError(err).Info("gateway: Cannot read quarantined prompt parts yet.")
			if !pause.For(ctx, quarantineRetryDelay) {
				return ctx.Err()
			}
		}
	}
	for pause.For(ctx, housekeepingInterval) {
		if g.quarantine.Revision() == s.revision || !g.watching() {
			continue
		}
		if err := g.writeQuarantine(ctx, &s); err != nil {
			g.log.WithError(err).Info("gateway: Cannot store quarantined prompt parts yet.")
			pause.For(ctx, quarantineRetryDelay)
		}
	}
	return ctx.Err()
}

func (g *Gateway) readQuarantine(ctx context.Context, s *quarantineStore) error {
	o, err := g.deps.Objects.Get(ctx, quarantineKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	s.version = o.Version
	var stored storedQuarantine
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		g.log.WithError(err).Warn("gateway: Cannot decode stored quarantine.")
		return nil
	}
	now := time.Now()
	age := max(0, now.Sub(time.UnixMilli(stored.WrittenMS)))
	for _, p := range stored.Parts {
		for i := range p.Crashes {
			p.Crashes[i].AgoUS += age.Microseconds()
		}
	}
	if g.quarantine.Revision() == s.revision {
		defer func() { s.revision = g.quarantine.Revision() }()
	}
	g.quarantine.Merge(stored.Parts, now)
	return nil
}

func (g *Gateway) writeQuarantine(ctx context.Context, s *quarantineStore) error {
	now := time.Now()
	parts, revision := g.quarantine.Quarantined(now)
	value, err := json.Marshal(storedQuarantine{WrittenMS: now.UnixMilli(), Parts: parts[:min(len(parts), maxStoredParts)]})
	if err != nil {
		return err
	}
	o, err := g.deps.Objects.Put(ctx, quarantineKey, value, s.version)
	if err == nil {
		s.version, s.revision = o.Version, revision
		return nil
	}
	if readErr := g.readQuarantine(ctx, s); readErr != nil {
		return readErr
	}
	return err
}
