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
	// settleTimeout limits a write, including reading it back after its response
	// was lost, and the replication of a written state in the zone.
	settleTimeout = 10 * time.Second
	// maxChangeAttempts limits the attempts of one change that conflicts with
	// other changes or reads an old state.
	maxChangeAttempts = 16
	changeBackoff     = 20 * time.Millisecond
	maxChangeBackoff  = 500 * time.Millisecond
	// maxRecentChanges is the number of changes listed in a state.
	maxRecentChanges = 64
)

// Replicator copies written states to the instances that could otherwise serve an
// older state. A change is accepted once its state is replicated. Syncer
// implements it.
type Replicator interface {
	// WaitUntilWritable returns nil once this instance may write a change on
	// top of current, or an error if it may not.
	WaitUntilWritable(ctx context.Context, current *State) error
	// Replicate returns nil once every instance that may report for this zone
	// has the state.
	Replicate(ctx context.Context, state *State) error
}

type noReplicator struct{}

func (noReplicator) WaitUntilWritable(context.Context, *State) error { return nil }
func (noReplicator) Replicate(context.Context, *State) error         { return nil }

// Change reads the state from the platform, applies edit and writes the result
// back. The change is accepted only if Change returns without an error; it then
// returns the state that it wrote. If onRevision is above zero and is not the current
// revision, Change returns ErrConflict. It may call edit several times, each time
// with a copy of the newest state.
func (s *Store) Change(ctx context.Context, operator, action string, onRevision uint64, edit func(*State) error) (*State, error) {
	change := Change{Nonce: uuid.NewString(), Operator: operator, Action: action, AtMS: s.clock.Now().UnixMilli()}
	var last error
	for attempt := range maxChangeAttempts {
		state, err := s.tryChange(ctx, change, onRevision, edit)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, errStaleRead) {
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
	if errors.Is(last, errStaleRead) {
		return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(last))
	}
	return nil, merry.Wrap(ErrConflict, merry.AppendMessagef("%d times", maxChangeAttempts))
}

// errStaleRead means that the platform returned an older state than the one that
// this instance has.
var errStaleRead = merry.Sentinel("environment: platform answered with an old state")

func (s *Store) tryChange(ctx context.Context, change Change, onRevision uint64, edit func(*State) error) (*State, error) {
	current, version, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.checkRead(current, onRevision); err != nil {
		return nil, err
	}
	if err := s.replicator.WaitUntilWritable(ctx, current); err != nil {
		return nil, err
	}
	next := current.Clone()
	if err := edit(next); err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Change = change
	next.addRecentChange(RecentChange{Revision: next.Revision, Change: change})
	sentAt := s.clock.Now()
	written, err := s.write(ctx, next, version)
	if err != nil {
		return nil, err
	}
	s.Apply(written, sentAt)
	if err := s.replicate(ctx, written); err != nil {
		return nil, err
	}
	s.log.Infof("Revision %d accepted: %s by %s.", next.Revision, change.Action, change.Operator)
	return next, nil
}

// checkRead returns an error if no change may be made on top of current: it is
// older than the state of this instance or conflicts with it, or onRevision is
// above zero and is another revision.
func (s *Store) checkRead(current *State, onRevision uint64) error {
	known := s.View().State
	switch {
	case current.Revision < known.Revision:
		return merry.Wrap(errStaleRead)
	case isConflicting(current, known):
		return merry.Wrap(ErrNotAccepted, merry.AppendMessagef("the platform holds another revision %d than this instance", known.Revision))
	case onRevision > 0 && current.Revision != onRevision:
		return merry.Wrap(ErrConflict)
	}
	return nil
}

// isConflicting reports whether two states have the same revision but different
// content.
func isConflicting(a, b *State) bool {
	return a.Revision == b.Revision && a.Change.Nonce != b.Change.Nonce
}

// addRecentChange appends a change to RecentChanges and keeps the newest
// maxRecentChanges.
func (s *State) addRecentChange(c RecentChange) {
	s.RecentChanges = append(s.RecentChanges, c)
	if extra := len(s.RecentChanges) - maxRecentChanges; extra > 0 {
		s.RecentChanges = s.RecentChanges[extra:]
	}
}

// contains reports whether the change with the nonce is the latest change of the
// state or among its recent ones.
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

func (s *Store) replicate(ctx context.Context, state *State) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := s.replicator.Replicate(ctx, state); err != nil {
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

// write writes next if the stored version is expected. It returns the state that
// took effect: next, or a later one that contains its change.
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
	// stored is the state read back after a lost response, if there was one.
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
	case errors.Is(err, platform.ErrReplaced) && stored != nil && stored.provesNotApplied(next):
		return nil, merry.Wrap(platform.ErrConflict)
	case errors.Is(err, platform.ErrConflict):
		return nil, err
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
	}
	return nil, merry.Wrap(ErrNotAccepted, merry.WithCause(err))
}

// provesNotApplied reports whether s, which does not contain the change of next,
// shows that the change never took effect: s is at the revision of next or later,
// but not so much later that the change could have dropped out of its recent
// changes.
func (s *State) provesNotApplied(next *State) bool {
	return s.Revision >= next.Revision && s.Revision < next.Revision+maxRecentChanges
}

// fullJitter returns a backoff between zero and a bound that starts at first and
// doubles with each attempt up to maximum. draw is a random number from 0 to 1.
func fullJitter(draw float64, attempt int, first, maximum time.Duration) time.Duration {
	for range attempt {
		if first >= maximum {
			break
		}
		first *= 2
	}
	return time.Duration(draw * float64(min(first, maximum)))
}
