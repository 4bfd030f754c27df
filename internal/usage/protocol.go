package usage

import (
	"errors"
	"time"

	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/platform"
)

// Intent is the stored form of the last report that was decided on. It is written before the
// report is sent for the first time, and its counts never change.
type Intent struct {
	// Zone is the availability zone whose placement lease gives the duty.
	Zone string `json:"zone"`
	// Window is 0 if no report was decided on yet.
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	// Token is the fencing token of the holder that wrote the intent.
	Token uint64 `json:"token"`
}

// Action is the next operation of the holder.
type Action int

const (
	Wait Action = iota
	// Read reads the stored intent.
	Read
	// Create records the zone whose lease gives the duty.
	Create
	// Write stores the intent of a window.
	Write
	// Send sends the stored intent.
	Send
	// GiveUp logs that a window is given up. The state is already changed.
	GiveUp
)

const (
	// minRetryDelay and maxRetryDelay bound the time between two calls to the platform for
	// the same report, and between two calls to the store that failed. The delay doubles.
	minRetryDelay = 400 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// maxRejections is the number of rejections after which a report is given up. A
	// rejection has no effect; some may be due to the time between two holders.
	maxRejections = 3
)

// State is the state machine of the holder's duty at one instance. It does no I/O.
//
// Invariant: Next returns Send only for an intent that is known to be stored, with the counts
// that were stored, and Write only for a window of which no intent was stored before, as far
// as any instance that was asked knows.
type State struct {
	timing Timing
	// token is the fencing token under which the fields below were learned.
	token uint64
	// known is set if intent and version are what the store held when last read or written.
	known   bool
	intent  Intent
	version platform.Version
	// settled is the last window that was accepted or given up, as far as this instance
	// knows.
	settled int64
	// decided is the last window of which an intent may have been written. It may be later
	// than the stored one if the store came back from an older copy of itself.
	decided int64
	// fromStart is set if no report was decided on when the store was first read under the
	// token. No counts can be lost then, because nothing ran before.
	fromStart            bool
	failures, rejections int
	notBefore            time.Time
}

// NewState returns the state of an instance that knows nothing yet.
func NewState(timing Timing) *State { return &State{timing: timing} }

// Input is what the holder knows at a time.
type Input struct {
	// Now is the time on the clock of this instance by which delays are measured, and True
	// the true time, 0 while it is not known well enough to decide about windows.
	Now  time.Time
	True time.Duration
	// Token is the fencing token, 0 if this instance does not hold the duty.
	Token uint64
	// Decided is the last window decided on as far as other instances know. It is ignored while
	// that window has not ended: an instance whose clock was wrong may name any.
	Decided int64
	// First is the first window with counts, 0 if none is known.
	First int64
	// Closed reports whether no further counts of a window that has ended are waited for, and
	// Lost whether those of a closed window are known to be incomplete.
	Closed, Lost func(window int64) bool
}

// Next returns the operation that is due, and the window that it is about.
func (s *State) Next(in Input) (Action, int64) {
	if in.Token == 0 {
		return Wait, 0
	}
	if in.Token != s.token {
		s.token, s.known, s.fromStart, s.failures, s.rejections, s.notBefore = in.Token, false, false, 0, 0, time.Time{}
	}
	if s.timing.hasEnded(in.Decided, in.True) {
		s.decided = max(s.decided, in.Decided)
	}
	switch {
	case in.Now.Before(s.notBefore):
		return Wait, 0
	case !s.known:
		return Read, 0
	case s.intent.Zone == "":
		return Create, 0
	case s.isPending():
		if s.timing.isGivenUp(s.intent.Window, in.True) || s.rejections >= maxRejections {
			s.settle(s.intent.Window)
			return GiveUp, s.intent.Window
		}
		return Send, s.intent.Window
	}
	return s.nextWindow(in)
}

// isPending reports whether the outcome of the stored intent is not known. An intent older
// than decided is of an older copy of the store: the holder of the later one has settled it.
func (s *State) isPending() bool {
	return s.intent.Window > s.settled && s.intent.Window >= s.decided
}

// nextWindow returns what is due if no intent is pending.
func (s *State) nextWindow(in Input) (Action, int64) {
	next := max(s.intent.Window, s.decided) + 1
	if next == 1 {
		if in.First == 0 {
			return Wait, 0
		}
		next = in.First
	}
	if oldest := s.timing.oldest(in.True); next < oldest {
		s.decided = oldest - 1
		return GiveUp, s.decided
	}
	if in.True < s.timing.EndOf(next) || !in.Closed(next) {
		return Wait, 0
	}
	if !s.fromStart && in.Lost(next) {
		s.decided = next
		return GiveUp, next
	}
	return Write, next
}

// settle records that the outcome of a window's report no longer matters.
func (s *State) settle(window int64) {
	s.settled, s.failures, s.rejections, s.notBefore = max(s.settled, window), 0, 0, time.Time{}
}

// Intent returns the stored intent and its version.
func (s *State) Intent() (Intent, platform.Version) { return s.intent, s.version }

// Decided returns the last window decided on.
func (s *State) Decided() int64 { return s.decided }

// Failures returns the number of failures since the last success.
func (s *State) Failures() int { return s.failures }

// ApplyRead applies the outcome of a read under a token. An object that does not exist has
// an empty intent and version 0.
func (s *State) ApplyRead(token uint64, i Intent, version platform.Version, err error, now time.Time) {
	if token != s.token {
		return
	}
	if err != nil {
		s.fail(now)
		return
	}
	s.known, s.intent, s.version, s.failures = true, i, version, 0
	s.decided = max(s.decided, i.Window)
	s.fromStart = s.fromStart || s.decided == 0
}

// ApplyWrite applies the outcome of a write of an intent, for Create and Write. After
// a failure the store is read again, because the write, or that of another holder, may have
// taken effect or take effect later.
func (s *State) ApplyWrite(token uint64, i Intent, version platform.Version, err error, now time.Time) {
	if token != s.token {
		return
	}
	if err != nil {
		s.known = false
		if errors.Is(err, platform.ErrConflict) {
			return
		}
		s.fail(now)
		return
	}
	s.known, s.intent, s.version, s.failures = true, i, version, 0
	s.decided = max(s.decided, i.Window)
}

// ApplySend applies the outcome of a send of the stored intent.
func (s *State) ApplySend(token uint64, window int64, err error, now time.Time) {
	if err == nil {
		s.settle(window)
		return
	}
	if token != s.token {
		return
	}
	if errors.Is(err, duty.ErrRejected) {
		s.rejections++
	}
	s.fail(now)
}

// fail delays the next operation.
func (s *State) fail(now time.Time) {
	s.notBefore = now.Add(min(maxRetryDelay, minRetryDelay<<min(s.failures, 8)))
	s.failures++
}
