// Package zones decides when a call leaves its availability zone. Each zone says for each
// service whether it is short of target time, or how much of it other zones may use
// (Controller). Instances keep what they hear and their part of it (View), and Choose
// compares the best targets for one call. The package does no I/O and takes the current
// time as an argument.
package zones

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// sufficient is the share of a route's target latency within which the predicted time to
	// the first answer counts as on time. The rest allows for errors of the prediction.
	sufficient = 0.8
	// minGain is what leaving must gain beyond its costs, so that calls do not change zones
	// for differences smaller than the error of two predictions.
	minGain = 20 * time.Millisecond
	// roundTrip is the time of a request and its first answer between two zones. Links of
	// 0.5 to 0.9 ms one way are known.
	roundTrip = 2 * time.Millisecond
	// risk is the expected time lost because the zones are cut off from each other while the
	// call runs: one cut of a zone in 1,000 calls, at the two seconds of a failure.
	risk = 2 * time.Millisecond
	// unusable is the penalty for failures from which a target of the own zone is no reason
	// to stay: half of its calls fail.
	unusable = time.Second
	// headBytes is the size of the heads of a call and its answer; bytesPerToken is that of
	// an output token with its part of an event.
	headBytes     = 1024
	bytesPerToken = 8
)

// Bytes returns the estimated bytes that a call moves between zones. The output tokens are
// those that the caller has declared; an engine generates no more than its memory holds.
func Bytes(body, outputTokens, memoryTokens int) int {
	return headBytes + body + bytesPerToken*call.BoundTokens(outputTokens, memoryTokens)
}

// Cost returns what a call to another zone costs, as time. byteCost is the price of 1,024
// bytes in milliseconds.
func Cost(bytes int, byteCost float64) time.Duration {
	return roundTrip + risk + time.Duration(byteCost*float64(bytes)/1024*float64(time.Millisecond))
}

// Reason says why a call leaves its zone.
type Reason string

// Reasons of calls to other zones.
const (
	// Stay means that the call does not leave its zone.
	Stay Reason = ""
	// Short means that the own zone is short and another one has room.
	Short Reason = "short"
	// NoCopy means that no target of the zone holds the model.
	NoCopy Reason = "no_copy"
	// NoTarget means that no target of the zone that holds the model can take the call.
	NoTarget Reason = "no_target"
	// Cut means that no reachable zone can take the call.
	Cut Reason = "cut"
)

// Option is the best target of a group.
type Option struct {
	Found bool
	// Expected is the predicted time to the first answer. Score adds the penalties and, for
	// other zones, the cost of the call. Penalty is the part of Score for failures and refused
	// connections. Down is set if the target accepts no connection.
	Expected, Score, Penalty time.Duration
	Down                     bool
}

// usable uses no other part of Score: some parts only steer the choice and grow with the load.
func (o Option) usable() bool { return o.Found && !o.Down && o.Penalty < unusable }

// Options are the best targets for one call.
type Options struct {
	// HasCopy is set if a target of the own zone holds the model, even if it cannot take
	// the call.
	HasCopy bool
	// Own is the best target of the own zone, Granted of the zones that have room for it,
	// Reachable of all other zones with reachable instances, Unreachable of the others.
	Own, Granted, Reachable, Unreachable Option
}

// Group is a group of targets.
type Group int

// Groups in Options.
const (
	None Group = iota
	Own
	Granted
	Reachable
	Unreachable
)

// Suffices reports whether the best target of the own zone is usable and answers within the
// route's target latency. A target latency of 0 means that the route has none.
func Suffices(own Option, targetLatency time.Duration) bool {
	return own.usable() && (targetLatency <= 0 || float64(own.Expected) <= sufficient*float64(targetLatency))
}

// Choose returns the group whose best target gets the call, and why it leaves its zone.
func Choose(o Options, targetLatency time.Duration) (Group, Reason) {
	if o.Own.usable() {
		if !Suffices(o.Own, targetLatency) && o.Granted.usable() && o.Own.Score-o.Granted.Score >= minGain {
			return Granted, Short
		}
		return Own, Stay
	}
	reason := NoTarget
	if !o.HasCopy {
		reason = NoCopy
	}
	switch {
	case o.Reachable.Found && (!o.Own.Found || o.Reachable.Score < o.Own.Score):
		return Reachable, reason
	case o.Own.Found && (!o.Unreachable.Found || o.Own.Score <= o.Unreachable.Score):
		return Own, Stay
	case o.Unreachable.Found:
		return Unreachable, Cut
	}
	return None, Stay
}
