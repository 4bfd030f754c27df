package usage

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/boottime"
	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/mesh"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	// intentKey is the key of the stored Intent.
	intentKey = "usage/reports"

	// stepInterval is the time between two looks at what the holder has to do.
	stepInterval = 100 * time.Millisecond
	// openTimeout bounds a question of a new holder to an instance, and how long it waits for
	// the answers of all before it takes counts. An instance that does not answer is asked again
	// after openRetryInterval. No window is closed before all instances in touch have answered
	// or openPeriod has passed: three tries fit into it, and a takeover leaves 2 s or more until
	// most windows are due.
	openTimeout       = 700 * time.Millisecond
	openRetryInterval = 250 * time.Millisecond
	openPeriod        = 3 * time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// sendTimeout bounds the first call to the platform for a report; each further one gets
	// as much longer, at most maxSendTimeout. The lease has to last as long, so that no call
	// of this holder is under way when the next one begins.
	sendTimeout    = time.Second
	maxSendTimeout = 3 * time.Second
	// gapMargin is added to the required time between two holdings.
	gapMargin = 200 * time.Millisecond
	// zoneDelay is how much longer the holder of each further zone waits before it looks for
	// the zone that gives the duty. The first one's status reaches the others by then, and
	// each call to the store is priced.
	zoneDelay = 2 * time.Second
)

// duty returns the zone whose lease gives the duty and the token of the lease, 0 if this
// instance does not hold it. While the zone is unknown, the holder of each zone's lease may
// find out and set it.
func (c *Controller) duty() (zone string, token uint64) {
	c.mu.Lock()
	zone = c.zone
	c.mu.Unlock()
	if zone == "" {
		zone = c.Mesh.Self().Zone
		zones := []string{zone}
		for _, i := range c.Instances() {
			zones = append(zones, i.Zone)
		}
		slices.Sort(zones)
		order := slices.Index(slices.Compact(zones), zone)
		if boottime.Now().Sub(c.startedAt) < time.Duration(order)*zoneDelay {
			return zone, 0
		}
	}
	token, ok := c.Lease(zone, 0)
	if !ok {
		token = 0
	}
	return zone, token
}

func (c *Controller) setToken(token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.timeKnown = token, false
	c.metrics.holder.Set(float64(min(token, 1)))
}

// Step carries out what the holder has to do now.
func (c *Controller) Step(ctx context.Context) {
	zone, token := c.duty()
	if token == 0 {
		c.setToken(0)
		return
	}
	c.mu.Lock()
	current := c.token
	c.mu.Unlock()
	if token != current {
		c.takeOver(ctx, zone, token)
	}
	for {
		now := time.Now()
		at := c.fleetTime(now)
		if at > 0 && c.collectingSince == 0 {
			c.collectingSince = c.Timing.WindowAt(at) + 1
		}
		first, _ := c.collector.First()
		action, window := c.state.Next(Input{
			Now: now, True: at, Token: token, Decided: c.decidedAt(at), First: first,
			Closed: func(w int64) bool { return c.isClosed(w, at) },
			Lost:   func(w int64) bool { return w < c.collectingSince && !c.collector.Covers(w) },
		})
		if action != GiveUp {
			c.carryOut(ctx, action, window, zone, token)
			break
		}
		c.metrics.givenUp.Inc()
		c.Log.WithFields(log.Fields{"window": window, "token": token, "late_ms": (at - c.Timing.EndOf(window) - c.Timing.Due).Milliseconds()}).
			Warn("usage: Windows up to this one given up.")
	}
	c.mu.Lock()
	c.decided = max(c.decided, c.state.Decided())
	c.mu.Unlock()
}

// fleetTime returns the true time by the clocks of most instances, or 0 if too few are known:
// the clock of this instance, or of a few, may be wrong by hours. Instances whose address
// refuses connections have ended.
func (c *Controller) fleetTime(now time.Time) time.Duration {
	running := 1
	for _, i := range c.Instances() {
		if !i.Refuses {
			running++
		}
	}
	fleet, clocks := c.collector.True(c.clock, now)
	known := 2*clocks > running
	c.mu.Lock()
	c.timeKnown = known
	c.mu.Unlock()
	if !known {
		return 0
	}
	c.clock.Adopt(fleet, now)
	return fleet
}

// takeOver asks all instances for the counts of open windows and begins to collect.
func (c *Controller) takeOver(ctx context.Context, zone string, token uint64) {
	c.collectingSince = 0
	ctx, cancel := context.WithTimeout(ctx, openPeriod)
	instances := slices.DeleteFunc(c.Instances(), func(i Instance) bool { return i.Refuses })
	asked := make(map[string]bool)
	for _, i := range instances {
		asked[i.Name] = true
	}
	decided := c.decidedAt(c.clock.True(time.Now()))
	c.mu.Lock()
	if c.stopAsking != nil {
		c.stopAsking()
	}
	c.asked, c.stopAsking = asked, cancel
	c.mu.Unlock()
	var reachable, all sync.WaitGroup
	for _, i := range instances {
		all.Add(1)
		if i.Reachable {
			reachable.Add(1)
		}
		go func() {
			defer all.Done()
			if i.Reachable {
				defer reachable.Done()
			}
			c.ask(ctx, i.Name, decided)
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(asked, i.Name)
		}()
	}
	answered := make(chan struct{})
	go func() {
		reachable.Wait()
		close(answered)
		all.Wait()
		cancel()
	}()
	select {
	case <-answered:
	case <-time.After(openTimeout):
	case <-ctx.Done():
	}
	c.collector.Merge(c.Counter.Changes(0, 0, time.Now()), c.clock, time.Now())
	c.setToken(token)
	c.Log.WithFields(log.Fields{"zone": zone, "token": token, "instances": len(c.Instances()) + 1}).Info("usage: Duty taken over.")
}

// ask asks an instance for all its counts of windows after decided, until it has answered or
// ctx ends.
func (c *Controller) ask(ctx context.Context, instance string, decided int64) {
	q := openRequest{Decided: decided}
	for {
		callCtx, cancel := context.WithTimeout(ctx, openTimeout)
		response, err := mesh.Call[openRequest, openResponse](callCtx, c.Mesh, instance, methodOpen, &q)
		cancel()
		if err != nil {
			c.Log.WithField("peer", instance).WithError(err).Debug("usage: Cannot ask for counts.")
			if !pause.For(ctx, openRetryInterval) {
				return
			}
			continue
		}
		for _, counts := range response.Runs {
			c.collector.Merge(counts, c.clock, time.Now())
		}
		c.collector.Vote(instance, response.TimeMS, c.clock, time.Now())
		c.mu.Lock()
		c.claims[instance] = response.Decided
		c.mu.Unlock()
		if q.From = response.Next; q.From == (openPosition{}) {
			return
		}
	}
}

// isClosed reports whether the holder waits no longer for counts of a window.
func (c *Controller) isClosed(window int64, at time.Duration) bool {
	after := at - c.Timing.EndOf(window)
	if after < time.Duration(earliestClose*float64(c.Timing.Due)) {
		return false
	}
	if c.Complete != nil && !c.Complete() {
		return false
	}
	late := after >= time.Duration(latestClose*float64(c.Timing.Due))
	self, through, instances := c.Mesh.Self(), c.collector.Through(), c.Instances()
	if through[self.Name] < window && !late || c.waitsForAnswer(instances) {
		return false
	}
	reachable := map[string]bool{self.Zone: true}
	for _, i := range instances {
		reachable[i.Zone] = reachable[i.Zone] || i.Reachable
	}
	for _, i := range instances {
		switch {
		case through[i.Name] >= window:
		case i.Refuses && reachable[i.Zone]:
			// Its process has ended.
		case reachable[i.Zone] || i.Refuses:
			if !late {
				return false
			}
		default:
			// The zone is cut off and its instances may be serving. They are forgotten if
			// they stay silent, after 30 s.
			return false
		}
	}
	return true
}

// waitsForAnswer reports whether an instance that is in touch has not answered the question of
// this holder yet. It may have counts of others that ended.
func (c *Controller) waitsForAnswer(instances []Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(instances, func(i Instance) bool { return i.Reachable && c.asked[i.Name] })
}

// carryOut carries out an action.
func (c *Controller) carryOut(ctx context.Context, action Action, window int64, zone string, token uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.interrupt, cancel)()
	switch action {
	case Read:
		c.read(ctx, zone, token)
	case Create:
		c.write(ctx, Intent{Zone: zone, Counts: map[string]int64{}, Token: token}, token)
	case Write:
		c.write(ctx, Intent{Zone: zone, Window: window, Counts: c.collector.Sum(window), Token: token}, token)
	case Send:
		c.send(ctx, zone, token)
	}
}

func (c *Controller) read(ctx context.Context, zone string, token uint64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := c.Objects.Get(ctx, intentKey)
	var i Intent
	if errors.Is(err, platform.ErrNotFound) {
		object, err = platform.Object{}, nil
	} else if err == nil {
		err = json.Unmarshal(object.Value, &i)
	}
	if err != nil {
		c.Log.WithError(err).Info("usage: Cannot read the last report.")
	}
	c.state.ApplyRead(token, i, object.Version, err, time.Now())
	if err != nil || i.Zone == "" {
		return
	}
	c.setZone(i.Zone)
	if i.Zone != zone {
		// What was learned under the lease of the assumed zone is void.
		c.state = NewState(c.Timing)
		c.setToken(0)
		c.Log.WithField("zone", i.Zone).Info("usage: The lease of another zone gives the duty.")
	}
}

// setZone records the zone whose lease gives the duty.
func (c *Controller) setZone(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zone = zone
}

func (c *Controller) write(ctx context.Context, i Intent, token uint64) {
	value, err := json.Marshal(i)
	if err != nil {
		c.Log.WithError(err).Error("usage: Cannot encode report.")
		return
	}
	_, expected := c.state.Intent()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := c.Objects.Put(ctx, intentKey, value, expected)
	c.state.ApplyWrite(token, i, object.Version, err, time.Now())
	if err != nil {
		c.Log.WithField("window", i.Window).WithError(err).Info("usage: Cannot write report down yet.")
		return
	}
	c.setZone(i.Zone)
}

// send sends the stored intent, if the lease lasts until the end of the call and this
// instance has sent nothing for as long as required under an earlier token.
func (c *Controller) send(ctx context.Context, zone string, token uint64) {
	i, _ := c.state.Intent()
	timeout := min(maxSendTimeout, sendTimeout*time.Duration(1+c.state.Failures()))
	now := boottime.Now()
	gap := c.Gap + gapMargin
	wait := c.Spacing
	if c.lastSendToken != token {
		wait = gap
	}
	if now.Sub(c.startedAt) < gap || !c.lastSendAt.IsZero() && now.Sub(c.lastSendAt) < wait {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	mayWrite := func() bool {
		t, ok := c.Lease(zone, timeout)
		return ok && t == token
	}
	// A connection is not worth establishing if the lease is known to end too early.
	if !mayWrite() {
		return
	}
	c.lastSendAt, c.lastSendToken = now, token
	err := c.API.ReportUsage(ctx, duty.Fence{Holder: c.Mesh.Self().Name, Token: token, MayWrite: mayWrite}, i.Window, i.Counts)
	c.lastSendAt = boottime.Now()
	c.state.ApplySend(token, i.Window, err, time.Now())
	result := duty.ResultOf(err)
	c.metrics.reports.WithLabelValues(result).Inc()
	delay := c.clock.True(time.Now()) - c.Timing.EndOf(i.Window)
	entry := c.Log.WithFields(log.Fields{"window": i.Window, "token": token, "result": result, "accounts": len(i.Counts), "after_ms": delay.Milliseconds()})
	if err != nil {
		entry.WithError(err).Info("usage: Report not accepted yet.")
		return
	}
	c.metrics.delay.Observe(delay.Seconds())
	if delay > c.Timing.Due {
		entry.Warn("usage: Window reported late.")
		return
	}
	entry.Info("usage: Window reported.")
}
