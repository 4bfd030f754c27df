package passthrough

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/overload"
)

// isUndecided reports whether a decision under load applies to the call and is still to come.
func (f *forwarder) isUndecided(service *catalog.Service) bool {
	return f.Overload != nil && !f.accepted && f.sends == 0 && service.Engine != nil && f.call.Model != ""
}

// pickWithIdle picks a target. If the call may be refused by a decision under load, it also
// returns the best target without any calls; its Target is nil if there is none. That is found
// along with the pick, as a search of its own would take longer than the decision.
func (f *forwarder) pickWithIdle(candidates []dispatch.Candidate, service *catalog.Service, now time.Time) (pick, idle dispatch.Pick, ok bool) {
	mayRefuse := f.isUndecided(service) && f.Overload.MayRefuse(f.service)
	if pick, ok = f.pickUnconfirmed(candidates, service, now); ok {
		if mayRefuse {
			idle, _ = f.Dispatcher.PickIdle(candidates, f.query(service, now))
		}
		return pick, idle, true
	}
	if mayRefuse {
		return f.Dispatcher.PickWithIdle(candidates, f.query(service, now))
	}
	pick, ok = f.Dispatcher.Pick(candidates, f.query(service, now))
	return pick, idle, ok
}

// acceptUnderLoad decides whether a call of a model is accepted, and refuses it if not. It
// decides once, before the first send: a call that was sent may have run. It returns the
// target, which is the idle one if the call is accepted because of that.
func (f *forwarder) acceptUnderLoad(pick, idle dispatch.Pick, service *catalog.Service, now time.Time) (dispatch.Pick, bool) {
	if !f.isUndecided(service) {
		return pick, true
	}
	account := ""
	if f.account != nil {
		account = f.account.Name
	}
	d := f.Overload.Decide(overload.Call{
		Service: f.service, Kind: f.route.Name, Account: account, Rank: f.urgency(),
		Size:       call.BoundTokens(f.call.MaxOutputTokens, service.Engine.KVTokens),
		EngineTime: overload.EngineTime(pick.Cost, f.call.PromptTokens, f.call.MaxOutputTokens, service.Engine.Slots, service.Engine.KVTokens),
		Expected:   pick.Expected, Wait: pick.Wait, IdleExpected: idle.Expected, TargetLatency: f.route.TargetLatency, Elapsed: now.Sub(f.call.Arrived),
		TimeLeft: f.deadline.Sub(now), Begun: f.call.LastEventID != "" && f.isResumable(),
	}, now)
	if f.accepted = d.Accept; f.accepted {
		if d.Reason == overload.Idle {
			return idle, true
		}
		return pick, true
	}
	f.refundQuota()
	f.refuseWith(f.w, f.call, http.StatusServiceUnavailable, "overload", d.RetryAfter, log.Fields{
		"overload": string(d.Reason), "route": f.route.Name, "rank": f.urgency(), "account": account, "model": f.call.Model,
		"best": pick.Target.ID, "expected_ms": pick.Expected.Milliseconds(), "wait_ms": pick.Wait.Milliseconds(), "refused_part": d.Refused,
	})
	return dispatch.Pick{}, false
}
