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
	// tickInterval is the time between two ticks of a lease.
	tickInterval = 100 * time.Millisecond
	// maxLocalRank is the highest rank of candidates from the zone itself. It bounds
	// their takeover delay, which grows with the rank.
	maxLocalRank = 3
	// minForeignRank is the lowest rank of candidates from other zones: they hold the
	// lease only if no instance of the zone does.
	minForeignRank = 5
	// maxForeignRank is the same for candidates from other zones.
	maxForeignRank = 8
)

// Leases maintains the placement leases of all availability zones on one instance.
// Each zone has its own lease, so that placement goes on in a zone that is cut off.
// It is safe for concurrent use.
type Leases struct {
	objects    platform.Objects
	self       string
	session    string
	orderGap   time.Duration
	candidates Candidates
	log        log.Interface

	eras       *platform.Eras
	firstStart bool

	mu     sync.Mutex
	byZone map[string]*ZoneLease
}

// Candidates provides the rank of this instance among the candidates for the lease of
// a zone, and whether this instance is in the zone.
type Candidates interface {
	Candidates(zone string) (rank int, local bool)
}

// LeasesConfig holds the settings and dependencies of Leases.
type LeasesConfig struct {
	Objects platform.Objects
	Eras    *platform.Eras
	// Self is the name of the instance, Session identifies its process run.
	Self, Session string
	// OrderGap is the minimum time between the orders of two instances to a target.
	OrderGap time.Duration
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	Candidates Candidates
	Log        log.Interface
}

// NewLeases returns an empty Leases, which gives up leases of ended eras.
func NewLeases(c LeasesConfig) *Leases {
	l := &Leases{
		objects: c.Objects, eras: c.Eras, self: c.Self, session: c.Session, orderGap: c.OrderGap, firstStart: c.FirstStart,
		candidates: c.Candidates, log: c.Log, byZone: make(map[string]*ZoneLease),
	}
	c.Eras.OnChange(func(_, era platform.Era) { l.enterEra(era) })
	return l
}

// Zone returns the lease of a zone and creates it if necessary.
func (l *Leases) Zone(zone string) *ZoneLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	z := l.byZone[zone]
	if z == nil {
		z = NewZoneLease(l.objects, zone, l.self, l.session, l.orderGap, l.firstStart, func() int { return l.rank(zone) }, l.log)
		if l.eras.Known() {
			z.EnterEra(l.eras.Current())
		}
		l.byZone[zone] = z
	}
	return z
}

func (l *Leases) rank(zone string) int {
	rank, local := l.candidates.Candidates(zone)
	if local {
		return min(maxLocalRank, rank)
	}
	return min(maxForeignRank, minForeignRank+rank)
}

func (l *Leases) zoneLeases() []*ZoneLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*ZoneLease, 0, len(l.byZone))
	for _, z := range l.byZone {
		out = append(out, z)
	}
	return out
}

// Run maintains the leases until ctx ends. Each lease has its own goroutine, so that a
// slow store call for one does not delay the others.
func (l *Leases) Run(ctx context.Context) error {
	started := make(map[*ZoneLease]bool)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		for _, z := range l.zoneLeases() {
			if !started[z] {
				started[z] = true
				go z.run(ctx)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (z *ZoneLease) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		z.Tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// HeldZones lists the zones whose lease this instance holds.
func (l *Leases) HeldZones() []string {
	var out []string
	for _, z := range l.zoneLeases() {
		if _, ok := z.Held(); ok {
			out = append(out, z.zone)
		}
	}
	return out
}

// Status returns the leases to report to peers: those held, and those that ended
// recently.
func (l *Leases) Status() (held []peers.HeldLease, ended []peers.EndedLease) {
	for _, z := range l.zoneLeases() {
		if status := z.Status(); status != nil {
			held = append(held, *status)
		}
		if status := z.EndedStatus(); status != nil {
			ended = append(ended, *status)
		}
	}
	return held, ended
}

// Observe applies the leases that a peer reports.
func (l *Leases) Observe(held []peers.HeldLease, ended []peers.EndedLease) {
	for _, lease := range ended {
		l.Zone(lease.Zone).ObserveEnded(&lease)
	}
	for _, lease := range held {
		l.Zone(lease.Zone).Observe(lease)
	}
}

// enterEra records that the store came back from a copy of itself. Leases of the ended era
// allow no order from now on.
func (l *Leases) enterEra(era platform.Era) {
	for _, z := range l.zoneLeases() {
		z.EnterEra(era)
	}
}

// Release releases all leases at a planned stop.
func (l *Leases) Release(ctx context.Context) {
	var group sync.WaitGroup
	for _, z := range l.zoneLeases() {
		group.Add(1)
		go func() {
			defer group.Done()
			z.Release(ctx)
		}()
	}
	group.Wait()
}
