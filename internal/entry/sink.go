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

// responseSink writes the response of a model call to the caller. It is not safe
// for concurrent use.
type responseSink struct {
	server  *Server
	context echo.Context
	stream  bool
	// includeUsage is set if the caller requested the usage of its stream.
	includeUsage  bool
	started       time.Time
	headerWritten bool
	controller    *http.ResponseController
	buffer        []byte
}

// Chunk implements relay.Sink.
func (s *responseSink) Chunk(chunk target.Chunk) error {
	if !s.headerWritten && len(s.buffer) == 0 {
		s.server.metrics.firstToken.Observe(s.server.clock.Since(s.started).Seconds())
	}
	if !s.stream {
		return s.writeBody(chunk.Data)
	}
	if chunk.Usage == nil {
		return s.writeEvent(chunk.Data, chunk.More)
	}
	return s.writeUsageChunk(chunk)
}

func (s *responseSink) writeBody(data []byte) error {
	s.prepareWrite(echo.MIMEApplicationJSON)
	_, err := s.context.Response().Write(data)
	return err
}

// writeUsageChunk writes a chunk that contains the usage. Callers receive the usage
// only if they requested it, and in a separate chunk.
func (s *responseSink) writeUsageChunk(chunk target.Chunk) error {
	parts, err := splitUsage(chunk.Data)
	if err != nil {
		return err
	}
	if parts.choices != nil {
		if err := s.writeEvent(parts.choices, true); err != nil {
			return err
		}
	}
	if s.includeUsage {
		return s.writeEvent(parts.usage, chunk.More)
	}
	return s.flush(chunk.More)
}

// splitChunk holds the two chunks into which a chunk with choices and usage is
// split. choices is nil if the chunk has no choices.
type splitChunk struct {
	choices []byte
	usage   []byte
}

func splitUsage(data []byte) (splitChunk, error) {
	var parts splitChunk
	f, err := parseFields(data)
	if err != nil {
		return parts, err
	}
	usage, choices := f["usage"], f["choices"]
	delete(f, "usage")
	if len(choices) > 0 && string(choices) != "[]" && string(choices) != "null" {
		if parts.choices, err = json.Marshal(f); err != nil {
			return parts, err
		}
	}
	f["usage"], f["choices"] = usage, json.RawMessage("[]")
	parts.usage, err = json.Marshal(f)
	return parts, err
}

func (s *responseSink) prepareWrite(contentType string) {
	if s.controller == nil {
		s.controller = http.NewResponseController(s.context.Response().Writer)
	}
	// This fails only if the connection supports no deadlines, as in some tests.
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.server.writeTimeout))
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	response := s.context.Response()
	response.Header().Set(echo.HeaderContentType, contentType)
	response.Header().Set(echo.HeaderCacheControl, "no-store")
	response.WriteHeader(http.StatusOK)
}

const mimeEventStream = "text/event-stream"

// maxBufferedBytes is the buffer size at which events are written even if more
// follow at once.
const maxBufferedBytes = 8 << 10

// writeEvent appends one server-sent event to the buffer and flushes it. With more
// set, which means that another event follows at once, the event may stay buffered.
func (s *responseSink) writeEvent(data []byte, more bool) error {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.flush(more)
}

// flush writes the buffered events, unless more follow at once and the buffer is
// smaller than maxBufferedBytes.
func (s *responseSink) flush(more bool) error {
	if len(s.buffer) == 0 || (more && len(s.buffer) < maxBufferedBytes) {
		return nil
	}
	s.prepareWrite(mimeEventStream)
	_, err := s.context.Response().Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish completes the response. It writes the end mark of a stream.
func (s *responseSink) finish() error {
	if !s.stream {
		return nil
	}
	return s.writeEvent([]byte(httptarget.EndMark), false)
}

// fail reports to the caller that the call failed. If parts of a stream were
// already written or buffered, it writes an error event and no end mark. It
// returns err, which is sent as the response if none was started.
func (s *responseSink) fail(err error) error {
	if !s.stream || (!s.headerWritten && len(s.buffer) == 0) {
		return err
	}
	data, encodeErr := json.Marshal(toAPIError(err).body())
	if encodeErr != nil {
		return err
	}
	s.buffer = append(s.buffer, "event: error\n"...)
	_ = s.writeEvent(data, false)
	return err
}

// withDeadline returns a context that ends when clock reaches the deadline.
func withDeadline(ctx context.Context, clock clockwork.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	return clockwork.WithDeadline(ctx, clock, deadline)
}
