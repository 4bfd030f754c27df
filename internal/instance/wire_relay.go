package instance

import (
	"context"

	"github.com/dotterellink/dotterellink/internal/idempotency"
	"github.com/dotterellink/dotterellink/internal/relay"
	"github.com/dotterellink/dotterellink/internal/target"
)

// wireRelay makes the parts that carry calls to targets.
func (i *Instance) wireRelay() {
	d := i.deps
	carrier := relay.New(relay.Config{
		Picker:   i.picker,
		Engines:  d.Engines,
		Services: d.Services,
		Clock:    d.Clock,
		Tracer:   d.Tracing.Tracer,
		Log:      i.part("relay"),
		Metrics:  i.registry,
	})
	claims := idempotency.New(carrier, d.Objects, i.settings.Name, d.Clock, i.part("idempotency"), i.registry)
	i.relay = guardedRelay{Relay: carrier, claims: claims}
	i.run(claims.Run)
}

// guardedRelay claims idempotency keys before service calls.
type guardedRelay struct {
	*relay.Relay
	claims *idempotency.Claims
}

// Invoke implements entry.Relayer.
func (g guardedRelay) Invoke(ctx context.Context, call *relay.ServiceCall) (*target.ServiceReply, error) {
	return g.claims.Invoke(ctx, call)
}
