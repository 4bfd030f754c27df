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
	// ErrConflict means that another operator's change came first.
	ErrConflict = merry.Sentinel("environment: another change came first")
	// ErrNotAccepted means that the change is known to have had no effect.
	ErrNotAccepted = merry.Sentinel("environment: change not accepted")
	// ErrOutcomeUnknown means that it could not be learned whether the change took
	// effect.
	ErrOutcomeUnknown = merry.Sentinel("environment: outcome of change unknown")
	// ErrTooLarge means that the state would exceed the platform's limit.
	ErrTooLarge = merry.Sentinel("environment: state exceeds 1 MiB")
)

const (
	// watchWait is how long one watch call waits for changes.
	watchWait = 500 * time.Millisecond
	// watchTimeout ends a watch call whose answer does not come.
	watchTimeout = watchWait + 500*time.Millisecond
	// Backoff of the watch while the platform fails.
	watchBackoff    = 100 * time.Millisecond
	maxWatchBackoff = time.Second
)

// errWentBack means that the platform holds less than it showed before, for
// example after a restore from a backup.
var errWentBack = merry.Sentinel("environment: platform went back")

// Store holds the newest state known and changes it through the platform. It is
// safe for concurrent use.
//
// Invariant: the revision of View never goes down.
type Store struct {
	name    string
	objects platform.Objects
	clock   clockwork.Clock
	log     *log.Logger

	propagation Replicator

	view atomic.Pointer[View]

	// mu orders Apply; subscribers are called without it.
	mu          sync.Mutex
	subscribers []func(*View)
}

// NewStore returns a store of the named environment with an empty state.
func NewStore(name string, objects platform.Objects, clock clockwork.Clock, logger *log.Logger) *Store {
	s := &Store{name: name, objects: objects, clock: clock, log: logger, propagation: noPropagation{}}
	s.view.Store(NewView(&State{}, time.Time{}))
	return s
}

// StateKey is the platform key of the state of an environment.
func StateKey(name string) string { return "environments/" + name + "/state" }

// View returns the newest state known. Its revision is 0 before the first
// state arrives.
func (s *Store) View() *View { return s.view.Load() }

// Subscribe calls f with each new revision.
func (s *Store) Subscribe(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// SetReplicator sets the part that makes changes known. It is called before the
// store is used.
func (s *Store) SetReplicator(p Replicator) { s.propagation = p }

// Apply takes a state that was the newest at confirmedAt; the zero time confirms
// nothing. A state older than the present one is ignored, and so is another
// content under the present revision. It reports whether the revision rose.
func (s *Store) Apply(state *State, confirmedAt time.Time) bool {
	s.mu.Lock()
	current := s.view.Load()
	if state.Revision <= current.State.Revision {
		if state.Revision == current.State.Revision && !isOther(state, current.State) {
			s.confirmLocked(confirmedAt)
		}
		s.mu.Unlock()
		s.logOther(state, current.State)
		return false
	}
	// Nothing newer than the old state was there at its confirmation, so the
	// confirmation holds for the new state as well.
	next := NewView(state, later(confirmedAt, current.ConfirmedAt))
	s.view.Store(next)
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Infof("Revision %d in force.", state.Revision)
	for _, f := range subscribers {
		f(next)
	}
	return true
}

// Confirm records that no newer revision than revision was accepted before at.
// It has no effect if the present revision is older.
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
		s.view.Store(current.confirmed(at))
	}
}

func (s *Store) logOther(state, current *State) {
	if isOther(state, current) {
		s.log.Errorf("Another revision %d was refused: change %s by %s is in force, change %s by %s was offered.",
			state.Revision, current.Change.Nonce, current.Change.Operator, state.Change.Nonce, state.Change.Operator)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Run follows the platform until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var w watch
	for ctx.Err() == nil {
		s.step(ctx, &w)
	}
	return ctx.Err()
}

// watch is the position of one follower of the platform.
type watch struct {
	// after is the version of the newest state seen.
	after    platform.Version
	failures int
}

// step makes one watch call and, after a failure, waits. It reports whether the
// platform confirmed the state.
func (s *Store) step(ctx context.Context, w *watch) bool {
	err := s.follow(ctx, w)
	if err == nil {
		w.failures = 0
		return true
	}
	s.log.Debugf("Platform gave no confirmation: %v.", err)
	wait := fullJitter(rand.Float64(), w.failures, watchBackoff, maxWatchBackoff)
	w.failures++
	select {
	case <-s.clock.After(wait):
	case <-ctx.Done():
	}
	return false
}

// follow makes one watch call. An answer without changes confirms the present
// state as of the start of the call.
func (s *Store) follow(ctx context.Context, w *watch) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, watchTimeout)
	defer cancel()
	asked := s.clock.Now()
	objects, version, err := s.objects.Changes(ctx, StateKey(s.name), w.after, watchWait)
	if err != nil {
		return err
	}
	if version < w.after {
		return merry.Wrap(errWentBack, merry.AppendMessagef("from version %d to %d", w.after, version))
	}
	for _, o := range objects {
		if err := s.take(o, asked, w); err != nil {
			return err
		}
	}
	if len(objects) == 0 && w.after > 0 {
		s.Confirm(s.View().State.Revision, asked)
	}
	return nil
}

// take puts a state of the platform in force. The watch goes on behind the
// versions of states rather than behind that of the whole store, so that a
// state that a stale read left out is still shown later.
func (s *Store) take(o platform.Object, asked time.Time, w *watch) error {
	if o.Key != StateKey(s.name) {
		w.after = max(w.after, o.Version)
		return nil
	}
	if o.Deleted {
		return merry.Wrap(errWentBack, merry.AppendMessage("the state was deleted"))
	}
	state, err := decodeState(o)
	if err != nil {
		return err
	}
	s.Apply(state, asked)
	known := s.View().State
	if state.Revision < known.Revision || isOther(state, known) {
		return merry.Wrap(errWentBack, merry.AppendMessagef("to revision %d from %d", state.Revision, known.Revision))
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
