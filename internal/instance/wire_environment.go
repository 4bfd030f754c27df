package instance

import (
	"context"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

// wireEnvironment makes the parts that know the environment in force and the
// other instances.
func (i *Instance) wireEnvironment() {
	d := i.deps
	i.store = environment.NewStore(i.settings.Environment, d.Objects, d.Clock, i.part("environment"))
	i.views = freshViews{i.store}
	i.node = mesh.NewNode(mesh.Peer{Name: i.settings.Name, Zone: i.settings.Zone}, d.MeshTLS, i.part("mesh"))
	i.membership = membership.New(i.node, i.node, d.Instances, d.Clock, i.part("membership"))
	i.run(func(ctx context.Context) error { return i.node.Run(ctx, i.meshing) })
	i.run(i.store.Run)
	i.run(i.membership.Run)
	i.drainWith(func(context.Context) { i.membership.Leave() })
}

// freshViews serves by whatever view is in force.
type freshViews struct{ *environment.Store }

// Admit implements entry.Views.
func (freshViews) Admit(string) error { return nil }
