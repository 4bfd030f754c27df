package instance

import (
	"context"

	"github.com/google/uuid"

	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/orders"
	"github.com/dotterellink/dotterellink/internal/placement"
	"github.com/dotterellink/dotterellink/internal/settings"
)

// wirePlacement makes the parts that decide which models live where and order
// targets.
func (i *Instance) wirePlacement() {
	d, env, session := i.deps, i.settings.Environment, uuid.NewString()
	leases := lease.NewManager(lease.Config{
		Prefix:     "leases/" + env + "/",
		Holder:     i.settings.Name,
		Session:    session,
		Objects:    d.Objects,
		Clock:      d.Clock,
		Log:        i.part("lease"),
		Candidates: i.candidacies,
		Metrics:    i.registry,
	})
	orderer := orders.New(orders.Config{
		Environment: env,
		Session:     session,
		Objects:     d.Objects,
		Leases:      leases,
		Engines:     d.Engines,
		Snapshot:    i.inventory.Snapshot,
		Clock:       d.Clock,
		Log:         i.part("orders"),
		Metrics:     i.registry,
	})
	recorder := placement.NewRecorder(d.Clock)
	planner := placement.NewPlanner(placement.Config{
		Environment: env,
		Session:     session,
		Objects:     d.Objects,
		Leases:      leases,
		Mesh:        i.node,
		Snapshot:    i.inventory.Snapshot,
		Recorder:    recorder,
		Policy:      i.placementPolicy(),
		Clock:       d.Clock,
		Log:         i.part("placement"),
		Metrics:     i.registry,
	})
	i.demand = recorder
	i.run(leases.Run)
	i.run(orderer.Run)
	i.run(planner.Run)
	i.drainWith(func(ctx context.Context) {
		orderer.Stop()
		leases.ReleaseAll(ctx)
	})
}

// placementPolicy returns the policy that the settings name.
func (i *Instance) placementPolicy() placement.Policy {
	if i.settings.Policies.Placement == settings.PolicyStatic {
		return placement.Static{}
	}
	return placement.CostBenefit{}
}

// candidacies returns the leases that the instance may hold.
func (i *Instance) candidacies() []lease.Candidacy {
	members := i.membership.Members()
	out := orders.Candidates(i.settings.Name, members, &i.store.View().State.Document)
	if rank := orders.Rank(i.settings.Name, members, placement.LeaseName, ""); rank >= 0 {
		out = append(out, lease.Candidacy{Name: placement.LeaseName, Rank: rank})
	}
	return out
}
