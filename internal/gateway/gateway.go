// Package gateway wires the slices that serve announced targets on a platform,
// and runs one instance from its start to its planned stop.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/passthrough"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/residency"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

// ErrListen means that an address could not be listened on.
var ErrListen = merry.Sentinel("gateway: cannot listen")

const (
	// unackedMesh ends mesh connections whose bytes are not confirmed.
	unackedMesh = 1500 * time.Millisecond
	// housekeeping is the time between looks at idle connections, lapsed targets
	// and the share of quotas.
	housekeeping = 250 * time.Millisecond
	// headerTimeout bounds the head of a caller's request. The platform's callers
	// get 3 s; the rest is for slow machines.
	headerTimeout = 5 * time.Second
	// callerIdle is longer than callers keep idle connections.
	callerIdle = 90 * time.Second
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 64 << 10
	// drainMargin is kept of the grace for ending the process.
	drainMargin = 600 * time.Millisecond
	// drainOpen is how long a stopping instance goes on taking calls: the balancer
	// needs two misses, a second apart. What comes later is refused, as it might
	// not end within the grace.
	drainOpen = 2600 * time.Millisecond
)

// Dependencies are the outside systems of an instance.
type Dependencies struct {
	Objects  platform.Objects
	Source   Source
	Dialect  call.Dialect
	Operator call.TargetOperator
	// ReadyPath is the path of the balancer's question.
	ReadyPath string
	Tracing   *telemetry.Tracing
}

// Gateway is one instance.
type Gateway struct {
	settings Settings
	deps     Dependencies
	log      log.Interface
	registry *prometheus.Registry

	catalog  *catalog.Holder
	fleet    *fleet.Table
	board    *dispatch.Dispatcher
	client   *upstream.Client
	quota    *allowance.Quota
	cold     *allowance.ColdLimiter
	followed *followed
	node     *mesh.Node
	exchange *peers.Exchange
	leases   *residency.Leases
	keeper   *residency.Controller
	view     *residency.View
	demand   *residency.Demand
	server   *passthrough.Server
	ready    readiness
	// countsAt is when all counts were last told.
	countsAt time.Time
	// asking is set while a peer is asked for its state.
	asking    atomic.Bool
	newer     newer
	startedAt time.Time
	// introduced closes once the peers were asked for the state.
	introduced chan struct{}

	callers, readies, meshing, metrics net.Listener
}

// New wires an instance and opens its listeners.
func New(s Settings, d Dependencies, logger log.Interface, registry *prometheus.Registry) (*Gateway, error) {
	g := &Gateway{
		settings: s, deps: d, log: logger, registry: registry,
		catalog: catalog.NewHolder(), fleet: fleet.NewTable(), board: dispatch.NewDispatcher(),
		quota: allowance.NewQuota(allowance.QuotaBounds{
			Window: seconds(s.Bounds.QuotaWindowSeconds), Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack,
		}, time.Now()),
		view: residency.NewView(), demand: residency.NewDemand(), startedAt: time.Now(), introduced: make(chan struct{}),
	}
	g.quota.Suspend()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.client = upstream.NewClient(registry)
	g.followed = newFollowed(d.Source, g.catalog, g.fleet, g.board, logger)
	g.wireMesh()
	g.followed.wire(followWiring{objects: d.Objects, watching: g.watching, leading: g.leading, relay: g.relay})
	g.wireResidency()
	g.wireServer()
	return g, g.listen()
}

func (g *Gateway) wireMesh() {
	quiet := &log.Logger{Handler: handlerOf(g.log), Level: log.InfoLevel}
	g.node = mesh.NewNode(mesh.Peer{Name: g.settings.Name, Zone: g.settings.Zone}, nil, quiet)
	g.node.ControlDials(upstream.SetUnackedTimeout(unackedMesh))
	g.registry.MustRegister(g.node.Collectors()...)
	g.exchange = peers.NewExchange(g.node, g.settings.Listen.reachedAt(), uuid.NewString(), g.log)
	g.exchange.FillStatus, g.exchange.OnStatus, g.exchange.OnRunEnded = g.fill, g.take, g.gone
	g.exchange.HasUpdates = func() bool { return g.board.Pending() || g.keeper.Pending() }
	mesh.Handle(g.node, methodSnapshot, g.followed.snapshotAsked)
	g.node.Handle(methodWord, g.wordHeard)
	g.node.Handle(methodWordRelay, g.wordRelayed)
}

func (g *Gateway) wireResidency() {
	gap := time.Duration(g.settings.Bounds.OrderGapMS) * time.Millisecond
	g.leases = residency.NewLeases(g.deps.Objects, g.settings.Name, uuid.NewString(), gap, g.exchange, g.log)
	g.leases.Zone(g.settings.Zone)
	g.keeper = residency.NewController(residency.ControllerConfig{
		Leases: g.leases, ReachableZones: g.exchange.ReachableZones, Operator: g.deps.Operator, Fleet: g.fleet, Catalog: g.catalog, Demand: g.demand,
		View: g.view, Node: g.node, Log: g.log, Metrics: g.registry, TriggerBroadcast: g.exchange.TriggerBroadcast,
		Work: func(id string) time.Duration { return g.board.Waiting(id, time.Now()) },
	})
}

func (g *Gateway) wireServer() {
	b := g.settings.Bounds
	g.cold = allowance.NewColdLimiter(allowance.ColdBounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack})
	g.server = passthrough.NewServer(passthrough.Dependencies{
		Zone: g.settings.Zone, Dialect: g.deps.Dialect, Catalog: g.catalog, Fleet: g.fleet, Dispatcher: g.board,
		Upstream: g.client, Quota: g.quota,
		Retries:   allowance.NewRetryBudget(allowance.RetryBounds{Window: seconds(b.RetryWindowSeconds), Ratio: b.RetryRatio, Slack: b.RetrySlack}),
		Cold:      g.cold,
		Residency: placement{g}, Members: members{g.exchange, g}, Log: g.log, Tracer: g.deps.Tracing.Tracer,
		Metrics: g.registry, Now: time.Now,
	})
}

func (g *Gateway) listen() error {
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{g.settings.Listen.Callers, &g.callers},
		{g.settings.Listen.Ready, &g.readies},
		{g.settings.Listen.Mesh, &g.meshing},
		{g.settings.Listen.Metrics, &g.metrics},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return merry.Wrap(ErrListen, merry.WithCause(err))
		}
		*l.listener = listener
	}
	return nil
}

// Run serves until ctx ends, then drains and stops.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := &http.Server{
		Handler: g.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return serveHTTP(callers, g.callers) })
	group.Go(func() error { return serveHTTP(g.readyServer(), g.readies) })
	if g.metrics != nil {
		group.Go(func() error { return serveHTTP(g.metricsServer(), g.metrics) })
	}
	for _, loop := range []func(context.Context) error{
		func(ctx context.Context) error { return g.node.Run(ctx, g.meshing) },
		g.onceIntroduced(g.followed.config.Run), g.onceIntroduced(g.followed.targets.Run),
		g.onceIntroduced(g.followed.evacuations.Run),
		g.exchange.Run, g.leases.Run, g.keeper.Run, g.introduce, g.housekeep,
	} {
		group.Go(func() error { return loop(groupCtx) })
	}
	g.log.WithFields(log.Fields{"name": g.settings.Name, "zone": g.settings.Zone, "callers": g.settings.Listen.Callers}).Info("gateway: Started.")
	select {
	case <-ctx.Done():
		g.drain(callers)
	case <-groupCtx.Done():
		g.log.WithError(context.Cause(groupCtx)).Error("gateway: A part ended.")
	}
	stop()
	for _, l := range []net.Listener{g.callers, g.readies, g.metrics} {
		if l != nil {
			l.Close()
		}
	}
	err := group.Wait()
	g.log.Info("gateway: Stopped.")
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain leaves the balancer, finishes all calls and hands the lease over.
func (g *Gateway) drain(callers *http.Server) {
	ends := time.Now().Add(seconds(g.settings.Drain.GraceSeconds) - drainMargin)
	g.log.Info("gateway: Draining.")
	g.ready.leave()
	g.server.DisableKeepAlive()
	g.exchange.Leave()
	// Ends idle connections and makes each answer the last of its connection:
	// what callers keep open would bring calls until the end.
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	g.leases.Release(ctx)
	pause.For(ctx, min(drainOpen, time.Until(ends)/2))
	g.server.Close()
	g.log.WithField("running", g.server.Running()).Info("gateway: No further calls are taken.")
	if err := callers.Shutdown(ctx); err != nil {
		g.log.WithField("running", g.server.Running()).WithError(err).Warn("gateway: Calls cut at the end of the grace.")
	}
}

func (g *Gateway) metricsServer() *http.Server {
	return &http.Server{Handler: promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: headerTimeout}
}

// housekeep does what is due now and then.
func (g *Gateway) housekeep(ctx context.Context) error {
	for pause.For(ctx, housekeeping) {
		now := time.Now()
		g.client.CloseIdle()
		g.exchange.UpdateReachability()
		g.fleet.Expire(now)
		view := g.fleet.View()
		g.demand.UpdateRates(now)
		listed := func(id string) bool { return view.Targets[id] != nil }
		g.board.Forget(listed, now)
		g.view.Prune(listed)
		g.cold.Prune(listed, now)
		g.shareQuota(now)
		g.trackAccounts(now)
		g.catchUp(now)
	}
	return ctx.Err()
}

// aloneAfter is how long an instance to which nobody tells of all others waits before
// it takes those that it knows for all: the store does not answer, and peers are as
// fresh as itself.
const aloneAfter = 3 * time.Second

// membersKnown reports whether this instance knows of all others. To know of some is
// not enough: parts of what all may spend are divided by their number.
func (g *Gateway) membersKnown(now time.Time) bool {
	return g.exchange.Complete() || now.Sub(g.startedAt) >= aloneAfter
}

// members is the list of instances as calls need it.
type members struct {
	*peers.Exchange
	gateway *Gateway
}

// AllKnown implements passthrough.Members.
func (m members) AllKnown() bool { return m.gateway.membersKnown(time.Now()) }

// shareQuota brings the own part of quotas up to date, once the others are known.
func (g *Gateway) shareQuota(now time.Time) {
	if !g.membersKnown(now) {
		return
	}
	known, heard := g.exchange.SpendingInstances()
	g.quota.SetShare(allowance.ReachableShare(heard, known), heard, g.exchange.Interval(), now)
}

func (g *Gateway) trackAccounts(now time.Time) {
	state := g.catalog.Current()
	if state == nil {
		return
	}
	for _, a := range state.Accounts {
		g.quota.Track(a.Name, allowance.AccountLimit{Rate: a.Rate, Burst: a.Burst}, now)
	}
}
