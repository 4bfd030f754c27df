package residency

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// tickInterval is the time between two looks at the leases.
	tickInterval = 100 * time.Millisecond
	// maxRank bounds the delay of candidates of the zone behind the first.
	maxRank = 3
	// foreignRank is the least rank of candidates of other zones: they serve a zone
	// only if none of its own instances does.
	foreignRank = 5
	// maxForeignRank bounds their delay.
	maxForeignRank = 8
)

// Leases keeps the placement leases of all availability zones for one instance.
// Each zone has its own, so that one that is cut off goes on placing models. It is
// safe for concurrent use.
type Leases struct {
	objects platform.Objects
	self    string
	session string
	apart   time.Duration
	members Candidates
	log     log.Interface

	mu     sync.Mutex
	byZone map[string]*Holding
}

// Candidates knows the place of this instance among those that may serve a zone.
type Candidates interface {
	Candidates(zone string) (place int, own bool)
}

// NewLeases returns leases of no zone. Orders of two holders lie at least apart
// from each other.
func NewLeases(objects platform.Objects, self, session string, apart time.Duration, members Candidates, logger log.Interface) *Leases {
	return &Leases{objects: objects, self: self, session: session, apart: apart, members: members, log: logger, byZone: make(map[string]*Holding)}
}

// Zone returns the holding of a zone's lease.
func (l *Leases) Zone(zone string) *Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byZone[zone]
	if h == nil {
		h = NewHolding(l.objects, zone, l.self, l.session, l.apart, func() int { return l.rank(zone) }, l.log)
		l.byZone[zone] = h
	}
	return h
}

func (l *Leases) rank(zone string) int {
	place, own := l.members.Candidates(zone)
	if own {
		return min(maxRank, place)
	}
	return min(maxForeignRank, foreignRank+place)
}

func (l *Leases) all() []*Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Holding, 0, len(l.byZone))
	for _, h := range l.byZone {
		out = append(out, h)
	}
	return out
}

// Run keeps the leases until ctx ends. Each lease is looked at on its own: a slow
// call for one must not cost another.
func (l *Leases) Run(ctx context.Context) error {
	running := make(map[*Holding]bool)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for _, h := range l.all() {
			if !running[h] {
				running[h] = true
				go h.run(ctx)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (h *Holding) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		h.Tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// HeldZones lists the zones of which the lease is held.
func (l *Leases) HeldZones() []string {
	var out []string
	for _, h := range l.all() {
		if _, ok := h.Held(); ok {
			out = append(out, h.zone)
		}
	}
	return out
}

// Status returns what is told to peers of the leases held, and of those lost lately.
func (l *Leases) Status() (held []peers.HeldLease, ended []peers.EndedLease) {
	for _, h := range l.all() {
		if told := h.Told(); told != nil {
			held = append(held, *told)
		}
		if told := h.Ended(); told != nil {
			ended = append(ended, *told)
		}
	}
	return held, ended
}

// Observe takes what a peer tells of its leases.
func (l *Leases) Observe(held []peers.HeldLease, ended []peers.EndedLease) {
	for _, told := range ended {
		l.Zone(told.Zone).HeardEnded(&told)
	}
	for _, told := range held {
		l.Zone(told.Zone).Heard(told)
	}
}

// Release hands all leases over at a planned stop.
func (l *Leases) Release(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range l.all() {
		group.Add(1)
		go func() {
			defer group.Done()
			h.Release(ctx)
		}()
	}
	group.Wait()
}
