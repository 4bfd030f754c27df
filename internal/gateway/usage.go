package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/duty"
	"github.com/dotterellink/dotterellink/internal/passthrough"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/peers"
	"github.com/dotterellink/dotterellink/internal/usage"
)

const (
	// stopUsageTimeout is how long a stopping instance waits for its call to the platform
	// before it interrupts it and releases its leases.
	stopUsageTimeout = 700 * time.Millisecond
	// flushUsageTimeout bounds the last message with the counts of a stopping instance, and
	// flushUsageRetry is the time between two tries.
	flushUsageTimeout = 250 * time.Millisecond
	flushUsageRetry   = 20 * time.Millisecond
	// usageCallsPart is the part of the platform's rate of calls that usage reports may take.
	// The rest is left to orders of numbers of targets. maxUsageCalls bounds the rate.
	usageCallsPart = 0.5
	maxUsageCalls  = 3.0
)

// wireDuties sets duties.
func (g *Gateway) wireDuties() {
	if g.settings.Duties.Address == "" {
		return
	}
	g.duties = g.deps.Duties
	g.log.WithFields(log.Fields{
		"address": g.settings.Duties.Address, dutyUsageReport: g.usageDuties() != nil, dutyAutoscale: g.scalingDuties() != nil,
	}).Info("gateway: Duties of one instance configured.")
}

// usageDuties returns the calls with which usage is reported, nil if it is not reported.
func (g *Gateway) usageDuties() duty.API { return g.dutiesFor(dutyUsageReport) }

// scalingDuties returns the calls with which numbers of targets are ordered, nil if they
// are not ordered.
func (g *Gateway) scalingDuties() duty.API { return g.dutiesFor(dutyAutoscale) }

func (g *Gateway) dutiesFor(call string) duty.API {
	if !g.settings.Duties.has(call) {
		return nil
	}
	return g.duties
}

// wireUsage sets usage if it is reported.
func (g *Gateway) wireUsage() {
	api := g.usageDuties()
	if api == nil {
		return
	}
	s := g.settings.Duties
	g.usage = usage.NewController(usage.Config{
		Timing:  usage.Timing{Window: seconds(s.ReportWindowSeconds), Due: seconds(s.ReportDueSeconds)},
		Spacing: seconds(1 / min(maxUsageCalls, usageCallsPart*s.CallsPerSecond)),
		Gap:     time.Duration(g.settings.Bounds.OrderGapMS) * time.Millisecond,
		Objects: g.deps.Objects, API: api, Mesh: g.node, RunID: uuid.NewString()[:13],
		Lease: func(zone string, atLeast time.Duration) (uint64, bool) {
			return g.leases.Zone(zone).HeldFor(atLeast)
		},
		Instances: g.usageInstances, Complete: g.exchange.Complete, Log: g.log, Metrics: g.registry,
	})
}

func (g *Gateway) usageInstances() []usage.Instance {
	known, now, timeout := g.exchange.Known(), time.Now(), g.exchange.ReachableTimeout()
	out := make([]usage.Instance, 0, len(known))
	for _, p := range known {
		out = append(out, usage.Instance{
			Name: p.Name, Zone: p.Zone, Refuses: p.RefusesConnections,
			Reachable: !p.LastStatusAt.IsZero() && now.Sub(p.LastStatusAt) < timeout,
		})
	}
	return out
}

// usageCounter returns what counts calls, nil if they are not counted.
func (g *Gateway) usageCounter() passthrough.Usage {
	if g.usage == nil {
		return nil
	}
	return g.usage.Counter
}

// runUsage reports usage until ctx ends.
func (g *Gateway) runUsage(ctx context.Context) error {
	if g.usage == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return g.usage.Run(ctx)
}

func (g *Gateway) fillUsage(s *peers.Status) {
	if g.usage != nil {
		s.UsageZone, s.UsageToken = g.usage.Status()
	}
}

func (g *Gateway) observeUsage(peer string, s *peers.Status) {
	if g.usage != nil {
		g.usage.Observe(peer, s.UsageZone, s.UsageToken)
	}
}

// stopUsage ends the duty of this instance before its leases are released.
func (g *Gateway) stopUsage(ctx context.Context) {
	if g.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopUsageTimeout)
	defer cancel()
	g.usage.Stop(ctx)
}

// flushUsage sends the last counts of a stopping instance.
func (g *Gateway) flushUsage() {
	if g.usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushUsageTimeout)
	defer cancel()
	g.usage.Counter.End()
	for !g.usage.SendCounts(ctx) {
		if !pause.For(ctx, flushUsageRetry) {
			g.log.Warn("gateway: The last counts of calls could not be sent.")
			return
		}
	}
}
