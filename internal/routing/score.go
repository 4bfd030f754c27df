package routing

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// Costs in milliseconds of expected delay.
const (
	// missedBlockCost is the time to read a prompt block that is not cached.
	missedBlockCost = 3.2
	// loadCost is the cost of a target with all places taken; it grows with the
	// square of the load.
	loadCost = 60
	// otherZoneCost is the benefit that a target of another zone must have.
	otherZoneCost = 12
	// coldCost prefers warm targets. It is below otherZoneCost, so that a cold
	// target of the own zone gets the calls by which it warms up.
	coldCost = 8
	// failureCost is added for each failure in a row.
	failureCost = 50
	// urgentWithin is the time to the deadline below which load counts double.
	urgentWithin = time.Second
	// batchShare is the part of a target's places that batch calls may fill, in
	// eighths.
	batchShare = 7
)

// features are what the score of one candidate depends on.
type features struct {
	running      int
	limit        int
	missedBlocks int
	otherZone    bool
	warm         bool
	urgent       bool
	failures     int
}

// score estimates the delay in milliseconds; lower is better.
func (f *features) score() float64 {
	used := float64(f.running) / float64(max(1, f.limit))
	weight := loadCost * used * used
	if f.urgent {
		weight *= 2
	}
	total := weight + missedBlockCost*float64(f.missedBlocks) + failureCost*float64(f.failures)
	if f.otherZone {
		total += otherZoneCost
	}
	if !f.warm {
		total += coldCost
	}
	return total
}

// limitFor is the number of calls that a warm target takes of the class.
func limitFor(t *environment.Target, class Class) int {
	if class == ClassBatch {
		return max(1, t.Concurrency*batchShare/8)
	}
	return t.Concurrency
}
