package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/boottime"
	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	methodCounts = "usage.counts"
	methodOpen   = "usage.open"

	// sampleInterval is the time between two samples of the wall clock.
	sampleInterval = time.Second
	// minSendInterval is the time between two messages to the holder, and
	// sendIntervalPerInstance the same for each instance, which bounds the messages that the
	// holder of a large fleet receives. There is one after the end of each window in any case.
	minSendInterval         = time.Second
	sendIntervalPerInstance = 16 * time.Millisecond
	// resendInterval is the time before the second try if the counts do not arrive, because an
	// instance that was cut off should be heard before its windows are closed. It doubles up to
	// the usual interval: a holder that is slow must not get more messages for it.
	resendInterval = 250 * time.Millisecond
	// flushDelay and flushJitter tell when counts are sent after the end of a window, so that
	// it can be closed early.
	flushDelay  = 100 * time.Millisecond
	flushJitter = 400 * time.Millisecond
	// countsTimeout bounds a message to the holder.
	countsTimeout = 700 * time.Millisecond
)

// Instance is another instance as this one knows it.
type Instance struct {
	Name, Zone string
	// Reachable is set if a status arrived a short time ago. Refuses is set while its address
	// refuses connections.
	Reachable, Refuses bool
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Timing Timing
	// Spacing is the minimum time between two calls to the platform.
	Spacing time.Duration
	// Gap is the minimum time between two holdings of an instance with another one between.
	Gap     time.Duration
	Objects platform.Objects
	API     duty.API
	Mesh    mesh.Mesh
	// RunID is unique to this run of the instance.
	RunID string
	// Lease returns the fencing token of the placement lease of a zone, and whether this
	// instance holds it for at least the given time.
	Lease func(zone string, atLeast time.Duration) (token uint64, ok bool)
	// Instances lists the other instances. Complete reports whether all of them are known;
	// nil means that they are.
	Instances func() []Instance
	Complete  func() bool
	Log       log.Interface
	Metrics   prometheus.Registerer
}

// holding is the time during which an instance holds the duty under one token, or, with token
// 0, keeps copies.
type holding struct {
	holder string
	token  uint64
}

// Controller counts, collects and reports usage on one instance. It is safe for concurrent
// use.
type Controller struct {
	Config
	// Counter counts the calls of this instance.
	Counter   *Counter
	clock     *Clock
	collector *Collector
	metrics   metrics
	startedAt time.Time
	// stepping is held during a step, and by Stop for good.
	stepping chan struct{}
	// interrupt ends a call to the store or the platform that is under way at Stop.
	interrupt context.Context
	cancel    context.CancelFunc

	// state, lastSendAt, lastSendToken and collectingSince are used within steps only. The
	// last send counts on the clock that goes on while the machine is suspended.
	state         *State
	lastSendAt    time.Time
	lastSendToken uint64
	// collectingSince is the window after that in which this holding began, 0 while the true time
	// is not known.
	collectingSince int64

	mu sync.Mutex
	// zone is the zone whose placement lease gives the duty, empty if unknown.
	zone string
	// token is the token under which this instance collects, 0 if it does not.
	token uint64
	// decided is the last window decided on that this instance knows of, and claims holds the
	// later ones that peers named but that have not ended yet.
	decided int64
	claims  map[string]int64
	// timeKnown is set while this instance collects and knows the clocks of enough instances.
	timeKnown bool
	// holders holds the tokens under which other instances collect.
	holders map[string]uint64
	// acked holds the versions of the counts that the holder and the backup have
	// confirmed.
	acked map[holding]uint64
	// asked holds the instances that this one asks for counts under its token and that have not
	// answered yet, and stopAsking ends the questions.
	asked      map[string]bool
	stopAsking context.CancelFunc
}

// NewController returns a controller. It sets handlers of the mesh, which must not run yet.
func NewController(config Config) *Controller {
	now := time.Now()
	clock := NewClock(now)
	c := &Controller{
		Config: config, clock: clock, collector: NewCollector(), metrics: newMetrics(config.Metrics), startedAt: boottime.Now(),
		Counter:  NewCounter(config.Mesh.Self().Name, config.RunID, config.Timing, clock, now),
		stepping: make(chan struct{}, 1), state: NewState(config.Timing), holders: make(map[string]uint64), acked: make(map[holding]uint64), claims: make(map[string]int64),
	}
	c.interrupt, c.cancel = context.WithCancel(context.Background())
	mesh.Handle(config.Mesh, methodCounts, c.handleCounts)
	mesh.Handle(config.Mesh, methodOpen, c.handleOpen)
	return c
}

// Run counts, sends and reports until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	go c.sendLoop(ctx)
	go c.copyLoop(ctx)
	sampledAt := time.Now()
	for pause.For(ctx, stepInterval) {
		now := time.Now()
		if now.Sub(sampledAt) >= sampleInterval {
			sampledAt = now
			c.clock.Sample(now, now.UnixNano())
			c.Counter.Prune(now)
			c.collector.Prune(c.Timing.oldest(c.clock.True(now)), now)
		}
		select {
		case c.stepping <- struct{}{}:
			c.Step(ctx)
			<-c.stepping
		default:
		}
	}
	return ctx.Err()
}

// Stop ends the duty of this instance before it releases its leases: no call to the platform
// is under way once it returns. Counts are still sent. A call that is under way when ctx ends
// is interrupted.
func (c *Controller) Stop(ctx context.Context) {
	select {
	case c.stepping <- struct{}{}:
	case <-ctx.Done():
		c.cancel()
		c.stepping <- struct{}{}
	}
	c.setToken(0)
}

// Status returns the zone and token to report to peers if this instance collects.
func (c *Controller) Status() (zone string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 {
		return "", 0
	}
	return c.zone, c.token
}

// Observe applies the status of a peer.
func (c *Controller) Observe(peer, zone string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A holder that does not know the zone yet may hold the lease of another one, whose tokens
	// cannot be compared.
	if token == 0 || zone == "" {
		delete(c.holders, peer)
		return
	}
	c.holders[peer], c.zone = token, zone
}

// sendLoop sends the counts of this instance at intervals, and after the end of each window.
func (c *Controller) sendLoop(ctx context.Context) {
	// flushed is the last window after whose end counts were sent.
	failures, flushed := 0, c.Counter.since-1
	for {
		wait, flush := c.Timing.nextSend(c.clock.True(time.Now()), flushed, len(c.Instances()), failures)
		if !pause.For(ctx, wait) {
			return
		}
		if flush {
			flushed = c.Timing.flushedBy(c.clock.True(time.Now()))
		}
		switch {
		// Little was counted in the window that began with a flush.
		case c.sendToHolder(ctx, !flush):
			failures = 0
		case c.holder().token == 0:
			// Nothing was sent, and the first try with a holder is due soon.
			failures = 1
		default:
			failures++
		}
	}
}

// copyLoop sends copies of the counts of this instance after the end of each window, and again
// until they are received. It does not wait for a holder that does not respond.
func (c *Controller) copyLoop(ctx context.Context) {
	failures, copied := 0, c.Counter.since-1
	for {
		wait := c.Timing.nextCopy(c.clock.True(time.Now()), copied, failures)
		if !pause.For(ctx, wait) {
			return
		}
		if through, ok := c.sendCopy(ctx); ok {
			failures, copied = 0, through
		} else {
			failures++
		}
	}
}

// nextSend returns the time until counts are sent again after those of a window, with a number
// of other instances and after a number of failures, and whether another window ends before.
func (t Timing) nextSend(at time.Duration, flushed int64, instances, failures int) (wait time.Duration, flush bool) {
	wait = sendInterval(instances)
	if failures > 0 {
		wait = resendDelay(instances, failures)
	}
	if t.untilEndAfter(flushed, at) < wait {
		return t.untilFlush(flushed, at), true
	}
	return wait, false
}

// nextCopy returns the time until copies are sent again after those of a window were received,
// and after a number of failures. No instance keeps the copies of many, so that the interval does
// not rise with the size of the fleet.
func (t Timing) nextCopy(at time.Duration, copied int64, failures int) time.Duration {
	if failures > 0 {
		return resendDelay(0, failures)
	}
	return t.untilFlush(copied, at)
}

// untilFlush returns the time until counts are sent after the end of the window that follows the
// given one.
func (t Timing) untilFlush(window int64, at time.Duration) time.Duration {
	return max(0, t.untilEndAfter(window, at)+flushDelay) + rand.N(flushJitter)
}

// flushedBy returns the last window whose counts are sent by a flush at a true time.
func (t Timing) flushedBy(at time.Duration) int64 { return t.WindowAt(at-flushDelay) - 1 }

// untilEndAfter returns the time until the end of the window that follows the given one, negative
// if it has ended. A given window that has not ended is due to a clock that was set back.
func (t Timing) untilEndAfter(window int64, at time.Duration) time.Duration {
	return t.EndOf(min(window+1, t.WindowAt(at))) - at
}

// sendInterval returns the time between two messages to the holder.
func sendInterval(instances int) time.Duration {
	return max(minSendInterval, time.Duration(instances)*sendIntervalPerInstance)
}

// resendDelay returns the time before counts that did not arrive are sent again.
func resendDelay(instances, failures int) time.Duration {
	wait := min(sendInterval(instances), resendInterval<<min(failures-1, 8))
	return wait + rand.N(wait)/2
}

// SendCounts sends the counts that changed to the holder, if there is one, and reports
// whether it received them.
func (c *Controller) SendCounts(ctx context.Context) bool { return c.sendToHolder(ctx, true) }

func (c *Controller) sendToHolder(ctx context.Context, running bool) bool {
	h := c.holder()
	if h.token == 0 {
		return false
	}
	if h.holder != c.Mesh.Self().Name {
		_, received := c.sendCounts(ctx, h, running)
		return received
	}
	now := time.Now()
	c.collector.Merge(c.Counter.Changes(0, 0, now), c.clock, now)
	return true
}

// sendCopy sends the counts that changed to an instance of another zone than the holder's, for
// a successor: the instances of a zone may end together. Each sender has a backup of its own,
// so that none receives the copies of all. It returns the last window whose counts the backup
// has, or false if they were not received.
func (c *Controller) sendCopy(ctx context.Context) (through int64, received bool) {
	self := c.Mesh.Self()
	instances := append(c.Instances(), Instance{Name: self.Name, Zone: self.Zone, Reachable: true})
	h := c.holder()
	if h.token == 0 {
		return 0, false
	}
	backup := backupFor(self.Name, h.holder, instances)
	if backup == "" {
		return 0, false
	}
	return c.sendCounts(ctx, holding{holder: backup}, false)
}

// backupFor returns the instance that keeps the copies of another one, by rendezvous hashing
// over those outside of the holder's zone, or empty if there is none.
func backupFor(sender, holder string, instances []Instance) (backup string) {
	zone, highest := "", uint64(0)
	for _, i := range instances {
		if i.Name == holder {
			zone = i.Zone
		}
	}
	for _, i := range instances {
		// An instance has its own counts.
		if sum := xxhash.Sum64String(i.Name + "/" + sender); i.Reachable && i.Zone != zone && i.Name != sender && sum > highest {
			backup, highest = i.Name, sum
		}
	}
	return backup
}

// sendCounts sends the counts that changed, those of the window that goes on only if running is
// set. It returns the last window whose counts the receiver has, or false if they were not received.
func (c *Controller) sendCounts(ctx context.Context, h holding, running bool) (through int64, received bool) {
	now := time.Now()
	decided := c.decidedAt(c.clock.True(now))
	c.mu.Lock()
	known := c.acked[h]
	c.mu.Unlock()
	counts := c.Counter.changes(known, decided, now, running)
	counts.Instance = ""
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	response, err := mesh.Call[countsRequest, countsResponse](ctx, c.Mesh, h.holder, methodCounts, &countsRequest{Token: h.token, Counts: counts})
	if err != nil {
		c.Log.WithField("peer", h.holder).WithError(err).Debug("usage: Cannot send counts.")
		return 0, false
	}
	receivedAt := time.Now()
	if delay := receivedAt.Sub(now); response.TimeMS > 0 && delay < maxAdoptedDelay {
		c.clock.Adopt(time.Duration(response.TimeMS)*time.Millisecond+delay/2, receivedAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// What an earlier run of the receiver has confirmed is gone, and has to be sent again.
	if !response.Received {
		delete(c.acked, h)
		return 0, false
	}
	for other := range c.acked {
		if (other.token == 0) == (h.token == 0) {
			delete(c.acked, other)
		}
	}
	c.acked[h] = counts.Version
	c.claims[h.holder] = response.Decided
	return counts.Through, true
}

// decidedAt returns the last window decided on that this instance knows of at a true time. A
// window that has not ended cannot have been decided on, but by a clock that was wrong.
func (c *Controller) decidedAt(at time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, window := range c.claims {
		if c.Timing.hasEnded(window, at) {
			c.decided = max(c.decided, window)
			delete(c.claims, peer)
		}
	}
	return c.decided
}

// holder returns the instance that collects: of several, the one with the highest token.
func (c *Controller) holder() (h holding) {
	reachable := make(map[string]bool)
	for _, i := range c.Instances() {
		reachable[i.Name] = i.Reachable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token > 0 {
		h = holding{c.Mesh.Self().Name, c.token}
	}
	for peer, t := range c.holders {
		if reachable[peer] && (t > h.token || t == h.token && peer < h.holder) {
			h = holding{peer, t}
		}
	}
	return h
}

func (c *Controller) handleCounts(_ context.Context, from mesh.Peer, q *countsRequest) (*countsResponse, error) {
	now := time.Now()
	if q.Counts.Instance == "" {
		q.Counts.Instance = from.Name
	}
	merged := c.collector.Merge(q.Counts, c.clock, now)
	c.mu.Lock()
	response := &countsResponse{Received: merged && (c.token == q.Token || q.Token == 0), Decided: c.decided}
	tell := c.timeKnown && response.Received && q.Token > 0
	c.mu.Unlock()
	if tell {
		response.TimeMS = c.clock.True(now).Milliseconds()
	}
	return response, nil
}

func (c *Controller) handleOpen(_ context.Context, _ mesh.Peer, q *openRequest) (*openResponse, error) {
	c.collector.Merge(c.Counter.Changes(0, 0, time.Now()), c.clock, time.Now())
	runs, next := c.collector.Open(q.Decided, q.From, maxOpenBytes)
	now := time.Now()
	return &openResponse{Decided: c.decidedAt(c.clock.True(now)), TimeMS: c.clock.Own(now).Milliseconds(), Runs: runs, Next: next}, nil
}
