package environment

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Errors of changes to the environment.
var (
	// ErrConflict means that another operator's change was accepted first.
	ErrConflict = merry.Sentinel("environment: another change came first")
	// ErrNotAccepted means that the change is known to have had no effect.
	ErrNotAccepted = merry.Sentinel("environment: change not accepted")
	// ErrOutcomeUnknown means that it is unknown whether the change took effect,
	// or that it took effect but did not reach all instances of the zone.
	ErrOutcomeUnknown = merry.Sentinel("environment: outcome of change unknown")
	// ErrTooLarge means that the state would exceed the platform's limit.
	ErrTooLarge = merry.Sentinel("environment: state exceeds 1 MiB")
)

const (
	// watchWait is how long the platform holds one watch call open for changes.
	watchWait = 500 * time.Millisecond
	// watchTimeout cancels a watch call that gets no response.
	watchTimeout = watchWait + 500*time.Millisecond
	// watchBackoff and maxWatchBackoff are the initial and the maximum bound of the
	// backoff after failed watch calls.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = time.Second
)

// errRolledBack means that the platform returned an older or another state than
// before, for example after a restore from a backup.
var errRolledBack = merry.Sentinel("environment: platform rolled back")

// Store holds the newest known state and changes it through the platform. It is
// safe for concurrent use.
//
// Invariant: the revision of View never decreases.
type Store struct {
	name    string
	objects platform.Objects
	clock   clockwork.Clock
	log     *log.Logger

	replicator Replicator

	view atomic.Pointer[View]

	// mu serializes updates of view and guards subscribers. Subscribers are
	// called without it.
	mu          sync.Mutex
	subscribers []func(*View)
}

// NewStore returns a store of the named environment with an empty state.
func NewStore(name string, objects platform.Objects, clock clockwork.Clock, logger *log.Logger) *Store {
	s := &Store{name: name, objects: objects, clock: clock, log: logger, replicator: noReplicator{}}
	s.view.Store(NewView(&State{}, time.Time{}))
	return s
}

// StateKey returns the platform key of an environment's state.
func StateKey(name string) string { return "environments/" + name + "/state" }

// View returns a view of the newest known state. Its revision is 0 before the
// first state is applied.
func (s *Store) View() *View { return s.view.Load() }

// Subscribe registers f to be called with the view of each new revision.
func (s *Store) Subscribe(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// SetReplicator sets the replicator of written states. It must be called before
// the store is used.
func (s *Store) SetReplicator(r Replicator) { s.replicator = r }

// Apply replaces the current state by a newer one. The state was known to be the
// newest at confirmedAt; the zero time means no confirmation. Apply ignores an
// older state and one that conflicts with the current state. The current state
// itself only updates the confirmation time. Apply reports whether the revision
// increased.
func (s *Store) Apply(state *State, confirmedAt time.Time) bool {
	s.mu.Lock()
	current := s.view.Load()
	if state.Revision <= current.State.Revision {
		if state.Revision == current.State.Revision && !isConflicting(state, current.State) {
			s.confirmLocked(confirmedAt)
		}
		s.mu.Unlock()
		s.logConflict(state, current.State)
		return false
	}
	// No revision newer than the old one existed when the old one was confirmed,
	// so its confirmation time is valid for the new state as well.
	next := NewView(state, later(confirmedAt, current.ConfirmedAt))
	s.view.Store(next)
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Infof("Applied revision %d.", state.Revision)
	for _, f := range subscribers {
		f(next)
	}
	return true
}

// Confirm records that no revision newer than revision was accepted before at.
// It has no effect if the current revision is older than revision.
func (s *Store) Confirm(revision uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Load().State.Revision >= revision {
		s.confirmLocked(at)
	}
}

func (s *Store) confirmLocked(at time.Time) {
	current := s.view.Load()
	if at.After(current.ConfirmedAt) {
		s.view.Store(current.withConfirmation(at))
	}
}

func (s *Store) logConflict(state, current *State) {
	if isConflicting(state, current) {
		s.log.Errorf("Rejected a conflicting state of revision %d: change %s by %s is current, change %s by %s was received.",
			state.Revision, current.Change.Nonce, current.Change.Operator, state.Change.Nonce, state.Change.Operator)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Run watches the platform until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var w watch
	for ctx.Err() == nil {
		s.watchWithBackoff(ctx, &w)
	}
	return ctx.Err()
}

// watch is the position and the backoff state of one watcher of the platform.
type watch struct {
	// after is the version after which the next watch call starts.
	after    platform.Version
	failures int
}

// watchWithBackoff makes one watch call and waits for the backoff if it failed. It
// reports whether the call succeeded.
func (s *Store) watchWithBackoff(ctx context.Context, w *watch) bool {
	err := s.watchOnce(ctx, w)
	if err == nil {
		w.failures = 0
		return true
	}
	s.log.Debugf("Platform did not confirm the state: %v.", err)
	wait := fullJitter(rand.Float64(), w.failures, watchBackoff, maxWatchBackoff)
	w.failures++
	select {
	case <-s.clock.After(wait):
	case <-ctx.Done():
	}
	return false
}

// watchOnce makes one watch call and applies its changes. A response without
// changes confirms the current state as of the start of the call, unless no object
// has been received yet.
func (s *Store) watchOnce(ctx context.Context, w *watch) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, watchTimeout)
	defer cancel()
	sentAt := s.clock.Now()
	objects, version, err := s.objects.Changes(ctx, StateKey(s.name), w.after, watchWait)
	if err != nil {
		return err
	}
	if version < w.after {
		return merry.Wrap(errRolledBack, merry.AppendMessagef("from version %d to %d", w.after, version))
	}
	for _, o := range objects {
		if err := s.applyObject(o, sentAt, w); err != nil {
			return err
		}
	}
	if len(objects) == 0 && w.after > 0 {
		s.Confirm(s.View().State.Revision, sentAt)
	}
	return nil
}

// applyObject applies a state read from the platform. The next watch call starts
// after the versions of the returned objects rather than after the platform's
// newest version, so that a later call still returns a state that a stale read
// omitted.
func (s *Store) applyObject(o platform.Object, sentAt time.Time, w *watch) error {
	if o.Key != StateKey(s.name) {
		w.after = max(w.after, o.Version)
		return nil
	}
	if o.Deleted {
		return merry.Wrap(errRolledBack, merry.AppendMessage("the state was deleted"))
	}
	state, err := decodeState(o)
	if err != nil {
		return err
	}
	s.Apply(state, sentAt)
	known := s.View().State
	if state.Revision < known.Revision || isConflicting(state, known) {
		return merry.Wrap(errRolledBack, merry.AppendMessagef("to revision %d from %d", state.Revision, known.Revision))
	}
	w.after = o.Version
	return nil
}

func decodeState(o platform.Object) (*State, error) {
	var state State
	if err := json.Unmarshal(o.Value, &state); err != nil {
		return nil, merry.Prepend(err, "environment: stored state")
	}
	return &state, nil
}
