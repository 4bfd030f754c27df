package quota

import (
	"context"
	"time"
)

// Leave gives the instance's shares back. It waits for loans that are still
// out, at most until ctx ends; then the shares become free once the lease has
// ended.
func (e *Escrow) Leave(ctx context.Context) {
	e.syncMu.Lock()
	e.sync.leaving = true
	e.syncMu.Unlock()
	e.mu.Lock()
	e.ledger.leaseUntil = time.Time{}
	e.mu.Unlock()
	for !e.hasLeft() {
		_ = e.Follow(ctx, 0)
		_ = e.Act(ctx)
		if e.hasLeft() {
			return
		}
		select {
		case <-e.config.Clock.After(leaveInterval):
		case <-ctx.Done():
			return
		}
	}
}

// leaveInterval is the time between tries to give shares back.
const leaveInterval = 100 * time.Millisecond

func (e *Escrow) hasLeft() bool {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	d := e.sync.all[e.self.Zone]
	return d == nil || d.holder(e.incarnation) == nil
}
