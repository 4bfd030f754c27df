package coldstart

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

const (
	methodRequest = "coldstart.ask"
	methodRevoke  = "coldstart.find"

	// maxRequestRounds is the maximum number of requests for a zone in one tick.
	// Another request follows at once when the warm list changed.
	maxRequestRounds = 2
	// minRequestGap is the minimum time between the starts of two ticks when a
	// tick is triggered before its interval ends.
	minRequestGap = 20 * time.Millisecond
)

// Config holds the dependencies of a Service.
type Config struct {
	Mesh     mesh.Mesh
	Members  func() []membership.Member
	Snapshot func() *inventory.Snapshot
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  *Metrics
	// NewID returns a unique random number for an incarnation or an epoch; nil uses
	// math/rand.
	NewID func() uint64
	// Go runs a function; nil runs it in a new goroutine.
	Go func(func())
}

// Service holds the permits of this instance and, for zones whose grantor is this
// instance, grants permits to all instances. It is safe for concurrent use.
type Service struct {
	cfg Config
	// wake makes Run tick before its interval ends.
	wake chan struct{}

	mu       sync.Mutex
	holder   *Holder
	grantors map[string]*Grantor
	// servedAt is, by zone, when this instance last handled another instance's
	// request as grantor.
	servedAt map[string]time.Time
	// lastPopulatedAt is, by zone, when the zone last had a live instance, or when
	// it was first looked up if it never had one.
	lastPopulatedAt map[string]time.Time
	lastTick        time.Time
	onFreed         []func()
}

// New returns a service without leases.
func New(cfg Config) *Service {
	if cfg.NewID == nil {
		cfg.NewID = rand.Uint64
	}
	if cfg.Go == nil {
		cfg.Go = func(f func()) { go f() }
	}
	s := &Service{
		cfg:             cfg,
		wake:            make(chan struct{}, 1),
		holder:          NewHolder(cfg.NewID()),
		grantors:        make(map[string]*Grantor),
		servedAt:        make(map[string]time.Time),
		lastPopulatedAt: make(map[string]time.Time),
		lastTick:        cfg.Clock.Now(),
	}
	mesh.Handle(cfg.Mesh, methodRequest, s.handleRequest)
	mesh.Handle(cfg.Mesh, methodRevoke, s.handleRevocation)
	return s
}

// OnFreed adds a function that is called, without locks held, after a response
// that grants permits or changes the warm list.
func (s *Service) OnFreed(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFreed = append(s.onFreed, f)
}

// CanAcquire reports whether a call may start on the target.
func (s *Service) CanAcquire(t *environment.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.CanAcquire(t.Name, t.Zone, s.cfg.Clock.Now())
}

// Acquire counts a call that starts on the target, or returns false if none may
// start.
func (s *Service) Acquire(t *environment.Target) bool {
	s.mu.Lock()
	ok := s.holder.Acquire(t.Name, t.Zone, s.cfg.Clock.Now())
	s.mu.Unlock()
	if !ok {
		s.requestSoon()
	}
	return ok
}

// Release ends a call that Acquire counted.
func (s *Service) Release(t *environment.Target, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(t.Name, completed, s.cfg.Clock.Now())
}

// IsWarm reports whether calls on the target need no permits.
func (s *Service) IsWarm(t *environment.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.IsWarm(t.Name, t.Zone, s.cfg.Clock.Now())
}

// Suspect records that the target is slow or fails, as a cold target does, and
// reports it to the grantor. Until the grantor has answered, this instance starts
// calls on the target only with a permit.
func (s *Service) Suspect(t *environment.Target) {
	s.mu.Lock()
	wasWarm := s.holder.Suspect(t.Name, t.Zone, s.cfg.Clock.Now())
	s.mu.Unlock()
	if wasWarm {
		s.cfg.Metrics.suspicions.Inc()
		s.cfg.Log.Infof("Target %s is slow or failing and is suspected to be cold.", t.Name)
	}
	s.requestSoon()
}

// requestSoon makes Run send the next requests before its interval ends.
func (s *Service) requestSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run calls Tick at intervals until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := s.cfg.Clock.Now()
		s.Tick(ctx)
		wait := requestInterval + time.Duration(rand.Int64N(int64(requestInterval/5)))
		timer := s.cfg.Clock.NewTimer(wait - s.cfg.Clock.Since(started))
		select {
		case <-timer.Chan():
		case <-s.wake:
			s.sleep(ctx, minRequestGap-s.cfg.Clock.Since(started))
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (s *Service) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-s.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// Tick updates the zones that this instance is grantor of, passes them the
// current observations, and requests permits from the grantor of every zone.
func (s *Service) Tick(ctx context.Context) {
	zones := s.updateGrantors(ctx)
	var wait sync.WaitGroup
	for zone, grantor := range zones {
		wait.Go(func() { s.requestPermits(ctx, zone, grantor) })
	}
	wait.Wait()
	s.updateGauges()
}

// updateGrantors makes this instance start or stop acting as grantor and advances
// its grantors. It returns the name of the grantor of every zone with engines,
// empty if there is none.
func (s *Service) updateGrantors(ctx context.Context) map[string]string {
	members := s.cfg.Members()
	snapshot := s.cfg.Snapshot()
	observations := observe(snapshot, s.cfg.Clock.Now())
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.resignAfterPause(now)
	s.lastTick = now
	zones := make(map[string]string, len(observations))
	var revocations []Revocation
	for zone, targets := range observations {
		grantor := s.grantorOf(zone, members, now)
		zones[zone] = grantor
		if grantor == s.cfg.Mesh.Self().Name {
			revocations = append(revocations, s.stepGrantor(zone, targets, members, now)...)
		} else {
			delete(s.grantors, zone)
		}
	}
	s.mu.Unlock()
	s.broadcast(ctx, revocations)
	return zones
}

// grantorOf returns the name of the zone's grantor. It requires s.mu.
func (s *Service) grantorOf(zone string, members []membership.Member, now time.Time) string {
	if _, seen := s.lastPopulatedAt[zone]; !seen || hasMember(zone, members) {
		s.lastPopulatedAt[zone] = now
	}
	return grantorOf(zone, members, now.Sub(s.lastPopulatedAt[zone]))
}

// resignAfterPause drops all grantors if there was no tick for longer than
// maxPause. It requires s.mu.
func (s *Service) resignAfterPause(now time.Time) {
	if now.Sub(s.lastTick) <= maxPause {
		return
	}
	for zone := range s.grantors {
		s.cfg.Log.Warnf("Resigned as grantor of zone %s after a pause of this instance.", zone)
		delete(s.grantors, zone)
	}
}

// stepGrantor passes the observations to the zone's grantor, which it creates if
// there is none, and returns the resulting revocations. It requires s.mu.
func (s *Service) stepGrantor(zone string, targets []Observation, members []membership.Member, now time.Time) []Revocation {
	g := s.grantors[zone]
	if g == nil {
		g = NewGrantor(s.cfg.NewID(), s.holder.WarmTargets(zone), now)
		s.grantors[zone] = g
		s.cfg.Log.Infof("Became grantor of zone %s.", zone)
	}
	if g.InQuietPeriod(now) && s.hasNonHolder(zone, g, members) {
		g.StartQuietPeriod(now)
	}
	g.Observe(targets, now)
	return g.takeRevocations(zone)
}

// hasNonHolder reports whether another live instance of the zone is not a
// current holder. Such an instance may be acting as grantor itself.
func (s *Service) hasNonHolder(zone string, g *Grantor, members []membership.Member) bool {
	for _, m := range members {
		if m.Zone == zone && m.Name != s.cfg.Mesh.Self().Name && !g.HasHolder(m.Name) {
			return true
		}
	}
	return false
}

func (g *Grantor) takeRevocations(zone string) []Revocation {
	cooled := g.TakeCooled()
	if len(cooled) == 0 {
		return nil
	}
	return []Revocation{{Zone: zone, Epoch: g.epoch, Targets: cooled}}
}

// broadcast applies revocations to this instance and sends them to all peers.
func (s *Service) broadcast(ctx context.Context, revocations []Revocation) {
	for _, r := range revocations {
		s.applyRevocation(r)
		for _, p := range s.cfg.Mesh.Peers() {
			s.cfg.Go(func() { s.sendRevocation(ctx, p.Name, r) })
		}
	}
}

// revocationAck is the empty response to a Revocation.
type revocationAck struct{}

func (s *Service) sendRevocation(ctx context.Context, to string, r Revocation) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err := mesh.Call[Revocation, revocationAck](ctx, s.cfg.Mesh, to, methodRevoke, &r)
	if err != nil {
		s.cfg.Log.Debugf("Revocation not acknowledged by %s: %v.", to, err)
	}
}

func (s *Service) handleRevocation(_ context.Context, _ mesh.Peer, r *Revocation) (*revocationAck, error) {
	s.applyRevocation(*r)
	return &revocationAck{}, nil
}

func (s *Service) applyRevocation(r Revocation) {
	s.mu.Lock()
	changed := s.holder.Revoke(r)
	s.mu.Unlock()
	if changed {
		s.requestSoon()
	}
}

// requestPermits sends a request for a zone. If the warm list changed, it sends
// another one at once, since the grantor grants no permits for a target until all
// holders have a warm list without it.
func (s *Service) requestPermits(ctx context.Context, zone, grantor string) {
	for range maxRequestRounds {
		changed, err := s.requestOnce(ctx, zone, grantor)
		s.cfg.Metrics.countRequest(err)
		if err != nil {
			s.cfg.Log.Debugf("Permit request for zone %s failed: %v.", zone, err)
		}
		if !changed || err != nil {
			return
		}
	}
}

func (s *Service) requestOnce(ctx context.Context, zone, grantor string) (bool, error) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	request := s.holder.NewRequest(zone, now)
	if served, ok := s.servedAt[zone]; ok {
		request.ServedAgoMS = now.Sub(served).Milliseconds() + 1
	}
	s.mu.Unlock()
	response, err := s.callGrantor(ctx, grantor, &request)
	s.mu.Lock()
	if err != nil {
		s.holder.FailRequest(zone, request.Seq)
		s.mu.Unlock()
		return false, err
	}
	changed := s.holder.ApplyResponse(zone, *response)
	callbacks := s.onFreed
	s.mu.Unlock()
	if changed || len(response.Grants) > 0 {
		for _, f := range callbacks {
			f()
		}
	}
	return changed, nil
}

func (s *Service) callGrantor(ctx context.Context, grantor string, request *Request) (*Response, error) {
	self := s.cfg.Mesh.Self()
	switch grantor {
	case "":
		return nil, merry.Wrap(ErrNotGrantor, merry.AppendMessage("zone has no grantor"))
	case self.Name:
		// ServedAgoMS tells the grantor that the sender may have granted leases as
		// another grantor. Here the sender is the grantor itself.
		request.ServedAgoMS = 0
		return s.handleRequest(ctx, self, request)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return mesh.Call[Request, Response](ctx, s.cfg.Mesh, grantor, methodRequest, request)
}

func (s *Service) handleRequest(ctx context.Context, from mesh.Peer, request *Request) (*Response, error) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.resignAfterPause(now)
	g := s.grantors[request.Zone]
	if g == nil {
		s.mu.Unlock()
		return nil, merry.Wrap(ErrNotGrantor)
	}
	response, err := g.HandleRequest(from.Name, *request, now)
	if from.Name != s.cfg.Mesh.Self().Name {
		s.servedAt[request.Zone] = now
	}
	revocations := g.takeRevocations(request.Zone)
	s.mu.Unlock()
	s.broadcast(context.WithoutCancel(ctx), revocations)
	return &response, err
}

// observe returns the observations of the snapshot's engines by zone.
func observe(snapshot *inventory.Snapshot, now time.Time) map[string][]Observation {
	out := make(map[string][]Observation)
	for _, t := range snapshot.Targets {
		if t.Target.Kind != environment.TargetEngine {
			continue
		}
		out[t.Target.Zone] = append(out[t.Target.Zone], Observation{
			Target:          t.Target.Name,
			ColdConcurrency: t.Target.ColdConcurrency,
			Concurrency:     t.Target.Concurrency,
			Out:             snapshot.View.IsTargetOut(t.Target),
			Fresh:           t.IsFresh(now),
			Cold:            t.Report.Cold,
			Incarnation:     t.Report.Incarnation,
			Running:         t.Report.Running + t.Report.Queued,
			RequestedAt:     t.RequestedAt,
		})
	}
	return out
}
