package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/pause"
)

const (
	// discoveryRetryDelay is the time between attempts to query peers and to register,
	// while an instance lacks a configuration or its entry in the store.
	discoveryRetryDelay = 300 * time.Millisecond
	snapshotTimeout     = 500 * time.Millisecond
	// bootstrapPollInterval is the time between checks whether a seed is connected or a
	// peer has a configuration.
	bootstrapPollInterval = 100 * time.Millisecond
	// firstPeerTimeout is how long a new instance waits for the first peer, and
	// bootstrapTimeout for a peer that has a configuration. When a whole fleet starts at
	// once, the instance with the first name reads the store and the others get its
	// snapshot within some hundred milliseconds. Each call to the store is priced.
	firstPeerTimeout = 300 * time.Millisecond
	bootstrapTimeout = time.Second
	// maxLateIntroductions bounds the attempts to get a snapshot after the store was read.
	maxLateIntroductions = 10
	// maxSnapshotPeers is the number of peers whose snapshot is requested in one
	// attempt.
	maxSnapshotPeers = 3
)

// bootstrapFromPeers fetches a snapshot from a peer, if one has a configuration, before
// the store is read. Without such a peer it reads the stored quarantine and the stored
// versions of streams, so that no call is served before. At the first start of the whole
// system neither can exist.
func (g *Gateway) bootstrapFromPeers(ctx context.Context) {
	defer close(g.bootstrapped)
	g.fetchFromPeers(ctx)
	if g.catalog.Current() == nil && !g.settings.Bootstrap {
		g.storedParts.unread, g.storedVersions.unread = true, true
		g.readQuarantine(ctx)
		g.readStreamVersions(ctx)
	}
}

func (g *Gateway) fetchFromPeers(ctx context.Context) {
	for {
		g.dialSeeds()
		if !pause.For(ctx, bootstrapPollInterval) {
			return
		}
		waited := time.Since(g.startedAt)
		connected := g.node.Peers()
		if waited > bootstrapTimeout || len(connected) == 0 && waited > firstPeerTimeout {
			return
		}
		if len(connected) == 0 {
			continue
		}
		g.queryPeers(ctx)
		first := !slices.ContainsFunc(connected, func(p mesh.Peer) bool { return p.Name < g.settings.Name })
		if g.catalog.Current() != nil || first {
			return
		}
	}
}

// dialSeeds dials the seeds while no peer is known. The mesh dials only once it is
// running.
func (g *Gateway) dialSeeds() {
	if len(g.exchange.Names()) == 1 {
		g.exchange.Seed(g.settings.Seeds)
	}
}

// afterBootstrap returns a loop that starts when bootstrapFromPeers has ended.
func (g *Gateway) afterBootstrap(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-g.bootstrapped:
			return run(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// discoverPeers finds the other instances through seeds and the store, registers this
// one, and then refreshes the list from peers.
func (g *Gateway) discoverPeers(ctx context.Context) error {
	g.bootstrapFromPeers(ctx)
	registered, late := false, 0
	for {
		g.dialSeeds()
		if !registered && g.registerAtStart(ctx) == nil {
			registered = true
		}
		// An instance that found no peer in time has read the store, which may lack what the
		// peers know of targets that have left.
		isLate := !g.introduced.Load() && len(g.exchange.Names()) > 1 && late < maxLateIntroductions
		if g.catalog.Current() == nil || !registered || isLate {
			if registered {
				late++
			}
			if !pause.For(ctx, discoveryRetryDelay) {
				return ctx.Err()
			}
			g.queryPeers(ctx)
			continue
		}
		if !pause.For(ctx, memberListInterval) {
			return ctx.Err()
		}
		g.exchange.FetchList(ctx)
	}
}

// queryPeers fetches snapshots from peers until one had a configuration, and then their
// list of instances. The list comes last because it replaces the connections to seeds.
func (g *Gateway) queryPeers(ctx context.Context) {
	connected := g.node.Peers()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	if !g.introduced.Load() {
		names := make([]string, 0, len(connected))
		for _, p := range connected {
			names = append(names, p.Name)
		}
		queryUntilFresh(names, func(peer string) (time.Duration, bool) {
			callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
			defer cancel()
			return g.fetchSnapshot(callCtx, peer)
		})
	}
	g.exchange.FetchList(ctx)
}

// queryUntilFresh fetches snapshots from peers in turn until one is of a peer for which no
// update is overdue. fetch returns the age of a snapshot, or false if there was none.
func queryUntilFresh(names []string, fetch func(peer string) (age time.Duration, ok bool)) {
	for _, name := range names[:min(maxSnapshotPeers, len(names))] {
		if age, ok := fetch(name); ok && age <= evacuationWait+follow.OverdueAfter {
			return
		}
	}
}

// fetchSnapshot fetches a snapshot from a peer and applies it. It returns the age of the
// snapshot, or false if there was none.
func (g *Gateway) fetchSnapshot(ctx context.Context, peer string) (age time.Duration, ok bool) {
	s, err := mesh.Call[snapshotRequest, snapshot](ctx, g.node, peer, methodSnapshot, &snapshotRequest{})
	if err != nil {
		g.log.WithField("peer", peer).WithError(err).Info("gateway: Cannot fetch snapshot from peer.")
		return 0, false
	}
	now := time.Now()
	if g.store.applySnapshot(s, now) {
		g.introduced.Store(true)
	}
	g.trackAccounts(now)
	g.quota.Adopt(s.Levels, now)
	g.rates.limits.Apply(s.Rates, now)
	g.applyVersions(s.Assignments, s.Streams, now)
	g.quarantine.Merge(s.Suspicions, now)
	return time.Duration(s.AgeMS) * time.Millisecond, true
}
