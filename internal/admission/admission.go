// Package admission queues the requests that wait for a target. Client accounts
// share the slots fairly, waits are bounded, and requests are refused early under
// overload.
package admission

import (
	"context"

	"github.com/dotterellink/dotterellink/internal/routing"
)

// Router is the part of routing.Router that admission uses.
type Router interface {
	Pick(request routing.Request) (*routing.Slot, error)
}

// DirectPicker refuses a request at once when no target has a free slot. It
// implements relay.Picker and is the baseline of comparisons with FairPicker.
type DirectPicker struct {
	router Router
}

// NewDirectPicker returns a picker without a queue.
func NewDirectPicker(router Router) *DirectPicker { return &DirectPicker{router: router} }

// Pick implements relay.Picker.
func (d *DirectPicker) Pick(ctx context.Context, request routing.Request) (*routing.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return d.router.Pick(request)
}
