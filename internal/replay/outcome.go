package replay

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/trace"
)

// Outcomes judge a replay. Shares are from 0 to 1.
type Outcomes struct {
	Requests int            `json:"requests"`
	Results  map[Result]int `json:"results"`
	// Attainment is the share of model requests inside their account's rate that
	// were answered within their bounds.
	Attainment float64 `json:"attainment"`
	// AttainedPerAccelerator counts attained model requests a second for each
	// engine.
	AttainedPerAccelerator float64 `json:"attained_per_accelerator"`
	Accelerators           int     `json:"accelerators"`
	// Accounts gives each client account's own figures.
	Accounts []AccountOutcome `json:"accounts"`
	// WorstAccount is the least attainment of an account with enough requests.
	WorstAccount     string  `json:"worst_account"`
	WorstAttainment  float64 `json:"worst_attainment"`
	WorstOverMean    float64 `json:"worst_over_mean"`
	WrongfulRefusals float64 `json:"wrongful_refusals"`
	// OverloadRefusals is the share of requests inside the rate refused for other
	// reasons than the rate.
	OverloadRefusals float64 `json:"overload_refusals"`
	// TokensBeyond is the most by which an account's used tokens exceeded rate × t
	// + burst over any window.
	TokensBeyond int64   `json:"tokens_beyond_rate_and_burst"`
	Doubled      int     `json:"doubled"`
	Lost         int     `json:"lost"`
	Cut          int     `json:"cut"`
	FalseNotRun  int     `json:"false_not_run"`
	Moves        int     `json:"moves"`
	MovesPerHour float64 `json:"moves_per_hour"`
	Overcommits  int     `json:"overcommits"`
	FallOvers    int     `json:"fall_overs"`
	CachedPrompt float64 `json:"cached_prompt_share"`
	// ZoneAttainment is the attainment while a zone was out and for 60 s after its
	// return; -1 without such an event.
	ZoneAttainment float64     `json:"zone_attainment"`
	FirstTokenMS   Percentiles `json:"first_token_ms"`
	Seconds        float64     `json:"seconds"`
}

// AccountOutcome is what one client account got.
type AccountOutcome struct {
	Account     string  `json:"account"`
	Requests    int     `json:"requests"`
	InRate      int     `json:"in_rate"`
	Attainment  float64 `json:"attainment"`
	RateRefused int     `json:"rate_refused"`
	// WronglyRefused are refusals for the rate although inside it.
	WronglyRefused int   `json:"wrongly_refused"`
	TokensUsed     int64 `json:"tokens_used"`
	TokensBeyond   int64 `json:"tokens_beyond"`
}

// Percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	// minRequests is the number of requests below which an account is not judged
	// as the worst.
	minRequests = 20
	// afterZone is how long service after a zone's return is judged.
	afterZone = 60 * time.Second
	maxMS     = 600_000
)

// Judge works out the outcomes of a run.
func Judge(run *Run) *Outcomes {
	markInRate(run)
	o := &Outcomes{
		Requests: len(run.Samples),
		Results:  make(map[Result]int),
		Seconds:  float64(run.Options.Trace.Header.DurationMS) / 1000 / run.Options.Speed,
	}
	for _, s := range run.Samples {
		o.Results[s.Result]++
	}
	o.judgeModels(run)
	o.judgeAccounts(run)
	o.judgeServices(run)
	o.judgeEngines(run)
	o.ZoneAttainment = zoneAttainment(run)
	return o
}

// markInRate runs a single bucket of each account's rate and burst over the
// requests in the order of their arrival. A request inside takes its
// reservation; what it did not use returns when it ended.
func markInRate(run *Run) {
	for _, a := range run.Document.Accounts {
		markAccount(run.Samples, &a)
	}
}

// bucketEvent is an arrival, or the return of unused tokens.
type bucketEvent struct {
	at     time.Time
	sample *Sample
	end    bool
}

func markAccount(samples []*Sample, a *environment.Account) {
	var events []bucketEvent
	for _, s := range samples {
		if s.Record.Account != a.Name {
			continue
		}
		if s.Record.Kind == trace.KindService {
			s.InRate = true
			continue
		}
		events = append(events, bucketEvent{at: s.Scheduled, sample: s}, bucketEvent{at: s.Scheduled.Add(s.Total), sample: s, end: true})
	}
	slices.SortStableFunc(events, func(x, y bucketEvent) int { return x.at.Compare(y.at) })
	level := float64(a.BurstTokens)
	var last time.Time
	for _, e := range events {
		if !last.IsZero() {
			level = min(float64(a.BurstTokens), level+float64(a.RateTokensPerSecond)*e.at.Sub(last).Seconds())
		}
		last = e.at
		level = e.apply(level)
	}
}

func (e bucketEvent) apply(level float64) float64 {
	s := e.sample
	if e.end {
		if s.InRate {
			return level + float64(max(0, s.Reserved-s.Used))
		}
		return level
	}
	if level < float64(s.Reserved) {
		return level
	}
	s.InRate = true
	return level - float64(s.Reserved)
}

func (o *Outcomes) judgeModels(run *Run) {
	histogram := hdrhistogram.New(1, maxMS, 3)
	var inRate, attained, refused int
	for _, s := range run.Samples {
		if s.FirstToken > 0 && s.Record.Class != "batch" {
			_ = histogram.RecordValue(min(maxMS, max(1, s.FirstToken.Milliseconds())))
		}
		if s.Record.Kind != trace.KindChat || !s.InRate {
			continue
		}
		inRate++
		if s.IsAttained() {
			attained++
		}
		if s.Result == ResultRefused {
			refused++
		}
	}
	o.Attainment = share(attained, inRate)
	o.OverloadRefusals = share(refused, inRate)
	for _, t := range run.Document.Targets {
		if t.Kind == environment.TargetEngine {
			o.Accelerators++
		}
	}
	if o.Accelerators > 0 {
		o.AttainedPerAccelerator = float64(attained) / o.Seconds / float64(o.Accelerators)
	}
	o.FirstTokenMS = Percentiles{
		P50: float64(histogram.ValueAtQuantile(50)),
		P95: float64(histogram.ValueAtQuantile(95)),
		P99: float64(histogram.ValueAtQuantile(99)),
	}
}

func (o *Outcomes) judgeAccounts(run *Run) {
	o.WorstAttainment = math.Inf(1)
	var inRate, wrongly int
	var sum float64
	var judged int
	for _, a := range run.Document.Accounts {
		row := judgeAccount(run.Samples, &a)
		o.Accounts = append(o.Accounts, row)
		o.TokensBeyond = max(o.TokensBeyond, row.TokensBeyond)
		inRate += row.InRate
		wrongly += row.WronglyRefused
		if row.InRate < minRequests {
			continue
		}
		judged++
		sum += row.Attainment
		if row.Attainment < o.WorstAttainment {
			o.WorstAccount, o.WorstAttainment = a.Name, row.Attainment
		}
	}
	o.WrongfulRefusals = share(wrongly, inRate)
	if judged == 0 {
		o.WorstAttainment = 0
		return
	}
	if sum > 0 {
		o.WorstOverMean = o.WorstAttainment / (sum / float64(judged))
	}
}

func judgeAccount(samples []*Sample, a *environment.Account) AccountOutcome {
	row := AccountOutcome{Account: a.Name}
	attained := 0
	level, beyond := 0.0, 0.0
	var last time.Time
	for _, s := range samples {
		if s.Record.Account != a.Name || s.Record.Kind != trace.KindChat {
			continue
		}
		row.Requests++
		if s.Result == ResultRateLimited {
			row.RateRefused++
		}
		if s.InRate {
			row.InRate++
			if s.IsAttained() {
				attained++
			}
			if s.Result == ResultRateLimited {
				row.WronglyRefused++
			}
		}
		// A leaky bucket finds the worst window: its level is the most by which any
		// window that ends now exceeds rate × t.
		if !last.IsZero() {
			level = max(0, level-float64(a.RateTokensPerSecond)*s.Sent.Sub(last).Seconds())
		}
		last = s.Sent
		level += float64(s.Used)
		row.TokensUsed += s.Used
		beyond = max(beyond, level-float64(a.BurstTokens))
	}
	row.Attainment = share(attained, row.InRate)
	row.TokensBeyond = int64(beyond)
	return row
}

// judgeServices compares what callers were told with what the services ran.
func (o *Outcomes) judgeServices(run *Run) {
	for _, s := range run.Samples {
		if s.Result == ResultCut {
			o.Cut++
		}
		if s.Record.Kind != trace.KindService || s.Record.Idempotent || len(run.After.Services) == 0 {
			continue
		}
		runs := run.After.runsOf(s.ID)
		o.Doubled += max(0, runs-1)
		if s.Result == ResultOK && runs == 0 {
			o.Lost++
		}
		if (s.Result == ResultRefused || s.Result == ResultRateLimited) && runs > 0 {
			o.FalseNotRun++
		}
	}
}

func (o *Outcomes) judgeEngines(run *Run) {
	o.Moves = run.After.moves() - run.Before.moves()
	if o.Seconds > 0 {
		o.MovesPerHour = float64(o.Moves) / o.Seconds * time.Hour.Seconds()
	}
	o.Overcommits = run.After.overcommits() - run.Before.overcommits()
	o.FallOvers = run.After.fallOvers() - run.Before.fallOvers()
	o.CachedPrompt = run.After.cachedShare()
}

// zoneAttainment judges the requests between a zone's leaving and afterZone
// past its return.
func zoneAttainment(run *Run) float64 {
	from, to := zoneWindow(run)
	if from.IsZero() {
		return -1
	}
	var inRate, attained int
	for _, s := range run.Samples {
		if s.Record.Kind != trace.KindChat || !s.InRate || s.Scheduled.Before(from) || s.Scheduled.After(to) {
			continue
		}
		inRate++
		if s.IsAttained() {
			attained++
		}
	}
	return share(attained, inRate)
}

func zoneWindow(run *Run) (from, to time.Time) {
	at := func(ms int64) time.Time {
		return run.Started.Add(time.Duration(float64(ms) * float64(time.Millisecond) / run.Options.Speed))
	}
	for _, e := range run.Options.Events {
		switch {
		case e.Action == ActionZoneOut && from.IsZero():
			from = at(e.AtMS)
			to = from.Add(afterZone)
		case e.Action == ActionZoneReturn:
			to = at(e.AtMS).Add(afterZone)
		}
	}
	return from, to
}
