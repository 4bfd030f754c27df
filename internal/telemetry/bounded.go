package telemetry

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/prometheus/client_golang/prometheus"
)

// pendingLines is the number of lines that wait for the writer; further ones are
// dropped.
const pendingLines = 1024

// BoundedLog writes structured lines beside the work that logs them: a line that
// finds the queue full, or that exceeds the rate, is dropped and counted. It
// never blocks.
type BoundedLog struct {
	lines   chan *log.Entry
	dropped prometheus.Counter
	done    chan struct{}
	next    log.Handler
	perSec  int
}

// NewBoundedLog returns a logger of JSON lines to out, with at most perSecond of
// them, and the log that has to be run and closed.
func NewBoundedLog(out io.Writer, level string, perSecond int, registerer prometheus.Registerer) (*log.Logger, *BoundedLog, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	b := &BoundedLog{
		lines:   make(chan *log.Entry, pendingLines),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_log_lines_dropped_total", Help: "Log lines that were not written."}),
		done:    make(chan struct{}),
		next:    &redactingHandler{next: json.New(out)},
		perSec:  perSecond,
	}
	registerer.MustRegister(b.dropped)
	go b.write()
	return &log.Logger{Handler: b, Level: parsed}, b, nil
}

// HandleLog implements log.Handler.
func (b *BoundedLog) HandleLog(e *log.Entry) error {
	select {
	case b.lines <- e:
	default:
		b.dropped.Inc()
	}
	return nil
}

// write writes lines, within the rate.
func (b *BoundedLog) write() {
	defer close(b.done)
	var second time.Time
	written := 0
	for e := range b.lines {
		if e == nil {
			return
		}
		if e.Timestamp.Sub(second).Abs() >= time.Second {
			second, written = e.Timestamp, 0
		}
		// Warnings pass: there are few of them.
		if written++; written > b.perSec && e.Level < log.WarnLevel {
			b.dropped.Inc()
			continue
		}
		if err := b.next.HandleLog(e); err != nil {
			b.dropped.Inc()
		}
	}
}

// closeTimeout bounds the wait for lines under way, in case nobody reads.
const closeTimeout = 200 * time.Millisecond

// Close writes the lines under way. Lines logged later are kept back.
func (b *BoundedLog) Close() {
	select {
	case b.lines <- nil:
	default:
		return
	}
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
