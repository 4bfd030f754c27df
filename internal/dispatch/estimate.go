package dispatch

import (
	"math"
	"time"
)

const (
	// priorTokenTime is the time to read one prompt token before anything was
	// measured. Engines of the size served read 30 to 45 a millisecond.
	priorTokenTime = 30 * time.Microsecond
	// firstStep is the time of the step that yields the first token.
	firstStep = 10 * time.Millisecond
	// maxRateStep bounds how far one observation moves a model's token time, so
	// that one slow answer does not count for all.
	maxRateStep  = 1.08
	minTokenTime = time.Microsecond
	maxTokenTime = time.Millisecond
	// slownessWeight is the weight of one observation in a target's slowness.
	slownessWeight = 0.25
	// slownessHalfLife is how fast a slowness without new observations is
	// forgotten: a target that gets no calls has to be tried again.
	slownessHalfLife = 3 * time.Second
	// maxSlowness bounds the ratio of observed to expected time.
	maxSlowness = 12
	// minObserved keeps very short answers, where the network counts most, out
	// of the estimate.
	minObserved = 15 * time.Millisecond
)

// tokenTimes estimates for each model how long an engine reads one token.
type tokenTimes struct{ byModel map[string]float64 }

func newTokenTimes() *tokenTimes { return &tokenTimes{byModel: make(map[string]float64)} }

// of returns the time for one token, in nanoseconds.
func (t *tokenTimes) of(model string) float64 {
	if v, ok := t.byModel[model]; ok {
		return v
	}
	return float64(priorTokenTime)
}

// observe moves the estimate of a model by the ratio of observed to expected
// time.
func (t *tokenTimes) observe(model string, ratio float64) {
	step := min(max(ratio, 1/maxRateStep), maxRateStep)
	next := t.of(model) * step
	t.byModel[model] = min(max(next, float64(minTokenTime)), float64(maxTokenTime))
}

// level is a value that decays towards a base when nothing is observed.
type level struct {
	value float64
	at    time.Time
}

func (l *level) read(now time.Time, base float64, halfLife time.Duration) float64 {
	if l.at.IsZero() {
		return base
	}
	age := float64(now.Sub(l.at)) / float64(halfLife)
	return base + (l.value-base)*math.Exp2(-age)
}

func (l *level) observe(now time.Time, sample, base, weight float64, halfLife time.Duration) {
	before := l.read(now, base, halfLife)
	l.value, l.at = before+(sample-before)*weight, now
}
