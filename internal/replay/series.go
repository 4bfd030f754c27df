package replay

import (
	"time"

	"github.com/dotterellink/dotterellink/internal/trace"
)

// bins is the number of stretches in a series.
const bins = 60

// Bin is one stretch of a replay.
type Bin struct {
	// AtSeconds is the start of the stretch.
	AtSeconds float64 `json:"at_seconds"`
	Requests  int     `json:"requests"`
	// Attainment is -1 without model requests inside the rate.
	Attainment float64 `json:"attainment"`
	// Worst is the least attainment of an account; -1 without one.
	Worst       float64 `json:"worst"`
	RateRefused int     `json:"rate_refused"`
	Refused     int     `json:"refused"`
}

// Series divides a run into equal stretches by the times of arrival.
func Series(run *Run) []Bin {
	length := time.Duration(float64(run.Options.Trace.Header.DurationMS) * float64(time.Millisecond) / run.Options.Speed)
	if length <= 0 {
		return nil
	}
	grouped := make([][]*Sample, bins)
	for _, s := range run.Samples {
		i := int(float64(bins) * float64(s.Scheduled.Sub(run.Started)) / float64(length))
		i = min(bins-1, max(0, i))
		grouped[i] = append(grouped[i], s)
	}
	out := make([]Bin, bins)
	for i, samples := range grouped {
		out[i] = newBin(samples)
		out[i].AtSeconds = length.Seconds() * float64(i) / bins
	}
	return out
}

type tally struct{ inRate, attained int }

func newBin(samples []*Sample) Bin {
	b := Bin{Requests: len(samples), Attainment: -1, Worst: -1}
	var all tally
	accounts := make(map[string]*tally)
	for _, s := range samples {
		switch s.Result {
		case ResultRateLimited:
			b.RateRefused++
		case ResultRefused:
			b.Refused++
		}
		if s.Record.Kind != trace.KindChat || !s.InRate {
			continue
		}
		account := accounts[s.Record.Account]
		if account == nil {
			account = &tally{}
			accounts[s.Record.Account] = account
		}
		all.inRate++
		account.inRate++
		if s.IsAttained() {
			all.attained++
			account.attained++
		}
	}
	if all.inRate > 0 {
		b.Attainment = share(all.attained, all.inRate)
	}
	for _, account := range accounts {
		if found := share(account.attained, account.inRate); b.Worst < 0 || found < b.Worst {
			b.Worst = found
		}
	}
	return b
}
