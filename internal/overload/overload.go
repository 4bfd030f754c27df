// Package overload decides which calls of model engines are accepted while there is less
// engine time than callers ask for. Each instance decides locally, from the predicted wait
// at the best candidate, which contains the work of all instances, and from the engine time
// that all instances are asked for, as peers report it. The package does no I/O and takes
// the current time as an argument. See docs/design/overload.md.
package overload

import (
	"math"
	"sync"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// backlogShare is the part of the target latency of the most urgent route that calls
	// may wait at the best candidate during a shortage. The rest is for the call's own
	// prefill and for work that other instances send before they hear of one another.
	backlogShare = 0.3
	// beginShare is the part of that target latency above which the mean wait begins a
	// shortage. It is higher than backlogShare: calls that arrive close together wait that
	// long for a moment while there is engine time for all.
	beginShare = 0.5
	// beginDelay is how long the mean wait has to be that long. Shorter peaks are calls that
	// come together, or prompts that engines do not have in their caches yet.
	beginDelay = 400 * time.Millisecond
	// waitHalfLife smooths the predicted waits of successive calls; minWaitWeight is the
	// least weight of one of them, so that many calls at once are a mean of at least ten.
	waitHalfLife  = 500 * time.Millisecond
	minWaitWeight = 0.1
	// longWaitWeight is the weight of one call in the share of long waits, and longWaitShare
	// the share above which late calls are refused before a shortage has begun. It takes 7
	// long waits in a row to reach it, so that a model with one busy copy does not suffice.
	longWaitWeight = 0.1
	longWaitShare  = 0.5
	// idleTimeout is the time without calls after which a shortage has ended.
	idleTimeout = 2 * time.Second
	// endShare is the part of that target latency below which the mean wait ends a shortage,
	// once it has stayed below for endDelay. Views of other instances are up to 1.3 s old.
	endShare = 0.15
	endDelay = 1500 * time.Millisecond
	// minSlope is the least change of the predicted wait that turns "accept all" into
	// "refuse all". A steeper response oscillates with views up to 1.3 s old.
	minSlope = time.Second
	// maxRefused is the largest part of the work that is refused: calls of the highest
	// value are always accepted, as engines begin them first.
	maxRefused = 0.97
	// lateWorth is the assumed worth of a response after the target latency, relative to
	// one in time. Deployments state 0.04 to 0.3.
	lateWorth = 0.1
	// overShareWorth is the factor for work of an account beyond its fair share. With
	// the default weights, such work counts as work two ranks lower. A smaller factor
	// costs more of the value of large accounts than it gives to the others.
	overShareWorth = 0.25
	// rankFloor is the part of the engine time that each rank gets at least, if it asks
	// for as much.
	rankFloor = 0.03
	// floorBurst is how much of its floor a rank may save up.
	floorBurst = 2 * time.Second
	// maxRanks bounds the ranks that are told apart. Higher ranks count as the last one.
	maxRanks = 8
	// refreshInterval is the time between two computations of the cutoffs.
	refreshInterval = 100 * time.Millisecond
	// mixHalfLife is the half-life of the observed mix of the work.
	mixHalfLife = 3 * time.Second
	// efficiency is the engine time that one target serves in one second, as estimated
	// for calls. It is learned from the waits: efficiencyGain is its relative change in a
	// second if no call waits.
	efficiencyGain               = 0.3
	minEfficiency, maxEfficiency = 0.25, 2.5
	// efficiencyHalfLife is the half-life of a learned efficiency without a shortage. One that
	// begins again within seconds starts from what was learned; after minutes the calls and
	// targets may be others.
	efficiencyHalfLife = time.Minute
)

// DefaultRankWeights are the weights of ranks 0, 1, and 2 and above.
var DefaultRankWeights = []float64{4, 2, 1}

// Call is what a decision needs to know of a call.
type Call struct {
	Service string
	// Kind names the calls whose sizes are compared, such as those of one route.
	Kind    string
	Account string
	// Rank is the priority of the account, else of the route; 0 is the most urgent.
	Rank int
	// Size is the size of the generation in tokens; 0 if unknown.
	Size int
	// EngineTime is the engine time that the call takes at the best candidate.
	EngineTime time.Duration
	// Expected is the predicted time to the first event at the best candidate, and Wait the
	// part of it that other calls cause.
	Expected, Wait time.Duration
	// IdleExpected is the predicted time to the first event at the best candidate without any
	// calls; 0 if there is none. It is needed only if MayRefuse.
	IdleExpected time.Duration
	// TargetLatency is the time within which the first event has its full value; 0 if the
	// route has none. Elapsed is the time since the call arrived.
	TargetLatency, Elapsed time.Duration
	// TimeLeft is how long the caller goes on; 0 if unknown. A refused caller is not told to
	// come back later.
	TimeLeft time.Duration
	// Begun is set if the call was accepted before, as a stream that is taken up again. It
	// is counted but not refused.
	Begun bool
}

// Reason says why a call is accepted or refused. It is the label of a metric.
type Reason string

// Reasons of decisions.
const (
	// Unknown: nothing is known of the service. The call is accepted.
	Unknown Reason = "unknown"
	// NoShortage: there is enough engine time. The call is accepted.
	NoShortage Reason = "no_shortage"
	// Begun: the call was accepted before.
	Begun Reason = "begun"
	// Value: the call's value for its engine time is high enough to be accepted.
	Value Reason = "value"
	// Floor: the call is accepted as part of the least engine time of its rank.
	Floor Reason = "floor"
	// Idle: calls of higher value would take all engine time, but the call is accepted because a
	// candidate without any calls can answer within the target latency. It is sent there.
	Idle Reason = "idle"
	// LowValue: calls of higher value for their engine time take all of it.
	LowValue Reason = "low_value"
	// OverShare: as LowValue, and the account takes more than its fair share.
	OverShare Reason = "over_share"
	// Late: as LowValue, and the response would come after the target latency.
	Late Reason = "late"
	// TooLate: no target can answer before the caller leaves. The call is refused whether or
	// not there is a shortage, and no Controller decides on it.
	TooLate Reason = "too_late"
)

// Decision is the outcome for one call.
type Decision struct {
	Accept bool
	Reason Reason
	// RetryAfter is when the caller of a refused call should come back.
	RetryAfter time.Duration
	// Refused is the part of the work that is refused at the call's wait, from 0 to 1.
	Refused float64
}

// Supply is what serves the calls of a service.
type Supply struct {
	// Targets is the number of targets that take calls. Instances is the number of
	// instances that may be alive, including this one and those that are unreachable.
	Targets, Instances int
	// UrgentLatency is the least target latency of the routes of the service.
	UrgentLatency time.Duration
}

// part returns a part of the least target latency.
func (s Supply) part(share float64) time.Duration {
	return time.Duration(share * float64(s.UrgentLatency))
}

// Controller decides on the calls of all services. It is safe for concurrent use.
type Controller struct {
	weights []float64

	mu       sync.Mutex
	services map[string]*service
	// kinds holds the mean size of the calls of each kind.
	kinds map[string]*meanSize
}

// NewController returns a controller. The weights are those of ranks 0, 1 and so on; the
// last one is that of all further ranks. Without any, DefaultRankWeights apply.
func NewController(weights []float64) *Controller {
	if len(weights) == 0 {
		weights = DefaultRankWeights
	}
	return &Controller{weights: weights, services: make(map[string]*service), kinds: make(map[string]*meanSize)}
}

// service is the state of one service.
type service struct {
	supply Supply
	// wait is the smoothed predicted wait, last updated at waitAt.
	wait   time.Duration
	waitAt time.Time
	// longWaits is the smoothed share of calls that wait for the whole least target latency.
	longWaits float64
	// short is set during a shortage. belowBeginAt is when the mean wait was last too short for
	// one to begin, aboveEndAt when it was last too long for one to end. beganAt is when the last
	// shortage began, and lastShortAt when it was last seen.
	short                    bool
	belowBeginAt, aboveEndAt time.Time
	beganAt, lastShortAt     time.Time
	efficiency               float64
	demand                   demand
	refreshedAt              time.Time
	// acceptedByRank is the decaying engine time of accepted calls by rank, in seconds;
	// aheadShare is the part of it of each rank and those before it.
	acceptedByRank, aheadShare [maxRanks]float64
	// floors holds the engine time left of each rank's floor, in seconds.
	floors [maxRanks]float64
	// base is the part of the work to be refused by the demand and supply alone.
	base float64
	// acceptCredit accumulates the accepted part of the calls at the cutoff; each whole call of
	// it is accepted.
	acceptCredit float64
	// returnsUntil is when the next refused caller should come back. spread is a sequence of
	// evenly distributed values from 0 to 1 for callers that would come back later than at most.
	returnsUntil time.Time
	spread       float64
}

// SetSupply records what serves the calls of a service. It is called regularly.
func (c *Controller) SetSupply(name string, supply Supply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		s = &service{efficiency: 1, demand: newDemand()}
		c.services[name] = s
	}
	s.supply = supply
	s.demand.interval = max(minReportInterval, time.Duration(supply.Instances)*reportIntervalPerInstance)
}

// Short reports whether a service has a shortage.
func (c *Controller) Short(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	return s != nil && s.short
}

// MayRefuse reports whether calls of a service may be refused: during a shortage, and if one
// is about to begin.
func (c *Controller) MayRefuse(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	return s != nil && (s.short || s.longWaits > longWaitShare)
}

// Decide decides whether a call is accepted.
func (c *Controller) Decide(q Call, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[q.Service]
	if s == nil || s.supply.Targets <= 0 || s.supply.UrgentLatency <= 0 || q.EngineTime <= 0 {
		return Decision{Accept: true, Reason: Unknown}
	}
	rank := min(max(q.Rank, 0), maxRanks-1)
	s.observeWait(q.Wait, now)
	s.refresh(now)
	a := s.demand.account(q.Account)
	cost := q.EngineTime.Seconds()
	worth := c.weights[min(rank, len(c.weights)-1)] * c.relativeValue(q) / cost
	plainBin := binOf(worth)
	late, over := s.isLate(q, rank), a.isOverShare(plainBin)
	if late {
		worth *= lateWorth
	}
	if over {
		worth *= overShareWorth
	}
	bin := binOf(worth)
	s.demand.add(a, bin, plainBin, cost)
	d := s.judge(q, bin, rank, cost, late)
	switch {
	case d.Accept:
		s.acceptedByRank[rank] += cost
		s.floors[rank] -= cost
		return d
	case over:
		d.Reason = OverShare
	case late:
		d.Reason = Late
	}
	d.RetryAfter = s.retryAfter(cost, q.TimeLeft, now)
	return d
}

// judge applies the cutoff.
func (s *service) judge(q Call, bin, rank int, cost float64, late bool) Decision {
	d := Decision{Accept: true}
	// Before a shortage has begun, calls are refused only if most of the recent ones wait for
	// the whole least target latency: it is then about to begin.
	allowed := s.supply.UrgentLatency
	if s.short {
		allowed, d.Refused = s.supply.part(backlogShare), s.base
	} else if !late || q.Wait <= allowed || s.longWaits <= longWaitShare {
		d.Reason = NoShortage
		return d
	}
	slope := max(minSlope, 2*s.supply.UrgentLatency)
	d.Refused = min(max(d.Refused+(q.Wait-allowed).Seconds()/slope.Seconds(), 0), maxRefused)
	cutoff, kept := s.demand.cutoff(d.Refused)
	switch {
	case q.Begun:
		d.Reason = Begun
	case bin > cutoff || bin == cutoff && s.keepsNext(kept):
		d.Reason = Value
	case s.floors[rank] >= min(cost, s.floorCapacity()):
		d.Reason = Floor
	case q.IdleExpected > 0 && (q.TargetLatency <= 0 || q.Elapsed+q.IdleExpected <= q.TargetLatency):
		d.Reason = Idle
	default:
		d.Accept, d.Reason = false, LowValue
	}
	return d
}

// keepsNext accepts the given part of the calls at the cutoff.
func (s *service) keepsNext(part float64) bool {
	if s.acceptCredit += part; s.acceptCredit < 1 {
		return false
	}
	s.acceptCredit--
	return true
}

// isLate reports whether the first event would come after the target latency. An engine
// begins waiting calls by rank, so that only the part of the wait counts that is caused by
// calls of this rank and those before it.
func (s *service) isLate(q Call, rank int) bool {
	if q.TargetLatency <= 0 {
		return false
	}
	ahead := time.Duration(s.aheadShare[rank] * float64(q.Wait))
	return q.Elapsed+q.Expected-q.Wait+ahead > q.TargetLatency
}

// observeWait updates the smoothed wait and begins and ends shortages.
func (s *service) observeWait(wait time.Duration, now time.Time) {
	weight := minWaitWeight
	if !s.waitAt.IsZero() {
		weight = max(weight, 1-math.Exp2(-now.Sub(s.waitAt).Seconds()/waitHalfLife.Seconds()))
	}
	s.wait += time.Duration(weight * float64(wait-s.wait))
	// Without calls, nothing is known of the time before this one.
	idle := now.Sub(s.waitAt) > idleTimeout
	s.waitAt = now
	if idle {
		s.short, s.longWaits = false, 0
	}
	s.longWaits -= longWaitWeight * s.longWaits
	if wait > s.supply.UrgentLatency {
		s.longWaits += longWaitWeight
	}
	if s.wait > s.supply.part(endShare) {
		s.aboveEndAt = now
	}
	if s.wait <= s.supply.part(beginShare) || idle {
		s.belowBeginAt = now
	}
	switch {
	case !s.short && now.Sub(s.belowBeginAt) > beginDelay:
		s.short, s.beganAt = true, now
	case s.short && now.Sub(s.aboveEndAt) > endDelay:
		s.short = false
	}
	if s.short {
		s.lastShortAt = now
	}
}

// refresh brings the cutoffs up to date, at most every refreshInterval.
func (s *service) refresh(now time.Time) {
	elapsed := now.Sub(s.refreshedAt)
	if s.refreshedAt.IsZero() {
		elapsed = refreshInterval
	}
	if elapsed < refreshInterval {
		return
	}
	s.refreshedAt = now
	s.relaxEfficiency(elapsed)
	elapsed = min(elapsed, floorBurst)
	s.learnEfficiency(elapsed)
	keep := math.Exp2(-elapsed.Seconds() / mixHalfLife.Seconds())
	sum := 0.0
	for r := range s.acceptedByRank {
		s.acceptedByRank[r] *= keep
		sum += s.acceptedByRank[r]
	}
	ahead := 0.0
	for r := range s.acceptedByRank {
		ahead += s.acceptedByRank[r]
		s.aheadShare[r] = 1
		if sum > 0 {
			s.aheadShare[r] = ahead / sum
		}
	}
	income := s.floorIncome()
	for r := range s.floors {
		// Debt is bounded too: a rank that had much is not kept from its floor for long.
		s.floors[r] = min(max(s.floors[r], -s.floorCapacity())+income*elapsed.Seconds(), s.floorCapacity())
	}
	s.base = 0
	served := 1.0
	if asked := s.demand.refresh(s.supply.Instances, now); asked > 0 {
		served = min(1, float64(s.supply.Targets)*s.efficiency/asked)
		s.base = 1 - served
	}
	s.demand.shareOut(served)
}

// floorIncome is the floor of each rank at this instance, in seconds of engine time a
// second.
func (s *service) floorIncome() float64 {
	return rankFloor * s.perInstance()
}

func (s *service) floorCapacity() float64 { return s.floorIncome() * floorBurst.Seconds() }

// perInstance is this instance's part of the engine time, in seconds a second.
func (s *service) perInstance() float64 {
	return float64(s.supply.Targets) * s.efficiency / float64(max(1, s.supply.Instances))
}

// learnEfficiency corrects the efficiency so that the mean wait comes to the allowed one.
func (s *service) learnEfficiency(elapsed time.Duration) {
	if !s.short {
		return
	}
	allowed := float64(s.supply.part(backlogShare))
	lack := min(max((allowed-float64(s.wait))/allowed, -1), 1)
	s.efficiency = min(max(s.efficiency*math.Exp(efficiencyGain*lack*elapsed.Seconds()), minEfficiency), maxEfficiency)
}

// relaxEfficiency lets the efficiency decay towards 1 while there is no shortage.
func (s *service) relaxEfficiency(elapsed time.Duration) {
	if !s.short {
		s.efficiency = 1 + (s.efficiency-1)*math.Exp2(-elapsed.Seconds()/efficiencyHalfLife.Seconds())
	}
}

// meanSize is a decaying mean of sizes.
type meanSize struct{ mean, count float64 }

// maxSizeCount bounds the calls over which the mean size of a kind is taken.
const maxSizeCount = 200

// relativeValue returns the value of a call relative to the mean of its kind.
func (c *Controller) relativeValue(q Call) float64 {
	if q.Size <= 0 {
		return 1
	}
	k := c.kinds[q.Kind]
	if k == nil {
		k = &meanSize{}
		c.kinds[q.Kind] = k
	}
	k.count = min(k.count+1, maxSizeCount)
	k.mean += (float64(q.Size) - k.mean) / k.count
	return 0.3 + 0.7*float64(q.Size)/k.mean
}

// stepTime is the time of one step of an engine with few calls, from the platform's figures.
const stepTime = 5470 * time.Microsecond

// EngineTime returns the engine time that a call takes: its prefill, and its part of the
// slots or of the memory, whichever is larger, for as long as it holds them.
func EngineTime(prefill time.Duration, promptTokens, outputTokens, slots, memoryTokens int) time.Duration {
	promptTokens, outputTokens = call.BoundTokens(promptTokens, memoryTokens), call.BoundTokens(outputTokens, memoryTokens)
	part := 0.0
	if slots > 0 {
		part = 1 / float64(slots)
	}
	if memoryTokens > 0 {
		part = max(part, float64(promptTokens+outputTokens)/float64(memoryTokens))
	}
	held := prefill + time.Duration(outputTokens)*stepTime
	return max(prefill, time.Duration(min(part, 1)*float64(held)))
}
