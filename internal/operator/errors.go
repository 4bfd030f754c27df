package operator

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// answerRule gives the status and the hint of errors that wrap a sentinel.
type answerRule struct {
	sentinel error
	status   int
	hint     string
}

var answerRules = []answerRule{
	{ErrUnauthenticated, http.StatusUnauthorized, "give the token of an operator in the instance's settings"},
	{ErrForbidden, http.StatusForbidden, "ask an operator with the role write"},
	{ErrUnknownName, http.StatusNotFound, "list the names that exist"},
	{quota.ErrNoHolder, http.StatusNotFound, "list the shares that exist"},
	{platform.ErrConflict, http.StatusConflict, "look at the shares, then try again"},
	{platform.ErrUnavailable, http.StatusServiceUnavailable, "nothing was changed; try again"},
	{platform.ErrThrottled, http.StatusServiceUnavailable, "nothing was changed; try again"},
	{platform.ErrOutcomeUnknown, http.StatusGatewayTimeout, "look at the shares before trying again"},
	{ErrBadRequest, http.StatusBadRequest, ""},
	{trial.ErrNotFound, http.StatusNotFound, "start a trial first; old trials are deleted"},
	{trial.ErrOutdated, http.StatusConflict, "start a new trial against the document now in force"},
	{environment.ErrConflict, http.StatusConflict, "look at the change that came first, then try again"},
	{environment.ErrInvalidDocument, http.StatusUnprocessableEntity, "mend the values named"},
	{environment.ErrTooLarge, http.StatusRequestEntityTooLarge, "shorten the document"},
	{trial.ErrTooLarge, http.StatusRequestEntityTooLarge, "shorten the document"},
	{environment.ErrNotAccepted, http.StatusServiceUnavailable, "nothing was changed; try again"},
	{trial.ErrUnavailable, http.StatusServiceUnavailable, "nothing was changed; try again"},
	{environment.ErrOutcomeUnknown, http.StatusGatewayTimeout, "look at the history before trying again"},
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	for _, rule := range answerRules {
		if errors.Is(err, rule.sentinel) {
			_ = c.JSON(rule.status, Problem{Error: err.Error(), Hint: rule.hint})
			return
		}
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		_ = c.JSON(httpErr.Code, Problem{Error: http.StatusText(httpErr.Code)})
		return
	}
	s.Log.Errorf("Request %s %s failed: %v.", c.Request().Method, c.Path(), err)
	_ = c.JSON(http.StatusInternalServerError, Problem{Error: err.Error()})
}
