package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

// HeaderOutcome states in every error response whether the request ran.
const HeaderOutcome = "X-Request-Outcome"

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that nothing was sent to a target, or that the target
	// reported that it did not run the request.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeBroken means that a model's response ended before it was complete.
	OutcomeBroken = "broken"
	// OutcomeInProgress means that an earlier request with the same
	// Idempotency-Key is still running.
	OutcomeInProgress = "in-progress"
)

const defaultRetryAfter = time.Second

// statusClientClosed is the status recorded in the metrics for callers that
// disconnected. No caller receives it.
const statusClientClosed = 499

// retryHint is implemented by errors that state after which time to retry.
type retryHint interface{ RetryAfterHint() time.Duration }

// ErrStale means that the instance cannot confirm that its view of the
// environment is current.
var ErrStale = merry.Sentinel("entry: environment not confirmed")

// apiError is an error response in the OpenAI format.
type apiError struct {
	status     int
	kind       string
	code       string
	param      string
	message    string
	outcome    string
	retryAfter time.Duration
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func (e *apiError) body() errorBody {
	return errorBody{errorObject{Message: e.message, Type: e.kind, Param: nilIfEmpty(e.param), Code: nilIfEmpty(e.code)}}
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// badField returns the error for a field, header or other part of a request that
// is not accepted.
func badField(param, format string, args ...any) *apiError {
	return &apiError{
		status:  http.StatusBadRequest,
		kind:    "invalid_request_error",
		code:    "invalid_value",
		param:   param,
		message: param + ": " + fmt.Sprintf(format, args...),
		outcome: OutcomeNotRun,
	}
}

func unavailable(code, message string, retryAfter time.Duration) *apiError {
	return &apiError{
		status:     http.StatusServiceUnavailable,
		kind:       "server_error",
		code:       code,
		message:    message,
		outcome:    OutcomeNotRun,
		retryAfter: retryAfter,
	}
}

func invalidRequest(status int, code, message string) *apiError {
	return &apiError{status: status, kind: "invalid_request_error", code: code, message: message, outcome: OutcomeNotRun}
}

// toAPIError converts errors of the lower layers to error responses. A retry hint
// of the error replaces the default Retry-After.
func toAPIError(err error) *apiError {
	var api *apiError
	if errors.As(err, &api) {
		return api
	}
	api = classify(err)
	var hint retryHint
	if api.retryAfter > 0 && errors.As(err, &hint) && hint.RetryAfterHint() > 0 {
		api.retryAfter = hint.RetryAfterHint()
	}
	return api
}

// classify returns the response for err and leaves its retry hint to toAPIError,
// except for quota refusals. It states OutcomeNotRun only for errors that guarantee
// that the request did not run.
func classify(err error) *apiError {
	var httpError *echo.HTTPError
	switch {
	case errors.Is(err, quota.ErrRefused):
		return quotaError(err)
	case errors.Is(err, keys.ErrUnauthorized):
		return &apiError{status: http.StatusUnauthorized, kind: "authentication_error", code: "invalid_api_key", message: "no valid key in the Authorization header", outcome: OutcomeNotRun}
	case errors.Is(err, ErrStale):
		return unavailable("environment_not_confirmed", "this zone is cut off; the request was not run", defaultRetryAfter)
	case errors.As(err, &httpError):
		return invalidRequest(httpError.Code, codeOf(httpError.Code), fmt.Sprint(httpError.Message))
	case errors.Is(err, idempotency.ErrMismatch):
		return &apiError{status: http.StatusUnprocessableEntity, kind: "invalid_request_error", code: "idempotency_key_reused", param: HeaderIdempotencyKey, message: HeaderIdempotencyKey + ": was used for another request; this one was not run", outcome: OutcomeNotRun}
	case errors.Is(err, idempotency.ErrInProgress):
		return &apiError{status: http.StatusConflict, kind: "invalid_request_error", code: "request_in_progress", param: HeaderIdempotencyKey, message: HeaderIdempotencyKey + ": an earlier request under this key is running", outcome: OutcomeInProgress, retryAfter: defaultRetryAfter}
	case errors.Is(err, idempotency.ErrUnavailable):
		return unavailable("claim_unavailable", "the idempotency key could not be claimed; the request was not run", defaultRetryAfter)
	}
	return relayError(err)
}

func codeOf(status int) string {
	return strings.ReplaceAll(strings.ToLower(http.StatusText(status)), " ", "_")
}

func quotaError(err error) *apiError {
	retryAfter := defaultRetryAfter
	var refused *quota.RefusedError
	if errors.As(err, &refused) {
		retryAfter = max(retryAfter, refused.RetryAfter)
	}
	return &apiError{
		status:     http.StatusTooManyRequests,
		kind:       "rate_limit_error",
		code:       "rate_limit_exceeded",
		message:    "the account's rate is used up; the request was not run",
		outcome:    OutcomeNotRun,
		retryAfter: retryAfter,
	}
}

func relayError(err error) *apiError {
	var invalid *target.InvalidError
	switch {
	case errors.As(err, &invalid):
		return &apiError{status: http.StatusBadRequest, kind: "invalid_request_error", code: "refused_by_model", message: "the model refused the request: " + keys.Redact(string(invalid.Body)), outcome: OutcomeNotRun}
	case errors.Is(err, context.DeadlineExceeded):
		return deadlineError(err)
	case errors.Is(err, relay.ErrNotRun) && errors.Is(err, routing.ErrNoTarget):
		return unavailable("no_target", "no target serves the request now; it was not run", defaultRetryAfter)
	case errors.Is(err, relay.ErrNotRun):
		return unavailable("overloaded", "all targets are busy; the request was not run", defaultRetryAfter)
	case errors.Is(err, relay.ErrBroken):
		return &apiError{status: http.StatusBadGateway, kind: "server_error", code: "answer_broken", message: "the answer broke off", outcome: OutcomeBroken}
	case errors.Is(err, relay.ErrOutcomeUnknown):
		return &apiError{status: http.StatusBadGateway, kind: "server_error", code: "outcome_unknown", message: "the request may have run; its answer was lost", outcome: OutcomeUnknown}
	case errors.Is(err, context.Canceled):
		return &apiError{status: statusClientClosed, kind: "server_error", code: "caller_left", message: "the caller left", outcome: OutcomeUnknown}
	}
	return &apiError{status: http.StatusInternalServerError, kind: "server_error", code: "internal", message: "internal error", outcome: OutcomeUnknown}
}

// deadlineError returns the response to a request whose deadline passed. For
// relay.ErrOutcomeUnknown the status is 502, as without a deadline.
func deadlineError(err error) *apiError {
	switch {
	case errors.Is(err, relay.ErrNotRun):
		return &apiError{status: http.StatusGatewayTimeout, kind: "server_error", code: "deadline_exceeded", message: "the deadline passed; the request was not run", outcome: OutcomeNotRun, retryAfter: defaultRetryAfter}
	case errors.Is(err, relay.ErrOutcomeUnknown):
		return &apiError{status: http.StatusBadGateway, kind: "server_error", code: "deadline_exceeded", message: "the deadline passed; the request may have run", outcome: OutcomeUnknown}
	}
	return &apiError{status: http.StatusGatewayTimeout, kind: "server_error", code: "deadline_exceeded", message: "the deadline passed before the whole answer", outcome: OutcomeBroken, retryAfter: defaultRetryAfter}
}

// handleError writes the error response of a failed request, unless a response
// was already started.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	api := toAPIError(err)
	header := c.Response().Header()
	if api.outcome != "" {
		header.Set(HeaderOutcome, api.outcome)
	}
	if api.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(api.retryAfter.Seconds()))))
	}
	_ = c.JSON(api.status, api.body())
}
