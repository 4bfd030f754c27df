package quota

import (
	"math"
	"time"
)

// Share is a part of an account's rate, in tokens per second, and burst, in
// tokens.
type Share struct {
	Rate  float64 `msgpack:"r" json:"rate"`
	Burst float64 `msgpack:"b" json:"burst"`
}

// tokenEpsilon absorbs rounding of sums of shares, in tokens.
const tokenEpsilon = 1e-6

// bucket is a token bucket whose parameters can change.
//
// Invariant: let the ideal bucket be one from which each reservation takes only
// what it finally uses. The level never exceeds that of the ideal bucket, so
// that a refund never admits more than the bound. A cut of the burst below
// level+outstanding may clip the ideal bucket; then epoch rises and refunds of
// earlier reservations are dropped.
type bucket struct {
	share       Share
	level       float64
	at          time.Time
	outstanding float64
	epoch       uint64
}

func newBucket(now time.Time, share Share, level float64) *bucket {
	return &bucket{share: share, level: level, at: now}
}

// advance adds the tokens that accrued until now. A time before the last is
// ignored.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.level = math.Min(b.share.Burst, b.level+b.share.Rate*now.Sub(b.at).Seconds())
	b.at = now
}

// resize replaces the share; the level never rises by it.
func (b *bucket) resize(share Share) {
	if share.Burst < b.level+b.outstanding && share.Burst < b.share.Burst-tokenEpsilon {
		b.level = math.Min(b.level, share.Burst)
		b.forbidRefunds()
	}
	b.share = share
}

// forbidRefunds drops the refunds of all that was taken so far.
func (b *bucket) forbidRefunds() {
	b.epoch++
	b.outstanding = 0
}

// moveOut takes tokens out together with the same capacity and a rate. The
// caller has checked that the level and the rate suffice. It clips neither the
// bucket nor its ideal.
func (b *bucket) moveOut(part Share) {
	b.level -= part.Burst
	b.share.Burst -= part.Burst
	b.share.Rate = math.Max(0, b.share.Rate-part.Rate)
}

// take reserves tokens that the level holds.
func (b *bucket) take(tokens float64) {
	b.level -= tokens
	b.outstanding += tokens
}

// settle returns refund of a part of a reservation made in epoch.
func (b *bucket) settle(epoch uint64, reserved, refund float64) {
	if epoch != b.epoch {
		return
	}
	b.outstanding = math.Max(0, b.outstanding-reserved)
	b.level = math.Min(b.share.Burst, b.level+refund)
}

// debit takes tokens that were used beyond a reservation; the level may become
// negative.
func (b *bucket) debit(tokens float64) { b.level -= tokens }
