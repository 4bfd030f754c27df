package routing

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// Costs are in milliseconds of expected delay.
const (
	// missedBlockCostMS is the time to prefill a prompt block that is not cached.
	missedBlockCostMS = 3.2
	// fullLoadCostMS is the cost at full utilization. The cost grows with the
	// square of the utilization.
	fullLoadCostMS = 60
	// otherZoneCostMS is the advantage that a target in another zone must have to
	// be chosen.
	otherZoneCostMS = 12
	// coldCostMS makes warm targets preferred. It is below otherZoneCostMS, so that
	// a cold target in the own zone receives the calls that warm it up.
	coldCostMS = 8
	// failureCostMS is added for each consecutive failure that recentFailures
	// counts.
	failureCostMS = 50
	// urgentDeadline is the time to the deadline below which the load cost is
	// doubled.
	urgentDeadline = time.Second
	// batchShareEighths is the share of a warm target's concurrency, in eighths, up
	// to which batch calls may start.
	batchShareEighths = 7
)

// features are the inputs of the score of one candidate.
type features struct {
	running      int
	limit        int
	missedBlocks int
	otherZone    bool
	warm         bool
	urgent       bool
	failures     int
}

// score returns the estimated delay in milliseconds. Lower is better.
func (f *features) score() float64 {
	utilization := float64(f.running) / float64(max(1, f.limit))
	loadCost := fullLoadCostMS * utilization * utilization
	if f.urgent {
		loadCost *= 2
	}
	total := loadCost + missedBlockCostMS*float64(f.missedBlocks) + failureCostMS*float64(f.failures)
	if f.otherZone {
		total += otherZoneCostMS
	}
	if !f.warm {
		total += coldCostMS
	}
	return total
}

// concurrencyLimit returns the number of running calls up to which a call of the
// class may start on a warm target.
func concurrencyLimit(t *environment.Target, class Class) int {
	if class == ClassBatch {
		return max(1, t.Concurrency*batchShareEighths/8)
	}
	return t.Concurrency
}
