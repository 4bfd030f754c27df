package placement

import (
	"math"
	"time"
)

const (
	// forecastStep is the time between two observations of demand.
	forecastStep = 5 * time.Second
	// levelWeight and trendWeight are the weights of a new observation in the
	// level and the trend of Holt's method; longWeight in the long average.
	levelWeight = 0.2
	trendWeight = 0.05
	longWeight  = 0.01
	// leadTime is how far ahead demand is forecast: the time until a load that
	// is decided now serves.
	leadTime = time.Minute
)

// Series forecasts the demand for one resource by Holt's method, a level and a
// trend, with a long average beside it. The zero value has seen nothing.
type Series struct {
	level   float64
	trend   float64
	long    float64
	started bool
}

// Observe takes the demand of one more step.
func (s *Series) Observe(x float64) {
	if !s.started {
		s.level, s.long, s.started = x, x, true
		return
	}
	before := s.level
	s.level = levelWeight*x + (1-levelWeight)*(s.level+s.trend)
	s.trend = trendWeight*(s.level-before) + (1-trendWeight)*s.trend
	s.long = longWeight*x + (1-longWeight)*s.long
}

// Forecast returns the demand expected when a load decided now serves.
func (s *Series) Forecast() float64 {
	ahead := s.trend * leadTime.Seconds() / forecastStep.Seconds()
	return math.Max(0, s.level+math.Max(0, ahead))
}

// Long returns the average over a long time.
func (s *Series) Long() float64 { return s.long }
