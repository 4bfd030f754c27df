package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	tickInterval = 250 * time.Millisecond
	// readEvery is the time between reads of the records of leases that the
	// instance is a candidate for.
	readEvery = 500 * time.Millisecond
	// writeTimeout bounds one write and the settling of its outcome.
	writeTimeout = time.Second
	// releaseTimeout bounds the hand-over of a planned stop.
	releaseTimeout = 2 * time.Second
	// defaultParallel is the number of writes under way at once.
	defaultParallel = 8
)

// Candidacy says that the instance may hold a lease. Rank 0 is the preferred
// holder.
type Candidacy struct {
	Name string
	Rank int
}

// Grant is a lease as held.
type Grant struct {
	Name  string
	Token uint64
	// Until is the end on the instance's monotonic clock, unless renewed.
	Until time.Time
	// FreeSince is when the previous holder's lease had certainly ended.
	FreeSince time.Time
}

// Manager holds the leases of one instance under one prefix of the platform. It
// is safe for concurrent use.
type Manager struct {
	prefix     string
	holder     string
	session    string
	objects    platform.Objects
	clock      clockwork.Clock
	log        *log.Logger
	candidates func() []Candidacy
	parallel   int
	metrics    metrics

	// mu guards states and their fields; it is never held during I/O.
	mu       sync.Mutex
	states   map[string]*State
	readAt   time.Time
	stopping bool
}

// Config holds what a manager is made of.
type Config struct {
	// Prefix of the platform keys of the leases, ending in "/".
	Prefix string
	Holder string
	// Session is unique to the run of the instance.
	Session string
	Objects platform.Objects
	Clock   clockwork.Clock
	Log     *log.Logger
	// Candidates returns the leases that the instance may hold now.
	Candidates func() []Candidacy
	Metrics    prometheus.Registerer
	// Parallel is the number of writes under way at once; 0 means 8.
	Parallel int
}

// NewManager returns a manager that holds nothing.
func NewManager(c Config) *Manager {
	if c.Parallel == 0 {
		c.Parallel = defaultParallel
	}
	return &Manager{
		prefix: c.Prefix, holder: c.Holder, session: c.Session, objects: c.Objects, clock: c.Clock, log: c.Log,
		candidates: c.Candidates, parallel: c.Parallel, metrics: newMetrics(c.Metrics), states: make(map[string]*State),
	}
}

// Run keeps leases until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := m.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick reads records when that is due and makes the writes that are due.
func (m *Manager) Tick(ctx context.Context) {
	candidates := m.candidates()
	m.read(ctx, candidates)
	m.writeAll(ctx, m.due(candidates))
	m.observeMetrics()
}

// step is one write that is due.
type step struct {
	name    string
	action  Action
	record  Record
	version uint64
}

// due returns the steps of all leases, held ones without candidacy included.
func (m *Manager) due(candidates []Candidacy) []step {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	ranks := make(map[string]int, len(candidates))
	for _, c := range candidates {
		ranks[c.Name] = c.Rank
		m.state(c.Name)
	}
	now := m.clock.Now()
	var out []step
	for name, s := range m.states {
		rank, ok := ranks[name]
		if !ok {
			rank = -1
		}
		if action := s.Next(now, rank); action != Wait {
			record, version := s.Proposed(action)
			out = append(out, step{name, action, record, version})
		}
	}
	return out
}

// state requires m.mu.
func (m *Manager) state(name string) *State {
	s := m.states[name]
	if s == nil {
		s = NewState(m.holder, m.session)
		m.states[name] = s
	}
	return s
}

// read lists the records. A missing record counts as seen with version 0.
func (m *Manager) read(ctx context.Context, candidates []Candidacy) {
	asked := m.clock.Now()
	if len(candidates) == 0 || (!m.readAt.IsZero() && asked.Sub(m.readAt) < readEvery) {
		return
	}
	m.readAt = asked
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	objects, _, err := m.objects.List(callCtx, m.prefix)
	if err != nil {
		m.log.Debugf("Leases not read: %v.", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	found := make(map[string]bool, len(objects))
	for _, o := range objects {
		var r Record
		if json.Unmarshal(o.Value, &r) != nil {
			continue
		}
		name := o.Key[len(m.prefix):]
		found[name] = true
		m.state(name).Observe(r, uint64(o.Version), now)
	}
	for _, c := range candidates {
		if !found[c.Name] {
			m.state(c.Name).Observe(Record{}, 0, now)
		}
	}
}

func (m *Manager) writeAll(ctx context.Context, steps []step) {
	sort.Slice(steps, func(i, j int) bool { return steps[i].name < steps[j].name })
	group := errgroup.Group{}
	group.SetLimit(m.parallel)
	for _, st := range steps {
		group.Go(func() error {
			m.write(ctx, st)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Manager) write(ctx context.Context, st step) {
	value, err := json.Marshal(st.record)
	if err != nil {
		m.log.Errorf("Lease %s not encoded: %v.", st.name, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sentAt := m.clock.Now()
	object, err := platform.PutSettled(ctx, m.objects, m.clock, m.prefix+st.name, value, platform.Version(st.version), func(stored []byte) bool {
		var r Record
		return json.Unmarshal(stored, &r) == nil && r.Session == m.session && r.Renewal == st.record.Renewal
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(st.name)
	if err == nil {
		s.ApplyWrite(st.action, st.record, uint64(object.Version), sentAt, m.clock.Now())
		m.noteWritten(st)
		return
	}
	m.log.Debugf("Lease %s not written: %v.", st.name, err)
	if errors.Is(err, platform.ErrConflict) {
		m.metrics.conflicts.Inc()
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		m.readAt = time.Time{}
	}
}

// noteWritten requires m.mu.
func (m *Manager) noteWritten(st step) {
	switch st.action {
	case Acquire:
		m.metrics.acquired.Inc()
		m.log.Infof("Lease %s acquired with token %d.", st.name, st.record.Token)
	case Release:
		m.log.Infof("Lease %s released.", st.name)
	}
}

// Held returns the grant of a lease that the instance holds for at least the
// time for, or ErrNotHeld.
func (m *Manager) Held(name string, atLeast time.Duration) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[name]
	if s == nil || m.stopping || !s.Held(m.clock.Now().Add(atLeast)) {
		return Grant{}, merry.Wrap(ErrNotHeld)
	}
	return Grant{Name: name, Token: s.Token(), Until: s.Until(), FreeSince: s.FreeSince()}, nil
}

// Holder returns the instance that the newest record known names.
func (m *Manager) Holder(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.states[name]; s != nil {
		return s.Holder()
	}
	return ""
}

// ReleaseAll ends all leases for a planned stop, so that others need not wait
// for their end. The caller has ended all work under them.
func (m *Manager) ReleaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.mu.Lock()
	m.stopping = true
	now := m.clock.Now()
	var steps []step
	for name, s := range m.states {
		if s.Held(now) {
			record, version := s.Proposed(Release)
			steps = append(steps, step{name, Release, record, version})
		}
		s.Drop()
	}
	m.mu.Unlock()
	m.writeAll(ctx, steps)
}

func (m *Manager) observeMetrics() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, held := m.clock.Now(), 0
	for _, s := range m.states {
		if s.Held(now) {
			held++
		}
	}
	m.metrics.held.Set(float64(held))
}
