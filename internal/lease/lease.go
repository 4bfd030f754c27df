// Package lease implements leases that are stored as platform objects.
//
// A holder measures its lease on its own monotonic clock, starting before it
// sends the write. Another instance takes a lease over only after it has itself
// observed the record unchanged for the lease duration plus a margin. A released
// lease, and one that a new run of its holder may resume (Timing.HolderResumes),
// are free at once. Clocks of different machines are never compared.
package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrNotHeld means that the instance does not hold the lease, or that the lease
// expires too soon.
var ErrNotHeld = merry.Sentinel("lease: not held")

const (
	// Duration is the lease duration, measured from the start of the last renewal.
	Duration = 3 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = time.Second
	// DriftMargin allows for the difference in rate between two monotonic clocks.
	DriftMargin = 300 * time.Millisecond
	// rankDelay is the additional delay per rank before a candidate acquires a
	// lease. It keeps lower-ranked candidates from racing the preferred one.
	rankDelay = 400 * time.Millisecond
	// handoverDelay is how long the holder must have a rank other than 0, because
	// a better-ranked candidate is present or because it is no candidate any more,
	// before it releases the lease.
	handoverDelay = 20 * time.Second
)

// Record is the stored form of a lease.
type Record struct {
	// Holder is the name of the instance and Session identifies its process run.
	// Both are empty after a release.
	Holder  string `json:"holder"`
	Session string `json:"session"`
	// Token is the fencing token. It increases with each acquisition.
	Token uint64 `json:"token"`
	// DurationMS is how long the record is valid after its last write.
	DurationMS int64 `json:"duration_ms"`
	// Renewal distinguishes the writes of a session from each other.
	Renewal uint64 `json:"renewal"`
}

func (r Record) duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Action is the next operation on a lease.
type Action int

const (
	Wait Action = iota
	Acquire
	Renew
	Release
)

// State is the state machine of one lease at one instance. It does no I/O. All
// times are readings of the instance's monotonic clock.
//
// Invariant: Held(t) is true only if this session sent a write less than the
// lease duration before t and the write is known to have taken effect.
type State struct {
	holder  string
	session string
	timing  Timing

	record  Record
	version uint64
	// observedAt is when this version was first observed; zero before the first
	// read.
	observedAt time.Time

	// holding is set if record was written by this session and is not a release.
	holding bool
	sentAt  time.Time
	// outrankedSince is when the rank of the holder became other than 0, or when
	// it stopped being a candidate; zero while the rank is 0.
	outrankedSince time.Time
	// resumed is set if the lease was taken over from an earlier run.
	resumed bool
	// freeSince is the result of takeoverAt for the record that was taken over.
	freeSince time.Time
}

// NewState returns the state of a lease that has not been read yet. The session
// must be unique to a run of the instance.
func NewState(holder, session string) *State {
	return NewTimedState(holder, session, Timing{Duration: Duration, RenewInterval: RenewInterval})
}

// Timing configures the duration and renewal of a lease.
type Timing struct {
	Duration, RenewInterval time.Duration
	// HolderResumes lets a new run of the recorded holder take the lease over
	// without waiting. Set it only for holders whose new run implies that the
	// previous run has ended.
	HolderResumes bool
}

// NewTimedState is like NewState with the given timing.
func NewTimedState(holder, session string, timing Timing) *State {
	return &State{holder: holder, session: session, timing: timing}
}

// Observe applies the result of a read that returned at the given time. Version
// 0 means that no record exists. Versions that are not newer are ignored.
func (s *State) Observe(r Record, version uint64, at time.Time) {
	if !s.observedAt.IsZero() && version <= s.version {
		return
	}
	s.record, s.version, s.observedAt = r, version, at
	if r.Session != s.session {
		s.holding = false
	}
}

// Next returns the action due at now for a candidate with the given rank. The
// preferred candidate has rank 0; a negative rank means that the instance is not
// a candidate.
func (s *State) Next(now time.Time, rank int) Action {
	switch {
	case s.observedAt.IsZero():
		return Wait
	case s.Held(now):
		return s.nextAsHolder(now, rank)
	case rank < 0 || now.Before(s.takeoverAt().Add(time.Duration(rank)*rankDelay)):
		return Wait
	}
	return Acquire
}

func (s *State) nextAsHolder(now time.Time, rank int) Action {
	if rank == 0 {
		s.outrankedSince = time.Time{}
	} else if s.outrankedSince.IsZero() {
		s.outrankedSince = now
	}
	if rank != 0 && now.Sub(s.outrankedSince) >= handoverDelay {
		return Release
	}
	if now.Sub(s.sentAt) >= s.timing.RenewInterval {
		return Renew
	}
	return Wait
}

// takeoverAt returns the earliest time at which the lease may be taken over. By
// then the recorded holder no longer relies on it, even if it was paused.
func (s *State) takeoverAt() time.Time {
	if s.record.Session == "" || s.resumes() {
		return s.observedAt
	}
	return s.observedAt.Add(s.record.duration() + DriftMargin)
}

// resumes reports whether the recorded holder is an earlier run of this holder
// and the lease may be taken over from it at once.
func (s *State) resumes() bool {
	return s.timing.HolderResumes && s.record.Holder == s.holder && s.record.Session != s.session
}

// Proposed returns the record to write for an action and the version that the
// conditional write expects.
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

// ApplyWrite applies a write that is known to have taken effect. It was sent at
// sentAt, and its outcome became known at now.
func (s *State) ApplyWrite(a Action, r Record, version uint64, sentAt, now time.Time) {
	if a == Acquire {
		s.resumed = s.resumes()
		s.freeSince = s.takeoverAt()
		s.outrankedSince = time.Time{}
	}
	s.record, s.version, s.observedAt = r, version, now
	s.holding, s.sentAt = a != Release, sentAt
}

// Drop stops holding the lease locally, without a write.
func (s *State) Drop() { s.holding = false }

// Held reports whether the instance holds the lease at now.
func (s *State) Held(now time.Time) bool { return s.holding && now.Before(s.Until()) }

// Until returns the time at which the lease expires unless it is renewed.
func (s *State) Until() time.Time { return s.sentAt.Add(s.timing.Duration) }

// Token returns the fencing token of the newest known record.
func (s *State) Token() uint64 { return s.record.Token }

// FreeSince returns the earliest time at which this instance could take the lease
// over: by then, the previous holder's lease had expired or been released, or
// the previous holder was an earlier run that could be resumed.
func (s *State) FreeSince() time.Time { return s.freeSince }

// Resumed reports whether the lease was taken over from an earlier run of the
// same holder.
func (s *State) Resumed() bool { return s.resumed }

// Newest returns the newest known record and its version.
func (s *State) Newest() (Record, uint64) { return s.record, s.version }

// Holder returns the holder in the newest known record, empty if there is none.
func (s *State) Holder() string { return s.record.Holder }
