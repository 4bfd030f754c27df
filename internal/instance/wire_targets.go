package instance

import (
	"github.com/dotterellink/dotterellink/internal/coldstart"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/routing"
)

// wireTargets makes the parts that know targets and choose among them.
func (i *Instance) wireTargets() {
	d := i.deps
	i.inventory = inventory.New(i.store.View, d.Engines, d.Clock, i.part("inventory"))
	i.inventory.UseMesh(i.node, i.membership.Members)
	i.inventory.UseMetrics(i.registry)
	permits := coldstart.New(coldstart.Config{
		Mesh:     i.node,
		Members:  i.membership.Members,
		Snapshot: i.inventory.Snapshot,
		Clock:    d.Clock,
		Log:      i.part("coldstart"),
		Metrics:  coldstart.NewMetrics(i.registry),
	})
	i.router = routing.New(i.settings.Zone, i.inventory.Snapshot, d.Clock,
		routing.WithGate(permits),
		routing.WithLiveInstances(i.liveInstances),
		routing.WithMetrics(routing.NewMetrics(i.registry)),
	)
	i.registry.MustRegister(i.router.Collector())
	i.inventory.OnEvents(i.router.ApplyCacheEvents)
	i.inventory.OnChange(i.router.NotifyFreed)
	permits.OnFreed(i.router.NotifyFreed)
	i.store.Subscribe(func(*environment.View) { i.inventory.Publish() })
	i.run(i.inventory.Run)
	i.run(permits.Run)
}

// liveInstances counts the live instances of a zone, or of all zones for an
// empty name.
func (i *Instance) liveInstances(zone string) int {
	count := 0
	for _, m := range i.membership.Members() {
		if zone == "" || m.Zone == zone {
			count++
		}
	}
	return count
}
