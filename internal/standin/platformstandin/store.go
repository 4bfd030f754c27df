// Package platformstandin is a small stand-in of the platform's object API and
// list of instances, for tests and the quickstart. It is no part of the
// product.
package platformstandin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Rates of the platform, in calls per second.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 300
)

// Faults are the failures that the stand-in shows. The zero value is a healthy
// platform.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// CutZones lists availability zones whose instances cannot reach the
	// platform. A caller names its zone with platformstandin.WithZone.
	CutZones []string `json:"cut_zones,omitempty"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of coming writes that take effect but whose
	// answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswerShare is the share of writes, 0 to 1, whose answers are lost.
	LoseAnswerShare float64 `json:"lose_answer_share"`
	// StaleReads makes Get and List return the state before the last write of
	// each object.
	StaleReads bool `json:"stale_reads"`
}

// Stats counts the calls to the platform. A waiting watch counts as one call.
type Stats struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Throttled uint64 `json:"throttled"`
	Conflicts uint64 `json:"conflicts"`
}

type entry struct {
	current  platform.Object
	previous platform.Object
}

// Store holds the objects. It implements platform.Objects and
// platform.Instances and is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu        sync.Mutex
	random    *rand.Rand
	entries   map[string]*entry
	version   platform.Version
	changed   chan struct{}
	instances map[string]platform.InstanceRecord
	listed    []platform.InstanceRecord
	faults    Faults
	stats     Stats
	reads     *rate.Limiter
	writes    *rate.Limiter
	// copied and copiedVersion are the copy that Rewind returns to.
	copied        map[string]entry
	copiedVersion platform.Version
}

var (
	_ platform.Objects   = (*Store)(nil)
	_ platform.Instances = (*Store)(nil)
)

// NewStore returns an empty store whose random faults follow seed.
func NewStore(clock clockwork.Clock, seed uint64) *Store {
	return &Store{
		clock:     clock,
		random:    rand.New(rand.NewPCG(seed, seed)),
		entries:   make(map[string]*entry),
		changed:   make(chan struct{}),
		instances: make(map[string]platform.InstanceRecord),
		reads:     rate.NewLimiter(DefaultReadRate, DefaultReadRate),
		writes:    rate.NewLimiter(DefaultWriteRate, DefaultWriteRate),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetRates replaces the limits in calls per second.
func (s *Store) SetRates(reads, writes float64) {
	now := s.clock.Now()
	s.reads.SetLimitAt(now, rate.Limit(reads))
	s.writes.SetLimitAt(now, rate.Limit(writes))
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// PutInstance adds or replaces an instance; PublishInstances makes it visible.
func (s *Store) PutInstance(r platform.InstanceRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r.Name] = r
}

// RemoveInstance removes an instance; PublishInstances makes it visible.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, name)
}

// PublishInstances brings the visible list up to date. Calling it late models
// the lag of the platform's list.
func (s *Store) PublishInstances() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = s.listed[:0:0]
	for _, r := range s.instances {
		s.listed = append(s.listed, r)
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].Name < s.listed[j].Name })
}

// Instances implements platform.Instances.
func (s *Store) Instances(ctx context.Context) ([]platform.InstanceRecord, error) {
	if err := s.begin(ctx, s.reads, &s.stats.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.InstanceRecord(nil), s.listed...), nil
}

// Era returns the era of the store.
func (s *Store) Era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version.Era()
}

// Copy makes a copy of the store, to which Rewind returns.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedVersion = make(map[string]entry, len(s.entries)), s.version
	for key, e := range s.entries {
		s.copied[key] = *e
	}
}

// Rewind brings the store back from its copy, in a new era. Revisions since the copy are
// given out again, and watches that wait end.
func (s *Store) Rewind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.version.Era() + 1
	in := func(v platform.Version) platform.Version {
		if v == 0 {
			return 0
		}
		return platform.NewVersion(era, v.Revision())
	}
	s.version, s.entries = in(s.copiedVersion), make(map[string]*entry, len(s.copied))
	if s.version == 0 {
		s.version = platform.NewVersion(era, 0)
	}
	for key, e := range s.copied {
		e.current.Version, e.previous.Version = in(e.current.Version), in(e.previous.Version)
		s.entries[key] = &e
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements platform.Objects.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.begin(ctx, s.reads, &s.stats.Reads); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		return platform.Object{}, merry.Wrap(platform.ErrNotFound)
	}
	object := e.visible(s.faults.StaleReads)
	if object.Deleted || object.Version == 0 {
		return platform.Object{}, merry.Wrap(platform.ErrNotFound)
	}
	return object, nil
}

// List implements platform.Objects.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	if err := s.begin(ctx, s.reads, &s.stats.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.collect(prefix, 0)
	kept := objects[:0]
	for _, o := range objects {
		if !o.Deleted {
			kept = append(kept, o)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].Key < kept[j].Key })
	return kept, s.version, nil
}

// Changes implements platform.Objects.
func (s *Store) Changes(ctx context.Context, prefix string, after platform.Version, wait time.Duration) ([]platform.Object, platform.Version, error) {
	if err := s.begin(ctx, s.reads, &s.stats.Watches); err != nil {
		return nil, 0, err
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		objects, version, changed := s.collect(prefix, after), s.version, s.changed
		failed := s.failsLocked(ctx)
		s.mu.Unlock()
		if failed {
			return nil, 0, merry.Wrap(platform.ErrUnavailable)
		}
		if after.Era() != version.Era() || after > version {
			return nil, 0, merry.Wrap(platform.ErrHistoryGone)
		}
		if len(objects) > 0 {
			return objects, version, nil
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, merry.Wrap(platform.ErrUnavailable, merry.WithCause(ctx.Err()))
		}
	}
}

// Put implements platform.Objects.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, merry.Wrap(platform.ErrTooLarge)
	}
	return s.write(ctx, key, value, expected, false)
}

// Delete implements platform.Objects.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Version) error {
	_, err := s.write(ctx, key, nil, expected, true)
	return err
}

func (s *Store) write(ctx context.Context, key string, value []byte, expected platform.Version, deleted bool) (platform.Object, error) {
	if err := s.begin(ctx, s.writes, &s.stats.Writes); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil {
		e = &entry{}
	}
	// The platform compares revisions and knows of no era in a write.
	if e.version().Revision() != expected.Revision() {
		s.stats.Conflicts++
		return platform.Object{}, merry.Wrap(platform.ErrConflict)
	}
	s.version++
	e.previous = e.current
	e.current = platform.Object{Key: key, Value: append([]byte(nil), value...), Version: s.version, Deleted: deleted}
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	if s.losesAnswer() {
		return platform.Object{}, merry.Wrap(platform.ErrOutcomeUnknown)
	}
	return e.current, nil
}

// begin applies delay, outage and rate limit to a call and counts it.
func (s *Store) begin(ctx context.Context, limiter *rate.Limiter, count *uint64) error {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-s.clock.After(delay):
		case <-ctx.Done():
			return merry.Wrap(platform.ErrUnavailable, merry.WithCause(ctx.Err()))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failsLocked(ctx) || ctx.Err() != nil {
		return merry.Wrap(platform.ErrUnavailable)
	}
	if !limiter.AllowN(s.clock.Now(), 1) {
		s.stats.Throttled++
		return merry.Wrap(platform.ErrThrottled)
	}
	*count++
	return nil
}

func (s *Store) failsLocked(ctx context.Context) bool {
	if s.faults.Outage {
		return true
	}
	zone, _ := ctx.Value(zoneKey{}).(string)
	for _, cut := range s.faults.CutZones {
		if zone != "" && cut == zone {
			return true
		}
	}
	return false
}

func (s *Store) losesAnswer() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswerShare > 0 && s.random.Float64() < s.faults.LoseAnswerShare
}

// collect returns the objects under prefix with a version above after.
func (s *Store) collect(prefix string, after platform.Version) []platform.Object {
	var out []platform.Object
	for key, e := range s.entries {
		object := e.visible(s.faults.StaleReads)
		if strings.HasPrefix(key, prefix) && object.Version > after {
			out = append(out, object)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

func (e *entry) visible(stale bool) platform.Object {
	if stale && e.previous.Version > 0 {
		return e.previous
	}
	return e.current
}

// version returns the version a conditional write has to expect.
func (e *entry) version() platform.Version {
	if e.current.Deleted {
		return 0
	}
	return e.current.Version
}

type zoneKey struct{}

// WithZone marks calls made with the context as coming from the availability
// zone, so that Faults.CutZones applies to them.
func WithZone(ctx context.Context, zone string) context.Context {
	return context.WithValue(ctx, zoneKey{}, zone)
}
