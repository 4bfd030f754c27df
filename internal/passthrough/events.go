package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream. It bounds the memory of a call whose target
// sends an event without end.
const maxEventBytes = 64 << 10

// errTruncatedEvent means that a stream ended in the middle of an event, or that an
// event exceeds maxEventBytes.
var errTruncatedEvent = merry.Sentinel("passthrough: stream event is incomplete or too large")

// event is one complete event of a stream, including its final blank line.
type event struct {
	raw []byte
	// id is the event ID, empty if the event has none.
	id string
}

// eventReader splits a stream into complete events.
type eventReader struct{ in *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next complete event, io.EOF at the end of the stream, or
// errTruncatedEvent if the stream ends within an event or the event is too large.
func (e *eventReader) next() (event, error) {
	var ev event
	// A line that is longer than the buffer arrives in parts.
	lineStart := 0
	for {
		part, err := e.in.ReadSlice('\n')
		ev.raw = append(ev.raw, part...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errTruncatedEvent
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(ev.raw) > 0:
			return event{}, merry.Wrap(errTruncatedEvent, merry.WithCause(io.ErrUnexpectedEOF))
		case err != nil:
			return event{}, err
		}
		content := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		lineStart = len(ev.raw)
		if len(content) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// follows reports whether an event is the next one after the event with the ID last,
// or a duplicate of it or an earlier one. Events are accepted without a check if one
// of the IDs is not a number.
func (e event) follows(last string) (next, duplicate bool) {
	before, err1 := strconv.ParseInt(last, 10, 64)
	own, err2 := strconv.ParseInt(e.id, 10, 64)
	if err1 != nil || err2 != nil {
		return true, false
	}
	return own == before+1, own <= before
}
