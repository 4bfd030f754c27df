package accept

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterellink/dotterellink/internal/memlimit"
)

// Costs in bytes, reserved for what net/http and the handlers allocate.
const (
	// connectionCost is for the buffers and goroutines of a connection; 20 kB were measured.
	connectionCost = 24 << 10
	// requestCost is for a running request besides its head and body.
	requestCost = 32 << 10
	// headByteCost and headLineCost are for a head that is being read. Fields of 8 bytes were
	// measured to take 22 times their size.
	headByteCost = 2
	headLineCost = 300
	// fieldByteCost and fieldCost are for the fields of a running request, which are copied for
	// the target.
	fieldByteCost = 4
	fieldCost     = 600
	// blockedCost is for what the kernel holds of a client that does not read its answer.
	blockedCost = 2 * (receiveBuffer + sendBuffer)
)

// Times after which a client counts as stalled.
const (
	// minIdle is how long a connection has to be idle before it is closed. Within that time the
	// server begins a request that it has already read.
	minIdle = 20 * time.Millisecond
	// minStall and minBlocked are the times without progress before an unfinished request, and
	// a client that does not read its answer, may be closed to make room.
	minStall   = 250 * time.Millisecond
	minBlocked = time.Second
	// progressBytes is what has to arrive of a body for it to count as progress, so that a
	// client cannot hold its room by single bytes.
	progressBytes = 4 << 10

	// headTimeout bounds the time from the first byte of a head to its end, whether or not room
	// is short. The platform gives its callers 3 s; the rest is a margin for slow machines.
	headTimeout = 5 * time.Second
	// bodyTimeout and writeTimeout bound the time without a byte of a body, and the time without
	// an acknowledgment of an answer. Clients may be idle for 12 s.
	bodyTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	// slowWriteTimeout is in place of writeTimeout for an answer whose handler has set a deadline
	// for it. The kernel of a client may acknowledge nothing until the client has read the whole
	// receive buffer, 128 KiB by default: 128 s at 1 KiB/s, and a pause of 12 s. With 80 s, such
	// clients were closed over loopback.
	slowWriteTimeout = 140 * time.Second
	// endTimeout bounds the reading of what is left of a body whose request was answered.
	endTimeout = time.Second
	// writePiece is the size in bytes of the pieces in which answers are written, so that a
	// client that reads slowly makes progress.
	writePiece = 16 << 10
)

// phase is what a connection is used for.
type phase int

const (
	// unusedYet means that no byte of a request has arrived.
	unusedYet phase = iota
	// inHead means that a request has begun to arrive.
	inHead
	// inRequest means that the head has ended or the handler runs.
	inRequest
	// ending means that the handler has returned and the answer has not ended.
	ending
	// idle means that the last answer has ended and no byte has arrived since.
	idle
)

// conn is one connection of a client. It implements memlimit.Holder.
type conn struct {
	net.Conn
	tracker *Tracker
	// room is nil if the connection is not bounded.
	room *memlimit.Reservation

	mu     sync.Mutex
	phase  phase
	closed bool
	// enteredAt is when phase was last set.
	enteredAt time.Time
	// receiving is set while the handler has not read the body to its end. After the handler,
	// net/http may still read the rest.
	receiving bool
	// arrivedAt is when a byte of the body last arrived, progressAt when progressBytes had
	// arrived, pending what has arrived since.
	arrivedAt, progressAt time.Time
	pending               int
	// writingSince is when the current piece of an answer was begun, zero between writes.
	writingSince time.Time
	// acked is how many bytes the client had acknowledged on the connection when it was last
	// looked at within the current piece, ackedAt when that had last changed, zero before the
	// first look.
	acked   uint64
	ackedAt time.Time
	// hasWriteDeadline is set while the handler or the server has set a deadline for the answer.
	hasWriteDeadline bool
	// blocked is set once the kernel's buffers were reserved for the current request.
	blocked bool
	// head is the state of the head that is being read.
	head head
	// framed is set while the handler runs or the answer ends: framing then finds the end of the
	// body.
	framed  bool
	framing framing
	// ahead is what has arrived since the head, or what has arrived since the body once framed is
	// set.
	ahead []byte
}

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
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	cost := c.receive(p[:n])
	c.mu.Unlock()
	if cost > 0 && !c.room.Grow(int64(cost)) {
		// net/http would answer 400 to a head that breaks off within a field.
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	defer c.setWriting(time.Time{})
	written := 0
	for {
		c.setWriting(time.Now())
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince, c.ackedAt = since, time.Time{}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.hasWriteDeadline = !t.IsZero()
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c)
	err := c.Conn.Close()
	c.room.Close()
	return err
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

// serve runs the handler for a request.
func (c *conn) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	hasBody := r.ContentLength != 0
	c.mu.Lock()
	c.phase, c.enteredAt = inRequest, now
	trailerCost := int64(c.frame(r.ContentLength))
	c.receiving, c.arrivedAt, c.progressAt, c.pending, c.blocked = hasBody, now, now, 0, false
	c.mu.Unlock()
	defer c.enter(ending)
	if !c.room.Resize(connectionCost + requestCost + headCost(r) + trailerCost) {
		if hasBody {
			// net/http reads what is left of the body before it closes the connection.
			_ = c.SetReadDeadline(now.Add(endTimeout))
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "memory_full", http.StatusServiceUnavailable)
		return
	}
	if c.room != nil {
		r = r.WithContext(memlimit.NewContext(r.Context(), c.room))
	}
	if hasBody {
		// Handlers that read the body may set another one.
		_ = c.SetReadDeadline(now.Add(bodyTimeout))
		received := &body{ReadCloser: r.Body, conn: c}
		// net/http keeps the request that it has passed, and needs its own body there.
		r = r.WithContext(r.Context())
		r.Body = received
		defer func() {
			if c.isReceiving() {
				_ = c.SetReadDeadline(time.Now().Add(endTimeout))
			}
		}()
	}
	next.ServeHTTP(w, r)
}

// headCost returns the cost of the head of a running request.
func headCost(r *http.Request) int64 {
	size := len(r.RequestURI)
	fields := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	return int64(fieldByteCost*size + fieldCost*fields)
}

// body is the body of a request. It tells the connection what has arrived.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.conn.received(n)
	}
	if errors.Is(err, io.EOF) {
		b.conn.stopReceiving()
	}
	return n, err
}

func (c *conn) received(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivedAt = time.Now()
	if c.pending += n; c.pending >= progressBytes {
		c.pending, c.progressAt = 0, c.arrivedAt
	}
}

func (c *conn) stopReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// awaitsBody reports whether the handler has not read the body to its end and a part of it has
// not arrived. It requires c.mu.
func (c *conn) awaitsBody() bool { return c.receiving && c.framing.state != bodyEnded }

func (c *conn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receiving
}

// Weights of the time without progress, in quarters. Unfinished requests go before connections
// without one, which go before idle ones that a caller may use again.
const (
	weightUnfinished = 16
	weightUnused     = 8
	weightBlocked    = 4
	weightIdle       = 1
)

// Stalled implements memlimit.Holder.
func (c *conn) Stalled(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, least, weight := c.enteredAt, minStall, time.Duration(0)
	switch {
	case c.closed:
	case !c.writingSince.IsZero():
		since, least, weight = c.writingSince, minBlocked, weightBlocked
	case c.phase == unusedYet:
		weight = weightUnused
	case c.phase == idle:
		least, weight = minIdle, weightIdle
	case c.phase == inHead, c.phase == ending && c.awaitsBody():
		weight = weightUnfinished
	case c.phase == inRequest && c.awaitsBody():
		since, weight = c.progressAt, weightUnfinished
	}
	if age := now.Sub(since); age >= least {
		return age * weight / 4
	}
	return 0
}

// isOverdue reports whether the client has used up the time that any client is given.
func (c *conn) isOverdue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.writingSince.IsZero():
		return !c.ackedAt.IsZero() && now.Sub(c.ackedAt) >= c.writeLimit()
	case c.phase == inHead:
		return now.Sub(c.enteredAt) >= headTimeout
	case c.phase == inRequest && c.awaitsBody():
		return now.Sub(c.arrivedAt) >= bodyTimeout
	}
	return false
}

// writeLimit returns the time that the client is given without an acknowledgment of its answer. It
// requires c.mu.
func (c *conn) writeLimit() time.Duration {
	if c.hasWriteDeadline {
		return slowWriteTimeout
	}
	return writeTimeout
}

// noteAcked looks whether a client on which a write waits has acknowledged bytes. The kernel takes
// none for a write until about a third of its buffer is free, which is more than a client that
// reads 5 KB/s reads in 15 s.
func (c *conn) noteAcked(now time.Time) {
	c.mu.Lock()
	since := c.writingSince
	c.mu.Unlock()
	if since.IsZero() || now.Sub(since) < minBlocked {
		return
	}
	acked, ok := ackedBytes(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.writingSince.Equal(since):
		// The write went on meanwhile.
	case c.ackedAt.IsZero() && (!ok || now.Sub(since) < c.writeLimit()):
		c.acked, c.ackedAt = acked, since
	case c.ackedAt.IsZero() || acked != c.acked:
		// A first look that is late says nothing: this instance was paused.
		c.acked, c.ackedAt = acked, now
	}
}

// beginsBlocked reports, once in a request, whether its client does not read the answer.
func (c *conn) beginsBlocked(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked || c.writingSince.IsZero() || now.Sub(c.writingSince) < minBlocked {
		return false
	}
	c.blocked = true
	return true
}

// expired is a time in the past.
var expired = time.Unix(1, 0)

// Evict implements memlimit.Holder. A body that is being received ends with
// os.ErrDeadlineExceeded, so that the handler refuses the request. All other connections are
// closed.
func (c *conn) Evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocked := !c.writingSince.IsZero()
	complete := (c.phase == inRequest || c.phase == ending) && !c.awaitsBody()
	if c.closed || !blocked && (complete || hasUnread(c.Conn)) {
		// The request runs, or what has arrived was not read yet: the client is not at fault.
		return false
	}
	if c.phase == inRequest && !blocked {
		_ = c.Conn.SetReadDeadline(expired)
		return true
	}
	c.closed = true
	// Close uses the account, which is locked here.
	go c.Close() //nolint:errcheck // Nothing is left to do.
	return true
}

// closeIfIdle reports whether the connection is closed.
func (c *conn) closeIfIdle(unused bool) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return true
	}
	used := c.phase == inHead || c.phase == inRequest || c.phase == ending || c.phase == idle && time.Since(c.enteredAt) < minIdle
	if used || c.phase == unusedYet && !unused || hasUnread(c.Conn) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// ackedBytes returns how many bytes the other end of a TCP connection has acknowledged.
func ackedBytes(c net.Conn) (n uint64, ok bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0, false
	}
	return info.Bytes_acked, true
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
