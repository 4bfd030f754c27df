// Package operator serves the API by which operators change and inspect an
// environment through any instance.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/settings"
)

// ErrUnauthorized means that an operator's credentials do not allow the
// request.
var ErrUnauthorized = merry.Sentinel("operator: not allowed")

const maxBodyBytes = 2 << 20

// Server serves operators. It is safe for concurrent use.
type Server struct {
	store       *environment.Store
	credentials []settings.Credential
	log         *log.Logger
	echo        *echo.Echo
}

// New returns a server that lets the credentials in.
func New(store *environment.Store, credentials []settings.Credential, gatherer prometheus.Gatherer, logger *log.Logger) *Server {
	s := &Server{store: store, credentials: credentials, log: logger, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	api := s.echo.Group("/operator/v1")
	api.GET("/environment", s.allow("read", s.showEnvironment))
	api.PUT("/environment", s.allow("write", s.putEnvironment))
	api.POST("/keys", s.allow("write", s.createKey))
	api.DELETE("/keys/:id", s.allow("write", s.withdrawKey))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

const operatorKey = "operator"

// allow lets operators with the role in. The role write includes read.
func (s *Server) allow(role string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := hex.EncodeToString(sum[:])
		for _, credential := range s.credentials {
			same := subtle.ConstantTimeCompare([]byte(given), []byte(credential.TokenSHA256)) == 1
			if same && (credential.Role == role || credential.Role == "write") {
				c.Set(operatorKey, credential.Operator)
				return next(c)
			}
		}
		return merry.Wrap(ErrUnauthorized)
	}
}

func operatorOf(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}

// Revision is the answer to an accepted change.
type Revision struct {
	Revision uint64 `json:"revision"`
}

func (s *Server) showEnvironment(c echo.Context) error {
	return c.JSON(http.StatusOK, s.store.View().State)
}

func (s *Server) putEnvironment(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return merry.Wrap(environment.ErrInvalidDocument, merry.WithCause(err))
	}
	document, err := environment.ParseDocument(body)
	if err != nil {
		return err
	}
	state, err := s.store.Change(c.Request().Context(), operatorOf(c), "put environment", 0, func(state *environment.State) error {
		state.Document = *document
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Revision{state.Revision})
}

// NewKeyRequest asks for a key of an account.
type NewKeyRequest struct {
	Account string `json:"account"`
}

// NewKeyAnswer holds a new key, which is not shown again.
type NewKeyAnswer struct {
	ID       string `json:"id"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

func (s *Server) createKey(c echo.Context) error {
	var request NewKeyRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	key, record := keys.New()
	record.Account = request.Account
	state, err := s.store.Change(c.Request().Context(), operatorOf(c), "create key "+record.ID, 0, func(state *environment.State) error {
		if environment.NewView(state, s.store.View().ConfirmedAt).Account(request.Account) == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no account "+request.Account)
		}
		state.Keys = append(state.Keys, record)
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, NewKeyAnswer{ID: record.ID, Key: key, Revision: state.Revision})
}

func (s *Server) withdrawKey(c echo.Context) error {
	id := c.Param("id")
	state, err := s.store.Change(c.Request().Context(), operatorOf(c), "withdraw key "+id, 0, func(state *environment.State) error {
		for i, k := range state.Keys {
			if k.ID == id {
				state.Keys = append(state.Keys[:i], state.Keys[i+1:]...)
				return nil
			}
		}
		return echo.NewHTTPError(http.StatusNotFound, "no key "+id)
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Revision{state.Revision})
}

// Problem is an error answer.
type Problem struct {
	Error string `json:"error"`
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpErr *echo.HTTPError
	switch {
	case errors.Is(err, ErrUnauthorized):
		status = http.StatusUnauthorized
	case errors.Is(err, environment.ErrInvalidDocument):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, environment.ErrRace):
		status = http.StatusConflict
	case errors.Is(err, environment.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, environment.ErrNotAccepted):
		status = http.StatusServiceUnavailable
	case errors.Is(err, environment.ErrUnsettled):
		status = http.StatusGatewayTimeout
	case errors.As(err, &httpErr):
		status = httpErr.Code
	}
	_ = c.JSON(status, Problem{Error: err.Error()})
}
