// Package coldstart limits the concurrent calls on a cold target, over all
// instances together.
//
// For each availability zone one instance, the grantor, divides the allowed
// concurrency of the zone's targets among all instances. It sends every
// instance, as a holder, the list of warm targets, and grants permits for the
// other targets. Both are leases whose term starts when the holder sends its
// request, so a lost or late message can only cost permits, never add any.
//
// Invariant: for every target that is not warm, the calls that may be running
// or may still be started, summed over all holders, do not exceed the target's
// bound, except for calls that were running when the target turned cold.
package coldstart

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors returned to holders.
var (
	// ErrNotGrantor means that the instance that received the request is not the
	// grantor of the zone, or that the zone has no grantor.
	ErrNotGrantor = merry.Sentinel("coldstart: not the grantor of the zone")
	// ErrStaleRequest means that a later request of the same holder arrived first.
	ErrStaleRequest = merry.Sentinel("coldstart: request superseded by a later one")
)

const (
	// GrantTTL is how long a holder may start calls under its permits.
	GrantTTL = time.Second
	// WarmTTL is how long a holder may treat a target as warm.
	WarmTTL = 4 * time.Second
	// MaxReportLag is the longest time by which an engine's report lags behind
	// its state.
	MaxReportLag = 2 * time.Second
	// AbandonedCallGrace is how long an abandoned call counts as running, since
	// the engine notices only when the connection closes.
	AbandonedCallGrace = time.Second

	requestInterval = 250 * time.Millisecond
	requestTimeout  = 200 * time.Millisecond
	// maxPause is the longest time without a tick after which an instance may
	// still act as grantor.
	maxPause = 2 * time.Second
	// foreignGrantorDelay is how long an availability zone must be without live
	// instances before an instance of another zone becomes its grantor.
	foreignGrantorDelay = 10 * time.Second
)

// TargetUsage is a holder's report on one target.
type TargetUsage struct {
	Target string `msgpack:"t"`
	// InFlight is the number of calls that may be running.
	InFlight int `msgpack:"f,omitempty"`
	// Want is the number of concurrent calls that the holder wants to run, including
	// those in flight.
	Want int `msgpack:"w,omitempty"`
	// Completed is the number of calls completed since the last request.
	Completed int `msgpack:"c,omitempty"`
	// Suspect is set if the target is slow or fails, as a cold target does.
	Suspect bool `msgpack:"s,omitempty"`
}

// Request returns all unused permits of a holder and requests new ones.
type Request struct {
	Zone string `msgpack:"z"`
	// Incarnation is a new random number at each start of the holder.
	Incarnation uint64 `msgpack:"i"`
	// Seq increases with each request of an incarnation.
	Seq uint64 `msgpack:"q"`
	// Epoch and Version identify the holder's current list of warm targets.
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
	// ServedAgoMS is the time in milliseconds, rounded up, since the sender last
	// handled another holder's request as the zone's grantor; 0 if it never did.
	ServedAgoMS int64         `msgpack:"a,omitempty"`
	Usage       []TargetUsage `msgpack:"n,omitempty"`
}

// Grant allows a holder to have up to Permits calls in flight on a target.
type Grant struct {
	Target  string `msgpack:"t"`
	Permits int    `msgpack:"p"`
}

// Response is the grantor's response to a Request.
type Response struct {
	Seq uint64 `msgpack:"q"`
	// Epoch is a new random number whenever an instance becomes grantor.
	Epoch uint64 `msgpack:"e"`
	// Version increases with each change of the list of warm targets.
	Version uint64 `msgpack:"v"`
	// Warm is the list of warm targets, omitted if the holder has this version.
	Warm   []string `msgpack:"w,omitempty"`
	Grants []Grant  `msgpack:"g,omitempty"`
}

// Revocation announces that targets are no longer warm.
type Revocation struct {
	Zone    string   `msgpack:"z"`
	Epoch   uint64   `msgpack:"e"`
	Targets []string `msgpack:"t"`
}
