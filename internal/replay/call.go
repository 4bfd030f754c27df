package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/target/httptarget"
	"github.com/dotterellink/dotterellink/internal/trace"
)

const bytesPerToken = 4

// caller sends single requests.
type caller struct {
	http *http.Client
	keys map[string]string
	// tokensPerByte gives each model's bound on tokens of a prompt byte.
	tokensPerByte func(model string) float64
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Messages      []chatMessage  `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// prompt returns text of the record's size: the group's prefix, then text of
// the request's own.
func prompt(r *trace.Record, id string) string {
	prefix := filler(r.PrefixGroup, r.PrefixTokens*bytesPerToken)
	own := filler(id, max(0, r.PromptTokens-r.PrefixTokens)*bytesPerToken)
	return prefix + own
}

// filler returns n bytes that depend on the seed alone.
func filler(seed string, n int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(seed))
	unit := fmt.Sprintf("%016x ", h.Sum64())
	return strings.Repeat(unit, n/len(unit)+1)[:n]
}

// send performs the request and fills in the sample.
func (c *caller) send(ctx context.Context, address string, s *Sample) {
	var err error
	if s.Record.Kind == trace.KindService {
		err = c.sendService(ctx, address, s)
	} else {
		err = c.sendChat(ctx, address, s)
	}
	if err != nil && s.Result == "" {
		s.Result = ResultError
	}
}

func (c *caller) sendChat(ctx context.Context, address string, s *Sample) error {
	body := chatBody{
		Model:         s.Record.Model,
		Stream:        true,
		StreamOptions: &streamOptions{IncludeUsage: true},
		MaxTokens:     s.Record.GeneratedTokens,
		Messages:      []chatMessage{{Role: "user", Content: prompt(s.Record, s.ID)}},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	messages, err := json.Marshal(body.Messages)
	if err != nil {
		return err
	}
	s.Reserved = int64(float64(len(messages))*c.tokensPerByte(s.Record.Model)) + 1 + int64(body.MaxTokens)
	response, err := c.post(ctx, address, http.MethodPost, "/v1/chat/completions", data, s)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.refused(response)
		return nil
	}
	s.readStream(response.Body)
	return nil
}

func (c *caller) sendService(ctx context.Context, address string, s *Sample) error {
	path := "/services/" + s.Record.Service + s.Record.Path
	response, err := c.post(ctx, address, s.Record.Method, path, []byte(s.ID), s)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		s.Result = readFailure(err)
	case response.StatusCode != http.StatusOK:
		s.refused(response)
	case !bytes.Contains(body, []byte(s.ID)):
		s.Result = ResultCut
	default:
		s.Result = ResultOK
		s.Total = time.Since(s.Scheduled)
	}
	return nil
}

func (c *caller) post(ctx context.Context, address, method, path string, body []byte, s *Sample) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.keys[s.Record.Account])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.HeaderDeadline, strconv.FormatInt(s.Record.DeadlineMS, 10))
	if s.Record.Class != "" {
		request.Header.Set(entry.HeaderClass, s.Record.Class)
	}
	if s.Record.Kind == trace.KindService && !s.Record.Idempotent {
		request.Header.Set(entry.HeaderIdempotencyKey, s.ID)
	}
	response, err := c.http.Do(request)
	if err == nil {
		s.Status = response.StatusCode
	}
	return response, err
}

// refused classifies an answer that is an error.
func (s *Sample) refused(response *http.Response) {
	switch outcome := response.Header.Get(entry.HeaderOutcome); {
	case response.StatusCode == http.StatusTooManyRequests:
		s.Result = ResultRateLimited
	case outcome == entry.OutcomeNotRun:
		s.Result = ResultRefused
	case outcome == entry.OutcomeUnknown:
		s.Result = ResultUnknown
	case outcome == entry.OutcomeBroken:
		s.Result = ResultBroken
	default:
		s.Result = ResultError
	}
}

// streamEvent holds the fields of a chunk that are judged.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *target.Usage   `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// readStream times the tokens of a stream and judges whether it is whole.
func (s *Sample) readStream(body io.Reader) {
	reader := bufio.NewReader(body)
	var last time.Time
	tokens := int64(0)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			s.Result = readFailure(err)
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == httptarget.EndMark {
			s.end(tokens)
			return
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			s.Result = ResultCut
			return
		}
		if event.Error != nil {
			s.Result = ResultBroken
			return
		}
		if event.Usage != nil {
			s.Used = event.Usage.PromptTokens + event.Usage.CompletionTokens
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			tokens++
			last = s.token(last)
		}
	}
}

// readFailure tells an answer that ends as if it were whole from a lost
// connection, which the caller sees as such.
func readFailure(err error) Result {
	if errors.Is(err, io.EOF) {
		return ResultCut
	}
	return ResultError
}

// token times one token and returns its time.
func (s *Sample) token(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		s.FirstToken = now.Sub(s.Scheduled)
		return now
	}
	s.Intervals++
	if now.Sub(last) > IntervalBound {
		s.SlowIntervals++
	}
	return now
}

// end judges a stream that carried its end mark.
func (s *Sample) end(tokens int64) {
	s.Total = time.Since(s.Scheduled)
	if tokens != int64(s.Record.GeneratedTokens) {
		s.Result = ResultCut
		return
	}
	s.Result = ResultOK
}
