// Package operator serves the API by which operators change and inspect an
// environment through any instance.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// Errors of the API.
var (
	// ErrUnauthenticated means that no known operator's token came.
	ErrUnauthenticated = merry.Sentinel("operator: unknown operator")
	// ErrForbidden means that the operator's role does not allow the request.
	ErrForbidden = merry.Sentinel("operator: role does not allow this")
	// ErrUnknownName means that the request names nothing that exists.
	ErrUnknownName = merry.Sentinel("operator: unknown name")
	// ErrBadRequest means that the request cannot be read.
	ErrBadRequest = merry.Sentinel("operator: bad request")
)

// Roles of operators. RoleWrite includes RoleRead.
const (
	RoleRead  = "read"
	RoleWrite = "write"
)

const maxBodyBytes = 2 << 20

// Shares knows and frees the shares of client accounts; quota.Escrow is one.
type Shares interface {
	Shares() []quota.HolderShare
	// Release frees the shares of a process that has certainly ended.
	Release(ctx context.Context, zone, incarnation string) error
}

// Config holds what a server is made of.
type Config struct {
	Settings  settings.Settings
	Store     *environment.Store
	Trials    *trial.Trials
	Inventory func() *inventory.Snapshot
	Members   func() []membership.Member
	Shares    Shares
	Gatherer  prometheus.Gatherer
	Clock     clockwork.Clock
	Log       *log.Logger
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	Config
	echo *echo.Echo
}

// New returns a server that lets the operators of the settings in.
func New(c Config) *Server {
	s := &Server{Config: c, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(c.Gatherer, promhttp.HandlerOpts{})))
	api := s.echo.Group("/operator/v1")
	api.GET("/profile", s.allow(RoleWrite, echo.WrapHandler(http.HandlerFunc(pprof.Profile))))
	api.GET("/status", s.allow(RoleRead, s.status))
	api.GET("/environment", s.allow(RoleRead, s.showEnvironment))
	api.GET("/environment/history", s.allow(RoleRead, s.history))
	api.POST("/environment/validations", s.allow(RoleRead, s.validate))
	api.POST("/trials", s.allow(RoleWrite, s.startTrial))
	api.GET("/trials/:id", s.allow(RoleRead, s.showTrial))
	api.POST("/trials/:id/promotion", s.allow(RoleWrite, s.promote))
	api.GET("/keys", s.allow(RoleRead, s.listKeys))
	api.POST("/keys", s.allow(RoleWrite, s.createKey))
	api.DELETE("/keys/:id", s.allow(RoleWrite, s.withdrawKey))
	api.GET("/targets", s.allow(RoleRead, s.listTargets))
	api.PUT("/targets/:name/leaving", s.allow(RoleWrite, s.targetLeaving(true)))
	api.DELETE("/targets/:name/leaving", s.allow(RoleWrite, s.targetLeaving(false)))
	api.GET("/zones", s.allow(RoleRead, s.listZones))
	api.PUT("/zones/:name/out", s.allow(RoleWrite, s.zoneOut(true)))
	api.DELETE("/zones/:name/out", s.allow(RoleWrite, s.zoneOut(false)))
	api.GET("/models", s.allow(RoleRead, s.listModels))
	api.GET("/accounts", s.allow(RoleRead, s.listAccounts))
	api.GET("/shares", s.allow(RoleRead, s.listShares))
	api.DELETE("/shares/:zone/:incarnation", s.allow(RoleWrite, s.releaseShares))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

const operatorKey = "operator"

// allow lets operators with the role in.
func (s *Server) allow(role string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		credential := s.authenticate(c.Request())
		if credential == nil {
			return merry.Wrap(ErrUnauthenticated)
		}
		if credential.Role != role && credential.Role != RoleWrite {
			return merry.Wrap(ErrForbidden)
		}
		c.Set(operatorKey, credential.Operator)
		return next(c)
	}
}

func (s *Server) authenticate(r *http.Request) *settings.Credential {
	token, _ := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(sum[:])
	var found *settings.Credential
	for i := range s.Settings.Operators.Credentials {
		credential := &s.Settings.Operators.Credentials[i]
		if subtle.ConstantTimeCompare([]byte(given), []byte(credential.TokenSHA256)) == 1 {
			found = credential
		}
	}
	return found
}

func operatorOf(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}
