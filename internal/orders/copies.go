package orders

import (
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

// ReportTracker detects engines whose reports no longer advance. A report counts
// as new if its incarnation differs from the last one or if its sequence or time
// is higher. It is safe for concurrent use.
type ReportTracker struct {
	mu     sync.Mutex
	latest map[string]progress
}

// progress is the position of a target's last new report.
type progress struct {
	incarnation string
	sequence    uint64
	asOf        int64
	observedAt  time.Time // by the instance's clock
}

// NewReportTracker returns an empty tracker.
func NewReportTracker() *ReportTracker { return &ReportTracker{latest: make(map[string]progress)} }

// Observe records which targets have a new report in the snapshot.
func (r *ReportTracker) Observe(s *inventory.Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range s.Targets {
		if t.RequestedAt.IsZero() {
			continue
		}
		p, ok := r.latest[t.Target.Name]
		isNew := p.incarnation != t.Report.Incarnation || p.sequence < t.Report.Sequence || p.asOf < t.Report.AsOf
		if !ok || isNew {
			r.latest[t.Target.Name] = progress{t.Report.Incarnation, t.Report.Sequence, t.Report.AsOf, now}
		}
	}
}

// IsFresh reports whether the target's report was requested, and a new report was
// observed, less than inventory.StaleAfter ago.
func (r *ReportTracker) IsFresh(t *inventory.TargetState, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.latest[t.Target.Name]
	return ok && t.IsFresh(now) && now.Sub(p.observedAt) < inventory.StaleAfter
}

// IsConfirmedCopy reports whether the target's report shows a ready copy of the
// resource that no unload order can still remove. It does not check that the
// report is fresh. The record may be nil.
func IsConfirmedCopy(t *inventory.TargetState, record *Record, k Resource) bool {
	if !isReady(&t.Report, k) {
		return false
	}
	return record == nil || (t.Report.AsOf >= record.SeenAsOf && !record.MayBeUnloaded(k))
}

// ResourceOf returns the resource of which the resident is a copy.
func ResourceOf(r *target.Resident) Resource { return Resource{r.Model, r.Adapter} }
