package instance

import (
	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// wireServers makes the servers of callers and operators.
func (i *Instance) wireServers() {
	d := i.deps
	i.entry = entry.New(entry.Config{
		Views:   i.views,
		Limiter: i.limiter,
		Relay:   i.relay,
		Demand:  i.demand,
		Tracer:  d.Tracing.Tracer,
		Clock:   d.Clock,
		Log:     i.part("entry"),
		Metrics: i.registry,
	})
	i.operator = operator.New(operator.Config{
		Settings:  i.settings,
		Store:     i.store,
		Trials:    trial.New(i.settings.Environment, i.store, d.Objects, d.Clock),
		Inventory: i.inventory.Snapshot,
		Members:   i.membership.Members,
		Shares:    i.escrow,
		Gatherer:  i.registry,
		Clock:     d.Clock,
		Log:       i.part("operator"),
	})
}
