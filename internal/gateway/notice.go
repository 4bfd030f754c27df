package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/fleet"
)

// noticeMetrics count what targets say of themselves in their answers.
type noticeMetrics struct{ leaving, quiet prometheus.Counter }

func newNoticeMetrics(registerer prometheus.Registerer) noticeMetrics {
	m := noticeMetrics{
		leaving: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_targets_leaving_total", Help: "Targets taken out of use because their answers said that they leave."}),
		quiet:   prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_targets_quiet_total", Help: "Answers by which a target wants no requests for a while."}),
	}
	registerer.MustRegister(m.leaving, m.quiet)
	return m
}

// onNotice applies what an answer says about the target that made it. That a target leaves
// goes to the peers too: its streams are about to end, and the holder of its zone's
// placement lease has to place its models elsewhere. That it wants no requests for a while
// concerns this instance only.
func (g *Gateway) onNotice(t *fleet.Target, n call.Notice) {
	now := time.Now()
	if n.Leaving && g.fleet.MarkLeaving(t.ID, t.BornMS, now) {
		g.notices.leaving.Inc()
		g.leavingChanged.Store(true)
		g.exchange.TriggerBroadcast()
		g.log.WithFields(log.Fields{"target": t.ID, "zone": t.Zone, "born_ms": t.BornMS}).Info("gateway: Target leaves, as its answer says.")
	}
	if n.RetryAfter > 0 {
		g.notices.quiet.Inc()
		taken := g.dispatcher.Quiet(t.ID, n.RetryAfter, now)
		g.log.WithFields(log.Fields{
			"target": t.ID, "zone": t.Zone, "wanted_ms": n.RetryAfter.Milliseconds(), "quiet_ms": taken.Milliseconds(),
		}).Info("gateway: Target wants no requests for a while.")
	}
}

// onCallNotice applies what the answer to a call says about the target that made it.
func (g *Gateway) onCallNotice(t *fleet.Target, n call.Notice, sentAt time.Time) {
	g.onNotice(t, n)
	g.rates.observe(t, n, sentAt, false)
}

// onControlNotice applies what the answer to a report or an order says about the target.
func (g *Gateway) onControlNotice(t *fleet.Target, n call.Notice, sentAt time.Time) {
	g.onNotice(t, n)
	g.rates.observe(t, n, sentAt, true)
}

// onRestart records that a target started anew, which its announcement does not show yet:
// it is cold, and peers that did not read its report do not know.
func (g *Gateway) onRestart(t *fleet.Target) {
	g.dispatcher.SuspectCold(t.ID, time.Now())
	g.exchange.TriggerBroadcast()
	g.log.WithFields(log.Fields{"target": t.ID, "zone": t.Zone, "announced_born_ms": t.BornMS}).Info("gateway: Target started anew, as its report says.")
}
