package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dotterellink/dotterellink/internal/accept"
	"github.com/dotterellink/dotterellink/internal/memlimit"
	"github.com/dotterellink/dotterellink/internal/pause"
)

// LimitSettings are the memory and the descriptors that the process may use.
type LimitSettings struct {
	// MemoryMB is the memory of the machine in MB, 0 if it is not known.
	MemoryMB float64 `json:"memory_mb"`
	// Descriptors is the number of file descriptors of the machine, 0 if it is not known. The
	// limit of the process applies too.
	Descriptors float64 `json:"descriptors"`
}

const (
	// defaultMemoryMB and defaultDescriptors bound the clients if the settings do not.
	defaultMemoryMB    = 1024
	defaultDescriptors = 65536
	// minClientMemory is the least that clients may reserve, in bytes. It admits two bodies of
	// the largest size.
	minClientMemory = 16 << 20
	// minClientDescriptors is the least number of descriptors that clients may use with
	// connections to targets.
	minClientDescriptors = 100
	// clientShare is the share of the memory that clients may reserve. Control needs up to
	// 64 MB, and garbage that is not yet collected counts too.
	clientShare = 0.35
	// heapShare is the share of the memory, less programMB for the mapped program, that the Go
	// runtime aims to stay within. It is a soft limit, and the buffers of sockets count too.
	heapShare = 0.9
	programMB = 24
	// minHeapMB is the least such limit.
	minHeapMB = 32
	// reservedDescriptors are for files. Of the others, half are for clients: the other half is
	// for connections to targets, other instances and the store.
	reservedDescriptors = 200
	// ownShare is the share of the connections that the readiness and the metrics listener each
	// have for themselves, minOwn its least number.
	ownShare = 1.0 / 16
	minOwn   = 8
	// ownMemory is the memory in bytes that each of these listeners has for itself: a connection
	// with a request takes less than 64 KiB.
	ownMemory = minOwn * 64 << 10
	// maxConcurrentMetrics bounds the requests for metrics at once, as each holds all of them.
	maxConcurrentMetrics = 3

	// unusedLimit bounds the time until the first byte on a connection and from there to the end
	// of the head; accept bounds the latter more closely. Clients may be idle for 12 s.
	unusedLimit = 20 * time.Second
	// ownReadTimeout and ownWriteTimeout bound a request and its answer at the readiness and the
	// metrics listener.
	ownReadTimeout  = 20 * time.Second
	ownWriteTimeout = 30 * time.Second
	// stalledInterval is the time between two searches for clients that have used up their time.
	stalledInterval = 500 * time.Millisecond
	// limitLogInterval is the least time between two log lines on clients.
	limitLogInterval = 5 * time.Second
)

func (l LimitSettings) problems(check func(ok bool, problem string)) {
	check(l.MemoryMB >= 0, "limits.memory_mb: must not be negative")
	check(l.Descriptors >= 0, "limits.descriptors: must not be negative")
}

// clientMemory returns the bytes that clients may reserve.
func (l LimitSettings) clientMemory() int64 {
	mb := l.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return max(int64(mb*clientShare*(1<<20)), minClientMemory)
}

// clientConnections returns the numbers of connections of callers, and of each other listener.
func (l LimitSettings) clientConnections(processLimit float64) (callers, own int) {
	n := l.Descriptors
	if n == 0 {
		n = defaultDescriptors
	}
	n = max(min(n, processLimit)-reservedDescriptors, minClientDescriptors) / 2
	own = max(minOwn, int(n*ownShare))
	return int(n) - 2*own, own
}

// processDescriptors returns the limit that the system sets.
func processDescriptors() float64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return float64(limit.Cur)
}

// connections are those of all who connect to the instance, besides other instances.
type connections struct {
	account                 *memlimit.Account
	callers, ready, metrics *accept.Tracker
}

func (g *Gateway) wireClients() {
	l := g.settings.Limits
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(max(l.MemoryMB*heapShare-programMB, minHeapMB) * (1 << 20)))
	}
	callers, own := l.clientConnections(processDescriptors())
	account := memlimit.New(l.clientMemory(), g.registry, time.Now)
	g.connections = connections{
		account: account,
		callers: accept.NewBoundedTracker(account.NewClass("callers", callers)),
		ready:   accept.NewBoundedTracker(account.NewReservedClass("ready", own, ownMemory)),
		metrics: accept.NewBoundedTracker(account.NewReservedClass("metrics", own, ownMemory)),
	}
	g.log.WithFields(log.Fields{"memory_bytes": l.clientMemory(), "callers": callers, "others": own}).Info("gateway: Clients are bounded.")
}

// clientServer returns a server whose clients are bounded.
func clientServer(handler http.Handler, tracker *accept.Tracker) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: unusedLimit, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	tracker.Track(s)
	return s
}

func (g *Gateway) callerServer() *http.Server { return clientServer(g.server, g.connections.callers) }

func (g *Gateway) readyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.deps.ReadyPath, g.serveReady)
	s := clientServer(mux, g.connections.ready)
	s.ReadTimeout, s.WriteTimeout = ownReadTimeout, ownWriteTimeout
	return s
}

func (g *Gateway) metricsServer() *http.Server {
	s := clientServer(promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentMetrics}), g.connections.metrics)
	s.ReadTimeout, s.WriteTimeout = ownReadTimeout, ownWriteTimeout
	return s
}

// watchClients closes the connections of clients that have used up their time, and logs how
// many were ended and refused.
func (g *Gateway) watchClients(ctx context.Context) error {
	var evicted, refused uint64
	overdue := 0
	loggedAt := time.Time{}
	for pause.For(ctx, stalledInterval) {
		now := time.Now()
		for _, t := range []*accept.Tracker{g.connections.callers, g.connections.ready, g.connections.metrics} {
			overdue += t.CloseStalled(now)
		}
		e, r := g.connections.account.Counts()
		if e == evicted && r == refused && overdue == 0 || now.Sub(loggedAt) < limitLogInterval {
			continue
		}
		g.log.WithFields(log.Fields{
			"evicted": e - evicted, "refused": r - refused, "overdue": overdue, "memory_bytes": g.connections.account.Used(),
		}).Warn("gateway: Clients were ended or refused to stay within the limits.")
		evicted, refused, overdue, loggedAt = e, r, 0, now
	}
	return ctx.Err()
}
