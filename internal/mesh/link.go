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
	// halfOpenAfter is how long a connection on which calls go unanswered may
	// bring nothing before it counts as half-open and is made anew.
	halfOpenAfter = 3 * time.Second
)

// link is the outgoing connection to one peer. Calls share it.
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
	// readAt is when the connection last brought a frame.
	readAt time.Time
}

func newLink(peer Peer, conn net.Conn) *link {
	return &link{peer: peer, conn: conn, pending: make(map[uint64]chan *frame), readAt: time.Now()}
}

// readAnswers delivers answers until the connection ends.
func (l *link) readAnswers() {
	defer l.close()
	reader := bufio.NewReader(l.conn)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.readAt = time.Now()
		waiting := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if waiting != nil {
			waiting <- f
		}
	}
}

func (l *link) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	id, answer, err := l.register()
	if err != nil {
		return nil, err
	}
	defer l.forget(id)
	f := &frame{ID: id, Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	if err := l.write(f); err != nil {
		return nil, l.writeFailed(err)
	}
	select {
	case f, ok := <-answer:
		return result(f, ok)
	case <-ctx.Done():
		l.closeIfHalfOpen(time.Now())
		return nil, merry.Wrap(ErrNoResponse, merry.WithCause(ctx.Err()))
	}
}

// writeFailed ends the connection unless nothing was written to it.
func (l *link) writeFailed(err error) error {
	if errors.Is(err, ErrCodec) {
		return err
	}
	l.close()
	return merry.Wrap(ErrNoResponse, merry.WithCause(err))
}

// closeIfHalfOpen ends a connection that brings nothing, so that it is made
// anew.
func (l *link) closeIfHalfOpen(now time.Time) {
	l.mu.Lock()
	silent := now.Sub(l.readAt) > halfOpenAfter
	l.mu.Unlock()
	if silent {
		l.close()
	}
}

func result(f *frame, ok bool) ([]byte, error) {
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
	answer := make(chan *frame, 1)
	l.pending[l.nextID] = answer
	return l.nextID, answer, nil
}

func (l *link) forget(id uint64) {
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

// close ends the connection and all pending calls.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.conn.Close()
	for _, answer := range l.pending {
		close(answer)
	}
	l.pending = nil
}
