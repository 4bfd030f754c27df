package dispatch

import (
	"math"
	"time"
)

const (
	// defaultTokenTime is the assumed prefill time of one prompt token before the
	// first observation. Engines for models of the size served process 30 to 45
	// tokens per millisecond.
	defaultTokenTime = 30 * time.Microsecond
	// firstTokenStepTime is the time of the step that produces the first token.
	firstTokenStepTime = 10 * time.Millisecond
	// maxTokenTimeFactor bounds the change of a model's token time by one
	// observation, so that a single slow answer has little effect.
	maxTokenTimeFactor = 1.08
	minTokenTime       = time.Microsecond
	maxTokenTime       = time.Millisecond
	// maxEstimate bounds the time of one prompt and of all those that wait at a target, so that
	// sums of estimates do not overflow. No caller waits as long.
	maxEstimate = time.Hour
	// minCallTime and maxCallTime bound the estimated duration of a call of a plain service.
	minCallTime = time.Millisecond
	maxCallTime = 10 * time.Second
	// callTimeHalfLife is the half-life of a learned call time without observations. It is long
	// against maxTokenTimeFactor, so that one call in ten seconds suffices to learn the time.
	callTimeHalfLife = 5 * time.Minute
	// slownessWeight is the weight of one observation in a target's slowness.
	slownessWeight = 0.25
	// slownessHalfLife is the half-life of a slowness without new observations. It
	// decays so that a target that gets no calls is tried again.
	slownessHalfLife = 3 * time.Second
	// maxSlowness bounds the ratio of observed to expected time in one sample.
	maxSlowness = 12
	// minObservedTime is the shortest answer time used for estimates. Shorter times
	// consist mostly of network delay.
	minObservedTime = 15 * time.Millisecond
)

// tokenTimes estimates the prefill time of one prompt token for each model, and the
// duration of a call for each plain service whose targets report a pace.
type tokenTimes struct {
	byModel   map[string]float64
	byService map[string]*decayingAverage
}

func newTokenTimes() *tokenTimes {
	return &tokenTimes{byModel: make(map[string]float64), byService: make(map[string]*decayingAverage)}
}

// estimate returns the prefill time of one token in nanoseconds.
func (t *tokenTimes) estimate(model string) float64 {
	if v, ok := t.byModel[model]; ok {
		return v
	}
	return float64(defaultTokenTime)
}

// callTime returns the duration of a call of a plain service. It is learned if targets of the
// service report a pace: a target's lasting difference to the others could otherwise not be
// told from that of its service to plainCallTime.
func (t *tokenTimes) callTime(service string, now time.Time) time.Duration {
	if v := t.byService[service]; v != nil {
		return time.Duration(v.current(now, float64(plainCallTime), callTimeHalfLife))
	}
	return plainCallTime
}

// observeCall scales the duration of a call of a plain service like observe.
func (t *tokenTimes) observeCall(service string, ratio float64, now time.Time) {
	step := min(max(ratio, 1/maxTokenTimeFactor), maxTokenTimeFactor)
	next := float64(t.callTime(service, now)) * step
	t.byService[service] = &decayingAverage{min(max(next, float64(minCallTime)), float64(maxCallTime)), now}
}

// observe scales the estimate of a model by the ratio of observed to expected
// time, within maxTokenTimeFactor.
func (t *tokenTimes) observe(model string, ratio float64) {
	step := min(max(ratio, 1/maxTokenTimeFactor), maxTokenTimeFactor)
	next := t.estimate(model) * step
	t.byModel[model] = min(max(next, float64(minTokenTime)), float64(maxTokenTime))
}

// decayingAverage is an exponentially weighted moving average that decays towards
// a base value while there are no samples.
type decayingAverage struct {
	value      float64
	observedAt time.Time
}

func (l *decayingAverage) current(now time.Time, base float64, halfLife time.Duration) float64 {
	if l.observedAt.IsZero() {
		return base
	}
	age := float64(now.Sub(l.observedAt)) / float64(halfLife)
	return base + (l.value-base)*math.Exp2(-age)
}

func (l *decayingAverage) observe(now time.Time, sample, base, weight float64, halfLife time.Duration) {
	before := l.current(now, base, halfLife)
	l.value, l.observedAt = before+(sample-before)*weight, now
}
