package streamversion

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// streamAge is the longest time from the beginning of a stream to the last time at which
	// a caller takes it up.
	streamAge = 20 * time.Second
	// recordTTL is how long the version of a stream is kept.
	recordTTL = 30 * time.Second
	// repeatTime is how long a record is repeated in full statuses.
	repeatTime = 3 * time.Second
	// pruneInterval is the time between two searches for records to drop.
	pruneInterval = time.Second
	// clockError bounds how far the clocks of two instances differ.
	clockError = 10 * time.Second
)

// StreamID identifies a stream by the call that brought its first event.
type StreamID uint64

// IDOf returns the identity of the stream whose first event a call brought.
func IDOf(callID string) StreamID { return StreamID(xxhash.Sum64String(callID)) }

// Record is the version of one stream.
type Record struct {
	ID      StreamID `json:"i" msgpack:"i"`
	Version string   `json:"v" msgpack:"v"`
}

// stream is what is known of one stream.
type stream struct {
	version string
	service string
	key     uint64
	begunAt time.Time
	// own is set if this instance began the stream. shared is set once peers have to know
	// its version, sharedAt is when that was.
	own, shared bool
	sharedAt    time.Time
}

// Tracker tells the versions of streams. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when peers have to know of a stream. It is set before use.
	OnChange func()

	mu      sync.Mutex
	history History
	// since holds when this instance counts each assignment as in force, by revision.
	since   map[uint64]time.Time
	streams map[StreamID]*stream
	// updated lists the streams that peers have to know, since the last Updates.
	updated []StreamID
	// revision rises with each change of what has to be stored.
	revision uint64
	prunedAt time.Time
}

// NewTracker returns a tracker that knows no assignment.
func NewTracker() *Tracker {
	return &Tracker{OnChange: func() {}, since: make(map[uint64]time.Time), streams: make(map[StreamID]*stream)}
}

// Preferred returns the version at which a new stream of a service begins, or false if any
// may begin it.
func (t *Tracker) Preferred(service string, key uint64) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.current().Services[service].choose(key)
}

// Began records the version of a stream whose first event has come.
func (t *Tracker) Began(service string, id StreamID, key uint64, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[id]
	if s == nil {
		s = &stream{}
		t.streams[id] = s
	}
	s.version, s.service, s.key, s.begunAt, s.own = version, service, key, now, true
	t.share(id, s, now)
}

// share requires t.mu. It marks a stream whose version does not follow from all assignments
// by which it may have begun, for a process that knows nothing else.
func (t *Tracker) share(id StreamID, s *stream, now time.Time) {
	if !s.own || s.shared {
		return
	}
	version, certain := t.assigned(s.service, s.key, now)
	if certain && version == s.version {
		return
	}
	s.shared, s.sharedAt = true, now
	t.updated = append(t.updated, id)
	t.revision++
	t.OnChange()
}

// assigned requires t.mu. It returns the version of a key if all assignments agree by which
// a stream that is still taken up may have begun.
func (t *Tracker) assigned(service string, key uint64, now time.Time) (string, bool) {
	version, ok := t.history.current().Services[service].choose(key)
	if !ok {
		return "", false
	}
	for _, a := range t.history {
		if former, ok := a.Services[service].choose(key); ok && former != version {
			return "", false
		}
		if now.Sub(t.since[a.Revision]) > streamAge {
			// Former ones were replaced before any such stream began.
			return version, true
		}
	}
	// Before the first assignment, any of its versions may have begun a stream.
	return version, len(t.history[len(t.history)-1].Services[service]) <= 1
}

// Version returns the version that began a stream, or false if that is not certain. id is
// that of the stream, 0 if the caller did not name it.
func (t *Tracker) Version(service string, id StreamID, key uint64, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.streams[id]; s != nil && now.Sub(s.begunAt) < recordTTL {
		return s.version, true
	}
	return t.assigned(service, key, now)
}

// Known reports whether an assignment is known.
func (t *Tracker) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.history) > 0
}

// History returns the assignments, for peers.
func (t *Tracker) History(now time.Time) History {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.history)
	for n, a := range out {
		out[n].AgeMS = now.Sub(t.since[a.Revision]).Milliseconds()
	}
	return out
}

// Adopt puts the assignments of a peer or of the store in force if they are newer. stored is
// set for those of the store, whose times are by another clock.
func (t *Tracker) Adopt(h History, stored bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(h) == 0 || h[0].Revision <= t.history.current().Revision && len(t.history) > 0 {
		return false
	}
	for _, a := range h {
		if _, known := t.since[a.Revision]; known {
			continue
		}
		age := time.Duration(max(0, a.AgeMS)) * time.Millisecond
		if stored {
			age = max(0, now.Sub(time.UnixMilli(a.SinceMS))-clockError)
		}
		t.since[a.Revision] = now.Add(-age)
	}
	t.history = slices.Clone(h)
	maps.DeleteFunc(t.since, func(revision uint64, _ time.Time) bool {
		return !slices.ContainsFunc(t.history, func(a Assignment) bool { return a.Revision == revision })
	})
	for id, s := range t.streams {
		t.share(id, s, now)
	}
	return true
}

// Next returns the history with an assignment for the targets that serve now, or false if
// the current one still holds.
func (t *Tracker) Next(serving map[string]Weights, now time.Time) (History, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, changed := next(t.history.current(), serving, now)
	if !changed {
		return nil, false
	}
	return t.history.after(a, now), true
}

// Pending reports whether Updates would return records.
func (t *Tracker) Pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.updated) > 0
}

// Updates returns the records for the status of this instance: those since the last call,
// and if full is set the own ones of the last seconds again.
func (t *Tracker) Updates(full bool, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	if full {
		for id, s := range t.streams {
			if s.own && s.shared && now.Sub(s.sharedAt) < repeatTime {
				out = append(out, Record{id, s.version})
			}
		}
	} else {
		for _, id := range t.updated {
			if s := t.streams[id]; s != nil {
				out = append(out, Record{id, s.version})
			}
		}
	}
	t.updated = nil
	return out
}

// All returns all shared records, for an instance that has just started.
func (t *Tracker) All(now time.Time) []Record {
	return t.records(now, func(s *stream) bool { return s.shared || !s.own })
}

// Own returns the shared records of this instance, to be stored, and their revision.
func (t *Tracker) Own(now time.Time) ([]Record, uint64) {
	list := t.records(now, func(s *stream) bool { return s.shared && s.own })
	t.mu.Lock()
	defer t.mu.Unlock()
	return list, t.revision
}

func (t *Tracker) records(now time.Time, include func(*stream) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var out []Record
	for id, s := range t.streams {
		if include(s) {
			out = append(out, Record{id, s.version})
		}
	}
	return out
}

// Revision rises with each change of Own.
func (t *Tracker) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Apply adds the records of a peer or of the store.
func (t *Tracker) Apply(list []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if t.streams[r.ID] == nil {
			t.streams[r.ID] = &stream{version: r.Version, begunAt: now}
		}
	}
}

// ApplyFormer adds the records that a former run of this instance has stored, so that they
// are stored again with the next ones.
func (t *Tracker) ApplyFormer(list []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		if s := t.streams[r.ID]; s == nil || !s.own {
			t.streams[r.ID] = &stream{version: r.Version, begunAt: now, own: true, shared: true, sharedAt: now}
		}
	}
}

// Prune drops streams that are no longer taken up.
func (t *Tracker) Prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) > pruneInterval {
		t.prune(now)
	}
}

// prune requires t.mu.
func (t *Tracker) prune(now time.Time) {
	t.prunedAt = now
	maps.DeleteFunc(t.streams, func(_ StreamID, s *stream) bool { return now.Sub(s.begunAt) > recordTTL })
}
