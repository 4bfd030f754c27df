package environment

import "time"

// Bounds of the freshness rule. A withdrawn key must be refused 5 s after its
// withdrawal was accepted. The bounds are shorter, to allow for the time between
// the check of a request and the next step of its call.
const (
	// maxConfirmationAge is how long an instance may serve a state after the
	// platform confirmed it.
	maxConfirmationAge = 4 * time.Second
	// maxReportAge is how long a zone counts as visible after its last report.
	maxReportAge = 3 * time.Second
	// maxPause is the longest gap between two ticks that does not count as a
	// pause. It must be shorter than membership.LivenessTimeout minus one heartbeat
	// interval, after which writers no longer wait for this instance.
	maxPause = time.Second
)

// Verdict states whether an instance may serve requests with a key, and on which
// grounds.
type Verdict int

// Verdicts, from worst to best.
const (
	// VerdictCutOff means that a newer revision may have been accepted.
	VerdictCutOff Verdict = iota
	// VerdictOutage means that all zones are visible, and that none reaches the
	// platform or has a newer revision, so that no newer one can have been
	// accepted.
	VerdictOutage
	// VerdictFresh means that the platform confirmed the revision no longer
	// than maxConfirmationAge ago.
	VerdictFresh
)

// String returns the label used in metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictFresh:
		return "fresh"
	case VerdictOutage:
		return "outage"
	}
	return "cut_off"
}

// ZoneReport describes another availability zone: at AsOf, an authoritative
// instance of the zone had Revision.
type ZoneReport struct {
	// AsOf is the local time at which the request for the report was sent, minus
	// the age given by a relaying instance. It is never later than the true time.
	AsOf     time.Time
	Revision uint64
	// ReachesPlatform reports whether the instance had recently reached the
	// platform.
	ReachesPlatform bool
}

// Freshness is the state machine of one instance's freshness rule. It depends
// only on its inputs; all times are readings of the instance's monotonic clock.
// It is not safe for concurrent use.
//
// Invariants: no input replaces the confirmation or the report of a zone by an
// older one; the revisions in reports never decrease; an authoritative instance
// has every revision that an instance of its own zone has accepted.
type Freshness struct {
	confirmedAt    time.Time
	newestRevision uint64
	authoritative  bool
	lastTick       time.Time
	hadZonePeers   bool
	reports        map[string]ZoneReport
}

// NewFreshness returns the initial Freshness of an instance, without any
// confirmation or report.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{lastTick: now, reports: make(map[string]ZoneReport)}
}

// Confirm records that the revision of this instance was the newest at that time.
func (f *Freshness) Confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// ConfirmedAt returns the time of the newest confirmation, or zero if there is
// none.
func (f *Freshness) ConfirmedAt() time.Time { return f.confirmedAt }

// MarkAuthoritative records that the instance has every revision accepted in its
// zone: the platform or an authoritative instance of the zone just confirmed it.
func (f *Freshness) MarkAuthoritative() { f.authoritative = true }

// Tick must be called several times within maxPause while the instance runs. It
// reports whether the instance was paused since the last tick. After a pause, an
// instance that had peers in its zone is no longer authoritative, since the peers
// may have accepted a change without it.
func (f *Freshness) Tick(now time.Time, hasZonePeers bool) (paused bool) {
	paused = now.Sub(f.lastTick) > maxPause
	if paused && f.hadZonePeers {
		f.authoritative = false
	}
	f.hadZonePeers = hasZonePeers
	f.lastTick = now
	return paused
}

// IsAuthoritative reports whether the instance may report for its zone.
func (f *Freshness) IsAuthoritative(now time.Time) bool {
	return f.authoritative && f.IsRunning(now)
}

// IsRunning reports whether the last tick is recent enough that the instance was
// not paused since.
func (f *Freshness) IsRunning(now time.Time) bool { return now.Sub(f.lastTick) <= maxPause }

// ObserveZone merges a report of another zone.
func (f *Freshness) ObserveZone(zone string, r ZoneReport) {
	f.newestRevision = max(f.newestRevision, r.Revision)
	known := f.reports[zone]
	revision := max(known.Revision, r.Revision)
	if r.AsOf.After(known.AsOf) {
		known = r
	}
	known.Revision = revision
	f.reports[zone] = known
}

// RecentReports returns the reports of other zones that are not older than
// maxReportAge.
func (f *Freshness) RecentReports(now time.Time) map[string]ZoneReport {
	out := make(map[string]ZoneReport, len(f.reports))
	for zone, r := range f.reports {
		if now.Sub(r.AsOf) <= maxReportAge {
			out[zone] = r
		}
	}
	return out
}

// Verdict returns on which grounds revision may be served, if any. The parameter
// own is the instance's zone; zones are all known availability zones, including
// zones that are not in the document.
func (f *Freshness) Verdict(now time.Time, own string, revision uint64, zones []string) Verdict {
	switch {
	case revision == 0:
		return VerdictCutOff
	case !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= maxConfirmationAge:
		return VerdictFresh
	case !f.IsAuthoritative(now) || f.newestRevision > revision:
		return VerdictCutOff
	}
	for _, zone := range zones {
		if zone != own && !f.reportsOutage(now, zone, revision) {
			return VerdictCutOff
		}
	}
	return VerdictOutage
}

// reportsOutage reports whether the zone is visible, does not reach the platform
// and has no newer revision.
func (f *Freshness) reportsOutage(now time.Time, zone string, revision uint64) bool {
	r, ok := f.reports[zone]
	return ok && !r.ReachesPlatform && r.Revision <= revision && now.Sub(r.AsOf) <= maxReportAge
}
