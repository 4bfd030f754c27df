package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Headers by which callers state urgency.
const (
	// HeaderClass is "interactive" or "batch".
	HeaderClass = "X-Request-Class"
	// HeaderDeadline is the time in milliseconds that the caller waits for the
	// whole answer.
	HeaderDeadline = "X-Request-Deadline-Ms"
)

// modelRequest holds the fields of an OpenAI request that are checked here. All
// other fields go to the engine as they are.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
	Tools               json.RawMessage `json:"tools"`
}

// prompt returns the part of the request that becomes prompt tokens.
func (m *modelRequest) prompt() []byte {
	return bytes.Join([][]byte{m.Tools, m.Messages, m.Prompt, m.Input}, nil)
}

// admitted is a checked request of an account.
type admitted struct {
	account  string
	model    *environment.Model
	request  *modelRequest
	body     []byte
	prompt   []byte
	reserved int64
	class    routing.Class
	deadline time.Time
}

// authenticate returns the account that a request runs for. It is empty on an
// open route without a paying account.
func (s *Server) authenticate(c echo.Context) (string, error) {
	r := c.Request()
	view := s.views.View()
	authorization := r.Header.Get(echo.HeaderAuthorization)
	if authorization == "" {
		if open := view.OpenRoute(r.Method, r.URL.Path); open != nil {
			return open.Account, nil
		}
	}
	key, err := keys.Authenticate(view, authorization)
	if err != nil {
		return "", err
	}
	if err := s.views.Admit(key.Account); err != nil {
		return "", err
	}
	// The view may have been replaced since it was read, for example during a
	// pause of the process. The key has to be in one that is not older than the
	// view admitted by.
	if _, err := keys.Authenticate(s.views.View(), authorization); err != nil {
		return "", err
	}
	return key.Account, nil
}

func (s *Server) generate(kind target.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		started := s.clock.Now()
		account, err := s.authenticate(c)
		if err != nil {
			return err
		}
		a, err := s.readModelRequest(c, kind, account)
		if err != nil {
			return err
		}
		reservation, err := s.limiter.Reserve(c.Request().Context(), account, a.reserved)
		if err != nil {
			return err
		}
		s.demand.Note(a.request.Model, a.reserved)
		result, err := s.runModelCall(c, kind, a, started)
		used := usedTokens(a, result, err)
		reservation.Settle(used)
		s.metrics.tokens.WithLabelValues(account).Add(float64(used))
		return err
	}
}

func (s *Server) readModelRequest(c echo.Context, kind target.Kind, account string) (*admitted, error) {
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	var request modelRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, jsonError(err)
	}
	model, _ := s.views.View().Resolve(request.Model)
	if model == nil {
		return nil, &apiError{status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found", param: "model", message: fmt.Sprintf("model: no model %q", request.Model), outcome: OutcomeNotRun}
	}
	a := &admitted{account: account, model: model, request: &request, prompt: request.prompt()}
	if a.class, a.deadline, err = s.urgency(c); err != nil {
		return nil, err
	}
	limit, err := checkLimits(kind, a)
	if err != nil {
		return nil, err
	}
	a.body, err = rewrite(kind, body, limit, request.Stream)
	return a, err
}

func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, kind: "invalid_request_error", code: "body_too_large", message: "the body exceeds 4 MiB", outcome: OutcomeNotRun}
	}
	if err != nil {
		return nil, &apiError{status: http.StatusBadRequest, kind: "invalid_request_error", message: "the body could not be read", outcome: OutcomeNotRun}
	}
	return body, nil
}

func jsonError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return badField(mismatch.Field, "must be of type %s, not %s", mismatch.Type, mismatch.Value)
	}
	return badField("body", "is no JSON object: %v", err)
}

// urgency reads the class and the deadline.
func (s *Server) urgency(c echo.Context) (routing.Class, time.Time, error) {
	class := routing.ClassInteractive
	switch given := c.Request().Header.Get(HeaderClass); given {
	case "", string(routing.ClassInteractive):
	case string(routing.ClassBatch):
		class = routing.ClassBatch
	default:
		return "", time.Time{}, badField(HeaderClass, "must be interactive or batch")
	}
	wait := defaultDeadline
	if given := c.Request().Header.Get(HeaderDeadline); given != "" {
		ms, err := strconv.ParseInt(given, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return "", time.Time{}, badField(HeaderDeadline, "must be from 1 to %d", maxDeadline.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return class, s.clock.Now().Add(wait), nil
}

// checkLimits sets the tokens to reserve and returns the limit of generated
// tokens that goes to the engine.
func checkLimits(kind target.Kind, a *admitted) (int64, error) {
	r := a.request
	if (r.N != nil && *r.N != 1) || (r.BestOf != nil && *r.BestOf != 1) {
		return 0, badField("n", "only one choice is supported")
	}
	if len(a.prompt) == 0 {
		return 0, badField(promptField(kind), "must not be empty")
	}
	limit := a.model.DefaultMaxTokens
	if r.MaxTokens != nil {
		limit = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		limit = *r.MaxCompletionTokens
	}
	if kind == target.KindEmbedding {
		limit = 0
	} else if limit < 1 {
		return 0, badField("max_tokens", "must be positive")
	}
	promptTokens := promptBound(a.model, len(a.prompt))
	if limit > a.model.ContextTokens {
		return 0, badField("max_tokens", "exceeds the model's context of %d tokens", a.model.ContextTokens)
	}
	a.reserved = promptTokens + limit
	return limit, nil
}

func promptField(kind target.Kind) string {
	switch kind {
	case target.KindCompletion:
		return "prompt"
	case target.KindEmbedding:
		return "input"
	}
	return "messages"
}

// promptBound is the most tokens that a prompt can have.
func promptBound(model *environment.Model, size int) int64 {
	perByte := model.PromptTokensPerByte
	if perByte == 0 {
		perByte = 1
	}
	return int64(math.Ceil(float64(size) * perByte))
}

// fields is a JSON object whose unknown members are passed on untouched.
type fields map[string]json.RawMessage

// rewrite sets the token limit and asks for the usage of streams.
func rewrite(kind target.Kind, body []byte, limit int64, stream bool) ([]byte, error) {
	if kind == target.KindEmbedding {
		return body, nil
	}
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, jsonError(err)
	}
	delete(f, "max_completion_tokens")
	f["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
	if stream {
		f["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(f)
}

func (s *Server) runModelCall(c echo.Context, kind target.Kind, a *admitted, started time.Time) (relay.Result, error) {
	ctx, cancel := withDeadline(c.Request().Context(), s.clock, a.deadline)
	defer cancel()
	sink := &responseSink{server: s, context: c, stream: a.request.Stream, started: started}
	result, err := s.relay.Generate(ctx, &relay.Call{
		ID:       c.Get(requestIDKey).(string),
		Account:  a.account,
		Served:   a.request.Model,
		Kind:     kind,
		Body:     a.body,
		Stream:   a.request.Stream,
		Class:    a.class,
		Deadline: a.deadline,
		Prefixes: target.PrefixHashes(a.prompt),
	}, sink)
	if err != nil {
		return result, sink.fail(err)
	}
	return result, sink.end()
}

// usedTokens is the true count of a call: the engine's, or a bound where it
// gave none.
func usedTokens(a *admitted, result relay.Result, err error) int64 {
	switch {
	case result.Usage != nil:
		return result.Usage.PromptTokens + result.Usage.CompletionTokens
	case !result.Sent:
		return 0
	case a.request.Stream:
		return promptBound(a.model, len(a.prompt)) + result.Generated
	case err == nil:
		return a.reserved
	}
	return a.reserved
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

func (s *Server) listModels(c echo.Context) error {
	if _, err := s.authenticate(c); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	document := &s.views.View().State.Document
	for _, m := range document.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "dotterellink"})
	}
	for _, a := range document.Adapters {
		list.Data = append(list.Data, modelItem{ID: a.Name, Object: "model", OwnedBy: "dotterellink", Parent: a.Model})
	}
	return c.JSON(http.StatusOK, list)
}
