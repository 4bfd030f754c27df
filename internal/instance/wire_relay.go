package instance

import (
	"github.com/dotterellink/dotterellink/internal/relay"
)

// wireRelay makes the parts that carry calls to targets.
func (i *Instance) wireRelay() {
	d := i.deps
	i.relay = relay.New(i.picker, d.Engines, d.Services, d.Tracing.Tracer, i.part("relay"))
}
