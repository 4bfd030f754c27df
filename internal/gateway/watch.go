package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/peers"
)

const (
	// methodUpdate carries an update of the watcher, and methodUpdateRelay an update
	// that the receiver forwards to its zone.
	methodUpdate      = "gateway.word"
	methodUpdateRelay = "gateway.word.relay"
)

// watching reports whether this instance is the watcher of the store: the first by name
// among the reachable instances that are not leaving and can reach the store. Each side
// of a network partition has its own watcher.
func (g *Gateway) watching() bool {
	return !g.ready.isLeaving() && time.Since(g.startedAt) >= g.settleTime() &&
		watchRoleOf(g.settings.Name, g.exchange.Reachable()).watches
}

// leading reports whether no reachable instance that is not leaving has a lower name.
func (g *Gateway) leading() bool {
	return watchRoleOf(g.settings.Name, g.exchange.Reachable()).lowest
}

// watchRole is the role of an instance among those that may watch the store.
type watchRole struct {
	// watches is set if no reachable instance with a lower name can reach the store,
	// and lowest if there is no reachable instance with a lower name. Leaving instances
	// do not count.
	watches, lowest bool
}

func watchRoleOf(self string, reachable []peers.Peer) watchRole {
	r := watchRole{watches: true, lowest: true}
	for _, p := range reachable {
		if !p.Leaving && p.Name < self {
			r.lowest = false
			r.watches = r.watches && p.StoreLost
		}
	}
	return r
}

// settleTime is how long an instance has to be up before it watches, because it may not
// know the others earlier. The store has to answer for as long before the instance
// relays updates, unless no instance has a lower name. Until the statuses of all report
// that the store answers again, each instance considers itself the watcher, and all
// their updates would saturate the links of small machines.
func (g *Gateway) settleTime() time.Duration { return g.exchange.ReachableTimeout() }

// mayRelay reports whether an instance sends its updates to the others.
func (r watchRole) mayRelay(upFor, answeringFor, settleTime time.Duration) bool {
	return r.watches && upFor >= settleTime && (r.lowest || answeringFor >= settleTime)
}

// relay sends an update to the other instances.
func (g *Gateway) relay(u follow.Update) {
	now := time.Now()
	r := watchRoleOf(g.settings.Name, g.exchange.Reachable())
	if g.ready.isLeaving() || !r.mayRelay(now.Sub(g.startedAt), g.store.answeringFor(now), g.settleTime()) {
		return
	}
	body, err := u.Encode()
	if err != nil {
		g.log.WithError(err).Error("gateway: Cannot encode update.")
		return
	}
	g.exchange.SendAll(methodUpdate, methodUpdateRelay, body)
}

// handleRelayedUpdate applies an update and forwards it to the zone of this instance.
func (g *Gateway) handleRelayedUpdate(ctx context.Context, from mesh.Peer, body []byte) ([]byte, error) {
	if _, err := g.handleUpdate(ctx, from, body); err != nil {
		return nil, err
	}
	g.exchange.SendZone(methodUpdate, body)
	return nil, nil
}

func (g *Gateway) handleUpdate(_ context.Context, _ mesh.Peer, body []byte) ([]byte, error) {
	u, err := follow.DecodeUpdate(body)
	if err != nil {
		return nil, err
	}
	if u.Prefix == memberPrefix {
		g.applyMembers(u)
		return nil, nil
	}
	g.store.applyUpdate(u)
	return nil, nil
}

// peerVersions tracks configuration versions reported by peers that this instance may
// lack.
type peerVersions struct {
	mu sync.Mutex
	// latest is the newest version reported. awaited is a reported version that was not
	// in force yet at the last check. It stays the same until it is in force, because in
	// a burst of changes the delay of latest would always restart.
	latest, awaited reportedVersion
}

// reportedVersion is a version and the peer that reported it first.
type reportedVersion struct {
	version int64
	peer    string
	at      time.Time
	// asked is set once the version was overdue.
	asked bool
}

// catchUpDelay is how long an instance waits for an update of the watcher after a peer
// has reported a newer configuration. If all instances read each version themselves, they
// would saturate the links of small machines, and each call is priced.
const catchUpDelay = 300 * time.Millisecond

// observe records the version reported by a peer.
func (v *peerVersions) observe(version int64, peer string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.latest.version {
		v.latest = reportedVersion{version: version, peer: peer, at: now}
	}
}

// overdue returns the peer that reported the awaited version, if that is newer than
// version and was reported catchUpDelay ago or earlier, and restarts the delay. again is
// set if it did so before for the same version.
func (v *peerVersions) overdue(version int64, now time.Time) (peer string, again, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.awaited.version <= version {
		v.awaited = v.latest
	}
	if v.awaited.version <= version || now.Sub(v.awaited.at) < catchUpDelay {
		return "", false, false
	}
	again = v.awaited.asked
	v.awaited.at, v.awaited.asked = now, true
	return v.awaited.peer, again, true
}

// catchUp reads the configuration from the store if a peer reported a newer version that
// is overdue, or fetches a snapshot from that peer while the store does not answer.
func (g *Gateway) catchUp(now time.Time) {
	version := int64(0)
	if state := g.catalog.Current(); state != nil {
		version = state.Version
	}
	peer, again, overdue := g.peerVersions.overdue(version, now)
	if !overdue {
		return
	}
	// A store that came back from a copy may lack what the peer has.
	if !g.store.storeIsLost() && !again {
		g.store.config.Refresh()
		return
	}
	if !g.fetchingState.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetchingState.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
		defer cancel()
		g.fetchSnapshot(ctx, peer)
	}()
}
