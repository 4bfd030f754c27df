// Package entry implements the HTTP API for callers: OpenAI-compatible model
// calls and calls of plain services.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// Limits of requests.
const (
	maxBodyBytes      = 4 << 20
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	// writeTimeout bounds each write of a target's response, so that a caller that
	// stops reading cannot hold a slot on the target.
	writeTimeout    = 30 * time.Second
	idleTimeout     = 120 * time.Second
	defaultDeadline = 120 * time.Second
	maxDeadline     = 600 * time.Second
)

// Views provides the current view of the environment and decides whether it is
// recent enough to serve an account.
type Views interface {
	View() *environment.View
	// Admit returns an error if the view is too old to serve the account. It is not
	// called for requests without a key on open routes.
	Admit(account string) error
}

// Relayer sends checked calls to targets. relay.Relay implements it.
type Relayer interface {
	Generate(ctx context.Context, call *relay.Call, sink relay.Sink) (relay.Result, error)
	Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error)
}

// DemandRecorder records the demand for models and adapters.
type DemandRecorder interface {
	// Note records a request for the model or adapter called served and the tokens
	// reserved for it.
	Note(served string, tokens int64)
}

type noopDemandRecorder struct{}

func (noopDemandRecorder) Note(string, int64) {}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	views   Views
	limiter quota.Limiter
	relay   Relayer
	demand  DemandRecorder
	tracer  trace.Tracer
	clock   clockwork.Clock
	log     *log.Logger
	metrics *metrics
	echo    *echo.Echo
	// writeTimeout applies to model calls. It has the value of the constant
	// writeTimeout, except in tests.
	writeTimeout time.Duration

	notReady atomic.Bool
}

// Config holds the dependencies of a Server.
type Config struct {
	Views   Views
	Limiter quota.Limiter
	Relay   Relayer
	// Demand may be nil.
	Demand  DemandRecorder
	Tracer  trace.Tracer
	Clock   clockwork.Clock
	Log     *log.Logger
	Metrics Registerer
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{
		views:   c.Views,
		limiter: c.Limiter,
		relay:   c.Relay,
		demand:  c.Demand,
		tracer:  c.Tracer,
		clock:   c.Clock,
		log:     c.Log,
		metrics: newMetrics(c.Metrics),
		echo:    echo.New(),

		writeTimeout: writeTimeout,
	}
	if s.demand == nil {
		s.demand = noopDemandRecorder{}
	}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.observe, checkPath)
	s.echo.GET("/healthz", s.healthz)
	s.echo.GET("/readyz", s.readyz)
	s.echo.GET("/v1/models", s.listModels)
	s.echo.POST("/v1/chat/completions", s.generate(target.KindChat))
	s.echo.POST("/v1/completions", s.generate(target.KindCompletion))
	s.echo.POST("/v1/embeddings", s.generate(target.KindEmbedding))
	s.echo.Any("/services/:name", s.invoke)
	s.echo.Any("/services/:name/*", s.invoke)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// HTTPServer returns an http.Server with the limits of this package. It sets no
// ReadTimeout and no WriteTimeout, because they would end long streams. Handlers
// set deadlines for reading the body and for each write of a target's response
// instead.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// FailReadiness makes /readyz fail, so that the load balancer sends no new
// connections.
func (s *Server) FailReadiness() { s.notReady.Store(true) }

func (s *Server) healthz(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) readyz(c echo.Context) error {
	if s.notReady.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	if s.views.View().State.Revision == 0 {
		return c.String(http.StatusServiceUnavailable, "no environment yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
