// Package placement decides which models and adapters are loaded on which engines.
// Each instance has a Planner. In each environment only one of them plans: that of
// the instance that holds the planner's lease. It reads target reports, orderer
// records and demand, and plans moves. The orderers carry the moves out.
package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
)

// CopyState is the state of a copy in the planner's view.
type CopyState int

// States of copies.
const (
	// Confirmed is a copy that a fresh report shows as ready and that no planned or
	// ordered unload may remove.
	Confirmed CopyState = iota
	// Loading is a copy whose load is planned or in progress, or that a report
	// lists but does not yet confirm.
	Loading
	// Unconfirmed is a confirmed or loading copy on a target whose reports stopped
	// less than staleCopyTimeout ago.
	Unconfirmed
	// Unloading is a copy that a planned or ordered unload may remove.
	Unloading
	// Lost is a copy that was loaded but that the engine no longer reports. Its
	// memory is still charged.
	Lost
)

// Copy is a copy of a model or adapter on a target.
type Copy struct {
	orders.Resource
	MemoryMB int64
	State    CopyState
	// FirstSeenAt is when the planner first saw the copy; zero if the copy was
	// there at the planner's first observation of the target.
	FirstSeenAt time.Time
	// Retired is set once the document has not named the resource for retireAfter.
	Retired bool
	// LastUsed is when the resource was last requested; zero if unknown.
	LastUsed time.Time
}

// Target is the planner's view of an engine.
type Target struct {
	Name        string
	Zone        string
	MemoryMB    int64
	Concurrency int
	// FreeMB is the uncharged memory. Pending loads are charged.
	FreeMB int64
	// Draining is set for targets that get no new work or are announced to leave.
	Draining bool
	// Fresh is set while reports arrive. Moves are planned only for fresh targets.
	Fresh  bool
	Copies []Copy
}

// Demand is the demand for one model or adapter, in the concurrent calls that there
// would be if all calls were served. The demand for a model excludes its adapters.
type Demand struct {
	// Served is the name by which callers ask for the model or adapter.
	Served string
	// Slots is the forecast for the time at which a load planned now is ready.
	Slots float64
	// LongTermSlots is the long-term average. The larger of Slots and LongTermSlots
	// counts in a copy's share of the demand, so that CostBenefit counts a loss if it
	// evicts a copy that either of them requires.
	LongTermSlots float64
}

// Budget is the number of loads that the weight store allows to start now.
type Budget struct {
	Loads        int
	AdapterLoads int
}

// State is the input of a policy.
type State struct {
	Now      time.Time
	Models   []environment.Model
	Adapters []environment.Adapter
	Targets  []Target
	Demand   []Demand
	Budget   Budget
}

// Reasons of moves.
const (
	ReasonMissing  = "missing"
	ReasonMakeRoom = "make_room"
	ReasonRelocate = "relocate"
	ReasonSpread   = "spread_zones"
	ReasonDemand   = "demand"
	ReasonRetired  = "retired"
	ReasonRestore  = "restore"
)

// Policy plans moves. The planner assigns their sequence numbers.
type Policy interface {
	Plan(s *State) []orders.Move
}
