// Package call holds the types of calls from callers to targets and of orders to
// targets, and the interfaces that translate calls to and from HTTP and send orders.
package call

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/fleet"
)

// ErrMalformed means that a caller's request is malformed.
var ErrMalformed = merry.Sentinel("call: malformed request")

// Call is a request of a caller.
type Call struct {
	// ID identifies the call; the caller chooses it. A retry by the caller is another
	// call.
	ID      string
	Method  string
	URI     string
	Host    string
	Path    string
	Key     string
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived on; 0 means unknown.
	Timeout time.Duration
	// Header holds the header fields that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool

	// Model and Adapter are empty for calls of plain services.
	Model   string
	Adapter string
	// PromptTokens and MaxOutputTokens are the counts that the caller sent.
	// HasTokenCounts is false if it sent none.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	Prefix          []PrefixPart
	// LastEventID is the event after which a broken stream goes on.
	LastEventID string
	// Resumes is the ID of the call that brought the first event of that stream; empty if
	// the caller did not name it.
	Resumes string
}

// PrefixPart is one part of a prompt prefix, which calls may share.
type PrefixPart struct {
	ID     uint64
	Tokens int
}

// Attempt is one attempt to send a call to a target.
type Attempt struct {
	// TargetID makes any other target at the same address refuse the call.
	TargetID string
	// Remaining is what is left of the time that the caller waits.
	Remaining time.Duration
	// Account is the client account of the key; empty on anonymous routes.
	Account string
	// Urgency is the priority of the call among those of an engine; 0 goes first.
	Urgency     int
	LastEventID string
}

// Outcome is what the head of a target's answer says about the call and the target.
type Outcome struct {
	// ID is the ID of the call that the answer belongs to.
	ID string
	// NotRun is set if the target states that it has not run the call.
	NotRun bool
	// Authentic is set if the answer carries the seal of the target that made it.
	Authentic bool
	// WrongTarget is set if another target has the address, or the target does not
	// hold the model.
	WrongTarget bool
	// HasLoad is set if Running, Waiting and Slots are known.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine now, 1 meaning as long as usual;
	// 0 if the target did not say.
	Pace float64
	// ColdLeft is how long the target stays cold; 0 if it did not say.
	ColdLeft time.Duration
	Notice
}

// Notice is what any answer of a target, also to an order or a request for its report, may
// say about the target.
type Notice struct {
	// Leaving is set if the target is about to leave and wants no new work.
	Leaving bool
	// RetryAfter is how long the target, which is overloaded, wants no further request from
	// this instance; 0 if it did not say.
	RetryAfter time.Duration
	// Rate says whether the target limits its request rate. If it is RateNamed, RatePerSecond
	// is the limit, in requests a second from all instances together.
	Rate          RateStatement
	RatePerSecond float64
}

// RateStatement is what an answer says about the request rate that its target takes.
type RateStatement int

// Statements about a request rate.
const (
	// RateUnknown means that the answer may not be of the target, so that a missing limit
	// says nothing.
	RateUnknown RateStatement = iota
	// RateUnlimited means that the target names no limit.
	RateUnlimited
	// RateNamed means that the target names a limit.
	RateNamed
	// RateUnreadable means that the target names a limit that is no number of requests.
	RateUnreadable
)

// Dialect translates between HTTP messages and calls.
type Dialect interface {
	// Decode reads the head of a caller's request.
	Decode(r *http.Request, arrived time.Time) (*Call, error)
	// AttemptHeader returns the header fields of one attempt.
	AttemptHeader(c *Call, a Attempt) http.Header
	// Outcome reads the head of a target's answer.
	Outcome(status int, header http.Header) Outcome
	// AnswerHeader returns the fields of a target's answer that are forwarded to the
	// caller.
	AnswerHeader(header http.Header) http.Header
	// RefusalHeader returns the header fields of a refusal by the instance itself.
	RefusalHeader(c *Call, retryAfter time.Duration) http.Header
}

// OrderKind is the kind of an order to a target.
type OrderKind int

// Kinds of orders.
const (
	LoadModel OrderKind = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order tells a target to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// ExpectedOrders guards against delayed orders: the target refuses the order if
	// it has accepted a different number of orders.
	ExpectedOrders int64
	// Holder names the instance that holds the placement lease; FencingToken is the
	// token of that lease.
	Holder       string
	FencingToken uint64
}

// OrderResult is the result of an order.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown means that it is unknown whether the order was received: it may
	// take effect later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderNoChange means that nothing had to be done.
	OrderNoChange
	// OrderRefused means that the order has no effect.
	OrderRefused
)

// TargetOperator sends orders to targets and requests their reports.
type TargetOperator interface {
	Order(address, targetID string, o Order, timeout time.Duration) (OrderResult, Notice, error)
	Report(address, targetID string, timeout time.Duration) (fleet.Report, Notice, error)
}
