package scaling

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/duty"
)

const (
	// minOrderInterval and maxOrderInterval bound the time between two orders of a service
	// in a zone. Each failure doubles it: the platform limits the calls of all instances
	// together.
	minOrderInterval = time.Second
	maxOrderInterval = 8 * time.Second
	// rejectedInterval is the time after an order that the platform rejected for its
	// content. Its repetition would be rejected too.
	rejectedInterval = 15 * time.Second
	// adoptBoots is the time, in boot times, after which a listed number that differs from
	// the ordered one is taken for the true one.
	adoptBoots = 2
)

// ErrNotAllowed means that an order was not sent, because the lease did not allow it at that
// moment. It says nothing about the platform.
var ErrNotAllowed = merry.Sentinel("scaling: the lease allows no order now")

// Orders is the state of the orders of one holder for one service in one zone. The zero
// value belongs to no holder.
type Orders struct {
	token uint64
	// number is the number of targets that the platform is taken to keep: the ordered one,
	// or the listed one until this holder has ordered.
	number  int
	ordered bool
	// unknown is set while the outcome of the order of sent is unknown. That order is
	// repeated until its outcome is known.
	unknown  bool
	inFlight bool
	sent     int
	failures int
	nextAt   time.Time
	// differsSince is since when the listed number differs from number; zero if it does not.
	differsSince time.Time
}

// Observe applies the number of targets that are listed and do not leave. A new token starts
// anew from that number, as a holder does not know what its predecessor ordered last.
func (o *Orders) Observe(token uint64, listed int, boot time.Duration, now time.Time) {
	if token != o.token {
		*o = Orders{token: token, number: listed}
	}
	switch {
	case o.unknown || o.inFlight:
	case listed == o.number:
		o.differsSince = time.Time{}
	case !o.ordered && listed > o.number:
		o.number = listed
	case o.differsSince.IsZero():
		o.differsSince = now
	case now.Sub(o.differsSince) >= time.Duration(adoptBoots*float64(boot)):
		// The order had no lasting effect, another one arrived after it, or targets were lost
		// and not replaced. A short lack of entries is none of these.
		o.number, o.ordered, o.differsSince = listed, false, time.Time{}
	}
}

// Number returns the number of targets now and on the way.
func (o *Orders) Number() int { return o.number }

// Next returns the order that is due if desired targets are wanted, or false if there is
// none.
func (o *Orders) Next(desired int, now time.Time) (number int, ok bool) {
	switch {
	case o.token == 0 || o.inFlight || now.Before(o.nextAt):
		return 0, false
	case o.unknown:
		return o.sent, true
	}
	return desired, desired != o.number
}

// Begin records that an order is being sent.
func (o *Orders) Begin(number int, now time.Time) {
	o.inFlight, o.sent = true, number
	o.nextAt = now.Add(minOrderInterval)
}

// End records how the order that was sent with a token ended. Errors are those of duty.API, or ErrNotAllowed.
// The outcome of an order of an earlier token has no effect.
func (o *Orders) End(token uint64, err error, now time.Time) {
	if token != o.token || !o.inFlight {
		return
	}
	o.inFlight = false
	switch {
	case err == nil:
		o.number, o.ordered, o.unknown, o.failures, o.differsSince = o.sent, true, false, 0, time.Time{}
		o.nextAt = now.Add(minOrderInterval)
		return
	case errors.Is(err, ErrNotAllowed):
		o.nextAt = now.Add(minOrderInterval / 2)
		return
	case errors.Is(err, duty.ErrRejected):
		o.unknown, o.failures = false, 0
		o.nextAt = now.Add(rejectedInterval)
		return
	case errors.Is(err, duty.ErrBusy), errors.Is(err, duty.ErrNotSent):
		// This send was not executed, but an earlier one with an unknown outcome may be.
	default:
		o.unknown = true
	}
	o.nextAt = now.Add(min(maxOrderInterval, minOrderInterval<<min(o.failures, 8)))
	o.failures++
}
