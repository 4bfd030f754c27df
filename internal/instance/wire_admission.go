package instance

import (
	"context"
	"time"

	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/quota"
	"github.com/dotterellink/dotterellink/internal/routing"
	"github.com/dotterellink/dotterellink/internal/settings"
)

// handOverLimit bounds the time in which shares are given back at a planned
// stop; running calls go on meanwhile.
const handOverLimit = 12 * time.Second

// wireAdmission makes the parts that admit and order requests.
func (i *Instance) wireAdmission() {
	i.wireQuota()
	router := i.chosenRouter()
	if i.settings.Policies.Queue == settings.PolicyNone {
		i.picker = admission.NewDirectPicker(router)
		return
	}
	fair := admission.NewFairPicker(router, i.deps.Clock, i.registry)
	i.router.OnFreed(fair.Dispatch)
	i.run(fair.Run)
	i.picker = fair
}

// chosenRouter returns the router that the settings name.
func (i *Instance) chosenRouter() admission.Router {
	switch i.settings.Policies.Routing {
	case settings.PolicyLeastOutstanding:
		return routing.NewLeastOutstanding(i.inventory.Snapshot, i.deps.Clock)
	case settings.PolicyRoundRobin:
		return routing.NewRoundRobin(i.inventory.Snapshot, i.deps.Clock)
	}
	return i.router
}

func (i *Instance) wireQuota() {
	escrow := quota.New(quota.Config{
		Environment: i.settings.Environment,
		Mesh:        i.node,
		Objects:     i.deps.Objects,
		Views:       i.store.View,
		Members:     i.membership.Members,
		Clock:       i.deps.Clock,
		Log:         i.part("quota"),
		Metrics:     i.registry,
	})
	i.limiter, i.escrow = escrow, escrow
	i.store.Subscribe(func(*environment.View) { escrow.Notify() })
	i.run(escrow.Run)
	i.drainWith(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handOverLimit)
		defer cancel()
		escrow.Leave(ctx)
	})
}
