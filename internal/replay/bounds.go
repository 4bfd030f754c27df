package replay

import "fmt"

// Bounds are the stated outcomes that a replay must meet. Shares are from 0 to
// 1; a negative bound is not checked.
type Bounds struct {
	MinAttainment       float64
	MaxWrongfulRefusals float64
	MinWorstOverMean    float64
}

// DefaultBounds are the outcomes stated for calm.
func DefaultBounds() Bounds {
	return Bounds{MinAttainment: -1, MaxWrongfulRefusals: 0.001, MinWorstOverMean: 0.9}
}

// Verdict is the check of one stated outcome.
type Verdict struct {
	Outcome string `json:"outcome"`
	Bound   string `json:"bound"`
	Found   string `json:"found"`
	Met     bool   `json:"met"`
}

// Check compares outcomes with bounds.
func Check(o *Outcomes, b Bounds) []Verdict {
	verdicts := []Verdict{
		none("tokens beyond rate and burst", o.TokensBeyond),
		none("doubled", int64(o.Doubled)),
		none("lost", int64(o.Lost)),
		none("cut", int64(o.Cut)),
		none("false 'not run'", int64(o.FalseNotRun)),
		none("memory overcommits", int64(o.Overcommits)),
	}
	if b.MaxWrongfulRefusals >= 0 {
		verdicts = append(verdicts, Verdict{"wrongful refusals", fmt.Sprintf("at most %.2f%%", 100*b.MaxWrongfulRefusals), percent(o.WrongfulRefusals), o.WrongfulRefusals <= b.MaxWrongfulRefusals})
	}
	if b.MinWorstOverMean >= 0 {
		verdicts = append(verdicts, Verdict{"worst account over the mean", fmt.Sprintf("at least %.2f", b.MinWorstOverMean), fmt.Sprintf("%.3f", o.WorstOverMean), o.WorstOverMean >= b.MinWorstOverMean})
	}
	if b.MinAttainment >= 0 {
		verdicts = append(verdicts, Verdict{"attainment", "at least " + percent(b.MinAttainment), percent(o.Attainment), o.Attainment >= b.MinAttainment})
	}
	return verdicts
}

func none(name string, found int64) Verdict {
	return Verdict{Outcome: name, Bound: "0", Found: fmt.Sprint(found), Met: found == 0}
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }
