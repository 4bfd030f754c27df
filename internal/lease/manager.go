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
	// readInterval is the time between reads of the records while the instance is
	// a candidate for any lease.
	readInterval = 500 * time.Millisecond
	// callTimeout bounds one write, including the resolution of an unknown
	// outcome, and one read of the records.
	callTimeout = time.Second
	// releaseTimeout bounds the release of all leases at a planned stop.
	releaseTimeout = 2 * time.Second
	// defaultParallelWrites is the default of Config.Parallel.
	defaultParallelWrites = 8
)

// Candidacy makes the instance a candidate for the named lease. The preferred
// holder has rank 0.
type Candidacy struct {
	Name string
	Rank int
}

// Grant describes a lease that the instance holds.
type Grant struct {
	Name  string
	Token uint64
	// Until is the expiry on the instance's monotonic clock unless the lease is
	// renewed.
	Until time.Time
	// FreeSince is the time by which the previous holder's lease had expired or was
	// observed to be released.
	FreeSince time.Time
}

// Manager acquires, renews and releases the leases of one instance under one
// key prefix of the platform. It is safe for concurrent use.
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
	mu         sync.Mutex
	states     map[string]*State
	lastReadAt time.Time
	stopping   bool
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Prefix is the prefix of the platform keys of the leases and ends in "/".
	Prefix string
	Holder string
	// Session is unique to a run of the instance.
	Session string
	Objects platform.Objects
	Clock   clockwork.Clock
	Log     *log.Logger
	// Candidates returns the leases for which the instance is now a candidate.
	Candidates func() []Candidacy
	Metrics    prometheus.Registerer
	// Parallel is the maximum number of concurrent writes; 0 means 8.
	Parallel int
}

// NewManager returns a manager that holds no leases.
func NewManager(c Config) *Manager {
	if c.Parallel == 0 {
		c.Parallel = defaultParallelWrites
	}
	return &Manager{
		prefix: c.Prefix, holder: c.Holder, session: c.Session, objects: c.Objects, clock: c.Clock, log: c.Log,
		candidates: c.Candidates, parallel: c.Parallel, metrics: newMetrics(c.Metrics), states: make(map[string]*State),
	}
}

// Run acquires and renews leases until ctx is done.
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

// Tick performs the reads and writes that are due.
func (m *Manager) Tick(ctx context.Context) {
	candidates := m.candidates()
	m.read(ctx, candidates)
	m.writeAll(ctx, m.dueWrites(candidates))
	m.updateMetrics()
}

type pendingWrite struct {
	name    string
	action  Action
	record  Record
	version uint64
}

// dueWrites returns the writes due for all known leases, including those for
// which the instance is no longer a candidate.
func (m *Manager) dueWrites(candidates []Candidacy) []pendingWrite {
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
	var out []pendingWrite
	for name, s := range m.states {
		rank, ok := ranks[name]
		if !ok {
			rank = -1
		}
		if action := s.Next(now, rank); action != Wait {
			record, version := s.Proposed(action)
			out = append(out, pendingWrite{name, action, record, version})
		}
	}
	return out
}

// state returns the state of a lease and creates it if needed. It requires m.mu.
func (m *Manager) state(name string) *State {
	s := m.states[name]
	if s == nil {
		s = NewState(m.holder, m.session)
		m.states[name] = s
	}
	return s
}

// read lists the records of all leases. It observes the missing record of a
// lease for which the instance is a candidate as version 0.
func (m *Manager) read(ctx context.Context, candidates []Candidacy) {
	startedAt := m.clock.Now()
	if len(candidates) == 0 || (!m.lastReadAt.IsZero() && startedAt.Sub(m.lastReadAt) < readInterval) {
		return
	}
	m.lastReadAt = startedAt
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := m.objects.List(callCtx, m.prefix)
	if err != nil {
		m.log.Debugf("Reading the leases failed: %v.", err)
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

func (m *Manager) writeAll(ctx context.Context, writes []pendingWrite) {
	sort.Slice(writes, func(i, j int) bool { return writes[i].name < writes[j].name })
	group := errgroup.Group{}
	group.SetLimit(m.parallel)
	for _, w := range writes {
		group.Go(func() error {
			m.write(ctx, w)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Manager) write(ctx context.Context, w pendingWrite) {
	value, err := json.Marshal(w.record)
	if err != nil {
		m.log.Errorf("Encoding the record of lease %s failed: %v.", w.name, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := m.clock.Now()
	object, err := platform.PutSettled(ctx, m.objects, m.clock, m.prefix+w.name, value, platform.Version(w.version), func(stored []byte) bool {
		var r Record
		return json.Unmarshal(stored, &r) == nil && r.Session == m.session && r.Renewal == w.record.Renewal
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(w.name)
	if err == nil {
		s.ApplyWrite(w.action, w.record, uint64(object.Version), sentAt, m.clock.Now())
		m.reportWrite(w)
		return
	}
	m.log.Debugf("Writing lease %s failed: %v.", w.name, err)
	if errors.Is(err, platform.ErrConflict) {
		m.metrics.conflicts.Inc()
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown) {
		// Make the next tick read the records.
		m.lastReadAt = time.Time{}
	}
}

// reportWrite logs and counts a successful write. It requires m.mu.
func (m *Manager) reportWrite(w pendingWrite) {
	switch w.action {
	case Acquire:
		m.metrics.acquired.Inc()
		m.log.Infof("Lease %s acquired with fencing token %d.", w.name, w.record.Token)
	case Release:
		m.log.Infof("Lease %s released.", w.name)
	}
}

// Held returns the grant of a lease that the instance holds for at least the
// given time from now. Otherwise it returns ErrNotHeld.
func (m *Manager) Held(name string, atLeast time.Duration) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[name]
	if s == nil || m.stopping || !s.Held(m.clock.Now().Add(atLeast)) {
		return Grant{}, merry.Wrap(ErrNotHeld)
	}
	return Grant{Name: name, Token: s.Token(), Until: s.Until(), FreeSince: s.FreeSince()}, nil
}

// Holder returns the holder in the newest known record, empty if there is none.
func (m *Manager) Holder(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.states[name]; s != nil {
		return s.Holder()
	}
	return ""
}

// ReleaseAll releases all leases at a planned stop, so that other instances need
// not wait for them to expire. The caller must have finished all work that
// depends on them.
func (m *Manager) ReleaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.mu.Lock()
	m.stopping = true
	now := m.clock.Now()
	var writes []pendingWrite
	for name, s := range m.states {
		if s.Held(now) {
			record, version := s.Proposed(Release)
			writes = append(writes, pendingWrite{name, Release, record, version})
		}
		s.Drop()
	}
	m.mu.Unlock()
	m.writeAll(ctx, writes)
}

func (m *Manager) updateMetrics() {
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
