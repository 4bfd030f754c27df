package environment

import "time"

// Bounds of the freshness rule. A withdrawn key has to be refused 5 s after the
// withdrawal was accepted; each bound leaves room for the time between the
// check of a request and the next step of its call.
const (
	// maxConfirmationAge is how long a confirmation of the platform lets an
	// instance serve.
	maxConfirmationAge = 4 * time.Second
	// maxStatementAge is how long the statement of a zone counts as "visible".
	maxStatementAge = 3 * time.Second
	// maxPause is the longest gap between two ticks after which an instance
	// still counts as having run without a pause. It has to be shorter than
	// membership.LivenessTimeout less one heartbeat, after which writers no longer wait
	// for this instance.
	maxPause = time.Second
)

// Verdict tells by which knowledge an instance may serve keyed requests.
type Verdict int

// Verdicts, from best to worst.
const (
	// VerdictCutOff means that a newer revision may have been accepted.
	VerdictCutOff Verdict = iota
	// VerdictOutage means that no zone reaches the platform and all zones are
	// visible at no newer revision, so that none can have been accepted.
	VerdictOutage
	// VerdictFresh means that the platform confirmed the revision lately.
	VerdictFresh
)

// String returns the label of metrics and logs.
func (v Verdict) String() string {
	switch v {
	case VerdictFresh:
		return "fresh"
	case VerdictOutage:
		return "outage"
	}
	return "cut_off"
}

// Statement is what is known of another availability zone: at AsOf an entitled
// instance of the zone held Revision.
type Statement struct {
	// AsOf is the local time at which the zone was asked, less the ages that
	// relaying instances added. It is never later than the true time.
	AsOf     time.Time
	Revision uint64
	// ReachesPlatform tells that the zone was confirming by the platform.
	ReachesPlatform bool
}

// Freshness is the state machine of the freshness rule of one instance. It is a
// pure function of its inputs; all times are readings of the monotonic clock of
// the instance. It is not safe for concurrent use.
//
// Invariants: the confirmation and the statements of zones never get older by
// an input; revisions in statements never go down; an instance that is entitled
// holds every revision that an instance of its own zone has accepted.
type Freshness struct {
	confirmedAt time.Time
	newest      uint64
	entitled    bool
	tickedAt    time.Time
	hadPeers    bool
	zones       map[string]Statement
}

// NewFreshness returns the state of an instance that knows nothing.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{tickedAt: now, zones: make(map[string]Statement)}
}

// Confirm records that the revision held was the newest at the time.
func (f *Freshness) Confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// ConfirmedAt returns the time of the newest confirmation, zero without one.
func (f *Freshness) ConfirmedAt() time.Time { return f.confirmedAt }

// Entitle records that the instance holds all that its zone accepted: the
// platform, or an entitled instance of the own zone, has just shown its state.
func (f *Freshness) Entitle() { f.entitled = true }

// Tick is called many times within maxPause while the instance runs. It reports
// whether the instance was paused since the last tick. After a pause it is no
// longer entitled if it had peers in its zone, since they may have accepted a
// change without it.
func (f *Freshness) Tick(now time.Time, hasZonePeers bool) (paused bool) {
	paused = now.Sub(f.tickedAt) > maxPause
	if paused && f.hadPeers {
		f.entitled = false
	}
	f.hadPeers = hasZonePeers
	f.tickedAt = now
	return paused
}

// Entitled reports whether the instance may answer for its zone.
func (f *Freshness) Entitled(now time.Time) bool {
	return f.entitled && f.IsRunning(now)
}

// IsRunning reports whether the instance runs without a pause.
func (f *Freshness) IsRunning(now time.Time) bool { return now.Sub(f.tickedAt) <= maxPause }

// Hear merges a statement of another zone.
func (f *Freshness) Hear(zone string, s Statement) {
	f.newest = max(f.newest, s.Revision)
	known := f.zones[zone]
	revision := max(known.Revision, s.Revision)
	if s.AsOf.After(known.AsOf) {
		known = s
	}
	known.Revision = revision
	f.zones[zone] = known
}

// Statements returns what is known of other zones and young enough to matter.
func (f *Freshness) Statements(now time.Time) map[string]Statement {
	out := make(map[string]Statement, len(f.zones))
	for zone, s := range f.zones {
		if now.Sub(s.AsOf) <= maxStatementAge {
			out[zone] = s
		}
	}
	return out
}

// Verdict tells by which knowledge revision may be served. The zones are all
// availability zones known, whether listed in the document or seen otherwise.
func (f *Freshness) Verdict(now time.Time, own string, revision uint64, zones []string) Verdict {
	switch {
	case revision == 0:
		return VerdictCutOff
	case !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= maxConfirmationAge:
		return VerdictFresh
	case !f.Entitled(now) || f.newest > revision:
		return VerdictCutOff
	}
	for _, zone := range zones {
		if zone != own && !f.isDownAt(now, zone, revision) {
			return VerdictCutOff
		}
	}
	return VerdictOutage
}

// isDownAt reports whether the zone is visible, does not reach the platform and
// holds no newer revision.
func (f *Freshness) isDownAt(now time.Time, zone string, revision uint64) bool {
	s, heard := f.zones[zone]
	return heard && !s.ReachesPlatform && s.Revision <= revision && now.Sub(s.AsOf) <= maxStatementAge
}
