package quarantine

import (
	"maps"
	"sync"
	"time"
)

const (
	// trialDelay is the time from the last crash under a request to its first trial. Targets
	// are back by then.
	trialDelay = 6 * time.Second
	// trialPause is the time between the first two trials of a request. It doubles with each
	// one that reached a target and neither was answered nor crashed it, up to maxTrialPause.
	trialPause    = 2 * time.Second
	maxTrialPause = 10 * time.Minute
	// serviceTimeout ends the grant of an instance that does not end it itself, as one that was
	// killed. servicePause is the time between the trials of two requests.
	serviceTimeout = 500 * time.Millisecond
	servicePause   = 100 * time.Millisecond
)

// Trials grants trials of requests: one at a time for each service, so that a target that
// ends during a trial ends under one suspect alone. Instances tell each other of the trials
// with the suspicion, for the one that grants them next. It is safe for concurrent use.
type Trials struct {
	tracker *Tracker

	mu sync.Mutex
	// services holds the time before which there is no further grant for a service.
	services map[string]time.Time
}

// NewTrials returns the trials of the requests that a tracker knows.
func NewTrials(tracker *Tracker) *Trials {
	return &Trials{tracker: tracker, services: make(map[string]time.Time)}
}

// Begin grants a trial of a request. If it does not, it returns the time until it may.
func (t *Trials) Begin(service string, request uint64, now time.Time) (wait time.Duration, granted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.services, func(_ string, at time.Time) bool { return !at.After(now) })
	wait, onTrial := t.tracker.beginTrial(request, t.services[service], now)
	if wait > 0 {
		return wait, false
	}
	if onTrial {
		t.services[service] = now.Add(serviceTimeout)
	}
	return 0, true
}

// End ends a trial. used is set if the request reached a target.
func (t *Trials) End(service string, request uint64, used bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service] = now.Add(servicePause)
	if used {
		t.tracker.endTrial(request)
	}
}

// beginTrial returns the time until a trial of a request may begin, which is not before a
// time. If it may now, it records the trial. onTrial is not set if the request needs no
// trial: the instance that asks has not heard yet that it was answered.
func (t *Tracker) beginTrial(request uint64, notBefore, now time.Time) (wait time.Duration, onTrial bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.suspects[request]
	if p == nil || !p.onTrial {
		return 0, false
	}
	due := p.trialDue()
	if notBefore.After(due) {
		due = notBefore
	}
	if wait = due.Sub(now); wait > 0 {
		t.metrics.trials.WithLabelValues("refused").Inc()
		return wait, true
	}
	t.metrics.trials.WithLabelValues("granted").Inc()
	p.triedAt = now
	t.changed[request] = true
	return 0, true
}

// trialDue returns when the next trial of a request may begin.
func (p *suspect) trialDue() time.Time {
	due := p.last().at.Add(trialDelay)
	if p.level > 0 {
		due = p.until
	}
	if p.triedAt.IsZero() {
		return due
	}
	if next := p.triedAt.Add(min(maxTrialPause, trialPause<<min(p.trials, 16))); next.After(due) {
		return next
	}
	return due
}

// endTrial records that a trial of a request reached a target.
func (t *Tracker) endTrial(request uint64) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.suspects[request]; p != nil {
		p.trials++
		t.changed[request] = true
	}
}

// SuspicionOf returns what is known of a request, nil if nothing is.
func (t *Tracker) SuspicionOf(request uint64, now time.Time) *Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.suspects[request]
	if p == nil {
		return nil
	}
	s := p.suspicion(now)
	return &s
}
