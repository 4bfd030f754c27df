package routing

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

// targetLoad is this instance's own state for one target, beyond the target's
// reports.
type targetLoad struct {
	// id identifies the target in the prefix index.
	id       uint32
	inFlight int
	// reportedAt is the RequestedAt of the report since which netStarted is counted.
	// netStarted is the number of calls of this instance that started since then
	// minus the number that ended.
	reportedAt time.Time
	netStarted int
	breaker    breaker
	latency    latencyDetector
}

// resetOnNewReport resets netStarted when there is a new report.
func (l *targetLoad) resetOnNewReport(s *inventory.TargetState) {
	if !s.RequestedAt.Equal(l.reportedAt) {
		l.reportedAt = s.RequestedAt
		l.netStarted = 0
	}
}

// estimateRunning estimates the number of calls of all instances on the target.
// Reports lag, so it adds the net number of calls that this instance has started
// since the report.
func (l *targetLoad) estimateRunning(s *inventory.TargetState) int {
	return max(l.inFlight, s.Report.Running+s.Report.Queued+l.netStarted)
}

// hasCapacity reports whether a warm target has capacity for one more call. Until
// the next report, this instance uses at most its share of the reported free
// capacity, but at least one call, so that instances that see the same report do
// not together overload the target. Of a service, it uses at most its share of
// the limit. The limit is best effort because reports lag.
func (l *targetLoad) hasCapacity(s *inventory.TargetState, limit, instances int) bool {
	if l.estimateRunning(s) >= limit {
		return false
	}
	if s.Target.Kind == environment.TargetService {
		return l.inFlight < ceilDiv(limit, instances)
	}
	free := limit - s.Report.Running - s.Report.Queued
	return l.netStarted < max(1, ceilDiv(free, instances))
}

func ceilDiv(n, parts int) int {
	parts = max(1, parts)
	return (n + parts - 1) / parts
}

const (
	// minLatencySamples is the number of samples before outliers are detected.
	minLatencySamples = 16
	// A time to first token is an outlier if it exceeds both outlierFactor times
	// the average and the average plus outlierMargin.
	outlierFactor = 4
	outlierMargin = 250 * time.Millisecond
	// outliersToSuspect is the number of consecutive outliers that makes a target
	// suspect.
	outliersToSuspect = 3
	// ewmaWindow is the inverse of the weight of one sample in the average.
	ewmaWindow = 16
)

// latencyDetector detects outliers of the time to first token.
type latencyDetector struct {
	samples             int
	ewma                time.Duration
	consecutiveOutliers int
}

// observe records a sample. It returns true after outliersToSuspect consecutive
// outliers, which suggest that the target is cold. Outliers do not enter the
// average.
func (l *latencyDetector) observe(d time.Duration) bool {
	isOutlier := l.samples >= minLatencySamples && d > max(outlierFactor*l.ewma, l.ewma+outlierMargin)
	if isOutlier {
		l.consecutiveOutliers++
		if l.consecutiveOutliers < outliersToSuspect {
			return false
		}
		l.consecutiveOutliers = 0
		return true
	}
	l.consecutiveOutliers = 0
	l.samples++
	l.ewma += (d - l.ewma) / time.Duration(min(l.samples, ewmaWindow))
	return false
}
