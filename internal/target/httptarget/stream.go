package httptarget

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Buffer sizes of the event reader. A stream usually has small events, so the
// reader starts small to keep thousands of open streams cheap.
const (
	readerBytes   = 2 << 10
	maxEventBytes = 1 << 20
)

// eventStream reads server-sent events. It is used by one goroutine.
type eventStream struct {
	call   *target.ModelCall
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	next   int
	done   bool
	// line and data are reused from event to event.
	line []byte
	data []byte
}

func newEventStream(call *target.ModelCall, body io.ReadCloser, cancel context.CancelFunc) *eventStream {
	return &eventStream{
		call:   call,
		body:   body,
		reader: bufio.NewReaderSize(body, readerBytes),
		cancel: cancel,
		next:   call.ResumeFrom,
	}
}

// Recv implements target.Stream.
func (s *eventStream) Recv() (target.Chunk, error) {
	if s.done {
		return target.Chunk{}, io.EOF
	}
	index, data, err := s.readEvent()
	if err != nil {
		return target.Chunk{}, err
	}
	if string(data) == EndMark {
		s.done = true
		return target.Chunk{}, io.EOF
	}
	return s.chunk(index, data)
}

// chunk checks that data belongs to the call and continues its sequence.
func (s *eventStream) chunk(index int, data []byte) (target.Chunk, error) {
	if !json.Valid(data) {
		return target.Chunk{}, merry.Wrap(target.ErrTruncated, merry.AppendMessage("chunk is no JSON"))
	}
	if id := member(data, "id"); !isString(id, s.call.ID) {
		return target.Chunk{}, merry.Wrap(target.ErrMismatch, merry.AppendMessagef("chunk names %q", id))
	}
	if index < 0 && s.call.ResumeFrom > 0 {
		return target.Chunk{}, merry.Wrap(target.ErrMismatch, merry.AppendMessage("chunk of a resumed stream has no index"))
	}
	if index >= 0 && index != s.next {
		return target.Chunk{}, merry.Wrap(target.ErrTruncated, merry.AppendMessagef("chunk %d instead of %d", index, s.next))
	}
	usage, err := parseUsage(member(data, "usage"))
	if err != nil {
		return target.Chunk{}, err
	}
	chunk := target.Chunk{Index: s.next, Data: data, Usage: usage, Generated: generatedTokens(member(data, "choices")), More: s.hasNext()}
	s.next++
	return chunk, nil
}

// hasNext reports whether a whole event has already arrived.
func (s *eventStream) hasNext() bool {
	arrived, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(arrived, eventEnd)
}

var eventEnd = []byte("\n\n")

// parseUsage returns nil for engines' null in chunks before the last.
func parseUsage(raw []byte) (*target.Usage, error) {
	if len(raw) == 0 || raw[0] != '{' {
		return nil, nil
	}
	var usage target.Usage
	if err := json.Unmarshal(raw, &usage); err != nil {
		return nil, merry.Wrap(target.ErrTruncated, merry.WithCause(err))
	}
	return &usage, nil
}

// readEvent returns the next event with data. Its index is -1 if the engine
// gives none.
func (s *eventStream) readEvent() (int, []byte, error) {
	index := -1
	found := false
	data := s.data[:0]
	defer func() { s.data = data }()
	for {
		line, err := s.readLine()
		if err != nil {
			return 0, nil, err
		}
		if len(line) == 0 {
			if found {
				return index, data, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if found {
				data = append(data, '\n')
			}
			found = true
			data = append(data, value...)
		case "id":
			index = parseIndex(value)
		}
		if len(data) > maxEventBytes {
			return 0, nil, merry.Wrap(target.ErrTruncated, merry.AppendMessage("event exceeds 1 MiB"))
		}
	}
}

func parseIndex(value []byte) int {
	n, err := strconv.Atoi(string(value))
	if err != nil {
		return -1
	}
	return n
}

// readLine returns one line without its end, valid until the next one. The end
// of the body before a complete line means that the answer is truncated.
func (s *eventStream) readLine() ([]byte, error) {
	part, err := s.reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(part, "\r\n"), nil
	}
	s.line = s.line[:0]
	for {
		s.line = append(s.line, part...)
		if err == nil {
			return bytes.TrimRight(s.line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(s.line) > maxEventBytes {
			return nil, readError(err)
		}
		part, err = s.reader.ReadSlice('\n')
	}
}

func readError(err error) error {
	if isDone(err) {
		return err
	}
	return merry.Wrap(target.ErrTruncated, merry.WithCause(err))
}

// Close implements target.Stream.
func (s *eventStream) Close() error {
	s.cancel()
	return s.body.Close()
}

// wholeAnswer delivers an answer without streaming as one chunk.
type wholeAnswer struct {
	call   *target.ModelCall
	body   io.ReadCloser
	cancel context.CancelFunc
	done   bool
}

// Recv implements target.Stream.
func (w *wholeAnswer) Recv() (target.Chunk, error) {
	if w.done {
		return target.Chunk{}, io.EOF
	}
	data, err := io.ReadAll(io.LimitReader(w.body, maxReplyBytes+1))
	if err != nil {
		return target.Chunk{}, readError(err)
	}
	if len(data) > maxReplyBytes {
		return target.Chunk{}, merry.Wrap(target.ErrTruncated, merry.AppendMessage("answer exceeds 16 MiB"))
	}
	var head envelope
	if err := json.Unmarshal(data, &head); err != nil {
		return target.Chunk{}, merry.Wrap(target.ErrTruncated, merry.WithCause(err))
	}
	if head.ID != w.call.ID {
		return target.Chunk{}, merry.Wrap(target.ErrMismatch, merry.AppendMessagef("answer names %q", head.ID))
	}
	if !head.hasAnswer() {
		return target.Chunk{}, merry.Wrap(target.ErrTruncated, merry.AppendMessage("answer holds neither choices nor data"))
	}
	w.done = true
	return target.Chunk{Data: data, Usage: head.Usage}, nil
}

// Close implements target.Stream.
func (w *wholeAnswer) Close() error {
	w.cancel()
	return w.body.Close()
}
