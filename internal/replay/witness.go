package replay

import (
	"context"
	"net/http"

	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/servicestandin"
)

// Witnesses is what the stand-ins counted. Targets that are no stand-ins are
// left out.
type Witnesses struct {
	Engines  []enginestandin.Witness
	Services []servicestandin.Witness
}

func readWitnesses(ctx context.Context, targets []operator.TargetRow) Witnesses {
	var w Witnesses
	for _, t := range targets {
		if t.Kind == "engine" {
			var e enginestandin.Witness
			if standIn(ctx, http.MethodGet, t.Address, enginestandin.WitnessPath, nil, &e) == nil {
				w.Engines = append(w.Engines, e)
			}
			continue
		}
		var s servicestandin.Witness
		if standIn(ctx, http.MethodGet, t.Address, servicestandin.WitnessPath, nil, &s) == nil {
			w.Services = append(w.Services, s)
		}
	}
	return w
}

// moves is the number of loads and unloads of all engines.
func (w Witnesses) moves() int {
	n := 0
	for _, e := range w.Engines {
		n += e.Loads + e.Unloads
	}
	return n
}

func (w Witnesses) overcommits() int {
	n := 0
	for _, e := range w.Engines {
		n += e.Overcommits
	}
	return n
}

func (w Witnesses) fallOvers() int {
	n := 0
	for _, e := range w.Engines {
		n += e.FallOvers
	}
	return n
}

func (w Witnesses) cachedShare() float64 {
	var cached, all int64
	for _, e := range w.Engines {
		cached += e.CachedPromptTokens
		all += e.PromptTokens
	}
	return share(cached, all)
}

// runsOf adds up the runs of the request with the unique body.
func (w Witnesses) runsOf(body string) int {
	n := 0
	for _, s := range w.Services {
		n += s.RunsByBody[body]
	}
	return n
}

func share[N int | int64](part, whole N) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
