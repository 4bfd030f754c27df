package mesh

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	writeTimeout = 2 * time.Second
	// halfOpenTimeout is the time without a received frame after which a
	// connection counts as half-open. It is checked when a call times out or
	// is cancelled.
	halfOpenTimeout = 3 * time.Second
)

// link is a connection to one peer. Concurrent calls share it. On an accepted
// connection it only writes responses.
//
// Lock order: writeMu before mu.
type link struct {
	peer Peer
	conn net.Conn

	writeMu sync.Mutex

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *frame
	closed  bool
	// lastReadAt is the time of the last received frame, or of the creation of
	// the link.
	lastReadAt time.Time
}

func newLink(peer Peer, conn net.Conn) *link {
	return &link{peer: peer, conn: conn, pending: make(map[uint64]chan *frame), lastReadAt: time.Now()}
}

// readResponses passes responses to the waiting calls until the connection ends.
func (l *link) readResponses() {
	defer l.close()
	reader := bufio.NewReader(l.conn)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastReadAt = time.Now()
		responses := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if responses != nil {
			responses <- f
		}
	}
}

func (l *link) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	id, responses, err := l.register()
	if err != nil {
		return nil, err
	}
	defer l.unregister(id)
	f := &frame{ID: id, Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	if err := l.write(f); err != nil {
		return nil, l.handleWriteError(err)
	}
	select {
	case f, ok := <-responses:
		return responseResult(f, ok)
	case <-ctx.Done():
		l.closeIfHalfOpen(time.Now())
		return nil, merry.Wrap(ErrNoResponse, merry.WithCause(ctx.Err()))
	}
}

// handleWriteError closes the connection, except after an encoding error:
// nothing was written to the connection then.
func (l *link) handleWriteError(err error) error {
	if errors.Is(err, ErrCodec) {
		return err
	}
	l.close()
	return merry.Wrap(ErrNoResponse, merry.WithCause(err))
}

// closeIfHalfOpen closes the connection if no frame was received within
// halfOpenTimeout, so that the node dials again.
func (l *link) closeIfHalfOpen(now time.Time) {
	l.mu.Lock()
	isHalfOpen := now.Sub(l.lastReadAt) > halfOpenTimeout
	l.mu.Unlock()
	if isHalfOpen {
		l.close()
	}
}

func responseResult(f *frame, ok bool) ([]byte, error) {
	if !ok {
		return nil, merry.Wrap(ErrNoResponse, merry.AppendMessage("connection ended"))
	}
	if f.Error != "" {
		return nil, merry.Wrap(ErrRemote, merry.AppendMessage(f.Error))
	}
	return f.Body, nil
}

func (l *link) register() (uint64, chan *frame, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, merry.Wrap(ErrNotConnected)
	}
	l.nextID++
	responses := make(chan *frame, 1)
	l.pending[l.nextID] = responses
	return l.nextID, responses, nil
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *link) write(f *frame) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeFrame(l.conn, f)
}

// close closes the connection and fails all pending calls.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.conn.Close()
	for _, responses := range l.pending {
		close(responses)
	}
	l.pending = nil
}
