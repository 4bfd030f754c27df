package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
)

// responseSink writes an answer to the caller. It is used by one goroutine.
type responseSink struct {
	server  *Server
	context echo.Context
	stream  bool
	// usage is set if the caller asked for the usage of its stream.
	usage      bool
	started    time.Time
	written    bool
	controller *http.ResponseController
	buffer     []byte
}

// Chunk implements relay.Sink.
func (s *responseSink) Chunk(chunk target.Chunk) error {
	if !s.written && len(s.buffer) == 0 {
		s.server.metrics.firstToken.Observe(s.server.clock.Since(s.started).Seconds())
	}
	if !s.stream {
		return s.whole(chunk.Data)
	}
	if chunk.Usage == nil {
		return s.event(chunk.Data, chunk.More)
	}
	return s.last(chunk)
}

func (s *responseSink) whole(data []byte) error {
	s.begin(echo.MIMEApplicationJSON)
	_, err := s.context.Response().Write(data)
	return err
}

// last writes a chunk that holds the usage. Callers get the usage only if they
// asked for it, and in a chunk of its own.
func (s *responseSink) last(chunk target.Chunk) error {
	parts, err := splitUsage(chunk.Data)
	if err != nil {
		return err
	}
	if parts.rest != nil {
		if err := s.event(parts.rest, true); err != nil {
			return err
		}
	}
	if s.usage {
		return s.event(parts.usage, chunk.More)
	}
	return s.flush(chunk.More)
}

// usageParts are the two chunks made of one that holds choices and usage. The
// rest is nil if the chunk has no choices.
type usageParts struct {
	rest  []byte
	usage []byte
}

func splitUsage(data []byte) (usageParts, error) {
	var parts usageParts
	f, err := parseFields(data)
	if err != nil {
		return parts, err
	}
	usage, choices := f["usage"], f["choices"]
	delete(f, "usage")
	if len(choices) > 0 && string(choices) != "[]" && string(choices) != "null" {
		if parts.rest, err = json.Marshal(f); err != nil {
			return parts, err
		}
	}
	f["usage"], f["choices"] = usage, json.RawMessage("[]")
	parts.usage, err = json.Marshal(f)
	return parts, err
}

func (s *responseSink) begin(contentType string) {
	if s.controller == nil {
		s.controller = http.NewResponseController(s.context.Response().Writer)
	}
	// Connections that take no deadline are those of tests.
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.server.writeTimeout))
	if s.written {
		return
	}
	s.written = true
	response := s.context.Response()
	response.Header().Set(echo.HeaderContentType, contentType)
	response.Header().Set(echo.HeaderCacheControl, "no-store")
	response.WriteHeader(http.StatusOK)
}

const mimeEventStream = "text/event-stream"

// maxHeldBytes bounds the events that are written together.
const maxHeldBytes = 8 << 10

// event passes on one server-sent event, at once unless more follow at once.
func (s *responseSink) event(data []byte, more bool) error {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.flush(more)
}

// flush writes the events held back.
func (s *responseSink) flush(more bool) error {
	if len(s.buffer) == 0 || (more && len(s.buffer) < maxHeldBytes) {
		return nil
	}
	s.begin(mimeEventStream)
	_, err := s.context.Response().Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// end completes the answer.
func (s *responseSink) end() error {
	if !s.stream {
		return nil
	}
	return s.event([]byte(httptarget.EndMark), false)
}

// fail tells the caller that a stream broke off: by an error event if parts of
// it were delivered, else by the returned error. A stream never gets its end
// mark after a failure.
func (s *responseSink) fail(err error) error {
	if !s.stream || (!s.written && len(s.buffer) == 0) {
		return err
	}
	data, encodeErr := json.Marshal(toAPIError(err).body())
	if encodeErr != nil {
		return err
	}
	s.buffer = append(s.buffer, "event: error\n"...)
	_ = s.event(data, false)
	return err
}

// withDeadline ends the context at the deadline of the clock.
func withDeadline(ctx context.Context, clock clockwork.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	return clockwork.WithDeadline(ctx, clock, deadline)
}
