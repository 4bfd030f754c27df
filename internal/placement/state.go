// Package placement decides which models and adapters live on which engines.
// One planner per environment, the holder of the planner's lease, reads reports,
// the orderers' records and demand, and decides moves; orderers carry them out.
package placement

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/orders"
)

// HoldingState tells how far a copy can be counted on.
type HoldingState int

// States of holdings.
const (
	// Sure is a copy that a fresh report shows as ready and that no order may
	// take away.
	Sure HoldingState = iota
	// Coming is a copy whose load is decided or under way.
	Coming
	// Doubtful is a copy of a target whose reports have stopped a short time ago.
	Doubtful
	// Going is a copy that an unload, decided or under way, may take away.
	Going
	// Lost is a copy that was loaded and that the engine no longer reports. Its
	// memory is still charged.
	Lost
)

// Holding is a model or adapter on a target.
type Holding struct {
	orders.Resource
	MemoryMB int64
	State    HoldingState
	// Since is when the planner first saw the copy; zero if unknown.
	Since time.Time
	// Retired is set once the document has not named the resource for a while.
	Retired bool
	// LastUsed is when calls last asked for it; zero if unknown.
	LastUsed time.Time
}

// Target is an engine as the planner sees it.
type Target struct {
	Name        string
	Zone        string
	MemoryMB    int64
	Concurrency int
	// FreeMB is the memory that nothing is charged for, moves under way included.
	FreeMB int64
	// Out is set for targets that get no new work, or soon will get none.
	Out bool
	// Fresh is set while reports arrive; only then moves are decided for it.
	Fresh    bool
	Holdings []Holding
}

// Demand is what callers ask of one model or adapter, by its own name, in calls
// running at once if all could be served.
type Demand struct {
	Served string
	// Slots is the forecast for the time when a load decided now serves.
	Slots float64
	// LongSlots is the demand over a long time; a copy is given up only if
	// neither needs it.
	LongSlots float64
}

// Budget is what the weight store allows to begin now.
type Budget struct {
	Loads        int
	AdapterLoads int
}

// State is all that a decision depends on.
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

// Policy decides moves. Their numbers are given later.
type Policy interface {
	Plan(s *State) []orders.Move
}
