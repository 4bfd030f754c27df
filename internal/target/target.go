// Package target is the port to model engines and plain services. Adapters,
// such as httptarget, translate one wire protocol.
package target

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the target layer. They tell what may have happened at the target,
// which decides whether a call can be repeated.
var (
	// ErrNotSent means that no byte of the call reached the target.
	ErrNotSent = merry.Sentinel("target: call not sent")
	// ErrRejected means that the target answered that it did not run the call,
	// for example because it is overloaded.
	ErrRejected = merry.Sentinel("target: call rejected, not run")
	// ErrOutcomeUnknown means that the call was sent, wholly or in part, and
	// that its answer was lost.
	ErrOutcomeUnknown = merry.Sentinel("target: outcome of call unknown")
	// ErrTruncated means that an answer ended without its end mark or shorter
	// than its stated length.
	ErrTruncated = merry.Sentinel("target: answer truncated")
	// ErrMismatch means that an answer belongs to another call.
	ErrMismatch = merry.Sentinel("target: answer of another call")
	// ErrInvalid means that the target refused the call as malformed.
	ErrInvalid = merry.Sentinel("target: call invalid")
	// ErrFenced means that the target refused an order for its old fencing
	// token.
	ErrFenced = merry.Sentinel("target: fencing token out of date")
)

// Kind is the kind of model call.
type Kind string

// Kinds of model call.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindEmbedding  Kind = "embedding"
)

// ModelCall is one attempt of a model call at one engine.
type ModelCall struct {
	// ID identifies the attempt; every part of its answer carries it.
	ID   string
	Kind Kind
	// Model is the name of the model or adapter as the engine knows it.
	Model string
	// Body is the JSON request in the OpenAI form, without caller credentials.
	Body   []byte
	Stream bool
	// ResumeFrom is the index of the first chunk wanted. Above zero the engine
	// is asked to resume the stream of an earlier attempt with the same ID.
	ResumeFrom int
	// Priority is higher for calls that are served first.
	Priority int
	// TraceParent is the W3C trace context passed on; empty without tracing.
	TraceParent string
}

// Usage is the engine's count of tokens of one call.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Chunk is one part of an answer. For calls without streaming there is one
// chunk that holds the whole answer.
type Chunk struct {
	Index int
	// Data is the JSON of the chunk in the OpenAI form.
	Data []byte
	// Usage is set on the last chunk if the engine reports it.
	Usage *Usage
	// Generated is the number of tokens that the chunk carries.
	Generated int64
	// More is set if the next Recv returns at once, so that the chunk need not
	// be passed on before the next one.
	More bool
}

// Stream is an answer in progress.
type Stream interface {
	// Recv returns the next chunk of the call, in order. It returns io.EOF only
	// after the end mark. The chunk's Data is valid until the next Recv.
	Recv() (Chunk, error)
	// Close releases the stream and cancels the call if it is still running.
	Close() error
}

// ModelCaller calls model engines.
type ModelCaller interface {
	Generate(ctx context.Context, address string, call *ModelCall) (Stream, error)
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	ID          string
	Method      string
	Path        string
	RawQuery    string
	Header      http.Header
	Body        []byte
	TraceParent string
	// Idempotent is false for calls that must reach the service at most once;
	// adapters then keep their transport from repeating the call.
	Idempotent bool
}

// ServiceReply is the whole answer of a plain service.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	Invoke(ctx context.Context, address string, call *ServiceCall) (*ServiceReply, error)
}

// Action is what an order asks of an engine.
type Action string

// Actions of orders.
const (
	ActionLoadModel     Action = "load_model"
	ActionUnloadModel   Action = "unload_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionSetRole       Action = "set_role"
)

// Order is one order to an engine.
type Order struct {
	ID string `json:"id"`
	// FencingToken rises with every change of the orderer of a target.
	FencingToken uint64 `json:"fencing_token"`
	Action       Action `json:"action"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	MemoryMB     int64  `json:"memory_mb,omitempty"`
}

// Orderer gives orders to engines. A nil error means that the engine accepted
// the order, not that it has taken effect: only a Report tells.
type Orderer interface {
	Order(ctx context.Context, address string, order Order) error
}

// Residency is the state of a model or adapter in an engine's memory.
type Residency string

// States of residency.
const (
	ResidencyLoading   Residency = "loading"
	ResidencyReady     Residency = "ready"
	ResidencyUnloading Residency = "unloading"
)

// Resident is a model or adapter that occupies an engine's memory.
type Resident struct {
	Model    string    `json:"model"`
	Adapter  string    `json:"adapter,omitempty"`
	Version  string    `json:"version,omitempty"`
	State    Residency `json:"state"`
	MemoryMB int64     `json:"memory_mb"`
}

// Report is an engine's account of itself. It lags behind the truth.
type Report struct {
	// Incarnation changes with each restart of the engine.
	Incarnation string `json:"incarnation"`
	// Sequence rises with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// AsOf is the engine's time of the state reported, in milliseconds since
	// the epoch.
	AsOf int64 `json:"as_of_ms"`
	// Cold is set while the engine bears only its cold concurrency.
	Cold     bool  `json:"cold"`
	Running  int   `json:"running"`
	Queued   int   `json:"queued"`
	MemoryMB int64 `json:"memory_mb"`
	// Residents lists models and adapters in memory.
	Residents []Resident `json:"residents"`
	// FencingToken is the highest token seen, for engines that check it.
	FencingToken uint64 `json:"fencing_token"`
	// SettledOrders are the most recent orders that have ended, taken effect or
	// refused; an order in the list has no later effect.
	SettledOrders []string `json:"settled_orders"`
	Role          string   `json:"role,omitempty"`
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Reporter reads the reports of engines.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns events with a sequence above after. Events may be
	// late and have gaps.
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// Engine is the whole port to model engines.
type Engine interface {
	ModelCaller
	Orderer
	Reporter
}

// RejectedError carries the target's hint when to come back. It unwraps to
// ErrRejected.
type RejectedError struct {
	Status     int
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "target: call rejected: " + e.Message
}

// RetryAfterHint returns when the target wants to be asked again; zero without
// a hint.
func (e *RejectedError) RetryAfterHint() time.Duration { return e.RetryAfter }

// Unwrap makes errors.Is(err, ErrRejected) true.
func (e *RejectedError) Unwrap() error { return ErrRejected }

// InvalidError carries the target's complaint about a malformed call. It
// unwraps to ErrInvalid.
type InvalidError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "target: call invalid: " + http.StatusText(e.Status)
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (e *InvalidError) Unwrap() error { return ErrInvalid }
