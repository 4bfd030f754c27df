package instance

import (
	"github.com/dotterellink/dotterellink/internal/admission"
	"github.com/dotterellink/dotterellink/internal/quota"
)

// wireAdmission makes the parts that admit and order requests.
func (i *Instance) wireAdmission() {
	i.limiter = quota.NewStatic(i.store.View, 1, i.deps.Clock)
	i.picker = admission.NewDirect(i.router)
}
