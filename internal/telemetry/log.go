// Package telemetry sets up logging and tracing.
package telemetry

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/dotterellink/dotterellink/internal/redact"
)

// ErrSetup means that logs or traces could not be set up.
var ErrSetup = merry.Sentinel("telemetry: set-up failed")

// NewLogger returns a logger that writes to out. The level is one of debug,
// info, warn and error; the format is text or json.
func NewLogger(out io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	var handler log.Handler = logfmt.New(out)
	if format == "json" {
		handler = json.New(out)
	}
	return &log.Logger{Handler: &redactingHandler{next: handler}, Level: parsed}, nil
}

// redactingHandler removes caller keys from messages and fields.
type redactingHandler struct{ next log.Handler }

// HandleLog implements log.Handler.
func (h *redactingHandler) HandleLog(e *log.Entry) error {
	clean := *e
	clean.Message = redact.Keys(e.Message)
	clean.Fields = make(log.Fields, len(e.Fields))
	for name, value := range e.Fields {
		clean.Fields[name] = redactValue(value)
	}
	return h.next.HandleLog(&clean)
}

// redactValue returns the text of value without caller keys, or value itself if
// its text holds no key.
func redactValue(value any) any {
	if text := fmt.Sprint(value); redact.HasKey(text) {
		return redact.Keys(text)
	}
	return value
}

// Discard returns a logger that drops everything, for tests.
func Discard() *log.Logger {
	return &log.Logger{Handler: logfmt.New(io.Discard), Level: log.FatalLevel}
}

// Prefixed returns a logger that puts the name of the component and ": " before
// each message.
func Prefixed(logger *log.Logger, component string) *log.Logger {
	return &log.Logger{Handler: &prefixHandler{next: logger.Handler, prefix: component + ": "}, Level: logger.Level}
}

type prefixHandler struct {
	next   log.Handler
	prefix string
}

// HandleLog implements log.Handler.
func (h *prefixHandler) HandleLog(e *log.Entry) error {
	prefixed := *e
	prefixed.Message = h.prefix + e.Message
	return h.next.HandleLog(&prefixed)
}
