package telemetry

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/prometheus/client_golang/prometheus"
)

// queueCapacity is the number of lines that may wait to be written. Further lines
// are dropped.
const queueCapacity = 1024

// BoundedLog is a handler that queues log lines and writes them from a goroutine
// of its own, so that logging never blocks. Lines that find the queue full, exceed
// the rate limit or cannot be written are dropped and counted.
type BoundedLog struct {
	queue          chan *log.Entry
	dropped        prometheus.Counter
	done           chan struct{}
	next           log.Handler
	linesPerSecond int
}

// NewBoundedLog returns a logger that writes JSON lines to out, and its handler,
// which must be closed. At most linesPerSecond lines are written in each window
// of one second. Warnings and errors count but are written beyond that limit too.
func NewBoundedLog(out io.Writer, level string, linesPerSecond int, registerer prometheus.Registerer) (*log.Logger, *BoundedLog, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	b := &BoundedLog{
		queue:          make(chan *log.Entry, queueCapacity),
		dropped:        prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_log_lines_dropped_total", Help: "Log lines that were not written."}),
		done:           make(chan struct{}),
		next:           &redactingHandler{next: json.New(out)},
		linesPerSecond: linesPerSecond,
	}
	registerer.MustRegister(b.dropped)
	go b.write()
	return &log.Logger{Handler: b, Level: parsed}, b, nil
}

// HandleLog implements log.Handler.
func (b *BoundedLog) HandleLog(e *log.Entry) error {
	select {
	case b.queue <- e:
	default:
		b.dropped.Inc()
	}
	return nil
}

// write writes the queued lines within the rate limit until Close stops it.
func (b *BoundedLog) write() {
	defer close(b.done)
	var windowStart time.Time
	written := 0
	for e := range b.queue {
		if e == nil {
			return
		}
		if e.Timestamp.Sub(windowStart).Abs() >= time.Second {
			windowStart, written = e.Timestamp, 0
		}
		// Warnings and errors are exempt from the limit: there are few of them.
		if written++; written > b.linesPerSecond && e.Level < log.WarnLevel {
			b.dropped.Inc()
			continue
		}
		if err := b.next.HandleLog(e); err != nil {
			b.dropped.Inc()
		}
	}
}

// closeTimeout bounds the wait for queued lines, in case nobody reads the output.
const closeTimeout = 200 * time.Millisecond

// Close stops the writer after the lines queued so far and waits for it, for at
// most closeTimeout. Lines logged later are not written. If the queue is full,
// Close returns at once and the writer continues.
func (b *BoundedLog) Close() {
	select {
	case b.queue <- nil:
	default:
		return
	}
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
