// Package coldstart keeps the calls on a cold target within what it bears, over
// all instances together.
//
// One instance of each availability zone, the grantor, divides the admissible
// concurrency of the zone's targets. It tells every instance which targets are
// warm and lends permits for the others. Both are leases that a holder counts
// from the time at which it asked, so that a lost or late message costs permits
// and never adds any.
//
// Invariant: for every target that is not warm, the sum over all holders of the
// calls that may be running or be started is at most the target's bound, except
// for calls that were running when the target turned cold.
package coldstart

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of cold start.
var (
	// ErrNotGrantor means that the instance asked divides no permits of the zone.
	ErrNotGrantor = merry.Sentinel("coldstart: not the grantor of the zone")
	// ErrOldAsk means that a later ask of the same holder came first.
	ErrOldAsk = merry.Sentinel("coldstart: ask out of date")
)

const (
	// GrantTTL is how long a holder may start calls under its permits.
	GrantTTL = time.Second
	// WarmTTL is how long a holder may treat a target as warm.
	WarmTTL = 4 * time.Second
	// ReportLag is the longest time by which an engine's report lags behind.
	ReportLag = 2 * time.Second
	// EndingGrace is how long a call that was given up counts as running, since
	// the engine learns of it only from the end of the connection.
	EndingGrace = time.Second

	askInterval = 250 * time.Millisecond
	askTimeout  = 200 * time.Millisecond
	// pauseLimit is the time without a tick after which a grantor resigns.
	pauseLimit = 2 * time.Second
	// foreignDelay is how long an availability zone is without live instances
	// before an instance of another zone becomes its grantor.
	foreignDelay = 10 * time.Second
)

// Entry is what a holder tells of one target.
type Entry struct {
	Target string `msgpack:"t"`
	// InFlight is the number of calls that may be running.
	InFlight int `msgpack:"f,omitempty"`
	// Want is the number of calls that the holder would run at once.
	Want int `msgpack:"w,omitempty"`
	// Completed is the number of calls completed since the last ask.
	Completed int `msgpack:"c,omitempty"`
	// Suspect is set if the target slows or fails like a cold one.
	Suspect bool `msgpack:"s,omitempty"`
}

// Ask returns all unspent permits of a holder and asks for new ones.
type Ask struct {
	Zone string `msgpack:"z"`
	// Incarnation is drawn anew at each start of the holder.
	Incarnation uint64 `msgpack:"i"`
	// Seq rises with each ask of an incarnation.
	Seq uint64 `msgpack:"q"`
	// Epoch and Version name the list of warm targets that the holder acts by.
	Epoch   uint64 `msgpack:"e"`
	Version uint64 `msgpack:"v"`
	// ServedAgoMS is the time in milliseconds since the holder itself last lent as
	// the zone's grantor, rounded up; 0 if it never did.
	ServedAgoMS int64   `msgpack:"a,omitempty"`
	Entries     []Entry `msgpack:"n,omitempty"`
}

// Grant allows a holder to have Permits calls in flight on a target.
type Grant struct {
	Target  string `msgpack:"t"`
	Permits int    `msgpack:"p"`
}

// Answer is the grantor's reply to an ask.
type Answer struct {
	Seq uint64 `msgpack:"q"`
	// Epoch is drawn anew whenever an instance becomes grantor.
	Epoch uint64 `msgpack:"e"`
	// Version rises with each change of the list of warm targets.
	Version uint64 `msgpack:"v"`
	// Warm is left out if the holder knows the version.
	Warm   []string `msgpack:"w,omitempty"`
	Grants []Grant  `msgpack:"g,omitempty"`
}

// Finding tells that targets are not warm any more.
type Finding struct {
	Zone    string   `msgpack:"z"`
	Epoch   uint64   `msgpack:"e"`
	Targets []string `msgpack:"t"`
}
