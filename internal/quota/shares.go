package quota

import (
	"context"
	"sort"

	"github.com/ansel1/merry/v2"
)

// ErrNoHolder means that the newest known division does not contain the holder.
var ErrNoHolder = merry.Sentinel("quota: no such holder")

// HolderShare is one holder's share of an account.
type HolderShare struct {
	Account string
	Zone    string
	Holder  string
	// Incarnation distinguishes the processes of one instance.
	Incarnation string
	State       ShareState
	Share       Share
}

// ShareState is the state of a holder and its shares.
type ShareState string

// States of shares.
const (
	// ShareActive means that the holder may spend the share.
	ShareActive ShareState = "active"
	// SharePending means that the holder may still hold more than its share
	// because it has not confirmed a reduction.
	SharePending ShareState = "pending"
	// ShareFenced means that the holder may not spend the share, which becomes
	// free once the holder's lease has ended.
	ShareFenced ShareState = "fenced"
)

// Shares returns the shares of all holders in the newest known divisions,
// ordered by account, zone, holder and incarnation.
func (e *Escrow) Shares() []HolderShare {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	var out []HolderShare
	for zone, d := range e.sync.divisions {
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

// Release frees the shares of a holder in any zone immediately. The operator
// must make sure that the process has ended. Otherwise its shares could be
// spent twice.
func (e *Escrow) Release(ctx context.Context, zone, incarnation string) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	d := e.sync.divisions[zone]
	if d == nil || d.holder(incarnation) == nil {
		return merry.Wrap(ErrNoHolder)
	}
	return e.writeDivision(ctx, zone, d.remove(incarnation), actionRelease)
}
