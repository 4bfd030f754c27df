package environment

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// Errors of changes to the environment.
var (
	// ErrRace means that another operator's change came first.
	ErrRace = merry.Sentinel("environment: another change came first")
	// ErrNotAccepted means that the change is known to have had no effect.
	ErrNotAccepted = merry.Sentinel("environment: change not accepted")
	// ErrUnsettled means that it could not be learned whether the change took
	// effect.
	ErrUnsettled = merry.Sentinel("environment: outcome of change unknown")
	// ErrTooLarge means that the state would exceed the platform's limit.
	ErrTooLarge = merry.Sentinel("environment: state exceeds 1 MiB")
)

const (
	// watchWait is how long one watch call waits for changes.
	watchWait = 500 * time.Millisecond
	// settleTimeout bounds the reading back of a write whose answer was lost.
	settleTimeout = 10 * time.Second
)

// Store holds the newest state known and changes it through the platform. It is
// safe for concurrent use.
//
// Invariant: the revision of View never goes down.
type Store struct {
	name    string
	objects platform.Objects
	clock   clockwork.Clock
	log     *log.Logger

	view atomic.Pointer[View]

	// mu orders Apply; subscribers are called without it.
	mu          sync.Mutex
	subscribers []func(*View)
}

// NewStore returns a store of the named environment with an empty state.
func NewStore(name string, objects platform.Objects, clock clockwork.Clock, logger *log.Logger) *Store {
	s := &Store{name: name, objects: objects, clock: clock, log: logger}
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

// Apply takes a state that was the newest at confirmedAt. Older revisions than
// the present are ignored. It reports whether the revision rose.
func (s *Store) Apply(state *State, confirmedAt time.Time) bool {
	s.mu.Lock()
	current := s.view.Load()
	if state.Revision < current.State.Revision {
		s.mu.Unlock()
		return false
	}
	if state.Revision == current.State.Revision {
		if confirmedAt.After(current.ConfirmedAt) {
			s.view.Store(current.confirmed(confirmedAt))
		}
		s.mu.Unlock()
		return false
	}
	next := NewView(state, confirmedAt)
	s.view.Store(next)
	subscribers := s.subscribers
	s.mu.Unlock()
	s.log.Infof("Revision %d in force.", state.Revision)
	for _, f := range subscribers {
		f(next)
	}
	return true
}

// Run follows the platform until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 100 * time.Millisecond
	retry.MaxInterval = 2 * time.Second
	var after platform.Version
	for ctx.Err() == nil {
		version, err := s.follow(ctx, after)
		if err == nil {
			after = version
			retry.Reset()
			continue
		}
		s.log.Debugf("Platform not reached: %v.", err)
		select {
		case <-s.clock.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow makes one watch call. An answer without changes confirms the present
// state as of the start of the call.
func (s *Store) follow(ctx context.Context, after platform.Version) (platform.Version, error) {
	asked := s.clock.Now()
	objects, version, err := s.objects.Changes(ctx, StateKey(s.name), after, watchWait)
	if err != nil {
		return after, err
	}
	if len(objects) == 0 && after > 0 {
		s.Apply(s.View().State, asked)
	}
	for _, o := range objects {
		state, err := decodeState(o)
		if err != nil {
			return after, err
		}
		s.Apply(state, asked)
	}
	return version, nil
}

func decodeState(o platform.Object) (*State, error) {
	var state State
	if err := json.Unmarshal(o.Value, &state); err != nil {
		return nil, merry.Prepend(err, "environment: stored state")
	}
	return &state, nil
}

// Change reads the state, lets edit change it and writes it back. It returns
// the accepted state; only then is the change in force. With onRevision above
// zero, any other revision in force is answered by ErrRace.
func (s *Store) Change(ctx context.Context, operator, action string, onRevision uint64, edit func(*State) error) (*State, error) {
	for {
		state, err := s.tryChange(ctx, operator, action, onRevision, edit)
		if errors.Is(err, platform.ErrConflict) && onRevision == 0 {
			continue
		}
		if errors.Is(err, platform.ErrConflict) {
			return nil, merry.Wrap(ErrRace)
		}
		return state, err
	}
}

func (s *Store) tryChange(ctx context.Context, operator, action string, onRevision uint64, edit func(*State) error) (*State, error) {
	current, version, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if current.Revision < s.View().State.Revision {
		return nil, merry.Wrap(ErrNotAccepted, merry.AppendMessage("platform answered with an old state"))
	}
	if onRevision > 0 && current.Revision != onRevision {
		return nil, merry.Wrap(ErrRace)
	}
	next := current.Clone()
	if err := edit(next); err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Change = Change{
		Nonce:    uuid.NewString(),
		Operator: operator,
		Action:   action,
		AtMS:     s.clock.Now().UnixMilli(),
	}
	if err := s.write(ctx, next, version); err != nil {
		return nil, err
	}
	s.Apply(next, s.clock.Now())
	s.log.Infof("Revision %d accepted: %s by %s.", next.Revision, action, operator)
	return next, nil
}

func (s *Store) read(ctx context.Context) (*State, platform.Version, error) {
	object, err := s.objects.Get(ctx, StateKey(s.name))
	if errors.Is(err, platform.ErrNotFound) {
		return &State{}, 0, nil
	}
	if err != nil {
		return nil, 0, merry.Wrap(ErrNotAccepted, merry.WithCause(err))
	}
	state, err := decodeState(object)
	return state, object.Version, err
}

func (s *Store) write(ctx context.Context, next *State, expected platform.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(ErrNotAccepted, merry.WithCause(err))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, err = platform.PutSettled(ctx, s.objects, s.clock, StateKey(s.name), value, expected, func(stored []byte) bool {
		var state State
		return json.Unmarshal(stored, &state) == nil && state.Change.Nonce == next.Change.Nonce
	})
	switch {
	case err == nil || errors.Is(err, platform.ErrConflict):
		return err
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return merry.Wrap(ErrUnsettled, merry.WithCause(err))
	case errors.Is(err, platform.ErrTooLarge):
		return merry.Wrap(ErrTooLarge)
	}
	return merry.Wrap(ErrNotAccepted, merry.WithCause(err))
}
