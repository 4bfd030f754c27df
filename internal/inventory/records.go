package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// unreachableAfter is the number of consecutive failed polls or probes after
	// which a target counts as unreachable.
	unreachableAfter = 2
	// maxEvents is the maximum number of cache events kept per target for peers.
	maxEvents = 2048
)

// record is the stored state of one target. The age of a report is counted from
// the time at which it was requested. A report that repeats the sequence of the
// stored one keeps the time of the stored one.
type record struct {
	report      target.Report
	requestedAt time.Time
	// version is the inventory's version at the last poll of the target,
	// bodyVersion that at the last change of the report's body, that is, of what
	// sameBody compares. A bodyVersion of 0 means that the body is from a peer or
	// that there is none.
	version     uint64
	bodyVersion uint64
	failures    int
	events      []versionedEvent
	// lastEventSequence is the sequence of the newest event of the current
	// incarnation.
	lastEventSequence uint64
}

type versionedEvent struct {
	version uint64
	event   target.CacheEvent
}

// apply stores a report requested at requestedAt unless its sequence is not above
// that of the stored report of the same incarnation. It reports whether it stored
// the report. In both cases it resets failures.
func (r *record) apply(report target.Report, requestedAt time.Time) bool {
	r.failures = 0
	sameIncarnation := report.Incarnation == r.report.Incarnation
	if !r.requestedAt.IsZero() && sameIncarnation && report.Sequence <= r.report.Sequence {
		return false
	}
	if !sameIncarnation {
		r.lastEventSequence = 0
	}
	r.report, r.requestedAt = report, requestedAt
	return true
}

// sortResidents returns the report with its residents in a fixed order, because
// engines list them in any order.
func sortResidents(report target.Report) target.Report {
	report.Residents = slices.Clone(report.Residents)
	slices.SortFunc(report.Residents, func(a, b target.Resident) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return report
}

// sameBody reports whether a and b differ at most in sequence, time and load
// (cold, running, queued).
func sameBody(a, b *target.Report) bool {
	return a.Incarnation == b.Incarnation && a.MemoryMB == b.MemoryMB && a.Role == b.Role &&
		a.FencingToken == b.FencingToken && slices.Equal(a.Residents, b.Residents) &&
		slices.Equal(a.SettledOrders, b.SettledOrders)
}

// addEvents stores the events that are new and returns them. They are sent to
// peers whose last pull was at an earlier version; events with version 0 are not
// sent.
func (r *record) addEvents(events []target.CacheEvent, version uint64) []target.CacheEvent {
	var newEvents []target.CacheEvent
	for _, e := range events {
		if e.Sequence <= r.lastEventSequence {
			continue
		}
		r.lastEventSequence = e.Sequence
		r.events = append(r.events, versionedEvent{version: version, event: e})
		newEvents = append(newEvents, e)
	}
	if excess := len(r.events) - maxEvents; excess > 0 {
		r.events = append([]versionedEvent(nil), r.events[excess:]...)
	}
	return newEvents
}
