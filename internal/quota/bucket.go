package quota

import (
	"math"
	"slices"
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

// bucket is a token bucket whose parameters can change and to which unused
// tokens come back.
//
// Invariant: let the ideal bucket be one from which each reservation takes only
// what it finally uses. The level never exceeds that of the ideal bucket, so
// that no refund admits more than the bound. The ideal bucket is never above
// its burst, so what may still come back, refundable, never exceeds the burst
// less the level: what would overflow is lost, of the oldest holds first.
type bucket struct {
	share Share
	level float64
	at    time.Time
	// refundable is the sum over holds.
	refundable float64
	holds      []*hold
}

// hold is what may still come back of tokens taken.
type hold struct {
	refundable float64
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
	b.clip()
}

// resize replaces the share; the level never rises by it.
func (b *bucket) resize(share Share) {
	b.share = share
	b.level = math.Min(b.level, share.Burst)
	b.clip()
}

// clip drops refunds for which the burst has no room.
func (b *bucket) clip() {
	room := b.share.Burst - b.level
	for len(b.holds) > 0 && (b.refundable > room || b.holds[0].refundable == 0) {
		oldest := b.holds[0]
		cut := math.Min(oldest.refundable, math.Max(0, b.refundable-room))
		oldest.refundable -= cut
		b.refundable -= cut
		if oldest.refundable > 0 {
			return
		}
		b.holds = b.holds[1:]
	}
	if len(b.holds) == 0 {
		b.refundable = 0
	}
}

// room is the capacity that neither tokens nor refunds need.
func (b *bucket) room() float64 {
	return math.Max(0, b.share.Burst-math.Max(0, b.level)-b.refundable)
}

// moveOut takes tokens, capacity and rate out. The capacity holds the tokens,
// and exceeds them by no more than the room, so that neither the bucket nor its
// ideal is clipped.
func (b *bucket) moveOut(part Share, tokens float64) {
	b.level -= tokens
	b.share.Burst -= part.Burst
	b.share.Rate = math.Max(0, b.share.Rate-part.Rate)
}

// take reserves tokens that the level holds.
func (b *bucket) take(tokens float64) *hold {
	b.level -= tokens
	return b.expect(tokens)
}

// expect lets tokens that the bucket does not hold come back later.
func (b *bucket) expect(tokens float64) *hold {
	h := &hold{refundable: tokens}
	b.holds = append(b.holds, h)
	b.refundable += tokens
	b.clip()
	return h
}

// refund returns tokens of a hold, as far as it still allows.
func (b *bucket) refund(h *hold, tokens float64) {
	back := math.Min(tokens, h.refundable)
	h.refundable -= back
	b.refundable -= back
	b.level = math.Min(b.share.Burst, b.level+back)
}

// release ends a hold.
func (b *bucket) release(h *hold) { b.lower(h, 0) }

// lower cuts a hold to what may still come back.
func (b *bucket) lower(h *hold, refundable float64) {
	cut := math.Max(0, h.refundable-math.Max(0, refundable))
	b.refundable -= cut
	h.refundable -= cut
	b.clip()
	if len(b.holds) > minCompacted && b.holds[len(b.holds)/2].refundable == 0 {
		b.holds = slices.DeleteFunc(b.holds, func(h *hold) bool { return h.refundable == 0 })
	}
}

// minCompacted is the number of holds below which ended ones are left in place.
const minCompacted = 256

// debit takes tokens that were used beyond a reservation; the level may become
// negative.
func (b *bucket) debit(tokens float64) { b.level -= tokens }
