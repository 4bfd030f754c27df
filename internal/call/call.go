// Package call holds the types of one call on its way from a caller to a
// target, and the port through which a dialect of HTTP is spoken on both sides.
package call

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/fleet"
)

// ErrMalformed means that a caller's request is not proper.
var ErrMalformed = merry.Sentinel("call: malformed request")

// Call is what a caller asks.
type Call struct {
	// ID is the caller's name for this attempt of its own.
	ID      string
	Method  string
	URI     string
	Host    string
	Path    string
	Key     string
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived; 0 means not told.
	Timeout time.Duration
	// Header holds the header fields that are passed on unchanged.
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool

	// Model and Adapter are empty for calls of plain services.
	Model   string
	Adapter string
	// PromptTokens and MaxOutputTokens are as told by the caller; HasTokenCounts is
	// false if it told none.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	Prefix          []PrefixPart
	// LastEventID is the event after which a broken stream goes on.
	LastEventID string
}

// PrefixPart is one part of a prompt, which calls may share.
type PrefixPart struct {
	ID     uint64
	Tokens int
}

// Attempt is one send of a call to a target.
type Attempt struct {
	// TargetID makes any other target at the address refuse the call.
	TargetID string
	// Remaining is what is left of the caller's patience.
	Remaining time.Duration
	// Account is the client account of the key; empty on anonymous routes.
	Account string
	// Urgency is the rank among the calls of an engine, 0 first.
	Urgency     int
	LastEventID string
}

// Outcome is what an answer says beside its content.
type Outcome struct {
	// ID is the call that the answer belongs to.
	ID string
	// NotRun is set if the target states that the call has not run there.
	NotRun bool
	// Authentic is set if the answer bears the mark of the target that made it.
	Authentic bool
	// WrongTarget is set if another target has the address, or the target does
	// not hold the model.
	WrongTarget bool
	// HasLoad tells whether Running, Waiting and Slots are known.
	HasLoad                 bool
	Running, Waiting, Slots int
	// ColdLeft is how long the target stays cold, if told.
	ColdLeft time.Duration
}

// Dialect translates between HTTP messages and calls.
type Dialect interface {
	// Decode reads the head of a caller's request.
	Decode(r *http.Request, arrived time.Time) (*Call, error)
	// AttemptHeader returns the header fields of one attempt.
	AttemptHeader(c *Call, a Attempt) http.Header
	// Outcome reads the head of a target's answer.
	Outcome(status int, header http.Header) Outcome
	// AnswerHeader returns the fields of a target's answer that go to the
	// caller.
	AnswerHeader(header http.Header) http.Header
	// RefusalHeader returns the fields of a refusal of our own.
	RefusalHeader(c *Call, retryAfter time.Duration) http.Header
}

// OrderKind is what a target is told to do.
type OrderKind int

// Kinds of orders.
const (
	LoadModel OrderKind = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order tells a target to change what it holds.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string
	// ExpectedOrders guards against orders that arrive late: the target refuses
	// if it has accepted another number of orders.
	ExpectedOrders int64
	Holder         string
	FencingToken   uint64
}

// OrderResult is a target's answer to an order.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown means that the order may act later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderNoChange means that nothing had to be done.
	OrderNoChange
	// OrderRefused means that the order has no effect.
	OrderRefused
)

// TargetOperator gives orders to targets and asks for their state.
type TargetOperator interface {
	Order(address, targetID string, o Order, timeout time.Duration) (OrderResult, error)
	Report(address, targetID string, timeout time.Duration) (fleet.Report, error)
}
