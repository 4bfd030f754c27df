package entry

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Headers that set the class and the deadline of a request.
const (
	// HeaderClass is "interactive" or "batch".
	HeaderClass = "X-Request-Class"
	// HeaderDeadline is the time in milliseconds that the caller waits for the
	// complete response.
	HeaderDeadline = "X-Request-Deadline-Ms"
)

// checkedRequest is a model request and the values that its checks determine.
type checkedRequest struct {
	account string
	model   *environment.Model
	request *modelRequest
	body    []byte
	prompt  []byte
	// limit is the maximum number of tokens that the engine may generate.
	limit int64
	// reserved is an upper bound of the prompt tokens and generated tokens together.
	reserved int64
	class    routing.Class
	deadline time.Time
}

// authenticate returns the account that a request belongs to. It is empty on an
// open route that has no account.
func (s *Server) authenticate(c echo.Context) (string, error) {
	return s.authenticateRequest(c.Request())
}

// recheckKey returns a function that authenticates the request again right before
// its call is sent, since the key may have been withdrawn while the call waited
// for a target.
func (s *Server) recheckKey(c echo.Context) func(context.Context) error {
	r := c.Request()
	return func(context.Context) error {
		if _, err := s.authenticateRequest(r); err != nil {
			return merry.Wrap(relay.ErrNotRun, merry.WithCause(err))
		}
		return nil
	}
}

func (s *Server) authenticateRequest(r *http.Request) (string, error) {
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
	// pause of the process. The key must also be in the current view, which is at
	// least as new as the one that Admit used.
	if _, err := keys.Authenticate(s.views.View(), authorization); err != nil {
		return "", err
	}
	return key.Account, nil
}

// readAuthenticatedBody reads the body and authenticates the request again, since
// the key may have been withdrawn while the body arrived.
func (s *Server) readAuthenticatedBody(c echo.Context) ([]byte, error) {
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	_, err = s.authenticate(c)
	return body, err
}

func (s *Server) generate(kind target.Kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		started := s.clock.Now()
		account, err := s.authenticate(c)
		if err != nil {
			return err
		}
		checked, err := s.readModelRequest(c, kind, account)
		if err != nil {
			return err
		}
		reservation, err := s.limiter.Reserve(c.Request().Context(), account, checked.reserved)
		if err != nil {
			return err
		}
		s.demand.Note(checked.request.Model, checked.reserved)
		result, err := s.runModelCall(c, kind, checked, started)
		used := usedTokens(checked, result)
		reservation.Settle(used)
		s.metrics.tokens.WithLabelValues(account).Add(float64(used))
		return err
	}
}

func (s *Server) readModelRequest(c echo.Context, kind target.Kind, account string) (*checkedRequest, error) {
	body, err := s.readAuthenticatedBody(c)
	if err != nil {
		return nil, err
	}
	request, err := parseModelRequest(body)
	if err != nil {
		return nil, err
	}
	if request.Model == "" {
		return nil, badField("model", "must not be empty")
	}
	model, _ := s.views.View().Resolve(request.Model)
	if model == nil {
		return nil, &apiError{status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found", param: "model", message: fmt.Sprintf("model: no model %q", request.Model), outcome: OutcomeNotRun}
	}
	checked := &checkedRequest{account: account, model: model, request: request, prompt: request.prompt()}
	if checked.class, checked.deadline, err = s.readClassAndDeadline(c); err != nil {
		return nil, err
	}
	limit, err := checkLimits(kind, checked)
	if err != nil {
		return nil, err
	}
	checked.limit = limit
	checked.body, err = request.rewrite(kind, limit)
	return checked, err
}

// readClassAndDeadline returns the class and the deadline that the headers of the
// request set, or the defaults.
func (s *Server) readClassAndDeadline(c echo.Context) (routing.Class, time.Time, error) {
	class := routing.ClassInteractive
	switch value := c.Request().Header.Get(HeaderClass); value {
	case "", string(routing.ClassInteractive):
	case string(routing.ClassBatch):
		class = routing.ClassBatch
	default:
		return "", time.Time{}, badField(HeaderClass, "must be interactive or batch")
	}
	timeout := defaultDeadline
	if value := c.Request().Header.Get(HeaderDeadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return "", time.Time{}, badField(HeaderDeadline, "must be from 1 to %d", maxDeadline.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	return class, s.clock.Now().Add(timeout), nil
}

// checkLimits checks the prompt and the limits of the request, sets the number of
// tokens to reserve and returns the limit of generated tokens for the engine.
func checkLimits(kind target.Kind, checked *checkedRequest) (int64, error) {
	r := checked.request
	if r.N != nil && *r.N != 1 {
		return 0, badField("n", "must be 1")
	}
	if r.BestOf != nil && *r.BestOf != 1 {
		return 0, badField("best_of", "must be 1")
	}
	if err := checkPrompt(kind, r); err != nil {
		return 0, err
	}
	limit := checked.model.DefaultMaxTokens
	if r.MaxTokens != nil {
		limit = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		limit = *r.MaxCompletionTokens
	}
	if kind == target.KindEmbedding {
		if r.Stream {
			return 0, badField("stream", "is not supported for embeddings")
		}
		limit = 0
	} else if limit < 1 {
		return 0, badField(limitField(r), "must be positive")
	}
	promptTokens := maxPromptTokens(checked.model, len(checked.prompt))
	if limit > checked.model.ContextTokens {
		return 0, badField(limitField(r), "exceeds the model's context of %d tokens", checked.model.ContextTokens)
	}
	checked.reserved = promptTokens + limit
	return limit, nil
}

// maxPromptTokens returns an upper bound of the tokens of a prompt that is
// promptBytes long. If the model sets no PromptTokensPerByte, it assumes one token
// per byte.
func maxPromptTokens(model *environment.Model, promptBytes int) int64 {
	perByte := model.PromptTokensPerByte
	if perByte == 0 {
		perByte = 1
	}
	return int64(math.Ceil(float64(promptBytes) * perByte))
}

func (s *Server) runModelCall(c echo.Context, kind target.Kind, checked *checkedRequest, started time.Time) (relay.Result, error) {
	ctx, cancel := withDeadline(c.Request().Context(), s.clock, checked.deadline)
	defer cancel()
	sink := &responseSink{server: s, context: c, stream: checked.request.Stream, includeUsage: checked.request.IncludeUsage, started: started}
	result, err := s.relay.Generate(ctx, &relay.Call{
		BeforeSend: s.recheckKey(c),
		ID:         c.Get(requestIDKey).(string),
		Account:    checked.account,
		Served:     checked.request.Model,
		Kind:       kind,
		Body:       checked.body,
		Stream:     checked.request.Stream,
		Class:      checked.class,
		Deadline:   checked.deadline,
		Prefixes:   target.PrefixHashes(checked.prompt),
		MaxTokens:  checked.limit,
	}, sink)
	if err != nil {
		return result, sink.fail(err)
	}
	return result, sink.finish()
}

// usedTokens returns the number of tokens to charge for a call: the engine's count
// if it reported one, and zero if nothing was sent. Else it is an upper bound: for
// a stream the bound of the prompt plus the tokens received, at most the reserved
// number, and for other responses all reserved tokens.
func usedTokens(checked *checkedRequest, result relay.Result) int64 {
	switch {
	case result.Usage != nil:
		return result.Usage.PromptTokens + result.Usage.CompletionTokens
	case !result.Sent:
		return 0
	case checked.request.Stream:
		return min(checked.reserved, maxPromptTokens(checked.model, len(checked.prompt))+result.Generated)
	}
	return checked.reserved
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
