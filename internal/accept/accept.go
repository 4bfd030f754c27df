// Package accept tracks the connections of callers, so that a planned stop closes those
// on which no request has begun and no others. http.Server closes a connection as idle
// until it has read the whole head of the next request, and may then still pass that
// request on without being able to answer it.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Tracker knows the open connections of an http.Server. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker { return &Tracker{open: make(map[*conn]struct{})} }

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
		// The request may have been read together with the one before, so that Read has not
		// seen it begin.
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.enter(inRequest)
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.enter(idle)
	}
}

// CloseIdle closes the connections on which no byte of a further request has arrived,
// and returns the number of those that stay open. Connections without any request yet
// are closed only if unused is set.
func (t *Tracker) CloseIdle(unused bool) int {
	t.mu.Lock()
	list := make([]*conn, 0, len(t.open))
	for c := range t.open {
		list = append(list, c)
	}
	t.mu.Unlock()
	left := 0
	for _, c := range list {
		if !c.closeIfIdle(unused) {
			left++
		}
	}
	return left
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: l.tracker}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[c] = struct{}{}
	return c, nil
}

// phase is what a connection is used for.
type phase int

const (
	// unusedYet means that no byte of a request has arrived.
	unusedYet phase = iota
	// inRequest means that a request has begun and its answer has not ended.
	inRequest
	// idle means that the last answer has ended and no byte has arrived since.
	idle
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	tracker *Tracker

	mu     sync.Mutex
	phase  phase
	closed bool
	// enteredAt is when phase was last set.
	enteredAt time.Time
}

// minIdle is how long a connection has to be idle before it is closed. Within that time the
// server begins a request that it has already read.
const minIdle = 20 * time.Millisecond

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.enteredAt = p, time.Now()
}

// Read implements net.Conn. Bytes that arrive while the connection is being closed are
// not returned: no answer to them could be sent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.phase = inRequest
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending direction. http.Server uses it to let the caller read the
// whole answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that were not sent yet. It lets a server reset
// the connection.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// closeIfIdle reports whether the connection is closed.
func (c *conn) closeIfIdle(unused bool) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return true
	}
	used := c.phase == inRequest || c.phase == idle && time.Since(c.enteredAt) < minIdle
	if used || c.phase == unusedYet && !unused || hasUnread(c.Conn) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// hasUnread reports whether bytes have arrived that were not read yet.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
