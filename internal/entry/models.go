package entry

import (
	"context"
	"fmt"
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

// admitted is a checked request of an account.
type admitted struct {
	account string
	model   *environment.Model
	request *modelRequest
	body    []byte
	prompt  []byte
	// limit is the most tokens that the engine may generate.
	limit int64
	// reserved bounds prompt and generated tokens together.
	reserved int64
	class    routing.Class
	deadline time.Time
}

// authenticate returns the account that a request runs for. It is empty on an
// open route without a paying account.
func (s *Server) authenticate(c echo.Context) (string, error) {
	return s.authenticateRequest(c.Request())
}

// checkAgain returns a check of the key for right before a call is sent, since
// it may have been withdrawn while the call waited for a target.
func (s *Server) checkAgain(c echo.Context) func(context.Context) error {
	r := c.Request()
	return func(context.Context) error {
		_, err := s.authenticateRequest(r)
		return err
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
	// pause of the process. The key has to be in one that is not older than the
	// view admitted by.
	if _, err := keys.Authenticate(s.views.View(), authorization); err != nil {
		return "", err
	}
	return key.Account, nil
}

// readAuthenticatedBody reads the body and checks the key again: it may have been
// withdrawn while the body was on its way.
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
		used := usedTokens(a, result)
		reservation.Settle(used)
		s.metrics.tokens.WithLabelValues(account).Add(float64(used))
		return err
	}
}

func (s *Server) readModelRequest(c echo.Context, kind target.Kind, account string) (*admitted, error) {
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
	a := &admitted{account: account, model: model, request: request, prompt: request.prompt()}
	if a.class, a.deadline, err = s.urgency(c); err != nil {
		return nil, err
	}
	limit, err := checkLimits(kind, a)
	if err != nil {
		return nil, err
	}
	a.limit = limit
	a.body, err = request.rewrite(kind, limit)
	return a, err
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
	if r.N != nil && *r.N != 1 {
		return 0, badField("n", "must be 1")
	}
	if r.BestOf != nil && *r.BestOf != 1 {
		return 0, badField("best_of", "must be 1")
	}
	if err := checkPrompt(kind, r); err != nil {
		return 0, err
	}
	limit := a.model.DefaultMaxTokens
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
	promptTokens := promptBound(a.model, len(a.prompt))
	if limit > a.model.ContextTokens {
		return 0, badField(limitField(r), "exceeds the model's context of %d tokens", a.model.ContextTokens)
	}
	a.reserved = promptTokens + limit
	return limit, nil
}

// promptBound is the most tokens that a prompt can have.
func promptBound(model *environment.Model, size int) int64 {
	perByte := model.PromptTokensPerByte
	if perByte == 0 {
		perByte = 1
	}
	return int64(math.Ceil(float64(size) * perByte))
}

func (s *Server) runModelCall(c echo.Context, kind target.Kind, a *admitted, started time.Time) (relay.Result, error) {
	ctx, cancel := withDeadline(c.Request().Context(), s.clock, a.deadline)
	defer cancel()
	sink := &responseSink{server: s, context: c, stream: a.request.Stream, usage: a.request.IncludeUsage, started: started}
	result, err := s.relay.Generate(ctx, &relay.Call{
		BeforeSend: s.checkAgain(c),
		ID:         c.Get(requestIDKey).(string),
		Account:    a.account,
		Served:     a.request.Model,
		Kind:       kind,
		Body:       a.body,
		Stream:     a.request.Stream,
		Class:      a.class,
		Deadline:   a.deadline,
		Prefixes:   target.PrefixHashes(a.prompt),
		MaxTokens:  a.limit,
	}, sink)
	if err != nil {
		return result, sink.fail(err)
	}
	return result, sink.end()
}

// usedTokens is the true count of a call: the engine's, or a bound where it
// gave none: the prompt's bound and the tokens received of a stream, and all
// that was reserved of an answer in one part.
func usedTokens(a *admitted, result relay.Result) int64 {
	switch {
	case result.Usage != nil:
		return result.Usage.PromptTokens + result.Usage.CompletionTokens
	case !result.Sent:
		return 0
	case a.request.Stream:
		return min(a.reserved, promptBound(a.model, len(a.prompt))+result.Generated)
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
