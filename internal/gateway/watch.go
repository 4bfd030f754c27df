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
	// methodWord carries what the instance that watches the store learns, and
	// methodWordRelay has it passed on to a zone.
	methodWord      = "gateway.word"
	methodWordRelay = "gateway.word.relay"
)

// watching reports whether this instance is the one that watches the store for all
// that hear it: the first by name among those that are heard, stay and reach it. In
// a zone that is cut off, another one is first.
func (g *Gateway) watching() bool {
	return !g.ready.isLeaving() && time.Since(g.startedAt) >= g.settled() &&
		watchRank(g.settings.Name, g.exchange.Reachable()).first
}

// leading reports whether no other instance is before this one.
func (g *Gateway) leading() bool {
	return watchRank(g.settings.Name, g.exchange.Reachable()).alone
}

// rank is the place of an instance among those that may watch.
type rank struct {
	// first is set if no instance before it reaches the store, alone if none before
	// it is heard at all.
	first, alone bool
}

func watchRank(self string, heard []peers.Peer) rank {
	r := rank{first: true, alone: true}
	for _, p := range heard {
		if !p.Leaving && p.Name < self {
			r.alone = false
			r.first = r.first && p.StoreLost
		}
	}
	return r
}

// settled is how long an instance has to be up before it watches, as it does not
// know of the others sooner. The store has to answer for as long before it relays
// words, unless it is alone: until the statuses of all have told that the store is
// back, each takes itself for the one that watches, and their words would fill the
// links of small machines.
func (g *Gateway) settled() time.Duration { return g.exchange.ReachableTimeout() }

// relays reports whether the words of an instance go to the others.
func (r rank) relays(upFor, answeredFor, settled time.Duration) bool {
	return r.first && upFor >= settled && (r.alone || answeredFor >= settled)
}

// relay sends a word to the other instances.
func (g *Gateway) relay(w follow.Update) {
	now := time.Now()
	r := watchRank(g.settings.Name, g.exchange.Reachable())
	if g.ready.isLeaving() || !r.relays(now.Sub(g.startedAt), g.followed.answeredFor(now), g.settled()) {
		return
	}
	body, err := w.Encode()
	if err != nil {
		g.log.WithError(err).Error("gateway: Word not encoded.")
		return
	}
	g.exchange.SendAll(methodWord, methodWordRelay, body)
}

// wordRelayed takes a word and passes it on to the own zone.
func (g *Gateway) wordRelayed(ctx context.Context, from mesh.Peer, body []byte) ([]byte, error) {
	if _, err := g.wordHeard(ctx, from, body); err != nil {
		return nil, err
	}
	g.exchange.SendZone(methodWord, body)
	return nil, nil
}

func (g *Gateway) wordHeard(_ context.Context, _ mesh.Peer, body []byte) ([]byte, error) {
	w, err := follow.DecodeUpdate(body)
	if err != nil {
		return nil, err
	}
	g.followed.heard(w)
	return nil, nil
}

// newer keeps the versions of the state that peers told and this instance may lack.
type newer struct {
	mu sync.Mutex
	// latest is the newest version told, awaited an older one that is not in force
	// yet: in a storm of changes there is always a newer one.
	latest, awaited told
}

// told is a version that a peer told first.
type told struct {
	version int64
	peer    string
	at      time.Time
}

// behindFor is how long the word of the watching instance may take once a
// peer knows a newer state. All instances that look themselves at each version
// would fill the links of small machines, and each call is priced.
const behindFor = 300 * time.Millisecond

// heard notes the version of a peer.
func (n *newer) heard(version int64, peer string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version > n.latest.version {
		n.latest = told{version, peer, now}
	}
}

// due returns the peer that knows more than version for longer than behindFor, and
// starts the wait anew.
func (n *newer) due(version int64, now time.Time) (peer string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.awaited.version <= version {
		n.awaited = n.latest
	}
	if n.awaited.version <= version || now.Sub(n.awaited.at) < behindFor {
		return "", false
	}
	n.awaited.at = now
	return n.awaited.peer, true
}

// catchUp has the state looked up if a peer has known a newer version for long: in
// the store, or at the peer while the store does not answer.
func (g *Gateway) catchUp(now time.Time) {
	version := int64(0)
	if state := g.catalog.Current(); state != nil {
		version = state.Version
	}
	peer, due := g.newer.due(version, now)
	if !due {
		return
	}
	if !g.followed.storeIsLost() {
		g.followed.config.Refresh()
		return
	}
	if !g.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
		defer cancel()
		g.takeSnapshot(ctx, peer)
	}()
}
