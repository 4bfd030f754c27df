package instance

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/entry"
	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/membership"
	"github.com/dotterellink/dotterellink/internal/mesh"
)

// wireEnvironment makes the parts that know the environment in force and the
// other instances.
func (i *Instance) wireEnvironment() {
	d := i.deps
	i.store = environment.NewStore(i.settings.Environment, d.Objects, d.Clock, i.part("environment"))
	i.node = mesh.NewNode(mesh.Peer{Name: i.settings.Name, Zone: i.settings.Zone}, d.MeshTLS, i.part("mesh"))
	i.membership = membership.New(i.node, i.node, i.settings.Listen.Mesh, d.Instances, d.Clock, i.part("membership"))
	syncer := environment.NewSyncer(i.store, i.node, i.membership, d.Clock, i.registry, i.part("environment"))
	i.views = freshViews{i.store, syncer}
	i.run(func(ctx context.Context) error { return i.node.Run(ctx, i.meshing) })
	i.run(syncer.Run)
	i.run(i.membership.Run)
	i.drainWith(func(context.Context) { i.membership.Leave() })
}

// freshViews serves accounts only by a state that may still be in force.
type freshViews struct {
	*environment.Store
	syncer *environment.Syncer
}

// Admit implements entry.Views. Open routes always go; a zone that is cut off
// serves keyed requests only of accounts that opted in.
func (v freshViews) Admit(account string) error {
	if account == "" || v.syncer.Verdict() != environment.VerdictCutOff {
		return nil
	}
	a := v.View().Account(account)
	if a != nil && a.WhenCutOff == environment.CutOffServe {
		return nil
	}
	return merry.Wrap(entry.ErrStale)
}
