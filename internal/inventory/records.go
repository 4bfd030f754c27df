package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// unreachableAfter is the number of failed polls after which a target counts
	// as unreachable.
	unreachableAfter = 2
	// maxEvents bounds the cache events kept of one target for peers.
	maxEvents = 2048
)

// record is what is known of one target. A report counts from the time at which
// it was asked for; one that repeats an earlier state keeps that one's time.
type record struct {
	report target.Report
	at     time.Time
	// version is the version at which the record last changed, bodyVersion the
	// one at which more than the load changed.
	version     uint64
	bodyVersion uint64
	failures    int
	events      []datedEvent
	// lastEvent is the sequence of the newest event of the incarnation.
	lastEvent uint64
}

type datedEvent struct {
	version uint64
	event   target.CacheEvent
}

// take adopts a report asked for at asked. It reports whether it was news.
func (r *record) take(report target.Report, asked time.Time) bool {
	r.failures = 0
	sameIncarnation := report.Incarnation == r.report.Incarnation
	if !r.at.IsZero() && sameIncarnation && report.Sequence <= r.report.Sequence {
		return false
	}
	if !sameIncarnation {
		r.lastEvent = 0
	}
	r.report, r.at = report, asked
	return true
}

// inOrder returns the report with its residents in a fixed order, as engines list
// them in any.
func inOrder(report target.Report) target.Report {
	report.Residents = slices.Clone(report.Residents)
	slices.SortFunc(report.Residents, func(a, b target.Resident) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return report
}

// sameBody reports whether only the load differs.
func sameBody(a, b *target.Report) bool {
	return a.Incarnation == b.Incarnation && a.MemoryMB == b.MemoryMB && a.Role == b.Role &&
		a.FencingToken == b.FencingToken && slices.Equal(a.Residents, b.Residents) &&
		slices.Equal(a.SettledOrders, b.SettledOrders)
}

// keepEvents adds events for peers and returns those that are new.
func (r *record) keepEvents(events []target.CacheEvent, version uint64) []target.CacheEvent {
	var fresh []target.CacheEvent
	for _, e := range events {
		if e.Sequence <= r.lastEvent {
			continue
		}
		r.lastEvent = e.Sequence
		r.events = append(r.events, datedEvent{version: version, event: e})
		fresh = append(fresh, e)
	}
	if excess := len(r.events) - maxEvents; excess > 0 {
		r.events = append([]datedEvent(nil), r.events[excess:]...)
	}
	return fresh
}
