// Package forecast predicts the rate of work some seconds ahead, from its level and its
// trend (Holt's double exponential smoothing with a damped trend). It has no clock; callers
// pass the time.
package forecast

import (
	"math"
	"time"
)

// Config sets how a Series smooths and how far it extrapolates.
type Config struct {
	// Interval is the length of one sample. Work is summed up over it before it counts.
	Interval time.Duration
	// LevelHalfLife and TrendHalfLife are the times after which a sample has half its weight
	// in the level and in the trend. Without the latter there is no trend, and the level is a
	// decaying average.
	LevelHalfLife, TrendHalfLife time.Duration
	// TrendReach bounds the extrapolation: the trend is damped so that it adds at most its
	// value over this time, however far ahead the forecast is.
	TrendReach time.Duration
	// MaxChange bounds the forecast to the level times 1 ± MaxChange.
	MaxChange float64
}

// Default suits demand that moves within seconds. On waves of ±55% with a period of 15 s it
// predicts the rate in 2 s with 0.86 of the mean error of the level alone, and the rate in
// 4 s no worse than it; a longer reach predicts the rate in 8 s worse, at up to 1.5 times the
// peak. After a step to three times the rate it overshoots by a quarter.
func Default() Config {
	return Config{
		Interval: 500 * time.Millisecond, LevelHalfLife: 500 * time.Millisecond, TrendHalfLife: 500 * time.Millisecond,
		TrendReach: 1500 * time.Millisecond, MaxChange: 0.6,
	}
}

const (
	// noiseWeight is the weight of the squared error of the last samples against the squared
	// trend. A trend that is no larger than the noise of a few sparse counts is no trend.
	noiseWeight = 1.0
	// maxSamples bounds the work after a pause. Longer pauses have decayed the level to
	// nothing.
	maxSamples = 240
	// maxRate bounds a sample, so that the squares of errors stay finite.
	maxRate = 1e12
	// negligible is the rate below which level and trend are dropped.
	negligible = 1e-9
)

// Series is the forecast of one rate. The zero value is not usable; see New. It is not safe
// for concurrent use.
type Series struct {
	config Config
	// pending is the work since the end of the last sample, at sampledAt.
	pending   float64
	sampledAt time.Time
	// level is the smoothed rate in units per second, trend its change per second, noise
	// the smoothed squared error of the forecasts of one sample ahead.
	level, trend, noise float64
	// sampled is set once there was a Sample.
	sampled bool
}

// New returns a Series that begins at now and had no work before.
func New(c Config, now time.Time) *Series { return &Series{config: c, sampledAt: now} }

// Add counts work, in units, that was done in the time before now. Negative work and work that
// is no number is ignored.
func (s *Series) Add(work float64, now time.Time) {
	s.advance(now.Add(-1))
	if work > 0 && !math.IsInf(work, 1) {
		s.pending += work
	}
	s.advance(now)
}

// Sample counts a rate that was measured instead of summed up, for one interval. The first one
// is the level: nothing is known of the time before.
func (s *Series) Sample(rate float64, now time.Time) {
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return
	}
	if s.sampledAt = now; !s.sampled {
		s.sampled, s.level = true, min(max(0, rate), maxRate)
		return
	}
	s.observe(max(0, rate), s.config.Interval.Seconds())
}

// Level returns the smoothed rate in units per second.
func (s *Series) Level(now time.Time) float64 {
	s.advance(now)
	return s.level
}

// At returns the rate that is expected after a time. It is never negative, and differs from
// the level by at most the share MaxChange.
func (s *Series) At(ahead time.Duration, now time.Time) float64 {
	s.advance(now)
	reach := s.config.TrendReach.Seconds()
	if reach <= 0 || s.level <= 0 {
		return s.level
	}
	// The trend fades out exponentially; the sum over all time is the reach.
	effective := reach * (1 - math.Exp(-max(0, ahead.Seconds())/reach))
	bound := s.config.MaxChange * s.level
	return max(0, s.level+min(max(s.clearTrend()*effective, -bound), bound))
}

// clearTrend returns the trend, reduced by as much as the noise hides it.
func (s *Series) clearTrend() float64 {
	if s.trend == 0 {
		return 0
	}
	change := s.trend * s.config.TrendHalfLife.Seconds()
	signal := change * change
	return s.trend * signal / (signal + noiseWeight*s.noise)
}

// advance ends the samples that are complete at now. Work counts for the first of them.
func (s *Series) advance(now time.Time) {
	interval := s.config.Interval
	for i := 0; now.Sub(s.sampledAt) >= interval; i++ {
		if i == maxSamples {
			s.level, s.trend, s.noise, s.sampledAt = 0, 0, 0, now
			return
		}
		s.observe(s.pending/interval.Seconds(), interval.Seconds())
		s.pending, s.sampledAt = 0, s.sampledAt.Add(interval)
	}
}

// observe applies one sample of a length in seconds.
func (s *Series) observe(rate, length float64) {
	rate = min(rate, maxRate)
	weight := func(halfLife time.Duration) float64 { return 1 - math.Exp2(-length/halfLife.Seconds()) }
	levelWeight, trendWeight := weight(s.config.LevelHalfLife), 0.0
	if s.config.TrendHalfLife > 0 {
		trendWeight = weight(s.config.TrendHalfLife)
	}
	predicted := max(0, s.level+s.trend*length)
	miss := rate - predicted
	before := s.level
	s.level = predicted + levelWeight*miss
	s.trend += trendWeight * ((s.level-before)/length - s.trend)
	s.noise += trendWeight * (miss*miss - s.noise)
	if s.level < negligible {
		s.level, s.trend = 0, 0
	}
}
