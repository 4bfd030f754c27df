// Package upstream sends calls to targets over pooled HTTP/1.1 connections. It
// never sends a call twice by itself, and it tells for each failure whether a
// byte of the call may have reached the target.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// dialTimeout bounds a new connection; targets are a few milliseconds away,
	// and a lost opening packet is repeated after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long an idle connection is used if the target tells no
	// time-out of its own.
	defaultIdle = 4 * time.Second
	// keepAlive finds targets that went silent while an answer is awaited.
	keepAlive = time.Second
	// keepAliveProbes is the number of probes without answer that end a
	// connection.
	keepAliveProbes = 2
	// unackedTimeout ends a connection on which sent bytes are not confirmed.
	unackedTimeout = 2 * time.Second
	// maxStrays is the number of answers to other calls that are skipped before
	// a connection is given up.
	maxStrays = 2
)

// ErrNotSent means that no byte of the call was sent.
var ErrNotSent = merry.Sentinel("upstream: not sent")

// ErrOutcomeUnknown means that the call was sent, at least in part, and no usable
// answer came: it may have run.
var ErrOutcomeUnknown = merry.Sentinel("upstream: outcome unknown")

// Request is one call to a target.
type Request struct {
	TargetID string
	Address  string
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	HasBody  bool
	// MaxIdle bounds the idle time of a connection that is used again: a target
	// may have dropped it without notice.
	MaxIdle time.Duration
	// Deadline ends the call.
	Deadline time.Time
	// MatchesCall reports whether an answer is to this call.
	MatchesCall func(header http.Header) bool
}

// Response is the answer of a target. Its body has to be read to the end or
// closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if not told.
	ContentLength int64
	body          io.ReadCloser
	conn          *conn
	client        *Client
	stop          func() bool
	complete      bool
	// sending delivers the outcome of writing the call.
	sending chan error
}

// Client holds the connections to all targets. It is safe for concurrent use.
type Client struct {
	pools   *pools
	metrics *metrics
	now     func() time.Time
}

// Do sends the call and returns the head of the answer. Its error wraps
// ErrNotSent or ErrUnknown. The connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	stop := context.AfterFunc(ctx, cn.abort)
	if err := cn.SetDeadline(r.Deadline); err != nil {
		stop()
		c.pools.drop(cn)
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	head, err := encodeHead(r)
	if err != nil {
		stop()
		c.pools.put(cn, c.now())
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	response := &Response{conn: cn, client: c, stop: stop, sending: make(chan error, 1)}
	if err := c.exchange(r, head, response); err != nil {
		stop()
		c.pools.drop(cn)
		return nil, err
	}
	return response, nil
}

// exchange writes the call and reads the head of its answer.
func (c *Client) exchange(r *Request, head []byte, response *Response) error {
	cn := response.conn
	// Small bodies go out with the head in one write. Longer ones are written
	// beside the reading: a target may answer before it has read them.
	if len(r.Body) <= smallBody {
		n, err := cn.Write(append(head, r.Body...))
		response.sending <- err
		if err != nil {
			return sendError(n, err)
		}
	} else {
		go func() {
			_, err := cn.Write(append(head, r.Body...))
			response.sending <- err
		}()
	}
	return readHead(r, response)
}

// smallBody is written together with the head, in bytes: it fits the windows of
// a fresh connection.
const smallBody = 4 << 10

func sendError(written int, err error) error {
	if written == 0 {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
}

// readHead reads heads until one belongs to the call.
func readHead(r *Request, response *Response) error {
	cn := response.conn
	for strays := 0; ; {
		answer, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if !r.MatchesCall(answer.Header) {
			if strays++; strays > maxStrays || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
				return merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("answer to another call"))
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
			}
			cn.suspect = true
			continue
		}
		response.Status, response.Header, response.body = answer.StatusCode, answer.Header, answer.Body
		response.ContentLength = answer.ContentLength
		cn.keepFor(answer)
		return nil
	}
}

// Read reads the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close returns the connection for reuse if the answer was read to its end and
// nothing else is on the way; else it closes it.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	uncut := r.stop()
	if !uncut || !r.complete || !r.sentInFull() || cn.closing || cn.reader.Buffered() > 0 {
		r.client.pools.drop(cn)
		return
	}
	r.client.pools.put(cn, r.client.now())
}

// sentInFull reports whether the call left in full. A target may answer before
// it has read a long body, and would take what follows for the rest of it.
func (r *Response) sentInFull() bool {
	select {
	case err := <-r.sending:
		return err == nil
	default:
		return false
	}
}

// encodeHead returns the request line and header fields.
func encodeHead(r *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	key    string
	// idleSince is set while the connection waits in its pool.
	idleSince time.Time
	idleFor   time.Duration
	closing   bool
	// suspect is set once an answer to another call came.
	suspect bool
}

func (c *conn) abort() { c.Conn.Close() }

// keepFor notes what the target tells about reuse.
func (c *conn) keepFor(answer *http.Response) {
	c.closing = c.suspect || answer.Close || answer.ProtoMinor == 0
	c.idleFor = defaultIdle
	for _, field := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			// Half of the target's time-out leaves room for delays on both sides.
			c.idleFor = min(defaultIdle, time.Duration(n)*time.Second/2)
		}
	}
}
