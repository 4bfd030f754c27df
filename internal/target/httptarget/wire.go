package httptarget

import (
	"encoding/json"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Paths of the HTTP protocol of model engines.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionPath  = "/v1/completions"
	EmbeddingPath   = "/v1/embeddings"
	OrdersPath      = "/control/orders"
	ReportPath      = "/control/report"
	CacheEventsPath = "/control/cache-events"
)

// Headers of the protocol.
const (
	// HeaderRequestID carries the identifier of the attempt and returns in the
	// answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeFrom is the index of the first chunk wanted of a resumed
	// stream.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderPriority is higher for calls that the engine serves first.
	HeaderPriority    = "X-Priority"
	HeaderTraceParent = "Traceparent"
	// HeaderNotRun marks an answer of a plain service that did not run the call.
	HeaderNotRun = "X-Not-Run"
)

// EndMark is the data of the last event of a complete stream.
const EndMark = "[DONE]"

// CacheEventList is the answer of CacheEventsPath.
type CacheEventList struct {
	Events []target.CacheEvent `json:"events"`
}

// envelope holds the fields of a whole OpenAI answer that the adapter checks.
type envelope struct {
	ID      string            `json:"id"`
	Usage   *target.Usage     `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
	Data    json.RawMessage   `json:"data"`
}

// hasAnswer reports whether a whole answer holds a choice or embeddings.
func (e *envelope) hasAnswer() bool { return len(e.Choices) > 0 || len(e.Data) > 0 }
