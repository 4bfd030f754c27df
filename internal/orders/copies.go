package orders

import (
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

// ReportTracker tells fresh reports from repeated ones: a report counts only while
// its sequence goes on rising. It is safe for concurrent use.
type ReportTracker struct {
	mu    sync.Mutex
	moved map[string]progress
}

type progress struct {
	incarnation string
	sequence    uint64
	asOf        int64
	at          time.Time
}

// NewReportTracker returns a tracker that has seen nothing.
func NewReportTracker() *ReportTracker { return &ReportTracker{moved: make(map[string]progress)} }

// Observe takes the reports of a snapshot.
func (r *ReportTracker) Observe(s *inventory.Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range s.Targets {
		if t.RequestedAt.IsZero() {
			continue
		}
		p, ok := r.moved[t.Target.Name]
		isNew := p.incarnation != t.Report.Incarnation || p.sequence < t.Report.Sequence || p.asOf < t.Report.AsOf
		if !ok || isNew {
			r.moved[t.Target.Name] = progress{t.Report.Incarnation, t.Report.Sequence, t.Report.AsOf, now}
		}
	}
}

// IsFresh reports whether the target's report was received lately and is not a
// repetition.
func (r *ReportTracker) IsFresh(t *inventory.TargetState, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.moved[t.Target.Name]
	return ok && t.IsFresh(now) && now.Sub(p.at) < inventory.StaleAfter
}

// IsConfirmedCopy reports whether a fresh report shows a copy that calls can be sent to
// and that no order may take away. The record may be nil.
func IsConfirmedCopy(t *inventory.TargetState, record *Record, k Resource) bool {
	if !isReady(&t.Report, k) {
		return false
	}
	return record == nil || (t.Report.AsOf >= record.SeenAsOf && !record.MayBeUnloaded(k))
}

// ResourceOf returns the resource that a resident is a copy of.
func ResourceOf(r *target.Resident) Resource { return Resource{r.Model, r.Adapter} }
