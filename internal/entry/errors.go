package entry

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/target"
)

// HeaderOutcome tells in every error answer whether the request ran.
const HeaderOutcome = "X-Request-Outcome"

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeBroken  = "broken"
)

const defaultRetryAfter = time.Second

// ErrStale means that the instance cannot tell whether what it knows is still
// in force.
var ErrStale = merry.Sentinel("entry: environment not confirmed")

// apiError is an error answer in the OpenAI form.
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
	return errorBody{errorObject{Message: e.message, Type: e.kind, Param: optional(e.param), Code: optional(e.code)}}
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// badField is the error of a field that cannot be served.
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

func unavailable(code, message string, after time.Duration) *apiError {
	return &apiError{
		status:     http.StatusServiceUnavailable,
		kind:       "server_error",
		code:       code,
		message:    message,
		outcome:    OutcomeNotRun,
		retryAfter: after,
	}
}

// toAPIError turns errors of the layers below into answers.
func toAPIError(err error) *apiError {
	var api *apiError
	if errors.As(err, &api) {
		return api
	}
	var refused *quota.RefusedError
	if errors.As(err, &refused) {
		return &apiError{
			status:     http.StatusTooManyRequests,
			kind:       "rate_limit_error",
			code:       "rate_limit_exceeded",
			message:    "the account's rate is used up; the request was not run",
			outcome:    OutcomeNotRun,
			retryAfter: refused.RetryAfter,
		}
	}
	if errors.Is(err, keys.ErrUnauthorized) {
		return &apiError{
			status:  http.StatusUnauthorized,
			kind:    "authentication_error",
			code:    "invalid_api_key",
			message: "no valid key in the Authorization header",
			outcome: OutcomeNotRun,
		}
	}
	return relayError(err)
}

func relayError(err error) *apiError {
	var invalid *target.InvalidError
	var http4xx *echo.HTTPError
	switch {
	case errors.As(err, &invalid):
		return &apiError{status: http.StatusBadRequest, kind: "invalid_request_error", message: "the model refused the request: " + string(invalid.Body)}
	case errors.As(err, &http4xx):
		return &apiError{status: http4xx.Code, kind: "invalid_request_error", message: fmt.Sprint(http4xx.Message), outcome: OutcomeNotRun}
	case errors.Is(err, ErrStale):
		return unavailable("environment_not_confirmed", "this zone is cut off; the request was not run", defaultRetryAfter)
	case errors.Is(err, relay.ErrNotRun) && errors.Is(err, routing.ErrNoTarget):
		return unavailable("no_target", "no target serves the request now; it was not run", defaultRetryAfter)
	case errors.Is(err, relay.ErrNotRun):
		return unavailable("overloaded", "all targets are busy; the request was not run", defaultRetryAfter)
	case errors.Is(err, relay.ErrBroken):
		return &apiError{status: http.StatusBadGateway, kind: "server_error", code: "answer_broken", message: "the answer broke off", outcome: OutcomeBroken}
	case errors.Is(err, relay.ErrOutcomeUnknown):
		return &apiError{status: http.StatusBadGateway, kind: "server_error", code: "outcome_unknown", message: "the request may have run; its answer was lost", outcome: OutcomeUnknown}
	}
	return &apiError{status: http.StatusInternalServerError, kind: "server_error", code: "internal", message: "internal error", outcome: OutcomeUnknown}
}

// handleError writes the answer of a failed request.
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
