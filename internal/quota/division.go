package quota

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// wholeParts is the sum of the parts of all holders of a zone's share.
const wholeParts = 1_000_000

// division is the object of one availability zone in the platform: what the
// zone claims of each account and how its instances divide it. Only instances
// of the zone write it, but for an operator's release of a holder.
//
// Invariants, for each account:
//   - An instance holds no more than its parts of the claim of each generation
//     that it knows and that is not settled; it grows only by a settled one.
//   - The claim of a zone exceeds its target only until the cut is settled.
//   - The claims of all zones never sum up to more than the whole: a zone raises
//     its claim only if every other zone's claim and target fit the same
//     document, and it reads them after its own target is written.
type division struct {
	// Nonce identifies the write.
	Nonce string `json:"nonce"`
	// Generation rises by one with each write.
	Generation uint64 `json:"generation"`
	// Revision is the environment's revision that the targets follow.
	Revision uint64 `json:"revision"`
	// Fingerprint identifies what of that revision the division depends on.
	Fingerprint string `json:"fingerprint"`
	// Changes counts the changes of the targets.
	Changes uint64 `json:"changes"`
	// Announced tells that a write followed the last change of the targets, so
	// that a read which is behind by one write shows them.
	Announced bool     `json:"announced,omitempty"`
	Claims    []claim  `json:"claims,omitempty"`
	Holders   []holder `json:"holders,omitempty"`
}

// claim is a zone's part of one account.
type claim struct {
	Account string `json:"account"`
	// Held is the most that the zone's instances hold once the generation is
	// settled.
	Held Share `json:"held"`
	// Target is the zone's part by the document.
	Target Share `json:"target"`
	// OpenedGeneration is the generation in which the zone held tokens of the
	// account for the first time; 0 before.
	OpenedGeneration uint64 `json:"opened_generation,omitempty"`
	// OpenedChanges is the value of Changes then.
	OpenedChanges uint64 `json:"opened_changes,omitempty"`
	// Full tells that the holders that joined before OpenedGeneration start with
	// full buckets, however late they see it. It ends once parts or claims grow.
	Full bool `json:"full,omitempty"`
}

// holder is one process of an instance that holds a part of the zone's share.
type holder struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Parts is the holder's part of every claim, in millionths, once the
	// generation is settled.
	Parts int64 `json:"parts"`
	// Bound is the largest part that the holder may hold now, in millionths. The
	// bounds of all holders never sum up to more than the whole.
	Bound int64 `json:"bound"`
	// OwesCut tells that the holder may still hold a part of larger claims.
	OwesCut bool `json:"owes_cut,omitempty"`
	// Joined is the generation in which the holder joined.
	Joined uint64 `json:"joined"`
	// Fenced tells that the holder may not spend; its parts become free once its
	// lease has certainly ended.
	Fenced bool `json:"fenced,omitempty"`
}

// divisionPrefix is the prefix of the divisions of an environment.
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

// isPending reports whether the holder may hold more than the generation gives
// it.
func (h *holder) isPending() bool { return h.OwesCut || h.Bound > h.Parts }

// isSettled reports whether every holder keeps the generation.
func (d *division) isSettled() bool { return d.pending() == 0 }

func (d *division) pending() int {
	n := 0
	for i := range d.Holders {
		if d.Holders[i].isPending() {
			n++
		}
	}
	return n
}

// holder returns the entry of an incarnation or nil.
func (d *division) holder(incarnation string) *holder {
	for i := range d.Holders {
		if d.Holders[i].Incarnation == incarnation {
			return &d.Holders[i]
		}
	}
	return nil
}

// claim returns the claim of an account; it is zero if there is none.
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
	part := float64(h.Parts) / wholeParts
	return Share{Rate: c.Held.Rate * part, Burst: c.Held.Burst * part}
}

// startsFull reports whether a holder that never held the account starts with a
// full bucket.
func (c *claim) startsFull(h *holder) bool { return c.Full && h.Joined < c.OpenedGeneration }

// most returns the larger of the claim and its target.
func (c claim) most() Share {
	return Share{Rate: max(c.Held.Rate, c.Target.Rate), Burst: max(c.Held.Burst, c.Target.Burst)}
}

// fits reports whether a share is no larger than the bound.
func (s Share) fits(bound Share) bool { return s.Rate <= bound.Rate && s.Burst <= bound.Burst }

// zonesInService returns the zones that divide the accounts.
func zonesInService(v *environment.View) []string {
	var out []string
	for _, z := range v.State.Document.Zones {
		if !v.IsZoneOut(z.Name) {
			out = append(out, z.Name)
		}
	}
	return out
}

// entitlement returns the part of an account that belongs to a zone by the
// document: an equal part of each zone in service.
func entitlement(v *environment.View, zone, account string) Share {
	a := v.Account(account)
	zones := zonesInService(v)
	if a == nil || !slices.Contains(zones, zone) {
		return Share{}
	}
	n := float64(len(zones))
	return Share{Rate: float64(a.RateTokensPerSecond) / n, Burst: float64(a.BurstTokens) / n}
}

// fingerprint identifies what of a view divisions depend on.
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
