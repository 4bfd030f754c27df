package dispatch

import (
	"math"
	"time"
)

const (
	// slowPhase is the length of the phases in which a target's machine works more slowly.
	// A reading taken at a random time of such a phase still holds after a time t with
	// probability 1 - t/slowPhase, so its weight falls linearly to zero at this age. A
	// longer use would avoid targets that are fast again.
	slowPhase = 600 * time.Millisecond
	// paceTTL is the age of the newest reading from which a target counts as one that
	// reports no pace. Up to then the mean of its readings is used. At the rate of calls
	// that a target needs to be worth judging, readings arrive several times a second; no
	// reading for this time means that the target has stopped to report.
	paceTTL = 10 * time.Second
	// paceHalfTime is the time between two readings after which the later one counts three
	// quarters; it never counts less than a half. A phase is thus known after two readings,
	// while readings of one burst of answers are averaged.
	paceHalfTime = 50 * time.Millisecond
	// meanPaceHalfTime smooths the mean. It spans several phases and the pauses between
	// them, which at 15% of the time are 3.4 s.
	meanPaceHalfTime = 5 * time.Second
	minMeanWeight    = 0.02
	// noticeableChange is the relative difference to the last reported pace from which a
	// reading is passed on to peers. paceRepeat is the time after which the same reading is
	// passed on again; it keeps the mean of the peers in use, and allows for a lost status.
	noticeableChange = 0.2
	paceRepeat       = 4 * time.Second
	// residualWeight and residualHalfLife smooth the ratio of observed times to those
	// expected at the reported pace. It stands for lasting differences between machines,
	// as phases are in the pace, so it is kept longer than a slowness. The weight is high
	// because one of many instances sees few answers of a target.
	residualWeight   = 0.6
	residualHalfLife = 30 * time.Second
	maxResidual      = 4
	// paceAgeStep and paceAgeBits encode the age of a reading in a TargetLoad.
	paceAgeStep = 50 * time.Millisecond
	paceAgeBits = 4
	maxPaceAge  = 1<<paceAgeBits - 1
)

// reportedPace is the pace that a target reports: how long its work takes, 1 meaning as
// usual.
type reportedPace struct {
	recent, mean float64
	readings     int
	at           time.Time
	// residual is the decaying average of observed times over those expected at the pace.
	residual decayingAverage
	// newestAt is when this instance itself read the pace last. sent and sentAt are what
	// was last passed on to peers.
	newestAt time.Time
	sent     float64
	sentAt   time.Time
}

// read records a reading taken at a time. Readings older than the newest one are ignored.
func (r *reportedPace) read(pace float64, at time.Time) {
	gap := at.Sub(r.at)
	switch {
	case r.readings == 0 || gap >= paceTTL:
		// The mean begins at the usual pace, which counts as one reading.
		r.recent, r.mean, r.readings = pace, (1+pace)/2, 1
	case gap < 0:
		return
	default:
		r.readings++
		r.recent += (pace - r.recent) * max(0.5, 1-math.Exp2(-2*float64(gap)/float64(paceHalfTime)))
		weight := max(minMeanWeight, 1-math.Exp2(-float64(gap)/float64(meanPaceHalfTime)), 1/float64(r.readings+1))
		r.mean += (pace - r.mean) * weight
	}
	r.at = at
}

func (r *reportedPace) known(now time.Time) bool { return r.readings > 0 && now.Sub(r.at) < paceTTL }

// over returns the expected pace of work that begins now and takes the given time at the
// usual pace. It is that in the middle of the work.
func (r *reportedPace) over(work time.Duration, now time.Time) float64 {
	age := now.Sub(r.at) + work/2
	return r.mean + (r.recent-r.mean)*max(0, 1-float64(age)/float64(slowPhase))
}

// lasting returns by which factor work takes longer than the pace tells.
func (r *reportedPace) lasting(now time.Time) float64 {
	return r.residual.current(now, 1, residualHalfLife)
}

// observe records the ratio of an observed time to that expected at the pace.
func (r *reportedPace) observe(ratio float64, now time.Time) {
	r.residual.observe(now, min(max(ratio, 1.0/maxResidual), maxResidual), 1, residualWeight, residualHalfLife)
}

// takeUpdate returns the reading to pass on to peers as encoded in TargetLoad.Pace, 0 if
// there is none.
func (r *reportedPace) takeUpdate(now time.Time) int {
	age := now.Sub(r.newestAt)
	if r.newestAt.IsZero() || r.newestAt.Before(r.at) || age >= slowPhase || !r.newestAt.After(r.sentAt) {
		return 0
	}
	if math.Abs(r.recent-r.sent) < noticeableChange*r.sent && now.Sub(r.sentAt) < paceRepeat {
		return 0
	}
	r.sent, r.sentAt = r.recent, now
	return int(math.Round(100*r.recent))<<paceAgeBits | int(min(max(age, 0)/paceAgeStep, maxPaceAge))
}

// ReadPace records the pace that an answer of a target reports, 1 meaning that work takes
// as long as usual.
func (d *Dispatcher) ReadPace(id string, pace float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.state(id).pace
	r.read(pace, now)
	r.newestAt = now
}

// applyPace records a reading of a peer. It requires d.mu.
func (s *targetState) applyPace(encoded int, now time.Time) {
	if percent := encoded >> paceAgeBits; percent > 0 {
		s.pace.read(float64(percent)/100, now.Add(-time.Duration(encoded&maxPaceAge)*paceAgeStep))
	}
}

// Pace returns by which factor work of the given usual time takes longer at a target than
// usual, as the target reports, or false if it reports no pace.
func (d *Dispatcher) Pace(id string, work time.Duration, now time.Time) (float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.targets[id]
	if s == nil || !s.pace.known(now) {
		return 1, false
	}
	return s.pace.over(work, now), true
}

// paced is what the pace of a target adds to a Pick. It is zero without a reported pace.
type paced struct {
	// pace is the expected pace of the work, and atPace the time to the first answer
	// expected from it alone, without the target's residual.
	pace   float64
	atPace time.Duration
}

// applyReported scales the expected time by what the target reports, and by the lasting
// difference that it does not report. The observed slowness is not used, as it has the
// reported slow phases in it. Calls beyond the slots that the target has at this pace make
// it less preferred, but do not make its answer later: they keep their slots for longer.
func (p *Pick) applyReported(r *reportedPace, slots int, perCall time.Duration, now time.Time) {
	nominal := p.Expected
	p.pace = r.over(nominal, now)
	lasting := r.lasting(now)
	p.atPace = time.Duration(p.pace * float64(nominal))
	p.Expected = time.Duration(lasting * float64(p.atPace))
	p.Score = time.Duration(lasting * p.pace * float64(p.Score))
	if bound := slotsAtPace(slots, p.pace); slots > 0 && p.Load.Running >= bound {
		p.Score += time.Duration(float64(perCall) * float64(1+p.Load.Running-bound))
	}
}

// slotsAtPace returns the bound on the calls at a target that works at a pace. Slower work
// takes up slots for longer, and faster work gives no further slots.
func slotsAtPace(slots int, pace float64) int {
	if pace <= 1 {
		return slots
	}
	return max(1, int(float64(slots)/pace))
}

// observePace updates the residual of the target and returns the ratio of the observed time
// to that expected with what is known now. The pace of the work is taken as the mean of
// that expected and that read with the answer. It requires Dispatcher.mu.
func (s *targetState) observePace(t *Ticket, observed time.Duration, now time.Time) float64 {
	during := t.paced.pace
	if s.pace.known(now) {
		during = (during + s.pace.recent) / 2
	}
	atPace := float64(t.paced.atPace) * during / t.paced.pace
	ratio := float64(observed) / atPace / s.pace.lasting(now)
	s.pace.observe(float64(observed)/atPace, now)
	return ratio
}
