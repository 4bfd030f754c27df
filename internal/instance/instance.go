// Package instance wires the slices of one instance and runs them, from start
// to planned stop.
package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/settings"
	"github.com/dotterellink/dotterellink/internal/target"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// ErrListen means that an address could not be listened on.
var ErrListen = merry.Sentinel("instance: cannot listen")

// Dependencies are the outside systems of an instance.
type Dependencies struct {
	Objects   platform.Objects
	Instances platform.Instances
	Engines   target.Engine
	Services  target.ServiceCaller
	MeshTLS   *tls.Config
	Clock     clockwork.Clock
	Log       *log.Logger
	Tracing   *telemetry.Tracing
}

// Instance is one instance of the system. Each wire_*.go file makes the parts
// of one duty.
type Instance struct {
	settings settings.Settings
	deps     Dependencies
	log      *log.Logger
	registry *prometheus.Registry

	store      *environment.Store
	views      entry.Views
	node       *mesh.Node
	membership *membership.Membership
	inventory  *inventory.Inventory
	router     *routing.Router
	picker     relay.Picker
	limiter    quota.Limiter
	escrow     *quota.Escrow
	relay      entry.Relayer
	demand     entry.DemandRecorder
	entry      *entry.Server
	operator   *operator.Server

	background []func(context.Context) error
	onDrain    []func(context.Context)

	callers   net.Listener
	operators net.Listener
	meshing   net.Listener
}

// New wires an instance and opens its listeners.
func New(s settings.Settings, d Dependencies) (*Instance, error) {
	i := &Instance{
		settings: s,
		deps:     d,
		log:      telemetry.Prefixed(d.Log, "instance"),
		registry: prometheus.NewRegistry(),
	}
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.wireEnvironment()
	i.registry.MustRegister(i.node.Collectors()...)
	i.wireTargets()
	i.wireAdmission()
	i.wireRelay()
	i.wirePlacement()
	i.wireServers()
	return i, i.listen()
}

// part returns the logger of a part.
func (i *Instance) part(name string) *log.Logger { return telemetry.Prefixed(i.deps.Log, name) }

// run adds a loop that runs until the instance stops.
func (i *Instance) run(loop func(context.Context) error) { i.background = append(i.background, loop) }

// drainWith adds a step that a planned stop takes before running calls are
// waited for.
func (i *Instance) drainWith(step func(context.Context)) { i.onDrain = append(i.onDrain, step) }

func (i *Instance) listen() error {
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{i.settings.Listen.Callers, &i.callers},
		{i.settings.Listen.Operators, &i.operators},
		{i.settings.Listen.Mesh, &i.meshing},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			i.closeListeners()
			return merry.Wrap(ErrListen, merry.WithCause(err))
		}
		*l.listener = listener
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callers, i.operators, i.meshing} {
		if l != nil {
			l.Close()
		}
	}
}

// CallersAddress returns the address on which callers are served.
func (i *Instance) CallersAddress() string { return i.callers.Addr().String() }

// OperatorsAddress returns the address of the operator API.
func (i *Instance) OperatorsAddress() string { return i.operators.Addr().String() }

// Store returns the environment store of the instance.
func (i *Instance) Store() *environment.Store { return i.store }

// Run serves until ctx ends, then drains: it leaves the balancer, finishes
// every running call and stops. A nil error means a clean stop.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := i.entry.HTTPServer()
	operators := &http.Server{Handler: i.operator, ReadHeaderTimeout: readHeaderTimeout}
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return serveHTTP(callers, i.callers) })
	group.Go(func() error { return serveHTTP(operators, i.operators) })
	for _, loop := range i.background {
		group.Go(func() error { return endsWith(groupCtx, loop(groupCtx)) })
	}
	i.log.Infof("Instance %s in zone %s serves callers on %s.", i.settings.Name, i.settings.Zone, i.CallersAddress())
	select {
	case <-ctx.Done():
		i.drain(background, callers)
	case <-groupCtx.Done():
	}
	stop()
	_ = operators.Close()
	_ = callers.Close()
	err := group.Wait()
	_ = i.deps.Tracing.Shutdown(context.WithoutCancel(ctx))
	i.log.Infof("Instance %s stopped.", i.settings.Name)
	return err
}

const readHeaderTimeout = 5 * time.Second

// drain leaves the balancer and waits for running calls.
func (i *Instance) drain(ctx context.Context, callers *http.Server) {
	i.log.Info("Draining.")
	i.entry.FailReadiness()
	for _, step := range i.onDrain {
		step(ctx)
	}
	i.deps.Clock.Sleep(seconds(i.settings.Drain.ReadinessSeconds))
	if i.settings.Drain.LimitSeconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, seconds(i.settings.Drain.LimitSeconds))
		defer cancel()
	}
	if err := callers.Shutdown(ctx); err != nil {
		i.log.Warnf("Calls cut at the drain limit: %v.", err)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// endsWith drops the error of a part that ended because it was told to.
func endsWith(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
