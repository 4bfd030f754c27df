package quota

import (
	"context"
	"sort"

	"github.com/ansel1/merry/v2"
)

// ErrNoHolder means that no such holder stands in the newest division known.
var ErrNoHolder = merry.Sentinel("quota: no such holder")

// HolderShare is an account's share at one holder.
type HolderShare struct {
	Account string
	Zone    string
	Holder  string
	// Incarnation tells processes of the same instance apart.
	Incarnation string
	State       ShareState
	Share       Share
}

// ShareState tells whether a share can be spent or given on.
type ShareState string

// States of shares.
const (
	// ShareActive means that the holder may spend the share.
	ShareActive ShareState = "active"
	// SharePending means that the holder has yet to keep a cut.
	SharePending ShareState = "pending"
	// ShareFenced means that the share waits for the holder's lease to end.
	ShareFenced ShareState = "fenced"
)

// Shares lists who holds what by the newest divisions known, ordered by
// account, zone and holder.
func (e *Escrow) Shares() []HolderShare {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	var out []HolderShare
	for zone, d := range e.sync.all {
		for i := range d.Holders {
			h := &d.Holders[i]
			for j := range d.Claims {
				c := &d.Claims[j]
				out = append(out, HolderShare{Account: c.Account, Zone: zone, Holder: h.Name, Incarnation: h.Incarnation, State: stateOf(h), Share: h.shareOf(c)})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key() < out[j].key() })
	return out
}

func (h *HolderShare) key() string {
	return h.Account + "\x00" + h.Zone + "\x00" + h.Holder + "\x00" + h.Incarnation
}

func stateOf(h *holder) ShareState {
	switch {
	case h.Fenced:
		return ShareFenced
	case h.isPending():
		return SharePending
	}
	return ShareActive
}

// Release frees the share of a holder at once, in any zone. The operator must be sure
// that the process has ended: a share that is still spent would be spent twice.
func (e *Escrow) Release(ctx context.Context, zone, incarnation string) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	d := e.sync.all[zone]
	if d == nil || d.holder(incarnation) == nil {
		return merry.Wrap(ErrNoHolder)
	}
	return e.write(ctx, zone, d.remove(incarnation), actionRelease)
}
