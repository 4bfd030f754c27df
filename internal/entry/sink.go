package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
)

// responseSink writes an answer to the caller.
type responseSink struct {
	server  *Server
	context echo.Context
	stream  bool
	started time.Time
	written bool
}

// Chunk implements relay.Sink.
func (s *responseSink) Chunk(chunk target.Chunk) error {
	if !s.written {
		s.server.metrics.firstToken.Observe(s.server.clock.Since(s.started).Seconds())
	}
	if !s.stream {
		s.written = true
		return s.context.JSONBlob(http.StatusOK, chunk.Data)
	}
	s.begin()
	if _, err := fmt.Fprintf(s.context.Response(), "data: %s\n\n", chunk.Data); err != nil {
		return err
	}
	return s.flush()
}

func (s *responseSink) begin() {
	if s.written {
		return
	}
	s.written = true
	response := s.context.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.Header().Set(echo.HeaderCacheControl, "no-store")
	response.WriteHeader(http.StatusOK)
}

func (s *responseSink) flush() error {
	return http.NewResponseController(s.context.Response().Writer).Flush()
}

// end completes the answer.
func (s *responseSink) end() error {
	if !s.stream {
		return nil
	}
	s.begin()
	if _, err := fmt.Fprintf(s.context.Response(), "data: %s\n\n", httptarget.EndMark); err != nil {
		return err
	}
	return s.flush()
}

// fail tells the caller that a stream broke off: by an error event if parts of
// it were sent, else by the returned error. A stream never gets its end mark
// after a failure.
func (s *responseSink) fail(err error) error {
	if !s.written || !s.stream {
		return err
	}
	data, encodeErr := json.Marshal(toAPIError(err).body())
	if encodeErr != nil {
		return err
	}
	if _, writeErr := fmt.Fprintf(s.context.Response(), "event: error\ndata: %s\n\n", data); writeErr == nil {
		_ = s.flush()
	}
	return err
}

// withDeadline ends the context at the deadline of the clock.
func withDeadline(ctx context.Context, clock clockwork.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	return clockwork.WithDeadline(ctx, clock, deadline)
}
