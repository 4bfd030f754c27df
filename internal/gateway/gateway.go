// Package gateway wires the packages that serve calls at announced targets on a
// platform, and runs one instance from its start to its planned stop.
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
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/dotterellink/dotterellink/internal/accept"
	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/passthrough"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/residency"
	"github.com/dotterellink/dotterellink/internal/streamversion"
	"github.com/dotterellink/dotterellink/internal/telemetry"
	"github.com/dotterellink/dotterellink/internal/upstream"
	"github.com/dotterellink/dotterellink/internal/usage"
)

// ErrListen means that the instance cannot listen on an address.
var ErrListen = merry.Sentinel("gateway: cannot listen")

const (
	// meshUnackedTimeout ends mesh connections whose sent data is not acknowledged.
	meshUnackedTimeout = 1500 * time.Millisecond
	// housekeepingInterval is the time between two runs of housekeeping, such as
	// closing idle connections, expiring targets and updating the quota share.
	housekeepingInterval = 250 * time.Millisecond
	// callerIdleTimeout is longer than callers keep idle connections open.
	callerIdleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request header. It is the largest that the platform
	// gives its callers, to which net/http adds 4 KiB.
	maxHeaderBytes = 16 << 10
	// drainMargin is the part of the grace period that is reserved for ending the
	// process.
	drainMargin = 600 * time.Millisecond
	// drainAcceptTime is how long a stopping instance accepts calls. The balancer stops
	// sending calls after two failed checks, one second apart. Later calls are refused,
	// because they might not end within the grace period.
	drainAcceptTime = 2600 * time.Millisecond
	// unusedTimeout is how long a stopping instance that has closed its listener waits for
	// the first request on connections that it has accepted.
	unusedTimeout = 500 * time.Millisecond
	// closeIdleInterval is the time between attempts to close the connections whose
	// answers have ended.
	closeIdleInterval = 20 * time.Millisecond
)

// Dependencies are the external systems of an instance.
type Dependencies struct {
	Objects platform.Objects
	// Eras are the eras of the store behind Objects.
	Eras     *platform.Eras
	Source   Source
	Dialect  call.Dialect
	Operator call.TargetOperator
	// Duties makes the calls that are the duty of one instance; nil if there are none.
	Duties duty.API
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	Tracing   *telemetry.Tracing
}

// Gateway is one instance.
type Gateway struct {
	settings Settings
	deps     Dependencies
	log      log.Interface
	registry *prometheus.Registry

	catalog    *catalog.Holder
	fleet      *fleet.Table
	dispatcher *dispatch.Dispatcher
	client     *upstream.Client
	quota      *allowance.Quota
	cold       *allowance.ColdLimiter
	quarantine *quarantine.Tracker
	store      *storeState
	node       *mesh.Node
	exchange   *peers.Exchange
	leases     *residency.Leases
	controller *residency.Controller
	view       *residency.View
	demand     *residency.Demand
	server     *passthrough.Server
	// duties is nil if the settings have no address for it. usageDuties and scalingDuties
	// return it if the call of the duty exists too.
	duties duty.API
	// usage is nil if usage is not reported.
	usage       *usage.Controller
	connections connections
	ready       readiness
	// fullCountsAt is when a status last reported all counts.
	fullCountsAt time.Time
	// fullStatuses counts the full statuses that were sent.
	fullStatuses uint64
	// fetchingState is set while catchUp fetches a snapshot from a peer.
	fetchingState atomic.Bool
	peerVersions  peerVersions
	registration  registration
	storedParts   quarantineStore
	notices       noticeMetrics
	rates         *targetRates
	// overload is nil if it is not enabled.
	overload *overloadControl
	versions *streamversion.Tracker
	// zones is nil unless the settings let calls leave their zone by the rule.
	zones *zoneRouting
	// storedVersions is used by bootstrapFromPeers, and by keepStreamVersions after that.
	storedVersions storedVersions
	// assignmentChanged is set if this instance has assigned streams since the last status.
	assignmentChanged atomic.Bool
	// assignmentLost is set if the store may have lost the assignment in force.
	assignmentLost atomic.Bool
	// leavingChanged is set if a target said that it leaves since the last status.
	leavingChanged atomic.Bool
	startedAt      time.Time
	// introduced is set once a peer with a configuration has sent its snapshot.
	introduced atomic.Bool
	// bootstrapped is closed when bootstrapFromPeers has ended.
	bootstrapped chan struct{}

	callerListener, readyListener, meshListener, metricsListener net.Listener
}

// New wires an instance and opens its listeners.
func New(s Settings, d Dependencies, logger log.Interface, registry *prometheus.Registry) (*Gateway, error) {
	g := &Gateway{
		settings: s, deps: d, log: logger, registry: registry,
		catalog: catalog.NewHolder(), fleet: fleet.NewTable(), dispatcher: dispatch.NewDispatcher(),
		quota: allowance.NewQuota(allowance.QuotaBounds{
			Window: seconds(s.Bounds.QuotaWindowSeconds), Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack,
		}, time.Now()),
		view: residency.NewView(), demand: residency.NewDemand(s.Zone, s.Placement.Forecast), startedAt: time.Now(), bootstrapped: make(chan struct{}),
	}
	g.wireDuties()
	g.quota.Suspend()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.client, g.notices = upstream.NewClient(registry), newNoticeMetrics(registry)
	g.versions = streamversion.NewTracker()
	g.wireZones()
	if s.Dispatch.Spread {
		// Instances with the same seed would draw the same numbers.
		g.dispatcher.UseSpread(xxhash.Sum64String(s.Name))
	}
	g.quarantine = quarantine.NewTracker(logger, registry)
	g.store = newStoreState(d.Source, g.catalog, g.fleet, g.dispatcher, d.Eras, logger)
	g.wireMesh()
	g.rates = newTargetRates(allowance.NewTargetRates(allowance.RateBounds{
		Window: seconds(s.Bounds.TargetRateWindowSeconds), Overshoot: s.Bounds.TargetRateOvershoot, Slack: s.Bounds.TargetRateSlack,
	}, members{g.exchange, g}, g.startedAt), logger, registry)
	g.store.wire(followerConfig{objects: d.Objects, watching: g.watching, leading: g.leading, relay: g.relay})
	g.wireResidency()
	g.wireUsage()
	g.registration.eras = d.Eras
	g.overload = newOverloadControl(s.Overload, registry)
	d.Eras.OnChange(func(_, _ platform.Era) {
		g.registration.checkSoon(time.Now())
		g.assignmentLost.Store(true)
	})
	g.wireClients()
	g.wireServer()
	return g, g.listen()
}

func (g *Gateway) wireMesh() {
	meshLog := &log.Logger{Handler: handlerOf(g.log), Level: log.InfoLevel}
	g.node = mesh.NewNode(mesh.Peer{Name: g.settings.Name, Zone: g.settings.Zone}, nil, meshLog)
	g.node.SetDialControl(upstream.SetUnackedTimeout(meshUnackedTimeout))
	g.registry.MustRegister(g.node.Collectors()...)
	g.exchange = peers.NewExchange(g.node, g.settings.Listen.advertisedMesh(), uuid.NewString(), g.log)
	g.exchange.FillStatus, g.exchange.OnStatus, g.exchange.OnRunEnded = g.fillStatus, g.onStatus, g.onRunEnded
	g.quarantine.OnChange, g.versions.OnChange = g.exchange.TriggerBroadcast, g.exchange.TriggerBroadcast
	g.exchange.HasUpdates = func() bool {
		return g.dispatcher.Pending() || g.controller.Pending() || g.quarantine.Pending() || g.rates.limits.Pending() ||
			g.versions.Pending() || g.assignmentChanged.Load()
	}
	mesh.Handle(g.node, methodSnapshot, func(ctx context.Context, from mesh.Peer, r *snapshotRequest) (*snapshot, error) {
		out, err := g.store.handleSnapshot(ctx, from, r)
		if err == nil {
			out.Levels = g.quota.Levels(time.Now())
			out.Assignments, out.Streams = g.versions.History(time.Now()), g.versions.All(time.Now())
			out.Rates = g.rates.limits.Updates(true, time.Now())
			out.Suspicions = append(g.quarantine.All(time.Now()), g.quarantine.Requests(time.Now())...)
		}
		return out, err
	})
	g.node.Handle(methodUpdate, g.handleUpdate)
	g.node.Handle(methodUpdateRelay, g.handleRelayedUpdate)
}

func (g *Gateway) wireResidency() {
	gap := time.Duration(g.settings.Bounds.OrderGapMS) * time.Millisecond
	g.leases = residency.NewLeases(residency.LeasesConfig{
		Objects: g.deps.Objects, Eras: g.deps.Eras, Self: g.settings.Name, Session: uuid.NewString(), OrderGap: gap,
		FirstStart: g.settings.Bootstrap, Candidates: startupCandidates{g}, Log: g.log,
	})
	g.leases.Zone(g.settings.Zone)
	g.controller = residency.NewController(residency.ControllerConfig{
		Leases: g.leases, ReachableZones: g.exchange.ReachableZones, Operator: g.deps.Operator, Fleet: g.fleet, Catalog: g.catalog, Demand: g.demand,
		View: g.view, Node: g.node, Log: g.log, Metrics: g.registry, TriggerBroadcast: g.exchange.TriggerBroadcast,
		Work:     func(id string) time.Duration { return g.dispatcher.Waiting(id, time.Now()) },
		OnNotice: g.onControlNotice, OnRestart: g.onRestart, Quiet: func(id string) bool { return g.dispatcher.QuietFor(id, time.Now()) > 0 },
		Admit: func(id string) bool { return g.rates.limits.TakeControl(id, time.Now()) },
	})
}

func (g *Gateway) wireServer() {
	b := g.settings.Bounds
	g.cold = allowance.NewColdLimiter(allowance.ColdBounds{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}, g.startedAt)
	g.server = passthrough.NewServer(passthrough.Dependencies{
		Zone: g.settings.Zone, Dialect: g.deps.Dialect, Catalog: g.catalog, Fleet: g.fleet, Dispatcher: g.dispatcher,
		Upstream: g.client, Quota: g.quota,
		Retries: allowance.NewRetryBudget(allowance.RetryBounds{Window: seconds(b.RetryWindowSeconds), Ratio: b.RetryRatio, Slack: b.RetrySlack}),
		Cold:    g.cold, Rates: g.rates.limits, Versions: g.versions, Quarantine: g.quarantine, Trials: newTrials(g),
		Usage: g.usageCounter(), Overload: g.overload.port(), Residency: placement{g}, Members: members{g.exchange, g}, TargetsConfirmed: g.store.confirmed.Load, OnNotice: g.onCallNotice,
		Log: g.log, Tracer: g.deps.Tracing.Tracer,
		Metrics: g.registry, Now: time.Now,
	})
}

func (g *Gateway) listen() error {
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	for _, l := range []struct {
		address  string
		listener *net.Listener
		listen   func(address string) (net.Listener, error)
	}{
		{g.settings.Listen.Callers, &g.callerListener, accept.Listen},
		{g.settings.Listen.Ready, &g.readyListener, accept.Listen},
		{g.settings.Listen.Mesh, &g.meshListener, listen},
		{g.settings.Listen.Metrics, &g.metricsListener, accept.Listen},
	} {
		if l.address == "" {
			continue
		}
		listener, err := l.listen(l.address)
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
	callers := g.callerServer()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return serveHTTP(callers, g.connections.callers.Listener(g.callerListener)) })
	group.Go(func() error { return serveHTTP(g.readyServer(), g.connections.ready.Listener(g.readyListener)) })
	if g.metricsListener != nil {
		group.Go(func() error { return serveHTTP(g.metricsServer(), g.connections.metrics.Listener(g.metricsListener)) })
	}
	for _, loop := range []func(context.Context) error{
		func(ctx context.Context) error { return g.node.Run(ctx, g.meshListener) },
		g.afterBootstrap(g.store.config.Run), g.afterBootstrap(g.store.targets.Run),
		g.afterBootstrap(g.store.evacuations.Run), g.afterBootstrap(g.keepQuarantine), g.afterBootstrap(g.keepStreamVersions),
		g.exchange.Run, g.leases.Run, g.controller.Run, g.discoverPeers, g.housekeep, g.runUsage, g.runScaling, g.watchClients,
	} {
		group.Go(func() error { return loop(groupCtx) })
	}
	g.log.WithFields(log.Fields{"name": g.settings.Name, "zone": g.settings.Zone, "callers": g.settings.Listen.Callers}).Info("gateway: Started.")
	select {
	case <-ctx.Done():
		g.drain(callers)
	case <-groupCtx.Done():
		g.log.WithError(context.Cause(groupCtx)).Error("gateway: A component ended unexpectedly.")
	}
	stop()
	for _, l := range []net.Listener{g.callerListener, g.readyListener, g.metricsListener} {
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
	// A stopping instance closes the listener before the server.
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// drain takes the instance out of the balancer, hands its leases over and waits for
// running calls, at most until the deadline.
func (g *Gateway) drain(callers *http.Server) {
	deadline := time.Now().Add(seconds(g.settings.Drain.GraceSeconds) - drainMargin)
	g.log.Info("gateway: Draining.")
	g.ready.setLeaving()
	g.server.DisableKeepAlive()
	g.exchange.Leave()
	// Idle connections are closed at once, all others after their next answer. Otherwise
	// callers would send calls on open connections until the end.
	g.connections.callers.CloseIdle(false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		g.stopUsage(ctx)
		g.leases.Release(ctx)
	}()
	pause.For(ctx, min(drainAcceptTime, time.Until(deadline)/2))
	g.server.Close()
	g.log.WithField("running", g.server.Running()).Info("gateway: Refusing further calls.")
	g.callerListener.Close()
	unusedUntil := time.Now().Add(min(unusedTimeout, time.Until(deadline)/2))
	for g.connections.callers.CloseIdle(time.Now().After(unusedUntil)) > 0 {
		if !pause.For(ctx, closeIdleInterval) {
			g.log.WithField("running", g.server.Running()).Warn("gateway: Grace period ended with calls still running.")
			break
		}
	}
	callers.Close()
	g.flushUsage()
	<-released
}

// housekeep runs periodic tasks.
func (g *Gateway) housekeep(ctx context.Context) error {
	for pause.For(ctx, housekeepingInterval) {
		now := time.Now()
		g.client.CloseIdle()
		g.exchange.UpdateReachability()
		g.updateZones()
		g.store.expire(now)
		view := g.fleet.View()
		listed := func(id string) bool { return view.Targets[id] != nil }
		g.dispatcher.Forget(listed, now)
		g.view.Prune(listed)
		g.cold.Prune(listed, now)
		g.rates.prune(listed, now)
		g.quarantine.Prune(now)
		g.shareQuota(now)
		g.trackAccounts(now)
		g.updateSupply()
		g.catchUp(now)
		g.checkRegistration(ctx, now)
	}
	return ctx.Err()
}

// membersTimeout is how long an instance waits for a complete list of instances before
// it assumes that it knows all of them. It applies if the store does not answer and the
// peers have started as recently as the instance itself.
const membersTimeout = 3 * time.Second

// membersKnown reports whether this instance knows all others. A partial list is not
// enough, because shared budgets are divided by the number of instances.
func (g *Gateway) membersKnown(now time.Time) bool {
	return g.exchange.Complete() || now.Sub(g.startedAt) >= membersTimeout
}

// members implements passthrough.Members.
type members struct {
	*peers.Exchange
	gateway *Gateway
}

// AllKnown implements passthrough.Members.
func (m members) AllKnown() bool { return m.gateway.membersKnown(time.Now()) }

// startupCandidates implements residency.Candidates. At the first start of the whole system
// every instance takes itself for the only one until it hears of the others, and all would
// write the leases at once. Until the instances are known, none is the first candidate.
type startupCandidates struct{ *Gateway }

// rankBeforeMembers is the rank of an instance that does not know the others yet.
const rankBeforeMembers = 3

// Candidates implements residency.Candidates.
func (c startupCandidates) Candidates(zone string) (rank int, local bool) {
	rank, local = c.exchange.Candidates(zone)
	if c.settings.Bootstrap && !c.membersKnown(time.Now()) {
		rank = max(rank, rankBeforeMembers)
	}
	return rank, local
}

// shareQuota updates the share of the quotas that the reachable instances may spend,
// once all instances are known.
func (g *Gateway) shareQuota(now time.Time) {
	if !g.membersKnown(now) {
		return
	}
	known, reachable := g.exchange.SpendingInstances()
	g.quota.SetShare(allowance.ReachableShare(reachable, known), reachable, g.exchange.Interval(), now)
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
