package instance

import (
	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/routing"
)

// wireTargets makes the parts that know targets and choose among them.
func (i *Instance) wireTargets() {
	i.inventory = inventory.New(i.store.View, i.deps.Engines, i.deps.Clock, i.part("inventory"))
	i.router = routing.New(i.settings.Zone, i.inventory.Snapshot, i.deps.Clock)
	i.run(i.inventory.Run)
}
