package instance

import (
	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/operator"
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
	i.operator = operator.New(i.store, i.settings.Operators.Credentials, i.registry, i.part("operator"))
}
