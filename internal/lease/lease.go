// Package lease gives timed rights that are kept as objects of the platform. A
// holder judges its lease by its own monotonic clock, counted from before the
// write was sent; others take a lease over only after they have themselves seen
// its record unchanged for longer than its duration and a margin. Clocks of
// other machines are never compared.
package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrNotHeld means that the instance does not hold the lease, or not for long
// enough.
var ErrNotHeld = merry.Sentinel("lease: not held")

const (
	// Duration is how long a lease lasts after the start of its last renewal.
	Duration = 3 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = time.Second
	// DriftMargin covers differences between the rates of two monotonic clocks.
	DriftMargin = 300 * time.Millisecond
	// rankDelay keeps candidates of lower rank from racing the first.
	rankDelay = 400 * time.Millisecond
	// yieldAfter is how long a candidate of better rank must be present before
	// the holder hands over.
	yieldAfter = 20 * time.Second
)

// Record is the stored form of a lease.
type Record struct {
	// Holder is the instance, Session its run; both are empty after a release.
	Holder  string `json:"holder"`
	Session string `json:"session"`
	// Token is the fencing token. It rises with each new holder.
	Token uint64 `json:"token"`
	// DurationMS is how long the record stands after it was last written.
	DurationMS int64 `json:"duration_ms"`
	// Renewal makes each write of a holder distinct.
	Renewal uint64 `json:"renewal"`
}

func (r Record) duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Action is what a lease needs next.
type Action int

// Actions of a lease.
const (
	Wait Action = iota
	Acquire
	Renew
	Release
)

// State is the pure state machine of one lease at one instance. It does no I/O;
// times are readings of the instance's monotonic clock.
//
// Invariant: Held is true at a time t only if a write of this session is known
// to have taken effect that was sent less than the lease's duration before t.
type State struct {
	holder  string
	session string
	timing  Timing

	record  Record
	version uint64
	// seenAt is when this version was first known; zero before the first read.
	seenAt time.Time

	mine      bool
	sentAt    time.Time
	outranked time.Time
	// resumed is set if the lease was taken over from an earlier run.
	resumed bool
	// freeSince is when the previous holder's lease had certainly ended.
	freeSince time.Time
}

// NewState returns the state of a lease that was never read. The session is
// unique to a run of the instance.
func NewState(holder, session string) *State {
	return NewTimedState(holder, session, Timing{Duration: Duration, RenewInterval: RenewInterval})
}

// Timing says how long a lease lasts and how often it is renewed.
type Timing struct {
	Duration, RenewInterval time.Duration
	// HolderResumes lets a new run of the recorded holder take the lease over at
	// once: for holders of which a new run proves that the one before has ended.
	HolderResumes bool
}

// NewTimedState returns the state of a lease with a timing of its own.
func NewTimedState(holder, session string, timing Timing) *State {
	return &State{holder: holder, session: session, timing: timing}
}

// Observe takes a read that returned at the time at. Version 0 means that no
// record exists. Older versions are ignored.
func (s *State) Observe(r Record, version uint64, at time.Time) {
	if !s.seenAt.IsZero() && version <= s.version {
		return
	}
	s.record, s.version, s.seenAt = r, version, at
	if r.Session != s.session {
		s.mine = false
	}
}

// Next returns what to do at now for a candidate of the rank; the first
// candidate has rank 0, a negative rank is none.
func (s *State) Next(now time.Time, rank int) Action {
	switch {
	case s.seenAt.IsZero():
		return Wait
	case s.Held(now):
		return s.nextHeld(now, rank)
	case rank < 0 || now.Before(s.endsBy().Add(time.Duration(rank)*rankDelay)):
		return Wait
	}
	return Acquire
}

func (s *State) nextHeld(now time.Time, rank int) Action {
	if rank == 0 {
		s.outranked = time.Time{}
	} else if s.outranked.IsZero() {
		s.outranked = now
	}
	if rank != 0 && now.Sub(s.outranked) >= yieldAfter {
		return Release
	}
	if now.Sub(s.sentAt) >= s.timing.RenewInterval {
		return Renew
	}
	return Wait
}

// endsBy returns the earliest time at which the recorded holder, even one that
// was paused, has certainly stopped relying on the lease.
func (s *State) endsBy() time.Time {
	if s.record.Session == "" || s.resumes() {
		return s.seenAt
	}
	return s.seenAt.Add(s.record.duration() + DriftMargin)
}

// resumes reports whether the recorded holder is an earlier run of this one.
func (s *State) resumes() bool {
	return s.timing.HolderResumes && s.record.Holder == s.holder && s.record.Session != s.session
}

// Proposed returns the record to write for an action and the version on which
// the write is conditional.
func (s *State) Proposed(a Action) (Record, uint64) {
	next := Record{Holder: s.holder, Session: s.session, Token: s.record.Token, DurationMS: s.timing.Duration.Milliseconds(), Renewal: s.record.Renewal + 1}
	switch a {
	case Acquire:
		next.Token++
	case Release:
		next.Holder, next.Session = "", ""
	}
	return next, s.version
}

// ApplyWrite takes the outcome of a write that is known to have taken effect: it was
// sent at sentAt and known at now.
func (s *State) ApplyWrite(a Action, r Record, version uint64, sentAt, now time.Time) {
	if a == Acquire {
		s.resumed = s.resumes()
		s.freeSince = s.endsBy()
		s.outranked = time.Time{}
	}
	s.record, s.version, s.seenAt = r, version, now
	s.mine, s.sentAt = a != Release, sentAt
}

// Drop makes the instance stop relying on the lease at once.
func (s *State) Drop() { s.mine = false }

// Held reports whether the instance holds the lease at now.
func (s *State) Held(now time.Time) bool { return s.mine && now.Before(s.Until()) }

// Until returns the end of the lease, unless it is renewed.
func (s *State) Until() time.Time { return s.sentAt.Add(s.timing.Duration) }

// Token returns the fencing token of the newest record known.
func (s *State) Token() uint64 { return s.record.Token }

// FreeSince returns when the previous holder's lease had certainly ended.
func (s *State) FreeSince() time.Time { return s.freeSince }

// Resumed reports whether the lease was taken over from an earlier run of the
// same holder.
func (s *State) Resumed() bool { return s.resumed }

// Newest returns the newest record known and its version.
func (s *State) Newest() (Record, uint64) { return s.record, s.version }

// Holder returns the instance in the newest record known, empty if none.
func (s *State) Holder() string { return s.record.Holder }
