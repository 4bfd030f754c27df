package placement

import (
	"math"
	"time"
)

const (
	// forecastStep is the time between two observations of demand.
	forecastStep = 5 * time.Second
	// levelWeight and trendWeight are the weights of a new observation in the
	// level and the trend of Holt's method; longAverageWeight is its weight in the
	// long-term average.
	levelWeight       = 0.2
	trendWeight       = 0.05
	longAverageWeight = 0.01
	// leadTime is how far ahead demand is forecast: the time until a load that
	// is planned now is ready.
	leadTime = time.Minute
)

// Series forecasts the demand for one resource by Holt's method (exponential
// smoothing of level and trend) and keeps a long-term average. The zero value is
// ready to use.
type Series struct {
	level       float64
	trend       float64
	longAverage float64
	started     bool
}

// Observe adds the demand of the next step.
func (s *Series) Observe(x float64) {
	if !s.started {
		s.level, s.longAverage, s.started = x, x, true
		return
	}
	previous := s.level
	s.level = levelWeight*x + (1-levelWeight)*(s.level+s.trend)
	s.trend = trendWeight*(s.level-previous) + (1-trendWeight)*s.trend
	s.longAverage = longAverageWeight*x + (1-longAverageWeight)*s.longAverage
}

// Forecast returns the demand expected after leadTime. It extrapolates only a
// rising trend.
func (s *Series) Forecast() float64 {
	ahead := s.trend * leadTime.Seconds() / forecastStep.Seconds()
	return math.Max(0, s.level+math.Max(0, ahead))
}

// LongAverage returns the long-term average.
func (s *Series) LongAverage() float64 { return s.longAverage }
