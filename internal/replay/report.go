package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is a judged replay.
type Report struct {
	Deployment string    `json:"deployment"`
	TraceSeed  uint64    `json:"trace_seed"`
	TraceMade  bool      `json:"trace_made"`
	Seed       uint64    `json:"seed"`
	Speed      float64   `json:"speed"`
	StartedMS  int64     `json:"started_ms"`
	Outcomes   *Outcomes `json:"outcomes"`
	Verdicts   []Verdict `json:"verdicts"`
	// EventErrors are events that could not be carried out.
	EventErrors []string `json:"event_errors"`
	Series      []Bin    `json:"series"`
}

// NewReport judges a run against the bounds.
func NewReport(run *Run, b Bounds) *Report {
	outcomes := Judge(run)
	header := run.Options.Trace.Header
	return &Report{
		Deployment:  header.Deployment,
		TraceSeed:   header.Seed,
		TraceMade:   header.Made,
		Seed:        run.Options.Seed,
		Speed:       run.Options.Speed,
		StartedMS:   run.Started.UnixMilli(),
		Outcomes:    outcomes,
		Verdicts:    Check(outcomes, b),
		EventErrors: run.EventErrors,
		Series:      Series(run),
	}
}

// IsMet reports whether every stated outcome was met.
func (r *Report) IsMet() bool {
	for _, v := range r.Verdicts {
		if !v.Met {
			return false
		}
	}
	return len(r.EventErrors) == 0
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	o := r.Outcomes
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\ttrace seed %d, %d requests in %.0f s\n", r.Deployment, r.TraceSeed, o.Requests, o.Seconds)
	if r.TraceMade {
		fmt.Fprintln(t, "trace\tgenerated, not recorded")
	}
	fmt.Fprintf(t, "attainment\t%s (%.3f requests/s for each of %d accelerators)\n", percent(o.Attainment), o.AttainedPerAccelerator, o.Accelerators)
	fmt.Fprintf(t, "worst account\t%s at %s, %.3f of the mean\n", o.WorstAccount, percent(o.WorstAttainment), o.WorstOverMean)
	fmt.Fprintf(t, "first token\tp50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n", o.FirstTokenMS.P50, o.FirstTokenMS.P95, o.FirstTokenMS.P99)
	fmt.Fprintf(t, "refused inside the rate\t%s for the rate, %s for other reasons\n", percent(o.WrongfulRefusals), percent(o.OverloadRefusals))
	fmt.Fprintf(t, "moves\t%d (%.0f an hour)\n", o.Moves, o.MovesPerHour)
	fmt.Fprintf(t, "prompt from cache\t%s\n", percent(o.CachedPrompt))
	fmt.Fprintf(t, "engines fallen over\t%d\n", o.FallOvers)
	if o.ZoneAttainment >= 0 {
		fmt.Fprintf(t, "while a zone was out\t%s\n", percent(o.ZoneAttainment))
	}
	for _, result := range []Result{ResultOK, ResultRateLimited, ResultRefused, ResultUnknown, ResultBroken, ResultCut, ResultError} {
		fmt.Fprintf(t, "result %s\t%d\n", result, o.Results[result])
	}
	for _, e := range r.EventErrors {
		fmt.Fprintf(t, "event failed\t%s\n", e)
	}
	for _, v := range r.Verdicts {
		verdict := "met"
		if !v.Met {
			verdict = "MISSED"
		}
		fmt.Fprintf(t, "%s\t%s: %s, bound %s\n", verdict, v.Outcome, v.Found, v.Bound)
	}
	return t.Flush()
}
