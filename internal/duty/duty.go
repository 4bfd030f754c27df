// Package duty is the port to those calls of the platform that are the duty of one
// instance at a time.
package duty

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// Errors of API. Calls that fail with ErrUnknown may have been executed.
var (
	ErrBusy     = merry.Sentinel("duty: the platform accepts no more calls at the moment")
	ErrRejected = merry.Sentinel("duty: the platform rejected the call")
	ErrUnknown  = merry.Sentinel("duty: outcome unknown")
	ErrNotSent  = merry.Sentinel("duty: not sent")
)

// Fence identifies the holder of a duty. The platform may reject a token lower than one
// that it has seen for the same subject.
type Fence struct {
	// Holder is the name of the instance.
	Holder string
	// Token rises each time the holder changes.
	Token uint64
	// MayWrite reports whether bytes of the call may be written now: whether the duty is held
	// under Token for as long as the call may take. It is called right before each write, when
	// the connection is established; time may pass unnoticed before that. Nil always allows.
	MayWrite func() bool
}

// Allows reports whether bytes of the call may be written now.
func (f Fence) Allows() bool { return f.MayWrite == nil || f.MayWrite() }

// API makes the calls. Implementations send each call at most once and do not retry. They
// return ErrNotSent if Fence.MayWrite allowed no byte.
type API interface {
	// ReportUsage reports the number of calls of each client account that began to run in
	// a window.
	ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error
	// Scale orders the number of targets of a service in an availability zone.
	Scale(ctx context.Context, fence Fence, service, zone string, desired int) error
}

// ResultOf returns the outcome of a call in one word, for metrics and logs.
func ResultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, ErrRejected):
		return "rejected"
	case errors.Is(err, ErrNotSent):
		return "not_sent"
	}
	return "unknown"
}
