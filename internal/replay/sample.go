// Package replay sends the requests of a trace to instances at the times of the
// trace, whether answers come or not, and judges the outcomes from the caller's
// side and from the stand-ins' own counts.
package replay

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/trace"
)

// ErrSetup means that the replay could not start or an event not be carried
// out.
var ErrSetup = merry.Sentinel("replay: set-up failed")

// Result is how a request ended for its caller.
type Result string

// Results of requests.
const (
	// ResultOK means that the whole answer came.
	ResultOK Result = "ok"
	// ResultRateLimited means a refusal for the account's rate.
	ResultRateLimited Result = "rate_limited"
	// ResultRefused means any other refusal that says "not run".
	ResultRefused Result = "refused"
	// ResultUnknown means an error that says that the outcome is unknown.
	ResultUnknown Result = "unknown"
	// ResultBroken means an answer that ended with an explicit error.
	ResultBroken Result = "broken"
	// ResultCut means an answer that claims to be whole and is not, or that ended
	// without an end mark or an error.
	ResultCut Result = "cut"
	// ResultError means any other failure, such as a refused connection.
	ResultError Result = "error"
)

// Sample is what happened to one request.
type Sample struct {
	Record *trace.Record
	// Scheduled is the time at which the trace wants the request sent; times to
	// the first token and the end count from it, so that a late sender hides
	// nothing.
	Scheduled time.Time
	// Sent is the time at which the request was really sent.
	Sent   time.Time
	Result Result
	Status int
	// FirstToken and Total are zero if they never came.
	FirstToken time.Duration
	Total      time.Duration
	// SlowIntervals of Intervals between tokens exceeded the stated bound.
	Intervals     int
	SlowIntervals int
	// Reserved is the bound on tokens of the request; Used is the engine's count.
	Reserved int64
	Used     int64
	// ID is the unique body of a call of a plain service.
	ID string
	// InRate is set if a single bucket of the account's rate and burst would have
	// admitted the request.
	InRate bool
}

// Stated bounds of answers.
const (
	FirstTokenBound = 350 * time.Millisecond
	IntervalBound   = 67 * time.Millisecond
	// slowShare is the share of intervals that may exceed IntervalBound.
	slowShare = 0.05
)

// IsAttained reports whether a model request was answered within its bounds:
// interactive requests by first token and intervals, others by the deadline.
func (s *Sample) IsAttained() bool {
	if s.Result != ResultOK {
		return false
	}
	if s.Record.Class == "batch" || s.Record.Kind == trace.KindService {
		return s.Total <= time.Duration(s.Record.DeadlineMS)*time.Millisecond
	}
	return s.FirstToken <= FirstTokenBound && float64(s.SlowIntervals) <= slowShare*float64(s.Intervals)
}
