package routing

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

// load is what this instance knows of one target beyond its reports.
type load struct {
	id       uint32
	inFlight int
	// reportedAt is the time of the report that net is counted from; net is the
	// number of own calls started less those ended since.
	reportedAt time.Time
	net        int
	breaker    breaker
	latency    latency
}

// follow restarts the correction with each new report.
func (l *load) follow(s *inventory.TargetState) {
	if !s.ReceivedAt.Equal(l.reportedAt) {
		l.reportedAt = s.ReceivedAt
		l.net = 0
	}
}

// running estimates the calls of all instances on the target: the report, which
// lags, corrected by what this instance did since.
func (l *load) running(s *inventory.TargetState) int {
	return max(l.inFlight, s.Report.Running+s.Report.Queued+l.net)
}

// hasRoom reports whether a warm target bears one more call. Until the next
// report this instance starts at most its part of the free places, so that
// sharers that all see the same report do not overrun the target together. The
// bound is best effort, as reports lag.
func (l *load) hasRoom(s *inventory.TargetState, limit, sharers int) bool {
	if l.running(s) >= limit {
		return false
	}
	if s.Target.Kind == environment.TargetService {
		return l.inFlight < divide(limit, sharers)
	}
	free := limit - s.Report.Running - s.Report.Queued
	return l.net < max(1, divide(free, sharers))
}

func divide(n, parts int) int {
	parts = max(1, parts)
	return (n + parts - 1) / parts
}

const (
	// minSamples is the number of first tokens before outliers are told.
	minSamples = 16
	// slowFactor and slowMargin make a first token an outlier.
	slowFactor = 4
	slowMargin = 250 * time.Millisecond
	// slowInRow is the number of outliers in a row that makes a target suspect.
	slowInRow = 3
	// smoothing is the inverse weight of one sample in the mean.
	smoothing = 16
)

// latency finds outliers of the time to the first token.
type latency struct {
	samples int
	mean    time.Duration
	slow    int
}

// note takes a sample. It reports whether the target slows like a cold one.
func (l *latency) note(d time.Duration) bool {
	isOutlier := l.samples >= minSamples && d > max(slowFactor*l.mean, l.mean+slowMargin)
	if isOutlier {
		l.slow++
		if l.slow < slowInRow {
			return false
		}
		l.slow = 0
		return true
	}
	l.slow = 0
	l.samples++
	l.mean += (d - l.mean) / time.Duration(min(l.samples, smoothing))
	return false
}
