package quota

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// totalParts is the sum of the parts of all holders of a zone's share, in
// millionths.
const totalParts = 1_000_000

// division is the platform object of one availability zone. It records the
// share of each account that the zone claims and how the claims are divided
// among the zone's instances. Only instances of the zone write it, except that
// an operator can release a holder from any zone.
//
// A generation is confirmed if no holder may still hold more than it assigns.
//
// Invariants, for each account:
//   - For each generation that an instance knows and that is not confirmed, it
//     holds at most its part of the claim. Its share grows only with a
//     confirmed generation.
//   - The instances of a zone hold more than the target of its claim only until
//     the reduction is confirmed.
//   - The claims of all zones together never exceed the account's rate and
//     burst. A zone raises its claim only if the claim and target of every
//     other zone are within that zone's share according to the same document,
//     and it reads them after it has written its own target.
type division struct {
	// Nonce identifies the write.
	Nonce string `json:"nonce"`
	// Generation increases by one with each write.
	Generation uint64 `json:"generation"`
	// Revision is the revision of the environment that the targets are based
	// on.
	Revision uint64 `json:"revision"`
	// Fingerprint is a hash of the fields of that revision that the division
	// depends on.
	Fingerprint string `json:"fingerprint"`
	// Changes counts the changes of the targets.
	Changes uint64 `json:"changes"`
	// Announced is set by a write after the last change of the targets. Once it
	// is set, a read that is one write behind still shows the new targets.
	Announced bool     `json:"announced,omitempty"`
	Claims    []claim  `json:"claims,omitempty"`
	Holders   []holder `json:"holders,omitempty"`
}

// claim is a zone's share of one account.
type claim struct {
	Account string `json:"account"`
	// Held is the most that the zone's instances hold once the generation is
	// confirmed.
	Held Share `json:"held"`
	// Target is the zone's share according to the document.
	Target Share `json:"target"`
	// OpenedGeneration is the generation in which the zone first held a share
	// of the account, or 0 if it never did.
	OpenedGeneration uint64 `json:"opened_generation,omitempty"`
	// OpenedChanges is the value of Changes in that generation.
	OpenedChanges uint64 `json:"opened_changes,omitempty"`
	// Full means that holders that joined before OpenedGeneration start with
	// full buckets, even if they read the division late. It is reset when a
	// holder is removed or the claim is raised again.
	Full bool `json:"full,omitempty"`
}

// holder is one process of an instance that holds a part of the zone's share.
type holder struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Parts is the holder's part of every claim, in millionths, once the
	// generation is confirmed.
	Parts int64 `json:"parts"`
	// Bound is the largest part that the holder may hold now, in millionths.
	// The bounds of all holders together never exceed totalParts.
	Bound int64 `json:"bound"`
	// UnconfirmedReduction means that claims were reduced and the holder may
	// still hold its part of the larger claims.
	UnconfirmedReduction bool `json:"owes_cut,omitempty"`
	// Joined is the generation in which the holder joined.
	Joined uint64 `json:"joined"`
	// Fenced means that the holder may not spend its share. Its parts become
	// free once its lease has certainly ended.
	Fenced bool `json:"fenced,omitempty"`
}

// divisionPrefix returns the key prefix of the divisions of an environment.
func divisionPrefix(env string) string { return "quota/" + env + "/" }

func divisionKey(env, zone string) string { return divisionPrefix(env) + zone }

func decodeDivision(data []byte) (*division, error) {
	var d division
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

func (d *division) clone() *division {
	next := *d
	next.Claims = slices.Clone(d.Claims)
	next.Holders = slices.Clone(d.Holders)
	return &next
}

// isPending reports whether the holder may still hold more than this generation
// assigns to it.
func (h *holder) isPending() bool { return h.UnconfirmedReduction || h.Bound > h.Parts }

// isConfirmed reports whether no holder is pending.
func (d *division) isConfirmed() bool { return d.countPending() == 0 }

func (d *division) countPending() int {
	n := 0
	for i := range d.Holders {
		if d.Holders[i].isPending() {
			n++
		}
	}
	return n
}

// holder returns the entry of an incarnation, or nil if there is none.
func (d *division) holder(incarnation string) *holder {
	for i := range d.Holders {
		if d.Holders[i].Incarnation == incarnation {
			return &d.Holders[i]
		}
	}
	return nil
}

// claim returns the claim of an account. It is empty if there is none.
func (d *division) claim(account string) claim {
	i, ok := d.find(account)
	if !ok {
		return claim{Account: account}
	}
	return d.Claims[i]
}

func (d *division) find(account string) (int, bool) {
	return slices.BinarySearchFunc(d.Claims, account, func(c claim, name string) int {
		switch {
		case c.Account < name:
			return -1
		case c.Account > name:
			return 1
		}
		return 0
	})
}

// shareOf returns a holder's share of a claim.
func (h *holder) shareOf(c *claim) Share {
	part := float64(h.Parts) / totalParts
	return Share{Rate: c.Held.Rate * part, Burst: c.Held.Burst * part}
}

// startsFull reports whether a holder that never held a share of the account
// starts with a full bucket.
func (c *claim) startsFull(h *holder) bool { return c.Full && h.Joined < c.OpenedGeneration }

// maxShare returns the larger values of the claim and its target.
func (c claim) maxShare() Share {
	return Share{Rate: max(c.Held.Rate, c.Target.Rate), Burst: max(c.Held.Burst, c.Target.Burst)}
}

// fitsIn reports whether neither the rate nor the burst exceeds the bound's.
func (s Share) fitsIn(bound Share) bool { return s.Rate <= bound.Rate && s.Burst <= bound.Burst }

// zonesInService returns the zones that the accounts are divided among.
func zonesInService(v *environment.View) []string {
	var out []string
	for _, z := range v.State.Document.Zones {
		if !v.IsZoneOut(z.Name) {
			out = append(out, z.Name)
		}
	}
	return out
}

// entitlement returns a zone's share of an account according to the document.
// All zones in service have equal shares.
func entitlement(v *environment.View, zone, account string) Share {
	a := v.Account(account)
	zones := zonesInService(v)
	if a == nil || !slices.Contains(zones, zone) {
		return Share{}
	}
	n := float64(len(zones))
	return Share{Rate: float64(a.RateTokensPerSecond) / n, Burst: float64(a.BurstTokens) / n}
}

// fingerprint returns a hash of the fields of a view that divisions depend on:
// the zones in service and the names, rates and bursts of the accounts.
func fingerprint(v *environment.View) string {
	h := xxhash.New()
	add := func(s string) { _, _ = h.WriteString(s + "\x00") }
	zones := zonesInService(v)
	sort.Strings(zones)
	for _, z := range zones {
		add(z)
	}
	accounts := slices.Clone(v.State.Document.Accounts)
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].Name < accounts[j].Name })
	for _, a := range accounts {
		add(a.Name)
		add(strconv.FormatInt(a.RateTokensPerSecond, 10))
		add(strconv.FormatInt(a.BurstTokens, 10))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}
