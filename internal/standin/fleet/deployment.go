package fleet

import (
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/trace"
)

// Sizes of the stand-ins in a deployment's fleet.
const (
	engineMemoryMB  = 80_000
	modelMemoryMB   = 30_000
	adapterMemoryMB = 400
	contextTokens   = 16_384
	defaultTokens   = 128
	// tokensPerByte is the bound of the stand-in's tokenizer.
	tokensPerByte = 0.25
	// rateHeadroom is an account's rate over its demand at the peak of the day.
	rateHeadroom = 1.5
	// meanOverMedian turns the median of a generated size into its mean.
	meanOverMedian = 1.2
	burstSeconds   = 20
)

// ForDeployment returns the fleet of a deployment at today's sizes. The rates
// of accounts fit a trace with the given requests a second at the peak.
func ForDeployment(d trace.Deployment, network int, requestsPerSecond float64) Params {
	p := Params{
		Network:          network,
		Instances:        7,
		Zones:            3,
		Engines:          d.Engines,
		Services:         d.ServiceTargets,
		Engine:           deploymentEngine(),
		WeightStore:      d.WeightStore,
		LogLevel:         "info",
		ReadinessSeconds: 0.2,
	}
	for i := range d.Models {
		p.Models = append(p.Models, environment.Model{
			Name:                d.ModelName(i),
			MemoryMB:            modelMemoryMB,
			ContextTokens:       contextTokens,
			DefaultMaxTokens:    defaultTokens,
			PromptTokensPerByte: tokensPerByte,
		})
	}
	for i := range d.Adapters {
		p.Adapters = append(p.Adapters, environment.Adapter{
			Name:     d.AdapterName(i),
			Model:    d.ModelName(d.AdapterModel(i)),
			MemoryMB: adapterMemoryMB,
		})
	}
	tokens := requestsPerSecond * (1 - d.ServiceShare) * (d.MedianPrompt + d.MedianGenerated) * meanOverMedian
	for _, a := range d.Accounts {
		rate := int64(tokens * a.Share * rateHeadroom)
		p.Accounts = append(p.Accounts, environment.Account{Name: a.Name, RateTokensPerSecond: rate, BurstTokens: rate * burstSeconds})
	}
	return p
}

// deploymentEngine is slow enough for one machine to run a whole fleet.
func deploymentEngine() enginestandin.Config {
	cfg := enginestandin.DefaultConfig("")
	cfg.MemoryMB = engineMemoryMB
	cfg.Slots = 8
	cfg.QueueLimit = 16
	cfg.TokenIntervalMS = 30
	cfg.BatchSlowdown = 0.1
	cfg.PrefillTokensPerSecond = 8000
	cfg.CachedBlocks = 2048
	cfg.LoadMS = 3000
	cfg.ReportLagMS = 300
	return cfg
}
