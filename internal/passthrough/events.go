package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errCutEvent means that a stream ended in the middle of an event.
var errCutEvent = merry.Sentinel("passthrough: stream ended within an event")

// event is one whole event of a stream, with its blank line.
type event struct {
	raw []byte
	// id is the event's own, empty if it has none.
	id string
}

// eventReader splits a stream into whole events.
type eventReader struct{ in *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next whole event, io.EOF at the end of the stream, or
// errCutEvent if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.in.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errCutEvent
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(ev.raw) > 0:
			return event{}, merry.Wrap(errCutEvent)
		case err != nil:
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// follows reports whether an event may come after the one with the id last.
// Events whose ids are not numbers are not checked.
func (e event) follows(last string) (fits, repeated bool) {
	before, err1 := strconv.ParseInt(last, 10, 64)
	own, err2 := strconv.ParseInt(e.id, 10, 64)
	if err1 != nil || err2 != nil {
		return true, false
	}
	return own == before+1, own <= before
}
