package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// snapshotAfter is how long a fresh instance waits for the store before it
	// asks its peers.
	snapshotAfter   = 300 * time.Millisecond
	snapshotTimeout = 500 * time.Millisecond
	// meetEvery is the time between looks at whether a seed has answered, or has a
	// state to tell.
	meetEvery = 100 * time.Millisecond
	// aloneFor is how long a fresh instance waits for the first peer, and meetFor
	// for one that has a state: in a fleet that starts at once, the first one by name
	// reads the store, and the others have its state within some hundred
	// milliseconds. Each call to the store is priced.
	aloneFor = 300 * time.Millisecond
	meetFor  = time.Second
	// peersAsked is the number of peers that are asked for their state in one go.
	peersAsked = 3
)

// meetPeers takes the state from a peer, if one has it, before the store is asked.
func (g *Gateway) meetPeers(ctx context.Context) {
	defer close(g.introduced)
	for {
		g.seed()
		if !pause.For(ctx, meetEvery) {
			return
		}
		waited := time.Since(g.startedAt)
		connected := g.node.Peers()
		if waited > meetFor || len(connected) == 0 && waited > aloneFor {
			return
		}
		if len(connected) == 0 {
			continue
		}
		g.askPeers(ctx)
		first := !slices.ContainsFunc(connected, func(p mesh.Peer) bool { return p.Name < g.settings.Name })
		if g.catalog.Current() != nil || first {
			return
		}
	}
}

// seed dials the seeds while no peer is known. The mesh dials only once it runs.
func (g *Gateway) seed() {
	if len(g.exchange.Names()) == 1 {
		g.exchange.Seed(g.settings.Seeds)
	}
}

// onceIntroduced runs a loop after the peers were asked.
func (g *Gateway) onceIntroduced(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-g.introduced:
			return run(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// introduce finds the peers: in the store and from seeds.
func (g *Gateway) introduce(ctx context.Context) error {
	g.meetPeers(ctx)
	registered := false
	for {
		g.seed()
		if !registered && g.register(ctx) == nil {
			registered = true
			g.exchange.MarkComplete()
			g.shareQuota(time.Now())
		}
		if g.catalog.Current() == nil || !registered {
			if !pause.For(ctx, snapshotAfter) {
				return ctx.Err()
			}
			g.askPeers(ctx)
			continue
		}
		if !pause.For(ctx, memberListEvery) {
			return ctx.Err()
		}
		g.exchange.FetchList(ctx)
	}
}

const (
	// memberPrefix holds one object for each instance.
	memberPrefix = "members/"
	// memberListEvery is the time between questions to a peer for the instances
	// that it knows. New ones make themselves known; this finds those that did not
	// reach all.
	memberListEvery = 20 * time.Second
)

// member is the stored form of an instance.
type member struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// register reads the entries of all instances and writes the own one if it is not
// there yet. Each call is priced, and a restarted instance finds its own.
func (g *Gateway) register(ctx context.Context) error {
	own := member{Zone: g.settings.Zone, Address: g.settings.Listen.reachedAt()}
	list, _, err := g.deps.Objects.List(ctx, memberPrefix)
	if err != nil {
		g.log.WithError(err).Info("gateway: Instances not listed.")
		return err
	}
	stored, version := g.meetMembers(list)
	if stored == own {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	if _, err := g.deps.Objects.Put(ctx, memberPrefix+g.settings.Name, value, version); err != nil {
		g.log.WithError(err).Info("gateway: Instance not registered yet.")
		return err
	}
	return nil
}

// meetMembers makes the instances of a list known, and returns the own entry.
func (g *Gateway) meetMembers(list []platform.Object) (own member, version platform.Version) {
	var found []mesh.PeerAddress
	for _, o := range list {
		var m member
		if err := json.Unmarshal(o.Value, &m); err != nil {
			g.log.WithField("member", follow.NameOf(o.Key)).WithError(err).Warn("gateway: Instance unreadable.")
			continue
		}
		if follow.NameOf(o.Key) == g.settings.Name {
			own, version = m, o.Version
		}
		found = append(found, mesh.PeerAddress{Peer: mesh.Peer{Name: follow.NameOf(o.Key), Zone: m.Zone}, Address: m.Address})
	}
	g.exchange.Add(found)
	return own, version
}

// askPeers takes the state from peers while the store has not told it, and learns of
// the others. It learns last, as that replaces connections to seeds.
func (g *Gateway) askPeers(ctx context.Context) {
	connected := g.node.Peers()
	rand.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	for _, p := range connected[:min(peersAsked, len(connected))] {
		if g.catalog.Current() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		g.takeSnapshot(callCtx, p.Name)
		cancel()
	}
	g.exchange.FetchList(ctx)
}

// takeSnapshot takes from a peer what the store does not tell.
func (g *Gateway) takeSnapshot(ctx context.Context, peer string) {
	s, err := mesh.Call[snapshotRequest, snapshot](ctx, g.node, peer, methodSnapshot, &snapshotRequest{})
	if err != nil {
		g.log.WithField("peer", peer).WithError(err).Info("gateway: No state from peer.")
		return
	}
	g.followed.takeSnapshot(s, time.Now())
}
