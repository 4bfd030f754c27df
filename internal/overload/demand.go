package overload

import (
	"math"
	"time"
)

const (
	// binCount is the number of classes of value for engine time; each is binOctaves wide,
	// beginning at 2^minOctave per second.
	binCount   = 48
	binOctaves = 0.5
	minOctave  = -7
	// minElapsed is the least time between two reports of a run that gives a rate.
	minElapsed = 200 * time.Millisecond
	// minReportInterval and reportIntervalPerInstance bound the reports of an instance: in a
	// larger fleet each one sends to more peers, and the sum over all is as steady.
	minReportInterval         = time.Second
	reportIntervalPerInstance = 31 * time.Millisecond
	// reportAfter is how long after a shortage reports go on.
	reportAfter = 10 * time.Second
	// earlyReports divides the interval for the first report of a shortage after a report that
	// the instance is idle, because peers count it as asked for nothing until then.
	earlyReports = 4
	// heardIntervals is the number of report intervals for which a report counts.
	heardIntervals = 3
	// shareRounds bounds the steps to the fair share. Each step but the last excludes at
	// least one account that asks for less.
	shareRounds = 24
	// forgottenWork is the decayed work, in seconds, below which an account is dropped.
	forgottenWork = 1e-4
)

// binOf returns the class of a value for engine time, per second.
func binOf(worth float64) int {
	if worth <= 0 {
		return 0
	}
	return min(max(int(math.Floor((math.Log2(worth)-minOctave)/binOctaves)), 0), binCount-1)
}

// demand is the work that callers ask of a service, accepted or not. Mixes are decaying
// sums of engine time in seconds, own and reported by peers.
type demand struct {
	mix      [binCount]float64
	mixTotal float64
	accounts map[string]*accountDemand
	// own holds the totals since the start, in milliseconds, and reported what was last
	// reported of them.
	own, reported         [binCount]float64
	ownTotal              float64
	ownRate               float64
	ownRateTotal          float64
	refreshedAt, lastSent time.Time
	runs                  map[string]*runDemand
	// rates holds the rates of all runs side by side, because each refresh reads all of them.
	rates         []runRate
	firstReportAt time.Time
	interval      time.Duration
	// lastIdle is set if the last report was Idle. heardShortAt is when a peer last reported a
	// shortage of its own, and watchedSince when reports were first asked for.
	lastIdle                   bool
	heardShortAt, watchedSince time.Time
}

// accountDemand is the work that one account asks for.
type accountDemand struct {
	// mix is the decaying work over all instances; bins is that of this instance by its
	// value for engine time, before any reduction.
	mix           float64
	bins          [binCount]float64
	own, reported float64
	// overBin is the highest class that is beyond the fair share, -1 if none; overPart is
	// the part of that class that is beyond it. overCredit accumulates that part over calls;
	// each whole call of it counts as beyond the share.
	overBin    int
	overPart   float64
	overCredit float64
}

// runDemand holds the totals that one run of a peer last reported.
type runDemand struct {
	total    float64
	bins     [binCount]float64
	accounts map[string]float64
	// index is that of the run in demand.rates.
	index int
}

// runRate is the engine time asked of one run, in seconds a second, as of its last report.
type runRate struct {
	rate float64
	// at is the time since demand.firstReportAt, which is compared faster than a time.Time.
	at time.Duration
	// hasRate is set once two reports have arrived, or one that is Idle.
	hasRate bool
	// calm is that of the last report.
	calm bool
	run  *runDemand
}

func newDemand() demand {
	return demand{accounts: make(map[string]*accountDemand), runs: make(map[string]*runDemand), interval: minReportInterval}
}

func (d *demand) account(name string) *accountDemand {
	a := d.accounts[name]
	if a == nil {
		a = &accountDemand{overBin: -1}
		d.accounts[name] = a
	}
	return a
}

// add counts a call of this instance. bin is its class; plainBin is the class before any
// reduction. cost is in seconds.
func (d *demand) add(a *accountDemand, bin, plainBin int, cost float64) {
	d.mix[bin] += cost
	d.own[bin] += cost * 1000
	d.ownTotal += cost
	a.mix += cost
	a.own += cost * 1000
	a.bins[plainBin] += cost
}

// refresh decays the mixes and returns the engine time that callers ask of all instances,
// in seconds a second. Instances whose rate is not known are taken to be asked for the mean of
// the others. Those that have reported a shortage are compared with others that have one, this
// one among them: the rates of calm instances are known earlier and would lower the mean.
func (d *demand) refresh(instances int, now time.Time) float64 {
	elapsed := now.Sub(d.refreshedAt).Seconds()
	if d.refreshedAt.IsZero() {
		d.refreshedAt, d.ownRateTotal = now, d.ownTotal
		return 0
	}
	keep := math.Exp2(-elapsed / mixHalfLife.Seconds())
	d.ownRate = d.ownRate*keep + (1-keep)*(d.ownTotal-d.ownRateTotal)/elapsed
	d.refreshedAt, d.ownRateTotal = now, d.ownTotal
	d.mixTotal = 0
	for i := range d.mix {
		d.mix[i] *= keep
		d.mixTotal += d.mix[i]
	}
	for name, a := range d.accounts {
		a.mix *= keep
		for i := range a.bins {
			a.bins[i] *= keep
		}
		// Totals of this instance stay: peers would take a new start at 0 for no work.
		if a.mix < forgottenWork && a.own == 0 {
			delete(d.accounts, name)
		}
	}
	// The mean over a long time says little of the demand now.
	if elapsed > heardIntervals*mixHalfLife.Seconds() {
		return 0
	}
	heardSince := now.Sub(d.firstReportAt) - heardIntervals*d.interval
	short, calm, shortCount, calmCount, unratedCount := d.ownRate, 0.0, 1, 0, 0
	for i := range d.rates {
		r := &d.rates[i]
		switch {
		case r.at <= heardSince:
		case r.calm && r.hasRate:
			calm += r.rate
			calmCount++
		case r.calm:
			// Its callers may have begun just now, so that it counts as one that is silent.
		case r.hasRate:
			short += r.rate
			shortCount++
		default:
			unratedCount++
		}
	}
	asked := calm + short*float64(shortCount+unratedCount)/float64(shortCount)
	if heard := shortCount + calmCount + unratedCount; heard < instances {
		asked *= float64(instances) / float64(heard)
	}
	return asked
}

// cutoff returns the class at which the given part of the work, taken from the lowest class
// on, ends, and the part of that class that is kept.
func (d *demand) cutoff(refused float64) (bin int, kept float64) {
	left := refused * d.mixTotal
	for i, work := range d.mix {
		if work > left {
			return i, 1 - left/work
		}
		left -= work
	}
	return binCount - 1, 0
}

// shareOut finds the fair share of the accounts, max-min by engine time, if the given part
// of the work is served, and which work of each account is beyond it.
func (d *demand) shareOut(served float64) {
	total := 0.0
	for _, a := range d.accounts {
		total += a.mix
		a.overBin = -1
	}
	if served >= 1 || total <= 0 || len(d.accounts) < 2 {
		return
	}
	share := served * total / float64(len(d.accounts))
	for range shareRounds {
		left, count := served*total, 0
		for _, a := range d.accounts {
			if a.mix <= share {
				left -= a.mix
			} else {
				count++
			}
		}
		if count == 0 || left/float64(count) <= share*1.001 {
			break
		}
		share = left / float64(count)
	}
	for _, a := range d.accounts {
		if a.mix > share {
			a.markOver(1 - share/a.mix)
		}
	}
}

// markOver marks the given part of the account's work, of the lowest value, as beyond its
// share.
func (a *accountDemand) markOver(part float64) {
	total := 0.0
	for _, work := range a.bins {
		total += work
	}
	left := part * total
	for i, work := range a.bins {
		if work > left {
			a.overBin, a.overPart = i, left/work
			return
		}
		left -= work
	}
	a.overBin, a.overPart = binCount-1, 1
}

// isOverShare reports whether a call of the class is beyond the account's fair share.
func (a *accountDemand) isOverShare(bin int) bool {
	if bin != a.overBin {
		return bin < a.overBin
	}
	if a.overCredit += a.overPart; a.overCredit >= 1 {
		a.overCredit--
		return true
	}
	return false
}

// Report is the engine time that the callers of one instance have asked for since its
// start, in milliseconds. Classes and Accounts list what has changed since the report before.
// Numbers are of type uint, which msgpack encodes in as few bytes as they need.
type Report struct {
	Service string `msgpack:"s"`
	TotalMS uint   `msgpack:"t"`
	// Classes holds the work by its class of value for engine time.
	Classes  map[uint]uint   `msgpack:"c,omitempty"`
	Accounts map[string]uint `msgpack:"a,omitempty"`
	// Calm is set if the instance has no shortage, and Idle if it has had no calls for idleTimeout,
	// so that its first report gives its rate. The smoothed rate of one with calls would be too
	// low while a shortage begins.
	Calm bool `msgpack:"m,omitempty"`
	Idle bool `msgpack:"i,omitempty"`
}

// Reports returns what has changed, if a report is due. Without a shortage, here or at a peer,
// none is. An instance that has reported to be idle reports its own shortage early.
func (c *Controller) Reports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Report
	for name, s := range c.services {
		d := &s.demand
		if d.watchedSince.IsZero() {
			d.watchedSince = now
		}
		withoutCalls := now.Sub(s.waitAt) > idleTimeout
		calm := !s.short || withoutCalls
		interval := d.interval
		if d.lastIdle && !calm {
			interval = max(minReportInterval, interval/earlyReports)
		}
		if now.Sub(d.lastSent) < interval || !s.shortLately(now) && now.Sub(d.heardShortAt) >= heardIntervals*d.interval {
			continue
		}
		d.lastSent, d.lastIdle = now, withoutCalls && now.Sub(d.watchedSince) > idleTimeout
		r := d.report(name)
		r.Calm, r.Idle = calm, d.lastIdle
		out = append(out, r)
	}
	return out
}

// shortLately reports whether this instance has or recently had a shortage.
func (s *service) shortLately(now time.Time) bool {
	return !s.lastShortAt.IsZero() && now.Sub(s.lastShortAt) <= reportAfter
}

func (d *demand) report(name string) Report {
	r := Report{Service: name, TotalMS: uint(d.ownTotal * 1000), Classes: make(map[uint]uint), Accounts: make(map[string]uint)}
	for i, work := range d.own {
		if work > d.reported[i] {
			d.reported[i] = work
			r.Classes[uint(i)] = uint(work)
		}
	}
	for account, a := range d.accounts {
		if a.own > a.reported {
			a.reported = a.own
			r.Accounts[account] = uint(a.own)
		}
	}
	return r
}

// Apply records the reports of one run of a peer. The first one is a baseline.
func (c *Controller) Apply(run string, list []Report, now time.Time) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if s := c.services[r.Service]; s != nil {
			s.demand.apply(run, r, now)
		}
	}
}

func (d *demand) apply(run string, r Report, now time.Time) {
	p := d.runs[run]
	known := p != nil
	if !known {
		p = &runDemand{accounts: make(map[string]float64), index: len(d.rates)}
		d.runs[run] = p
		d.rates = append(d.rates, runRate{run: p})
	}
	last := &d.rates[p.index]
	if d.firstReportAt.IsZero() {
		d.firstReportAt = now
	}
	at := now.Sub(d.firstReportAt)
	total := float64(r.TotalMS) / 1000
	// A class or account that is new to this instance may contain earlier work, so that no
	// increase may exceed that of the total.
	increase := max(0, total-p.total)
	switch elapsed := at - last.at; {
	case !known || elapsed >= heardIntervals*d.interval:
		// The rate of a time long ago says nothing of now.
		last.hasRate, increase = false, 0
	case elapsed < minElapsed:
		increase = 0
	default:
		last.rate, last.hasRate = increase/elapsed.Seconds(), true
	}
	if r.Idle {
		last.rate, last.hasRate = 0, true
	}
	if !r.Calm {
		d.heardShortAt = now
	}
	p.total, last.at, last.calm = total, at, r.Calm
	for class, ms := range r.Classes {
		if class >= binCount {
			continue
		}
		work := float64(ms) / 1000
		d.mix[class] += min(max(0, work-p.bins[class]), increase)
		p.bins[class] = work
	}
	for account, ms := range r.Accounts {
		work := float64(ms) / 1000
		d.account(account).mix += min(max(0, work-p.accounts[account]), increase)
		p.accounts[account] = work
	}
}

// RemoveRun drops what a run of a peer has reported.
func (c *Controller) RemoveRun(run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.demand.remove(run)
	}
}

func (d *demand) remove(run string) {
	p := d.runs[run]
	if p == nil {
		return
	}
	delete(d.runs, run)
	last := len(d.rates) - 1
	d.rates[p.index] = d.rates[last]
	d.rates[p.index].run.index = p.index
	d.rates[last] = runRate{}
	d.rates = d.rates[:last]
}
