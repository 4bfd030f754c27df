// Package scaling decides how many targets a service has in an availability zone, and keeps
// the state of the orders that one holder of the duty sends. It does no I/O and has no
// clock; callers pass the time.
package scaling

import (
	"math"
	"time"

	"github.com/dotterellink/dotterellink/internal/forecast"
)

const (
	// Utilization is the share of the targets' time that the demand may take. Above two
	// thirds, the wait for a first event grows faster than the demand.
	Utilization = 0.65
	// shrinkMargin is added to the demand before a target is given up, so that a demand near
	// the limit between two numbers does not move the number down and up again.
	shrinkMargin = 1.08
	// holdBoots is the time, in boot times, for which the forecast has to stay low before
	// the first target is given up. Three boot times of 8 s outlast a wave of 15 s.
	holdBoots = 3
	// minStepInterval is the shortest time between two steps down; stepBoots is the same in
	// boot times. Placement needs it to restore copies of models elsewhere.
	minStepInterval = 3 * time.Second
	stepBoots       = 0.5
	// maxInputGap is the longest time between two inputs. After a longer one, the forecast
	// may have been high unseen, and the time for which it has to stay low begins anew.
	maxInputGap = 5 * time.Second
	// SampleInterval is the time between two samples of the demand, and between two
	// decisions.
	SampleInterval = time.Second
)

// ForecastConfig returns the smoothing of the demand of a zone. It is slower than that of
// placement, because a target serves some seconds after its order in any case, and because
// the highest forecast of the last boot times counts.
func ForecastConfig() forecast.Config {
	return forecast.Config{
		Interval: SampleInterval, LevelHalfLife: 1500 * time.Millisecond, TrendHalfLife: 1500 * time.Millisecond,
		TrendReach: 1500 * time.Millisecond, MaxChange: 0.6,
	}
}

// Demand returns how many fully used targets the demand corresponds to: work is the engine
// time asked per second, refused work included, and occupied the sum over the targets of the
// share of their slots that calls occupy. The higher of the two counts: engine time leaves
// out the generation of tokens, and slots leave out refused calls.
func Demand(work, occupied float64) float64 {
	if math.IsNaN(work) || math.IsNaN(occupied) {
		return 0
	}
	return max(0, work, occupied)
}

// Limits bound the number of targets of a service in a zone.
type Limits struct {
	Min, Max int
	// Boot is the time from an order until the new target serves.
	Boot time.Duration
}

// Input is the input of one decision.
type Input struct {
	Now time.Time
	Limits
	// Demand is the demand now, and Forecast that in one boot time; see the function Demand.
	Demand, Forecast float64
	// Targets is the number of targets now and on the way, without those that leave.
	Targets int
	// MayShrink is false while a target that leaves could take the last copy of a model with
	// it, or while placement has not yet replaced the copies on those that leave.
	MayShrink bool
}

// Reason says why a decision keeps or changes the number.
type Reason string

// Reasons of decisions.
const (
	Fits      Reason = "fits"
	Rising    Reason = "rising"
	Falling   Reason = "falling"
	WaitsLow  Reason = "waits_for_low"
	WaitsStep Reason = "waits_for_step"
	LastCopy  Reason = "last_copy"
	AtLimit   Reason = "limit"
)

// Hysteresis is the memory of the decisions on one service in one zone. The zero value is
// ready for use.
type Hysteresis struct {
	// since is when the inputs began without a gap, and inputAt when the last one came.
	since, inputAt time.Time
	// steppedAt is when the number was last reduced.
	steppedAt time.Time
	// allowed is the highest Max since the number was within the limits, 0 if unknown.
	allowed int
	// needs are the numbers that the demand of the last holdBoots boot times called for.
	needs []sample
}

type sample struct {
	at   time.Time
	need int
}

// Decide returns the number of targets that the zone is to have. It rises at once. It falls
// by one at a time, after the forecast has stayed low for holdBoots boot times, or at once if
// it exceeds Max. Only a number that exceeds Max because the configuration lowered Max falls to
// it in one step: that is what the operator asked for.
func (h *Hysteresis) Decide(in Input) (desired int, reason Reason) {
	if h.inputAt.IsZero() || in.Now.Sub(h.inputAt) > maxInputGap || in.Now.Before(h.inputAt) {
		h.since, h.needs, h.allowed = in.Now, nil, 0
	}
	if in.Targets <= in.Max {
		h.allowed = 0
	}
	h.allowed = max(h.allowed, in.Max)
	h.inputAt = in.Now
	demand := max(in.Demand, in.Forecast)
	hold := time.Duration(holdBoots * float64(in.Boot))
	h.record(sample{in.Now, in.need(demand * shrinkMargin)}, hold)
	need := in.need(demand)
	switch {
	case in.Targets > in.Max && in.Targets <= h.allowed:
		return in.Max, AtLimit
	case in.Targets < in.Min:
		return need, AtLimit
	case need > in.Targets:
		return need, Rising
	case in.Targets <= in.Max && h.peak() >= in.Targets:
		return in.Targets, Fits
	case in.Targets <= in.Max && in.Now.Sub(h.since) < hold:
		return in.Targets, WaitsLow
	case in.Now.Sub(h.steppedAt) < max(minStepInterval, time.Duration(stepBoots*float64(in.Boot))):
		return in.Targets, WaitsStep
	case !in.MayShrink:
		return in.Targets, LastCopy
	}
	if in.Targets > in.Max {
		return in.Targets - 1, AtLimit
	}
	return in.Targets - 1, Falling
}

// Stepped records that an order for a lower number was sent.
func (h *Hysteresis) Stepped(now time.Time) { h.steppedAt = now }

// need returns the number of targets that a demand calls for, within the limits.
func (in Input) need(demand float64) int {
	n := math.Ceil(demand/Utilization - 1e-9)
	if !(n < float64(in.Max)) {
		return in.Max
	}
	return in.clamp(int(n))
}

func (in Input) clamp(n int) int { return min(max(n, in.Min), in.Max) }

// record adds a sample and drops those older than the time for which the demand has to stay
// low.
func (h *Hysteresis) record(s sample, keep time.Duration) {
	drop := 0
	for drop < len(h.needs) && s.at.Sub(h.needs[drop].at) > keep {
		drop++
	}
	h.needs = append(h.needs[:copy(h.needs, h.needs[drop:])], s)
}

// peak returns the highest number of targets that the recorded demand called for.
func (h *Hysteresis) peak() int {
	highest := 0
	for _, s := range h.needs {
		highest = max(highest, s.need)
	}
	return highest
}
