package environment

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// settleTimeout bounds the reading back of a write whose answer was lost.
	settleTimeout = 10 * time.Second
	// maxChangeAttempts bounds the races that one change loses.
	maxChangeAttempts = 16
	changeBackoff     = 20 * time.Millisecond
	maxChangeBackoff  = 500 * time.Millisecond
	// recentChanges is the number of changes that a state remembers.
	recentChanges = 64
)

// Replicator makes accepted changes known to the instances that could
// otherwise serve by an older state. Syncer is one.
type Replicator interface {
	// WaitUntilWritable returns nil once this instance may write a change on top of
	// current, or an error if it may not.
	WaitUntilWritable(ctx context.Context, current *State) error
	// Replicate returns nil once every instance that answers for this zone holds
	// the state.
	Replicate(ctx context.Context, state *State) error
}

type noPropagation struct{}

func (noPropagation) WaitUntilWritable(context.Context, *State) error { return nil }
func (noPropagation) Replicate(context.Context, *State) error         { return nil }

// Change reads the state, lets edit change it and writes it back. It returns
// the accepted state; only then is the change accepted. With onRevision above
// zero, any other revision in force is answered by ErrConflict. The function edit
// may be called several times, each time with a copy of the newest state.
func (s *Store) Change(ctx context.Context, operator, action string, onRevision uint64, edit func(*State) error) (*State, error) {
	change := Change{Nonce: uuid.NewString(), Operator: operator, Action: action, AtMS: s.clock.Now().UnixMilli()}
	var last error
	for attempt := range maxChangeAttempts {
		state, err := s.tryChange(ctx, change, onRevision, edit)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, errOldRead) {
			return state, err
		}
		if onRevision > 0 && errors.Is(err, platform.ErrConflict) {
			return nil, merry.Wrap(ErrConflict)
		}
		last = err
		select {
		case <-s.clock.After(fullJitter(rand.Float64(), attempt, changeBackoff, maxChangeBackoff)):
		case <-ctx.Done():
			return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(ctx.Err()))
		}
	}
	if errors.Is(last, errOldRead) {
		return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(last))
	}
	return nil, merry.Wrap(ErrConflict, merry.AppendMessagef("%d times", maxChangeAttempts))
}

// errOldRead means that the platform answered with an older state than the one
// known.
var errOldRead = merry.Sentinel("environment: platform answered with an old state")

func (s *Store) tryChange(ctx context.Context, change Change, onRevision uint64, edit func(*State) error) (*State, error) {
	current, version, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.checkRead(current, onRevision); err != nil {
		return nil, err
	}
	if err := s.propagation.WaitUntilWritable(ctx, current); err != nil {
		return nil, err
	}
	next := current.Clone()
	if err := edit(next); err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Change = change
	next.remember(RecentChange{Revision: next.Revision, Change: change})
	asked := s.clock.Now()
	accepted, err := s.write(ctx, next, version)
	if err != nil {
		return nil, err
	}
	s.Apply(accepted, asked)
	if err := s.announce(ctx, accepted); err != nil {
		return nil, err
	}
	s.log.Infof("Revision %d accepted: %s by %s.", next.Revision, change.Action, change.Operator)
	return next, nil
}

// checkRead refuses a state that cannot be changed.
func (s *Store) checkRead(current *State, onRevision uint64) error {
	known := s.View().State
	switch {
	case current.Revision < known.Revision:
		return merry.Wrap(errOldRead)
	case isOther(current, known):
		return merry.Wrap(ErrNotAccepted, merry.AppendMessagef("the platform holds another revision %d than this instance", known.Revision))
	case onRevision > 0 && current.Revision != onRevision:
		return merry.Wrap(ErrConflict)
	}
	return nil
}

// isOther reports whether two states have one revision and different content.
func isOther(a, b *State) bool {
	return a.Revision == b.Revision && a.Change.Nonce != b.Change.Nonce
}

// remember adds a change to the newest ones.
func (s *State) remember(c RecentChange) {
	s.RecentChanges = append(s.RecentChanges, c)
	if extra := len(s.RecentChanges) - recentChanges; extra > 0 {
		s.RecentChanges = s.RecentChanges[extra:]
	}
}

// contains reports whether the state holds the change, by itself or among the
// changes that led to it.
func (s *State) contains(nonce string) bool {
	if s.Change.Nonce == nonce {
		return true
	}
	for _, c := range s.RecentChanges {
		if c.Nonce == nonce {
			return true
		}
	}
	return false
}

func (s *Store) announce(ctx context.Context, state *State) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := s.propagation.Replicate(ctx, state); err != nil {
		return merry.Wrap(ErrOutcomeUnknown, merry.AppendMessagef("revision %d is written, but not known in the whole zone", state.Revision), merry.WithCause(err))
	}
	return nil
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

// write returns the state that took effect: next, or a later one that contains
// its change.
func (s *Store) write(ctx context.Context, next *State, expected platform.Version) (*State, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(err))
	}
	if len(value) > platform.MaxValueBytes {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("the state would have %d bytes, %d are allowed", len(value), platform.MaxValueBytes))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var stored *State
	object, err := platform.PutSettled(ctx, s.objects, s.clock, StateKey(s.name), value, expected, func(value []byte) bool {
		stored, _ = decodeState(platform.Object{Value: value})
		return stored != nil && stored.contains(next.Change.Nonce)
	})
	switch {
	case err == nil && stored != nil && object.Version > expected && stored.contains(next.Change.Nonce):
		return stored, nil
	case err == nil:
		return next, nil
	case errors.Is(err, platform.ErrReplaced) && stored != nil && stored.rulesOut(next):
		return nil, merry.Wrap(platform.ErrConflict)
	case errors.Is(err, platform.ErrConflict):
		return nil, err
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(err))
}

// rulesOut reports whether a later state shows that the change of next, which
// it does not contain, never took effect: it would still remember the change.
func (s *State) rulesOut(next *State) bool {
	return s.Revision >= next.Revision && s.Revision < next.Revision+recentChanges
}

// fullJitter returns a wait between zero and an exponentially growing limit;
// draw is a random number from 0 to 1.
func fullJitter(draw float64, attempt int, first, limit time.Duration) time.Duration {
	for range attempt {
		if first >= limit {
			break
		}
		first *= 2
	}
	return time.Duration(draw * float64(min(first, limit)))
}
