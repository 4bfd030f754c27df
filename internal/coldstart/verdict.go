package coldstart

import "time"

// Mode tells how much concurrency a target can take.
type Mode int

// Modes of targets.
const (
	// Cold targets are limited to their cold concurrency. Targets in unknown state
	// count as cold.
	Cold Mode = iota
	// Ramping targets are limited to their cold concurrency plus the calls
	// completed since the ramp began.
	Ramping
	// Warm targets need no permits.
	Warm
)

// Observation is the inventory's view of a target.
type Observation struct {
	Target          string
	ColdConcurrency int
	Concurrency     int
	// Out is set while operators have taken the target or its availability zone out
	// of service.
	Out bool
	// Fresh is set if a recent report is available.
	Fresh       bool
	Cold        bool
	Incarnation string
	// Running counts running and queued calls.
	Running int
	// RequestedAt is when the report was requested.
	RequestedAt time.Time
}

// modeTracker is the state machine for the mode and the bound of one target.
type modeTracker struct {
	mode  Mode
	bound int
	// mustRamp is set once the target had a fresh report or setCold was called.
	// From then on a target that is not warm can become warm only by a ramp.
	mustRamp    bool
	incarnation string
	completed   int
	// suspectUntil is the time until which a reported suspicion keeps the target
	// cold, since reports may predate it.
	suspectUntil time.Time
}

// observe applies a new observation. A target becomes warm at once if its first
// fresh report is warm and setCold was not called before. Otherwise it becomes
// warm only by a ramp.
func (m *modeTracker) observe(o Observation, now time.Time) {
	switch {
	case !m.mustRamp && !o.Fresh && !o.Out:
		m.mode = Cold
	case o.Out || !o.Fresh || o.Cold || now.Before(m.suspectUntil):
		m.setCold()
	case m.mustRamp && o.Incarnation != m.incarnation:
		m.setCold()
		m.mode = Ramping
	case !m.mustRamp:
		m.mode = Warm
	case m.mode == Cold:
		m.mode = Ramping
		m.completed = 0
	}
	if o.Fresh {
		m.mustRamp = true
		m.incarnation = o.Incarnation
	}
	m.updateBound(o)
}

func (m *modeTracker) setCold() {
	m.mode = Cold
	m.mustRamp = true
	m.completed = 0
}

// updateBound sets the bound for the current mode. During a ramp the bound rises
// by one with each completed call, and the target becomes warm when the bound
// reaches its full concurrency.
func (m *modeTracker) updateBound(o Observation) {
	switch m.mode {
	case Cold:
		m.bound = o.ColdConcurrency
	case Ramping:
		m.bound = o.ColdConcurrency + m.completed
		if m.bound >= o.Concurrency {
			m.mode = Warm
			m.bound = o.Concurrency
		}
	case Warm:
		m.bound = o.Concurrency
	}
}

// markSuspect makes the target cold until reports include the slowdown or failure
// that raised the suspicion.
func (m *modeTracker) markSuspect(now time.Time) {
	m.setCold()
	m.suspectUntil = now.Add(MaxReportLag)
}
