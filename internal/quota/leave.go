package quota

import (
	"context"
	"time"
)

// Leave releases the instance's shares. It waits for outstanding loans to peers
// until ctx ends. Shares that are not released by then become free once the
// lease has ended.
func (e *Escrow) Leave(ctx context.Context) {
	e.syncMu.Lock()
	e.sync.leaving = true
	e.syncMu.Unlock()
	e.mu.Lock()
	e.ledger.leaseUntil = time.Time{}
	e.mu.Unlock()
	for !e.hasLeft() {
		_ = e.Poll(ctx, 0)
		_ = e.Reconcile(ctx)
		if e.hasLeft() {
			return
		}
		select {
		case <-e.config.Clock.After(leaveRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// leaveRetryInterval is the time between attempts to release the shares.
const leaveRetryInterval = 100 * time.Millisecond

func (e *Escrow) hasLeft() bool {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	d := e.sync.divisions[e.self.Zone]
	return d == nil || d.holder(e.incarnation) == nil
}
