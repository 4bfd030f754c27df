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
	// staleFor is how long a report that shows fewer orders than were accepted is
	// taken to lag; after that the count of this instance is taken to be wrong.
	staleFor = 2 * time.Second
	// resendAfter is the time after which an order without effect is given again.
	resendAfter = 800 * time.Millisecond
	// moveTimeout ends a move that makes no progress, so that the plan is made
	// anew.
	moveTimeout = 20 * time.Second
	// announceLead is the time between telling peers that a model gets no new
	// work and the order to unload it.
	announceLead = 120 * time.Millisecond
	// freshFor is how old a report may be for an order that changes models.
	freshFor = 3 * time.Second
	// orderTimeout bounds one order; adapterOrderTimeout one for an adapter, for
	// which a call waits. A target answers within milliseconds.
	orderTimeout        = 400 * time.Millisecond
	adapterOrderTimeout = 120 * time.Millisecond
)

// managed is what the holder knows of one target. Orders to a target are
// numbered by the target; each order names the number it was decided at, so that
// of two orders decided on the same state at most one takes effect.
type managed struct {
	id      string
	service string
	zone    string

	// mu serialises orders and guards the fields below.
	mu sync.Mutex

	target *fleet.Target
	// known is set once a report was read; orders, models and adapters are as of
	// it and the orders accepted since.
	known    bool
	orders   int64
	models   []string
	adapters map[string]time.Time
	// dropping are adapters that go once their calls have ended.
	dropping map[string]bool
	atHand   []string
	busy     bool
	// askedAt is when a report was last asked for, reportedAt when the newest one
	// that counted was.
	askedAt    time.Time
	reportedAt time.Time
	// acceptedAt is when the last order was accepted; sentAt when the last order
	// for the move was sent.
	acceptedAt time.Time
	sentAt     time.Time
	move       *move
	changed    bool
}

// move replaces or adds one model.
type move struct {
	Step
	startedAt time.Time
	// loadFrom is when the load was accepted; eta how long it takes.
	loadFrom time.Time
	eta      time.Duration
}

// observe takes a report that was asked for at the time asked. A report that
// lags shows fewer orders than were accepted, and is ignored.
func (m *managed) observe(r fleet.Report, asked time.Time) {
	if m.known && r.Orders < m.orders && asked.Sub(m.acceptedAt) < staleFor {
		return
	}
	m.known, m.orders, m.busy, m.reportedAt = true, r.Orders, r.OrderInProgress, asked
	m.models = nil
	before := m.adapters
	m.adapters = make(map[string]time.Time)
	for _, held := range r.Models {
		m.models = append(m.models, held.Name)
		for _, a := range held.Adapters {
			m.keepAdapter(before, held.Name+"/"+a)
		}
	}
	for _, coming := range r.LoadingAdapters {
		name, _, _ := strings.Cut(coming, "@")
		m.keepAdapter(before, name)
	}
	for name := range m.dropping {
		if _, held := m.adapters[name]; !held {
			delete(m.dropping, name)
		}
	}
	m.atHand = append(slices.Clone(r.InMemory), r.OnDisk...)
	m.changed = true
}

func (m *managed) keepAdapter(before map[string]time.Time, name string) {
	m.adapters[name] = before[name]
}

// adaptersOf counts the adapters held.
func (m *managed) adapterCount() int { return len(m.adapters) }

// oldestAdapter returns the adapter used longest ago, before the time limit.
func (m *managed) oldestAdapter(limit time.Time) string {
	oldest, at := "", limit
	for name, used := range m.adapters {
		if m.dropping[name] {
			continue
		}
		if used.Before(at) || used.Equal(at) && name < oldest {
			oldest, at = name, used
		}
	}
	return oldest
}

// accepted notes an order that takes effect.
func (m *managed) accepted(o call.Order, result call.OrderResult, now time.Time) {
	if result == call.OrderAccepted || o.Kind == call.UnloadAdapter {
		m.orders++
	}
	m.acceptedAt = now
	m.changed = true
	switch o.Kind {
	case call.LoadAdapter:
		m.adapters[o.Model+"/"+o.Adapter] = now
	case call.UnloadAdapter:
		if result == call.OrderAccepted {
			// It keeps its place until the calls that use it have ended.
			m.dropping[o.Model+"/"+o.Adapter] = true
			return
		}
		delete(m.adapters, o.Model+"/"+o.Adapter)
	case call.LoadModel, call.UnloadModel:
		m.busy = result == call.OrderAccepted
	}
}

// fresh reports whether the knowledge is good enough for an order that changes
// models.
func (m *managed) fresh(now time.Time) bool {
	return m.known && !m.busy && now.Sub(m.reportedAt) < freshFor
}

// due returns the order that the move needs next, or false if it has to wait or
// is done.
func (m *managed) due(now time.Time) (call.Order, bool) {
	mv := m.move
	unanswered := m.acceptedAt.Before(m.sentAt)
	if mv == nil || !m.fresh(now) || unanswered && now.Sub(m.sentAt) < resendAfter {
		return call.Order{}, false
	}
	if mv.Unload != "" && slices.Contains(m.models, mv.Unload) {
		if now.Sub(mv.startedAt) < announceLead {
			return call.Order{}, false
		}
		return call.Order{Kind: call.UnloadModel, Model: mv.Unload, ExpectedOrders: m.orders}, true
	}
	if slices.Contains(m.models, mv.Load) {
		return call.Order{}, false
	}
	return call.Order{Kind: call.LoadModel, Model: mv.Load, ExpectedOrders: m.orders}, true
}

// finished reports whether the move is over: done, or without progress.
func (m *managed) finished(now time.Time) bool {
	mv := m.move
	if mv == nil {
		return false
	}
	done := m.known && slices.Contains(m.models, mv.Load) && (mv.Unload == "" || !slices.Contains(m.models, mv.Unload))
	return done || now.Sub(mv.startedAt) > moveTimeout
}

// cutAdapter splits MODEL/ADAPTER.
func cutAdapter(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
