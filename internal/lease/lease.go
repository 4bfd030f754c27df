// Package lease implements leases that are stored as platform objects.
//
// A holder measures its lease on its own monotonic clock, starting before it
// sends the write. Another instance takes a lease over only after it has itself
// observed the record unchanged for the lease duration plus a margin. A released
// lease, and one that a new run of its holder may resume (Timing.HolderResumes),
// are free at once. Clocks of different machines are never compared.
//
// If the store comes back from an older copy of itself, its record may hide a holder of
// the ended era. The holder stops as soon as it learns of the new era, and nobody else
// takes the lease over before the longest lease of the ended era has run out.
package lease

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/platform"
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
	// Era is the era of the store for which the record was written. A record of an ended
	// era comes from a copy of the store, or was written without knowing of the new era.
	Era platform.Era `json:"era,omitempty"`
}

// eraTokenBits is the number of low bits of a fencing token that count acquisitions. The
// era above them makes the tokens of an era higher than all before, also those that the
// store has forgotten.
const eraTokenBits = 32

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

	// era is the newest known era of the store, and eraKnownAt when this instance learned
	// of it; zero if no lease of an earlier era can exist.
	era        platform.Era
	eraKnown   bool
	eraKnownAt time.Time
	// heldUntil is when the lease of an earlier era ends that this session held when it
	// learned of the current one. Until then no other candidate may act.
	heldUntil time.Time
	// highestToken is the highest token seen in any era.
	highestToken uint64
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
	// FirstStart is set if the whole system starts for the first time, so that no earlier
	// run of any candidate can hold the lease.
	FirstStart bool
}

// NewTimedState is like NewState with the given timing.
func NewTimedState(holder, session string, timing Timing) *State {
	return &State{holder: holder, session: session, timing: timing}
}

// EnterEra records that the store has an era, learned at now. If the era is new, the
// lease is no longer held, and its record has to be read again.
func (s *State) EnterEra(era platform.Era, now time.Time) {
	if s.eraKnown && era <= s.era {
		return
	}
	if s.Held(now) {
		s.heldUntil = s.Until()
	}
	if era > 0 && (s.eraKnown || !s.timing.FirstStart) {
		s.eraKnownAt = now
	}
	s.era, s.eraKnown = era, true
	s.holding, s.observedAt = false, time.Time{}
}

// Era returns the newest known era of the store.
func (s *State) Era() platform.Era { return s.era }

// Observe applies the result of a read that returned at the given time. A version with
// revision 0 means that no record exists. Versions that are not newer are ignored.
func (s *State) Observe(r Record, version uint64, at time.Time) {
	s.EnterEra(platform.Version(version).Era(), at)
	if platform.Version(version).Era() < s.era || !s.observedAt.IsZero() && version <= s.version {
		return
	}
	s.record, s.version, s.observedAt = r, version, at
	s.highestToken = max(s.highestToken, r.Token)
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
	case rank < 0:
		return Wait
	case now.Before(s.heldUntil):
		return Acquire
	case now.Before(s.takeoverAt().Add(time.Duration(rank) * rankDelay)):
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
// then the recorded holder no longer relies on it, even if it was paused, and neither
// does a holder of an earlier era that the record does not show.
func (s *State) takeoverAt() time.Time {
	at := s.observedAt
	if s.record.Session != "" && !s.resumes() {
		at = at.Add(s.record.duration() + DriftMargin)
	}
	if !s.eraKnownAt.IsZero() && (s.record.Token == 0 || s.record.Era != s.era) {
		if hidden := s.eraKnownAt.Add(s.timing.Duration + DriftMargin); hidden.After(at) {
			at = hidden
		}
	}
	return at
}

// resumes reports whether the recorded holder is an earlier run of this holder
// and the lease may be taken over from it at once.
func (s *State) resumes() bool {
	return s.timing.HolderResumes && s.record.Holder == s.holder && s.record.Session != s.session
}

// Proposed returns the record to write for an action and the version that the
// conditional write expects.
func (s *State) Proposed(a Action) (Record, uint64) {
	next := Record{Holder: s.holder, Session: s.session, Token: s.record.Token, DurationMS: s.timing.Duration.Milliseconds(), Renewal: s.record.Renewal + 1, Era: s.era}
	switch a {
	case Acquire:
		next.Token = max(s.highestToken+1, uint64(s.era)<<eraTokenBits)
	case Release:
		next.Holder, next.Session = "", ""
	}
	return next, s.version
}

// ApplyWrite applies a write that is known to have taken effect. It was sent at
// sentAt, and its outcome became known at now. A write that was acknowledged in another
// era than it was made for gives no right to the lease: in an earlier one it is gone, and
// in a later one it may have replaced the record of another holder.
func (s *State) ApplyWrite(a Action, r Record, version uint64, sentAt, now time.Time) {
	if era := platform.Version(version).Era(); era != s.era || r.Era != s.era {
		s.Observe(r, version, now)
		return
	}
	if a == Acquire {
		s.resumed = s.resumes() || sentAt.Before(s.heldUntil)
		s.freeSince = s.takeoverAt()
		s.outrankedSince = time.Time{}
	}
	s.record, s.version, s.observedAt = r, version, now
	s.highestToken = max(s.highestToken, r.Token)
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
