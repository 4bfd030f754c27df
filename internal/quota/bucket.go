package quota

import (
	"math"
	"slices"
	"time"
)

// Share is a share of an account's rate, in tokens per second, and burst, in
// tokens.
type Share struct {
	Rate  float64 `msgpack:"r" json:"rate"`
	Burst float64 `msgpack:"b" json:"burst"`
}

// tokenEpsilon is the tolerance for rounding errors in sums of shares, in
// tokens.
const tokenEpsilon = 1e-6

// bucket is a token bucket whose rate and burst can change and that accepts
// refunds of unused tokens.
//
// An ideal bucket is one from which each reservation takes only the tokens that
// it finally uses. Invariant: the level never exceeds that of the ideal bucket,
// so refunds never admit more than the rate and burst allow. If every pending
// refund were made in full, the ideal bucket would hold the level plus their
// sum. It never holds more than its burst, so the sum never exceeds the burst
// less the level. The excess is dropped, from the oldest pending refunds first.
type bucket struct {
	share     Share
	level     float64
	updatedAt time.Time
	// refundable is the sum of the pending refunds, in tokens.
	refundable     float64
	pendingRefunds []*pendingRefund
}

// pendingRefund is the maximum number of tokens that can still be refunded for
// a reservation or an ended loan.
type pendingRefund struct {
	refundable float64
}

func newBucket(now time.Time, share Share, level float64) *bucket {
	return &bucket{share: share, level: level, updatedAt: now}
}

// advance adds the tokens that accrued until now. It ignores times before the
// last update.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	b.level = math.Min(b.share.Burst, b.level+b.share.Rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.clipRefunds()
}

// resize replaces the share. It never raises the level.
func (b *bucket) resize(share Share) {
	b.share = share
	b.level = math.Min(b.level, share.Burst)
	b.clipRefunds()
}

// clipRefunds drops the excess of pending refunds over the burst less the
// level, oldest first.
func (b *bucket) clipRefunds() {
	maxRefundable := b.share.Burst - b.level
	for len(b.pendingRefunds) > 0 && (b.refundable > maxRefundable || b.pendingRefunds[0].refundable == 0) {
		oldest := b.pendingRefunds[0]
		dropped := math.Min(oldest.refundable, math.Max(0, b.refundable-maxRefundable))
		oldest.refundable -= dropped
		b.refundable -= dropped
		if oldest.refundable > 0 {
			return
		}
		b.pendingRefunds = b.pendingRefunds[1:]
	}
	if len(b.pendingRefunds) == 0 {
		b.refundable = 0
	}
}

// headroom returns the part of the burst that neither the level nor pending
// refunds occupy.
func (b *bucket) headroom() float64 {
	return math.Max(0, b.share.Burst-math.Max(0, b.level)-b.refundable)
}

// withdraw removes tokens and a share from the bucket. The share's burst must
// be at least tokens and at most tokens plus the headroom, so that the
// smaller burst costs neither tokens nor pending refunds.
func (b *bucket) withdraw(share Share, tokens float64) {
	b.level -= tokens
	b.share.Burst -= share.Burst
	b.share.Rate = math.Max(0, b.share.Rate-share.Rate)
}

// take removes tokens, at most the level, and returns their pending refund.
func (b *bucket) take(tokens float64) *pendingRefund {
	b.level -= tokens
	return b.expectRefund(tokens)
}

// expectRefund adds a pending refund for tokens that are not in the bucket.
func (b *bucket) expectRefund(tokens float64) *pendingRefund {
	p := &pendingRefund{refundable: tokens}
	b.pendingRefunds = append(b.pendingRefunds, p)
	b.refundable += tokens
	b.clipRefunds()
	return p
}

// refund adds tokens to the level, at most what the pending refund still
// allows.
func (b *bucket) refund(p *pendingRefund, tokens float64) {
	refunded := math.Min(tokens, p.refundable)
	p.refundable -= refunded
	b.refundable -= refunded
	b.level = math.Min(b.share.Burst, b.level+refunded)
}

// cancelRefund drops the rest of a pending refund.
func (b *bucket) cancelRefund(p *pendingRefund) { b.reduceRefund(p, 0) }

// reduceRefund lowers a pending refund to at most refundable tokens.
func (b *bucket) reduceRefund(p *pendingRefund, refundable float64) {
	reduction := math.Max(0, p.refundable-math.Max(0, refundable))
	b.refundable -= reduction
	p.refundable -= reduction
	b.clipRefunds()
	if len(b.pendingRefunds) > minCompactedRefunds && b.pendingRefunds[len(b.pendingRefunds)/2].refundable == 0 {
		b.pendingRefunds = slices.DeleteFunc(b.pendingRefunds, func(p *pendingRefund) bool { return p.refundable == 0 })
	}
}

// minCompactedRefunds is the number of pending refunds up to which reduceRefund
// does not remove empty ones.
const minCompactedRefunds = 256

// debit removes tokens that were used beyond a reservation. The level can
// become negative.
func (b *bucket) debit(tokens float64) { b.level -= tokens }
