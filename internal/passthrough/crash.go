package passthrough

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/upstream"
)

const (
	// crashWindow is the time from the first event of a stream within which the end of the
	// target is attributed to the parts of the prompt.
	crashWindow = 250 * time.Millisecond
	// requestCrashWindow is the same for the request. It is longer, because few calls have
	// the same request.
	requestCrashWindow = 2 * time.Second
	// noTrialRetryAfter is the time after which callers come back if no trial can be asked
	// for.
	noTrialRetryAfter = time.Second
	// minTrialRetryAfter is the shortest time after which callers come back for a trial.
	minTrialRetryAfter = 100 * time.Millisecond
)

// refuseQuarantined ends the call if a part of its prompt is quarantined.
func (f *forwarder) refuseQuarantined() bool {
	left, quarantined := f.Quarantine.Check(f.call.Prefix, f.Now())
	if quarantined {
		f.Quarantine.Refused()
		f.giveUp("quarantined_prompt", left)
	}
	return quarantined
}

// refuseHeldRequest ends the call if its request is quarantined, or is on trial and this call
// is not the trial. On trial, the request reaches one target.
func (f *forwarder) refuseHeldRequest(ctx context.Context) bool {
	arrived := f.sends > f.connectFailures
	if f.endTrial != nil && !arrived {
		return false
	}
	hold, left := f.checkRequest()
	switch {
	case f.endTrial != nil:
		left = noTrialRetryAfter
	case hold == quarantine.Free:
		return false
	case hold == quarantine.OnTrial && arrived:
		left = noTrialRetryAfter
	case hold == quarantine.OnTrial:
		if left = f.beginTrial(ctx); f.endTrial != nil {
			return false
		}
	}
	f.Quarantine.Refused()
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "request": requestText(f.request()), "route": f.route.Name, "account": f.accountName(), "on_trial": hold != quarantine.Quarantined,
	}).Info("passthrough: Request of the call is held back.")
	f.giveUp("quarantined_request", left)
	return true
}

// beginTrial sets endTrial if a trial of the request is granted, and else returns the time
// until the next one.
func (f *forwarder) beginTrial(ctx context.Context) time.Duration {
	if f.Trials == nil {
		return noTrialRetryAfter
	}
	request := f.request()
	end, wait := f.Trials.Begin(ctx, f.service, request.ID)
	if f.endTrial = end; end == nil {
		return max(wait, minTrialRetryAfter)
	}
	f.Log.WithFields(log.Fields{"call": f.call.ID, "request": requestText(request)}).Info("passthrough: Call is the trial of its request.")
	return 0
}

// checkRequest returns what applies to the request of the call. Unlike the rest it may be
// used beside an attempt.
func (f *forwarder) checkRequest() (quarantine.Hold, time.Duration) {
	if !f.suspectsRequest() {
		return quarantine.Free, 0
	}
	return f.Quarantine.CheckRequest(f.request().ID, f.Now())
}

// suspectsRequest reports whether targets crashed under a request like that of the call. It
// costs next to nothing while there is no such request.
func (f *forwarder) suspectsRequest() bool {
	return f.Quarantine.TracksRequests() && f.Quarantine.Suspects(quarantine.HeadOf(f.accountName(), f.call))
}

// request identifies the request of the call. It reads the whole body.
func (f *forwarder) request() quarantine.Request {
	return quarantine.RequestOf(f.accountName(), f.call)
}

// accountName returns the name of the client account, empty on anonymous routes.
func (f *forwarder) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}

// blamesPrompt reports whether the end of the target would be attributed to parts of the
// prompt: the call has parts that other calls share, and its answer has just begun or not
// yet.
func (f *forwarder) blamesPrompt(ticket *dispatch.Ticket) bool {
	return len(f.call.Prefix) > 1 && f.within(ticket, crashWindow)
}

// blamesRequest reports whether the end of the target would be attributed to the request:
// within the answer, or a stream that has not gone on for long.
func (f *forwarder) blamesRequest(ticket *dispatch.Ticket) bool {
	return f.route.Kind != catalog.Stream || f.within(ticket, requestCrashWindow)
}

// within reports whether the answer to an attempt has not begun earlier than a time ago.
func (f *forwarder) within(ticket *dispatch.Ticket, d time.Duration) bool {
	first := ticket.FirstAnswerAt()
	return first.IsZero() || f.Now().Sub(first) < d
}

// reportCrash attributes the end of the target to the call if the target has ended. With
// wait unset it returns at once, because the answer to the caller does not depend on it, else
// once the target is known to refuse connections or to accept them still.
func (f *forwarder) reportCrash(target *fleet.Target, ticket *dispatch.Ticket, err error, wait bool) {
	if upstream.EndedByPeer(err) {
		f.checkCrash(target, ticket, wait, nil)
	}
}

// checkCrash attributes the end of the target to the call if the target has ended, and else
// calls alive, which may be nil.
func (f *forwarder) checkCrash(target *fleet.Target, ticket *dispatch.Ticket, wait bool, alive func()) {
	var prefix []call.PrefixPart
	if f.blamesPrompt(ticket) {
		prefix = f.call.Prefix
	}
	address, now, onTrial := target.Address, f.Now(), f.endTrial != nil
	blamesRequest := f.blamesRequest(ticket) && (onTrial || !f.Quarantine.AnsweredLately(f.accountName(), f.call, now))
	run := quarantine.Run{TargetID: target.ID, BornMS: target.BornMS}
	report := func() {
		request := f.request()
		request.OnTrial = onTrial
		f.logCrash(target, request)
		if blamesRequest {
			f.Quarantine.Crashed(prefix, run, now, request)
			return
		}
		f.Quarantine.Crashed(prefix, run, now)
	}
	if wait && f.crashes.Ended(run, address, now) {
		report()
		return
	}
	go func() {
		switch {
		case f.crashes.EndedSoon(run, address, now):
			report()
		case alive != nil:
			alive()
		}
	}()
}

// requestText names a request in log lines.
func requestText(r quarantine.Request) string { return strconv.FormatUint(r.ID, 16) }

// logCrash logs the call under which a target ended. Calls with the same request are equal.
func (f *forwarder) logCrash(target *fleet.Target, request quarantine.Request) {
	f.Log.WithFields(log.Fields{
		"call": f.call.ID, "target": target.ID, "route": f.route.Name, "account": f.accountName(),
		"request": requestText(request),
	}).Info("passthrough: Target ended under call.")
}

// recordAnswered records a complete answer, which shows that neither a part of the prompt nor
// the request crashes targets. The end of a connection alone does not show it: the target may
// have ended.
func (f *forwarder) recordAnswered(target *fleet.Target, ticket *dispatch.Ticket, response *upstream.Response) {
	if response.Status >= http.StatusInternalServerError || ticket.FirstAnswerAt().IsZero() {
		return
	}
	if !response.EndsWithConnection {
		f.recordSound(response.Status)
		return
	}
	if response.Status < http.StatusMultipleChoices && f.blamesRequest(ticket) {
		f.checkCrash(target, ticket, false, func() { f.recordSound(response.Status) })
		return
	}
	f.recordSound(response.Status)
}

// recordSound records an answer that is known to be complete. An answer that is no success
// says nothing of the prompt, which may not have been read.
func (f *forwarder) recordSound(status int) {
	f.Quarantine.RecordAnswer(f.accountName(), f.call, f.Now())
	var prefix []call.PrefixPart
	if status < http.StatusMultipleChoices {
		prefix = f.call.Prefix
	}
	if !f.suspectsRequest() {
		f.Quarantine.Answered(prefix, f.Now())
		return
	}
	f.Quarantine.Answered(prefix, f.Now(), f.request())
}
