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
	methodAsk  = "coldstart.ask"
	methodFind = "coldstart.find"

	// askRounds bounds the asks of one tick when the warm list changes.
	askRounds = 2
	// minKick is the shortest time between asks outside the interval.
	minKick = 20 * time.Millisecond
)

// Config are the parts that a Service uses.
type Config struct {
	Mesh     mesh.Mesh
	Members  func() []membership.Member
	Snapshot func() *inventory.Snapshot
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  *Metrics
	// Draw returns a random number that no earlier call returned; nil draws from
	// math/rand.
	Draw func() uint64
	// Go runs a function beside the caller; nil starts a goroutine.
	Go func(func())
}

// Service holds permits for this instance and lends them to others while the
// instance is a grantor. It is safe for concurrent use.
type Service struct {
	cfg    Config
	askNow chan struct{}

	mu       sync.Mutex
	holder   *Holder
	grantors map[string]*Grantor
	// servedAt is when this instance last lent as grantor of a zone.
	servedAt map[string]time.Time
	// seenAt is when a zone last had a live instance.
	seenAt   map[string]time.Time
	lastTick time.Time
	freed    []func()
}

// New returns a service without leases.
func New(cfg Config) *Service {
	if cfg.Draw == nil {
		cfg.Draw = rand.Uint64
	}
	if cfg.Go == nil {
		cfg.Go = func(f func()) { go f() }
	}
	s := &Service{
		cfg:      cfg,
		askNow:   make(chan struct{}, 1),
		holder:   NewHolder(cfg.Draw()),
		grantors: make(map[string]*Grantor),
		servedAt: make(map[string]time.Time),
		seenAt:   make(map[string]time.Time),
		lastTick: cfg.Clock.Now(),
	}
	mesh.Handle(cfg.Mesh, methodAsk, s.onAsk)
	mesh.Handle(cfg.Mesh, methodFind, s.onFind)
	return s
}

// OnFreed adds a function that is called, without locks held, when permits or
// warm targets arrived.
func (s *Service) OnFreed(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, f)
}

// CanAcquire reports whether a call may start on the target.
func (s *Service) CanAcquire(t *environment.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.CanAcquire(t.Name, t.Zone, s.cfg.Clock.Now())
}

// Acquire counts a call that starts on the target, or returns false.
func (s *Service) Acquire(t *environment.Target) bool {
	s.mu.Lock()
	ok := s.holder.Acquire(t.Name, t.Zone, s.cfg.Clock.Now())
	s.mu.Unlock()
	if !ok {
		s.askSoon()
	}
	return ok
}

// Release ends a call that Acquire counted.
func (s *Service) Release(t *environment.Target, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(t.Name, completed, s.cfg.Clock.Now())
}

// IsWarm reports whether the target bears its full concurrency.
func (s *Service) IsWarm(t *environment.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.IsWarm(t.Name, t.Zone, s.cfg.Clock.Now())
}

// Suspect tells that the target slows or fails like a cold one. This instance
// starts no more calls on it without a permit.
func (s *Service) Suspect(t *environment.Target) {
	s.mu.Lock()
	wasWarm := s.holder.Suspect(t.Name, t.Zone, s.cfg.Clock.Now())
	s.mu.Unlock()
	if wasWarm {
		s.cfg.Metrics.findings.Inc()
		s.cfg.Log.Infof("Target %s acts like a cold one.", t.Name)
	}
	s.askSoon()
}

// askSoon makes the loop ask before its interval ends.
func (s *Service) askSoon() {
	select {
	case s.askNow <- struct{}{}:
	default:
	}
}

// Run ticks until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := s.cfg.Clock.Now()
		s.Tick(ctx)
		wait := askInterval + time.Duration(rand.Int64N(int64(askInterval/5)))
		timer := s.cfg.Clock.NewTimer(wait - s.cfg.Clock.Since(started))
		select {
		case <-timer.Chan():
		case <-s.askNow:
			s.pauseBriefly(ctx, minKick-s.cfg.Clock.Since(started))
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (s *Service) pauseBriefly(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-s.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// Tick takes up or gives up the duty of grantor, observes the targets and asks
// the grantor of every zone.
func (s *Service) Tick(ctx context.Context) {
	zones := s.govern(ctx)
	var wait sync.WaitGroup
	for zone, grantor := range zones {
		wait.Go(func() { s.askZone(ctx, zone, grantor) })
	}
	wait.Wait()
	s.measure()
}

// govern returns the grantor of every zone with targets.
func (s *Service) govern(ctx context.Context) map[string]string {
	members := s.cfg.Members()
	snapshot := s.cfg.Snapshot()
	observations := observe(snapshot, s.cfg.Clock.Now())
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.resignAfterPause(now)
	s.lastTick = now
	zones := make(map[string]string, len(observations))
	var findings []Finding
	for zone, targets := range observations {
		grantor := s.grantorOf(zone, members, now)
		zones[zone] = grantor
		if grantor == s.cfg.Mesh.Self().Name {
			findings = append(findings, s.grant(zone, targets, members, now)...)
		} else {
			delete(s.grantors, zone)
		}
	}
	s.mu.Unlock()
	s.publish(ctx, findings)
	return zones
}

// grantorOf requires s.mu.
func (s *Service) grantorOf(zone string, members []membership.Member, now time.Time) string {
	if _, known := s.seenAt[zone]; !known || hasMember(zone, members) {
		s.seenAt[zone] = now
	}
	return grantorOf(zone, members, now.Sub(s.seenAt[zone]))
}

// resignAfterPause requires s.mu.
func (s *Service) resignAfterPause(now time.Time) {
	if now.Sub(s.lastTick) <= pauseLimit {
		return
	}
	for zone := range s.grantors {
		s.cfg.Log.Warnf("No longer grantor of zone %s after a pause.", zone)
		delete(s.grantors, zone)
	}
}

// grant does one step of a zone's grantor. It requires s.mu.
func (s *Service) grant(zone string, targets []Observation, members []membership.Member, now time.Time) []Finding {
	g := s.grantors[zone]
	if g == nil {
		g = NewGrantor(s.cfg.Draw(), s.holder.WarmTargets(zone), now)
		s.grantors[zone] = g
		s.cfg.Log.Infof("Grantor of zone %s from now on.", zone)
	}
	if g.IsQuiet(now) && s.awaitsRival(zone, g, members) {
		g.Quiet(now)
	}
	g.Observe(targets, now)
	return g.findings(zone)
}

// awaitsRival reports whether a live instance of the zone has not asked yet, so
// that it may act as grantor itself.
func (s *Service) awaitsRival(zone string, g *Grantor, members []membership.Member) bool {
	for _, m := range members {
		if m.Zone == zone && m.Name != s.cfg.Mesh.Self().Name && !g.Knows(m.Name) {
			return true
		}
	}
	return false
}

func (g *Grantor) findings(zone string) []Finding {
	cooled := g.Cooled()
	if len(cooled) == 0 {
		return nil
	}
	return []Finding{{Zone: zone, Epoch: g.epoch, Targets: cooled}}
}

// publish sends findings to all peers.
func (s *Service) publish(ctx context.Context, findings []Finding) {
	for _, f := range findings {
		s.find(f)
		for _, p := range s.cfg.Mesh.Peers() {
			s.cfg.Go(func() { s.send(ctx, p.Name, f) })
		}
	}
}

// found is the empty answer to a finding.
type found struct{}

func (s *Service) send(ctx context.Context, to string, f Finding) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := mesh.Call[Finding, found](ctx, s.cfg.Mesh, to, methodFind, &f)
	if err != nil {
		s.cfg.Log.Debugf("Finding not taken by %s: %v.", to, err)
	}
}

func (s *Service) onFind(_ context.Context, _ mesh.Peer, f *Finding) (*found, error) {
	s.find(*f)
	return &found{}, nil
}

func (s *Service) find(f Finding) {
	s.mu.Lock()
	news := s.holder.Find(f)
	s.mu.Unlock()
	if news {
		s.askSoon()
	}
}

// askZone asks again at once when the list of warm targets changed, since the
// grantor waits for holders to act by it.
func (s *Service) askZone(ctx context.Context, zone, grantor string) {
	for range askRounds {
		changed, err := s.askOnce(ctx, zone, grantor)
		s.cfg.Metrics.asked(err)
		if err != nil {
			s.cfg.Log.Debugf("No permits of zone %s: %v.", zone, err)
		}
		if !changed || err != nil {
			return
		}
	}
}

func (s *Service) askOnce(ctx context.Context, zone, grantor string) (bool, error) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	ask := s.holder.Ask(zone, now)
	if served, ok := s.servedAt[zone]; ok {
		ask.ServedAgoMS = now.Sub(served).Milliseconds() + 1
	}
	s.mu.Unlock()
	answer, err := s.askGrantor(ctx, grantor, &ask)
	s.mu.Lock()
	if err != nil {
		s.holder.Failed(zone, ask.Seq)
		s.mu.Unlock()
		return false, err
	}
	changed := s.holder.Answered(zone, *answer)
	freed := s.freed
	s.mu.Unlock()
	if changed || len(answer.Grants) > 0 {
		for _, f := range freed {
			f()
		}
	}
	return changed, nil
}

func (s *Service) askGrantor(ctx context.Context, grantor string, ask *Ask) (*Answer, error) {
	self := s.cfg.Mesh.Self()
	switch grantor {
	case "":
		return nil, merry.Wrap(ErrNotGrantor, merry.AppendMessage("zone has no grantor"))
	case self.Name:
		// The instance's own lending is no other grantor's.
		ask.ServedAgoMS = 0
		return s.onAsk(ctx, self, ask)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return mesh.Call[Ask, Answer](ctx, s.cfg.Mesh, grantor, methodAsk, ask)
}

func (s *Service) onAsk(ctx context.Context, from mesh.Peer, ask *Ask) (*Answer, error) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.resignAfterPause(now)
	g := s.grantors[ask.Zone]
	if g == nil {
		s.mu.Unlock()
		return nil, merry.Wrap(ErrNotGrantor)
	}
	answer, err := g.Ask(from.Name, *ask, now)
	if from.Name != s.cfg.Mesh.Self().Name {
		s.servedAt[ask.Zone] = now
	}
	findings := g.findings(ask.Zone)
	s.mu.Unlock()
	s.publish(context.WithoutCancel(ctx), findings)
	return &answer, err
}

// observe turns the snapshot into observations of engines by zone.
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
			AskedAt:         t.ReceivedAt,
		})
	}
	return out
}
