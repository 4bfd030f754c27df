// Package accept tracks the connections of clients. A planned stop closes those on which no
// request has begun and no others: http.Server closes a connection as idle until it has read
// the whole head of the next request, and may then still pass that request on without being
// able to answer it. Each connection has a reservation in the account of the instance, and one
// that makes no progress is closed when room is short.
package accept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterellink/dotterellink/internal/memlimit"
)

// Tracker knows the open connections of an http.Server. It is safe for concurrent use.
type Tracker struct {
	// class is nil if connections are not bounded.
	class *memlimit.Class

	mu   sync.Mutex
	open map[*conn]struct{}
}

// NewTracker returns a tracker without connections and without bounds.
func NewTracker() *Tracker { return NewBoundedTracker(nil) }

// NewBoundedTracker returns a tracker whose connections take their room from a class.
func NewBoundedTracker(class *memlimit.Class) *Tracker {
	return &Tracker{class: class, open: make(map[*conn]struct{})}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

// Track makes a server report its use of the connections. It is called before the server
// serves the listener.
func (t *Tracker) Track(server *http.Server) {
	server.ConnState = t.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.serve(next, w, r)
	})
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.endRequest()
	}
}

// CloseIdle closes the connections on which no byte of a further request has arrived,
// and returns the number of those that stay open. Connections without any request yet
// are closed only if unused is set.
func (t *Tracker) CloseIdle(unused bool) int {
	left := 0
	for _, c := range t.list() {
		if !c.closeIfIdle(unused) {
			left++
		}
	}
	return left
}

// CloseStalled closes the connections whose head, body or answer has stalled for longer than
// any client is given, and returns their number. It reserves the kernel's buffers of those that
// do not read their answers.
func (t *Tracker) CloseStalled(now time.Time) int {
	closed := 0
	for _, c := range t.list() {
		c.noteAcked(now)
		if c.beginsBlocked(now) {
			c.room.Force(blockedCost)
		}
		if c.isOverdue(now) && c.Evict() {
			closed++
		}
	}
	return closed
}

func (t *Tracker) list() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.open))
	for c := range t.open {
		list = append(list, c)
	}
	return list
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

const (
	// receiveBuffer and sendBuffer bound what the kernel holds for a connection, in bytes each
	// way; it reserves twice as much. Otherwise the buffers grow to megabytes for a client that
	// has once sent or read quickly. Ordinary calls fit.
	receiveBuffer = 128 << 10
	sendBuffer    = 128 << 10
)

// Listen opens a TCP listener whose connections have buffers of bounded size.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
			)
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: raw, tracker: l.tracker, enteredAt: now, progressAt: now}
		if class := l.tracker.class; class != nil {
			if c.room = class.Open(c, connectionCost); c.room == nil {
				_ = raw.Close()
				continue
			}
		}
		l.tracker.mu.Lock()
		l.tracker.open[c] = struct{}{}
		l.tracker.mu.Unlock()
		return c, nil
	}
}
