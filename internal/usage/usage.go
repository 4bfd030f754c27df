// Package usage counts the calls of each client account that began to run, and reports them
// to the platform window by window.
//
// Each instance counts the calls that it relayed (Counter) and sends its counts to the holder
// of the duty (Sender). The holder collects them (Collector), writes down the counts of a
// window as an Intent in the store before it sends them, and sends them until the platform
// has accepted them (State, carried out by Controller).
package usage

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// earliestClose and latestClose are parts of the due time of a report: when the holder
	// writes the counts of a window down at the earliest, and when it no longer waits for
	// instances, which may be unreachable and come back. The rest is left for failed sends, and
	// for a takeover, which takes up to 8 s of the 10 s after a holder was killed.
	earliestClose = 0.1
	latestClose   = 0.6
	// giveUpDelay is how long after it was due a report is given up.
	giveUpDelay = time.Minute
)

// Timing tells when windows end and their reports are due. True times are durations since
// 1970.
type Timing struct {
	// Window is the length of a window, and Due the time from its end until its report is
	// due.
	Window, Due time.Duration
}

// WindowAt returns the window of a true time.
func (t Timing) WindowAt(at time.Duration) int64 { return int64(at / t.Window) }

// hasEnded reports whether a window has ended at a true time.
func (t Timing) hasEnded(window int64, at time.Duration) bool { return window < t.WindowAt(at) }

// EndOf returns the true time at which a window ends.
func (t Timing) EndOf(window int64) time.Duration { return time.Duration(window+1) * t.Window }

// isGivenUp reports whether the report of a window is given up if it has not been accepted.
func (t Timing) isGivenUp(window int64, at time.Duration) bool {
	return at >= t.EndOf(window)+t.Due+giveUpDelay
}

// oldest returns the oldest window that is not given up.
func (t Timing) oldest(at time.Duration) int64 {
	return max(0, t.WindowAt(at-t.Due-giveUpDelay))
}

// RunCounts holds counts of one run of an instance. Counts are cumulative, so that a later
// report replaces an earlier one. Client accounts are numbered by a run as they first appear,
// and named once to each receiver: the holder of a large fleet receives all counts of all.
type RunCounts struct {
	// Instance is empty if the sender of the message is meant.
	Instance string `msgpack:"i,omitempty"`
	Run      string `msgpack:"r"`
	// Since is the window in which the run began.
	Since int64 `msgpack:"s"`
	// Version rises with each change of the counts of the run.
	Version uint64 `msgpack:"v"`
	// Partial is set if some counts up to Version are missing. Through and Final are not set
	// then.
	Partial bool `msgpack:"p,omitempty"`
	// Base is the version since which all changes are included, 0 for all counts.
	Base uint64 `msgpack:"b,omitempty"`
	// Names holds the names of the accounts from number FirstName on.
	FirstName int      `msgpack:"f,omitempty"`
	Names     []string `msgpack:"a,omitempty"`
	// Through is the last window that had ended when the counts were taken.
	Through int64 `msgpack:"t"`
	// Final is set if the run has ended its last call, so that its counts do not change.
	Final bool `msgpack:"e,omitempty"`
	// TimeMS is the true time according to the clock of the instance, in ms, 0 if the report
	// was passed on by another one.
	TimeMS  int64          `msgpack:"c,omitempty"`
	Windows []WindowCounts `msgpack:"w,omitempty"`
}

// WindowCounts holds the number of calls of each client account that began to run in a
// window: the number of an account, followed by that of its calls.
type WindowCounts struct {
	Window int64   `msgpack:"w"`
	Counts []int64 `msgpack:"n"`
}

// EncodeMsgpack implements msgpack.CustomEncoder. Integers take as few bytes as they need.
func (r RunCounts) EncodeMsgpack(e *msgpack.Encoder) error {
	type plain RunCounts
	e.UseCompactInts(true)
	return e.Encode(plain(r))
}

// countsRequest carries the counts that changed since the last ones that the receiver has
// confirmed.
type countsRequest struct {
	// Token is that of the holder, or 0 if the receiver is to keep a copy for a successor.
	Token  uint64    `msgpack:"k,omitempty"`
	Counts RunCounts `msgpack:"r"`
}

type countsResponse struct {
	// Received is set if the instance holds the duty under the token of the request, or keeps
	// a copy, and has all counts up to the version of the request.
	Received bool `msgpack:"r,omitempty"`
	// TimeMS is the median of the clocks of the instances.
	TimeMS int64 `msgpack:"c,omitempty"`
	// Decided is the last window whose counts are written down.
	Decided int64 `msgpack:"d,omitempty"`
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r countsResponse) EncodeMsgpack(e *msgpack.Encoder) error {
	type plain countsResponse
	e.UseCompactInts(true)
	return e.Encode(plain(r))
}

// openRequest asks for all counts of windows after Decided, from a position on.
type openRequest struct {
	Decided int64        `msgpack:"d"`
	From    openPosition `msgpack:"f"`
}

// openResponse holds as many counts as fit into a frame of the mesh. Next is the position of
// the next request, the zero value if there are no further ones.
type openResponse struct {
	Decided int64        `msgpack:"d,omitempty"`
	TimeMS  int64        `msgpack:"c,omitempty"`
	Runs    []RunCounts  `msgpack:"r"`
	Next    openPosition `msgpack:"n,omitempty"`
}

// openPosition is a position in the counts that an instance has: windows of Run after Window,
// and runs that sort after it. Version is that of the run when its first counts were sent.
type openPosition struct {
	Run     string `msgpack:"r,omitempty"`
	Window  int64  `msgpack:"w,omitempty"`
	Version uint64 `msgpack:"v,omitempty"`
}
