package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	methodDemand = "placement.demand"
	// demandReportTTL is how long the last report of an instance is used.
	demandReportTTL = 15 * time.Second
)

// Recorder counts the tokens requested from one instance, by served name: the name
// by which callers ask for a model or adapter. It implements entry.DemandRecorder
// and is safe for concurrent use.
type Recorder struct {
	clock clockwork.Clock

	mu          sync.Mutex
	windowStart time.Time
	tokens      map[string]int64
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock clockwork.Clock) *Recorder {
	return &Recorder{clock: clock, windowStart: clock.Now(), tokens: make(map[string]int64)}
}

// Note implements entry.DemandRecorder.
func (r *Recorder) Note(served string, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[served] += tokens
}

// demandReport is the demand at one instance since its last report.
type demandReport struct {
	// WindowMS is the time over which the tokens were counted.
	WindowMS int64        `msgpack:"w"`
	Items    []demandItem `msgpack:"i"`
}

type demandItem struct {
	Served string `msgpack:"s"`
	Tokens int64  `msgpack:"t"`
}

type demandResponse struct{}

// takeReport returns the counts since the last call and starts a new window.
func (r *Recorder) takeReport() demandReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	report := demandReport{WindowMS: max(1, now.Sub(r.windowStart).Milliseconds())}
	for served, tokens := range r.tokens {
		report.Items = append(report.Items, demandItem{served, tokens})
	}
	sort.Slice(report.Items, func(i, j int) bool { return report.Items[i].Served < report.Items[j].Served })
	r.windowStart = now
	clear(r.tokens)
	return report
}

// collector keeps the last demand report of each instance. It is safe for
// concurrent use.
type collector struct {
	mu      sync.Mutex
	reports map[string]receivedReport
}

type receivedReport struct {
	report     demandReport
	receivedAt time.Time
}

func newCollector() *collector { return &collector{reports: make(map[string]receivedReport)} }

func (c *collector) add(instance string, r demandReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[instance] = receivedReport{r, now}
}

// rates returns the tokens per second of each served name, summed over the
// instances that reported within demandReportTTL. It drops older reports.
func (c *collector) rates(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]float64)
	for name, d := range c.reports {
		if now.Sub(d.receivedAt) > demandReportTTL {
			delete(c.reports, name)
			continue
		}
		for _, item := range d.report.Items {
			out[item.Served] += float64(item.Tokens) * 1000 / float64(d.report.WindowMS)
		}
	}
	return out
}
