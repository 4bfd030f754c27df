package residency

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

const (
	// maxReportLag is how long after an acknowledged order a report with fewer orders
	// is treated as outdated. After that, the report replaces the count of this instance.
	maxReportLag = 2 * time.Second
	// orderResendDelay is the time after which an order without effect is sent again.
	orderResendDelay = 800 * time.Millisecond
	// moveTimeout ends a move that makes no progress, so that the target is planned again.
	moveTimeout = 20 * time.Second
	// unloadNotice is the time between telling peers to send a model no new work and the
	// order to unload it.
	unloadNotice = 120 * time.Millisecond
	// maxReportAge is how old the last report of a target may be when it gets an order
	// that changes models.
	maxReportAge = 3 * time.Second
	// orderTimeout bounds one order; adapterOrderTimeout one for an adapter, for
	// which a call waits. A target answers within milliseconds.
	orderTimeout        = 400 * time.Millisecond
	adapterOrderTimeout = 120 * time.Millisecond
)

// managedTarget is the state of one target as the lease holder knows it. A target
// counts the orders it accepts, and each order names the count it was based on. Of two
// orders based on the same state, at most one takes effect.
type managedTarget struct {
	id      string
	service string
	zone    string

	// mu serializes orders and guards the fields below.
	mu sync.Mutex

	target *fleet.Target
	// hasReport is set once a report was applied. orderCount, models and adapters reflect
	// the last report and the orders accepted since.
	hasReport  bool
	orderCount int64
	models     []string
	adapters   map[string]time.Time
	// unloadingAdapters are adapters that stay loaded until the calls that use them end.
	unloadingAdapters map[string]bool
	cachedModels      []string
	busy              bool
	// reportRequestedAt is when a report was last requested, reportedAt when the last
	// applied report was requested.
	reportRequestedAt time.Time
	reportedAt        time.Time
	// unannouncedBornMS is the start time of the last run that a report told before any
	// announcement did.
	unannouncedBornMS int64
	// acknowledgedAt is when the target last acknowledged an order, accepted or without
	// change; sentAt is when the last order of the move was sent.
	acknowledgedAt time.Time
	sentAt         time.Time
	move           *move
	changed        bool
}

// move is a Step in progress.
type move struct {
	Step
	startedAt time.Time
	// loadAcceptedAt is when the load was accepted, loadTime its expected duration.
	loadAcceptedAt time.Time
	loadTime       time.Duration
}

// applyReport applies a report that was requested at requestedAt. A report with fewer
// orders than were accepted is outdated and ignored for up to maxReportLag.
func (m *managedTarget) applyReport(r fleet.Report, requestedAt time.Time) {
	if m.hasReport && r.Orders < m.orderCount && requestedAt.Sub(m.acknowledgedAt) < maxReportLag {
		return
	}
	m.hasReport, m.orderCount, m.busy, m.reportedAt = true, r.Orders, r.OrderInProgress, requestedAt
	m.models = nil
	previous := m.adapters
	m.adapters = make(map[string]time.Time)
	for _, held := range r.Models {
		m.models = append(m.models, held.Name)
		for _, a := range held.Adapters {
			m.addAdapter(previous, held.Name+"/"+a)
		}
	}
	for _, loading := range r.LoadingAdapters {
		name, _, _ := strings.Cut(loading, "@")
		m.addAdapter(previous, name)
	}
	for name := range m.unloadingAdapters {
		if _, held := m.adapters[name]; !held {
			delete(m.unloadingAdapters, name)
		}
	}
	m.cachedModels = append(slices.Clone(r.InMemory), r.OnDisk...)
	m.changed = true
}

func (m *managedTarget) addAdapter(previous map[string]time.Time, name string) {
	m.adapters[name] = previous[name]
}

func (m *managedTarget) adapterCount() int { return len(m.adapters) }

// leastRecentlyUsedAdapter returns the least recently used adapter among those last
// used before limit, empty if there is none.
func (m *managedTarget) leastRecentlyUsedAdapter(limit time.Time) string {
	oldest, at := "", limit
	for name, used := range m.adapters {
		if m.unloadingAdapters[name] {
			continue
		}
		if used.Before(at) || used.Equal(at) && name < oldest {
			oldest, at = name, used
		}
	}
	return oldest
}

// applyOrder records an order that the target acknowledged.
func (m *managedTarget) applyOrder(o call.Order, result call.OrderResult, now time.Time) {
	// A target counts the unload of an adapter even if it answers OrderNoChange.
	if result == call.OrderAccepted || o.Kind == call.UnloadAdapter {
		m.orderCount++
	}
	m.acknowledgedAt = now
	m.changed = true
	switch o.Kind {
	case call.LoadAdapter:
		m.adapters[o.Model+"/"+o.Adapter] = now
	case call.UnloadAdapter:
		if result == call.OrderAccepted {
			// It occupies its slot until the calls that use it have ended.
			m.unloadingAdapters[o.Model+"/"+o.Adapter] = true
			return
		}
		delete(m.adapters, o.Model+"/"+o.Adapter)
	case call.LoadModel, call.UnloadModel:
		m.busy = result == call.OrderAccepted
	}
}

// readyForModelOrder reports whether the target is not busy and its state is recent
// enough for an order that changes models.
func (m *managedTarget) readyForModelOrder(now time.Time) bool {
	return m.hasReport && !m.busy && now.Sub(m.reportedAt) < maxReportAge
}

// nextOrder returns the next order of the move, or false if it must wait or there is
// none.
func (m *managedTarget) nextOrder(now time.Time) (call.Order, bool) {
	mv := m.move
	unanswered := m.acknowledgedAt.Before(m.sentAt)
	if mv == nil || !m.readyForModelOrder(now) || unanswered && now.Sub(m.sentAt) < orderResendDelay {
		return call.Order{}, false
	}
	if mv.Unload != "" && slices.Contains(m.models, mv.Unload) {
		if now.Sub(mv.startedAt) < unloadNotice {
			return call.Order{}, false
		}
		return call.Order{Kind: call.UnloadModel, Model: mv.Unload, ExpectedOrders: m.orderCount}, true
	}
	if slices.Contains(m.models, mv.Load) {
		return call.Order{}, false
	}
	return call.Order{Kind: call.LoadModel, Model: mv.Load, ExpectedOrders: m.orderCount}, true
}

// moveFinished reports whether the move has completed or timed out.
func (m *managedTarget) moveFinished(now time.Time) bool {
	mv := m.move
	if mv == nil {
		return false
	}
	done := m.hasReport && slices.Contains(m.models, mv.Load) && (mv.Unload == "" || !slices.Contains(m.models, mv.Unload))
	return done || now.Sub(mv.startedAt) > moveTimeout
}

// splitAdapterName splits MODEL/ADAPTER.
func splitAdapterName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
