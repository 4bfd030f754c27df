package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/follow"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// memberPrefix is the prefix of the objects of the instances, one for each.
	memberPrefix = "members/"
	// memberListInterval is the time between requests to a peer for its list of
	// instances. New instances announce themselves; the list adds those whose status
	// did not arrive here.
	memberListInterval = 20 * time.Second
)

// member is the stored entry of an instance.
type member struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

func (g *Gateway) ownMember() member {
	return member{Zone: g.settings.Zone, Address: g.settings.Listen.advertisedMesh()}
}

// registerAtStart registers this instance after its start. At the first start of the whole
// system there is no entry to read, and all instances write theirs at about the same time:
// the watcher lists them once for all, in place of two lists by each instance.
func (g *Gateway) registerAtStart(ctx context.Context) error {
	if g.settings.Bootstrap && g.writeMember(ctx, g.ownMember(), 0) == nil {
		g.registration.checkSoon(time.Now())
		return nil
	}
	if err := g.register(ctx); err != nil {
		return err
	}
	g.membersListed()
	return nil
}

// membersListed records that this instance has read the entries of all instances.
func (g *Gateway) membersListed() {
	g.exchange.MarkComplete()
	g.shareQuota(time.Now())
}

// register reads the entries of all instances and writes the entry of this one if it
// differs or is missing. Each call is priced, and a restarted instance finds its own
// entry. After a write it reads them again: of two instances that start at once, the one that
// writes last finds the other.
func (g *Gateway) register(ctx context.Context) error {
	own := g.ownMember()
	list, _, err := g.deps.Objects.List(ctx, memberPrefix)
	if err != nil {
		g.log.WithError(err).Info("gateway: Cannot list instances in the store.")
		return err
	}
	stored, version := g.addMembers(list)
	if stored == own {
		return nil
	}
	if err := g.writeMember(ctx, own, version); err != nil {
		return err
	}
	if list, _, err = g.deps.Objects.List(ctx, memberPrefix); err != nil {
		return err
	}
	g.addMembers(list)
	return nil
}

func (g *Gateway) writeMember(ctx context.Context, own member, expected platform.Version) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	if _, err := g.deps.Objects.Put(ctx, memberPrefix+g.settings.Name, value, expected); err != nil {
		g.log.WithError(err).Info("gateway: Cannot register this instance in the store yet.")
		return err
	}
	return nil
}

// addMembers adds the instances of a list as peers, and returns the entry of this one.
func (g *Gateway) addMembers(list []platform.Object) (own member, version platform.Version) {
	var found []mesh.PeerAddress
	for _, o := range list {
		var m member
		if err := json.Unmarshal(o.Value, &m); err != nil {
			g.log.WithField("member", follow.NameOf(o.Key)).WithError(err).Warn("gateway: Cannot decode entry of instance.")
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

const (
	// memberListDelay is how long after a new era of the store, or after its own entry was
	// first written, the watcher lists the instances for all: by then all have heard of the
	// era and have written theirs.
	memberListDelay = time.Second
	// ownCheckDelay is how long an instance waits for that list before it reads one itself.
	ownCheckDelay = 8 * time.Second
	// registrationJitter spreads the writes and reads of many instances.
	registrationJitter = 2 * time.Second
)

// registration tracks whether the list of instances has to be read, because it was not read
// after the start of the whole system, or because the store came back from a copy that may
// lack the entry of this instance.
type registration struct {
	eras *platform.Eras

	mu sync.Mutex
	// checkAt is when the entry has to be looked for; zero if there is no doubt. listAt is
	// the same for the watcher, which looks for all.
	checkAt, listAt time.Time
}

func (r *registration) checkSoon(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listAt = now.Add(memberListDelay)
	r.checkAt = now.Add(ownCheckDelay + rand.N(registrationJitter))
}

// due reports whether to look for the entry now, and clears it.
func (r *registration) due(watching bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checkAt.IsZero() || now.Before(r.checkAt) && (!watching || now.Before(r.listAt)) {
		return false
	}
	r.checkAt = time.Time{}
	return true
}

// settle records that a list of instances was seen.
func (r *registration) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkAt = time.Time{}
}

// checkRegistration lists the instances in the store if the store may have lost the entry
// of this one. The watcher sends the list to all, so that a new era costs one list and
// the writes of those that are missing.
func (g *Gateway) checkRegistration(ctx context.Context, now time.Time) {
	watching := g.watching()
	if !g.registration.due(watching, now) {
		return
	}
	go func() {
		list, version, err := g.deps.Objects.List(ctx, memberPrefix)
		if err != nil {
			g.registration.checkSoon(time.Now())
			return
		}
		u := follow.Update{Prefix: memberPrefix, Full: true, To: uint64(version)}
		for _, o := range list {
			u.Objects = append(u.Objects, follow.ObjectOf(o))
		}
		if watching {
			g.relay(u)
		}
		g.applyMembers(u)
	}()
}

// applyMembers adds the instances of a list, and writes the entry of this one again if
// the list lacks it.
func (g *Gateway) applyMembers(u follow.Update) {
	g.registration.settle()
	if own, _ := g.addMembers(u.List()); own == g.ownMember() {
		g.membersListed()
		return
	}
	time.AfterFunc(rand.N(registrationJitter), func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownCheckDelay)
		defer cancel()
		if g.ready.isLeaving() || g.writeMember(ctx, g.ownMember(), 0) == nil || g.register(ctx) == nil {
			return
		}
		g.registration.checkSoon(time.Now())
	})
}
