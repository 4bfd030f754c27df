package coldstart

import "time"

// Mode is what a target bears.
type Mode int

// Modes of targets.
const (
	// Cold targets bear their cold concurrency. Unknown ones count as cold.
	Cold Mode = iota
	// Ramping targets bear more with each completed call.
	Ramping
	// Warm targets need no permits.
	Warm
)

// Observation is what the inventory knows of a target.
type Observation struct {
	Target          string
	ColdConcurrency int
	Concurrency     int
	// Out is set while the target gets no new work by decision of operators.
	Out bool
	// Fresh is set if a recent report is known.
	Fresh       bool
	Cold        bool
	Incarnation string
	// Running counts running and queued calls.
	Running int
	// AskedAt is the time from which the report counts.
	AskedAt time.Time
}

// verdict is the state machine of one target's mode.
type verdict struct {
	mode        Mode
	bound       int
	seen        bool
	incarnation string
	completed   int
	// suspectUntil is the time before which reports say nothing of a finding.
	suspectUntil time.Time
}

// observe takes a new observation. A target that is first seen with a warm
// report is warm; any other way to warm is the ramp.
func (v *verdict) observe(o Observation, now time.Time) {
	switch {
	case !v.seen && !o.Fresh && !o.Out:
		v.mode = Cold
	case o.Out || !o.Fresh || o.Cold || now.Before(v.suspectUntil):
		v.cool()
	case v.seen && o.Incarnation != v.incarnation:
		v.cool()
		v.mode = Ramping
	case !v.seen:
		v.mode = Warm
	case v.mode == Cold:
		v.mode = Ramping
		v.completed = 0
	}
	if o.Fresh {
		v.seen = true
		v.incarnation = o.Incarnation
	}
	v.grow(o)
}

func (v *verdict) cool() {
	v.mode = Cold
	v.seen = true
	v.completed = 0
}

// grow sets the bound. It rises by one with each completed call of the ramp.
func (v *verdict) grow(o Observation) {
	switch v.mode {
	case Cold:
		v.bound = o.ColdConcurrency
	case Ramping:
		v.bound = o.ColdConcurrency + v.completed
		if v.bound >= o.Concurrency {
			v.mode = Warm
			v.bound = o.Concurrency
		}
	case Warm:
		v.bound = o.Concurrency
	}
}

// suspect makes the target cold until reports can tell of the finding.
func (v *verdict) suspect(now time.Time) {
	v.cool()
	v.suspectUntil = now.Add(ReportLag)
}
