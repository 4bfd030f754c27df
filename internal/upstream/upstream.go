// Package upstream sends calls to targets over pooled HTTP/1.1 connections. It
// never retries a call, and the error of a failed call tells whether any byte of
// the call may have reached the target.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// dialTimeout limits opening a connection. Targets are a few milliseconds
	// away, and TCP retransmits a lost SYN only after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection if the target sends
	// none, and the maximum otherwise.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes, which detect
	// targets that became unreachable while a call waits for a response.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unacknowledged probes after which the
	// connection is closed.
	keepAliveProbes = 3
	// unackedTimeout is the time after which a connection is closed if sent bytes
	// are not acknowledged. Linux applies it to keep-alive probes too, in place of
	// keepAliveProbes: three have to remain unanswered. A sound target may fall silent
	// for more than a second.
	unackedTimeout = (1 + keepAliveProbes) * keepAliveInterval
	// maxSkippedResponses is the maximum number of responses to other calls that
	// are skipped before the call fails.
	maxSkippedResponses = 2
	// sentTimeout bounds the wait for the end of the upload once a body that ends with its
	// connection has ended. A target that does not read the call would hold it until its
	// deadline.
	sentTimeout = 250 * time.Millisecond
)

// ErrNotSent means that no byte of the call was sent.
var ErrNotSent = merry.Sentinel("upstream: not sent")

// ErrOutcomeUnknown means that the call may have been sent, at least in part, and
// no usable response was received. The target may have run the call.
var ErrOutcomeUnknown = merry.Sentinel("upstream: outcome unknown")

// Request is one call to a target.
type Request struct {
	// CallID identifies the call, as MatchesCall sees it. A call is not sent on a connection
	// that has carried one with the same ID lately, as a second copy of its response could
	// not be told from the one that is due.
	CallID   string
	TargetID string
	Address  string
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	HasBody  bool
	// MaxIdle is the maximum idle time of a reused connection. A target may have
	// dropped a connection that was idle for longer, without notice.
	MaxIdle time.Duration
	// Deadline is the time after which the call and reads of its response body fail.
	Deadline time.Time
	// OnConnected, if set, is called once there is a connection for the call, before any of
	// it is sent.
	OnConnected func()
	// MatchesCall reports whether a response with this header is for this call.
	MatchesCall func(header http.Header) bool
}

// Response is the response of a target. It must be closed after use.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// EndsWithConnection is set if there is a body with neither a length nor chunks, so that
	// its end is the end of the connection.
	EndsWithConnection bool

	body   io.ReadCloser
	conn   *conn
	client *Client
	// stop keeps the end of ctx from closing the connection. It returns false if
	// ctx has already ended.
	stop     func() bool
	complete bool
	// writeResult receives the result of writing the call once.
	writeResult chan error
	// written is set once writeResult was received without an error.
	written bool
}

// Client holds the connections to all targets. It is safe for concurrent use.
type Client struct {
	pools   *pools
	metrics *metrics
	now     func() time.Time
}

// Do sends the call and returns the response once its head has been read. Its
// error wraps ErrNotSent or ErrOutcomeUnknown. The connection is closed if ctx
// ends before the response is closed.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	if r.OnConnected != nil {
		r.OnConnected()
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
	cn.carry(r.CallID)
	response := &Response{conn: cn, client: c, stop: stop, writeResult: make(chan error, 1)}
	if err := c.exchange(r, head, response); err != nil {
		stop()
		c.pools.drop(cn)
		return nil, err
	}
	return response, nil
}

// exchange writes the call and reads the head of its response.
func (c *Client) exchange(r *Request, head []byte, response *Response) error {
	cn := response.conn
	// A small body is sent with the head in one write before reading. A longer one
	// is written concurrently with reading, because a target may respond before it
	// has read the body.
	if len(r.Body) <= smallBodyBytes {
		n, err := cn.Write(append(head, r.Body...))
		response.writeResult <- err
		if err != nil {
			return writeError(n, err)
		}
	} else {
		go func() {
			// A body may be large, so it is not copied to follow the head.
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(cn.Conn)
			response.writeResult <- err
		}()
	}
	return readHead(r, response)
}

// smallBodyBytes is the maximum size of a body that is written before the response
// is read. It fits the TCP windows of a new connection.
const smallBodyBytes = 4 << 10

func writeError(written int, err error) error {
	if written == 0 {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
}

// readHead reads the head of the response to the call. It skips informational
// responses and up to maxSkippedResponses responses to other calls. A response
// whose body ends only with the connection cannot be skipped.
func readHead(r *Request, response *Response) error {
	cn := response.conn
	cn.bounded.left = maxHeadBytes
	for skipped, informational := 0, 0; ; {
		received, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil && cn.bounded.readError != nil {
			// A head that breaks off is malformed too.
			err = errors.Join(err, cn.bounded.readError)
		}
		if err != nil {
			return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
		}
		if !isResponse(received.StatusCode) {
			return merry.Wrap(ErrOutcomeUnknown, merry.AppendMessagef("invalid status %03d", received.StatusCode))
		}
		if received.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(merry.Wrap(ErrTooLong)))
			}
			continue
		}
		if !r.MatchesCall(received.Header) {
			if skipped++; skipped > maxSkippedResponses || endsWithConnection(received) {
				return merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("response to another call"))
			}
			if _, err := io.Copy(io.Discard, received.Body); err != nil {
				return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
			}
			cn.hasMismatch = true
			continue
		}
		response.Status, response.Header, response.body = received.StatusCode, received.Header, received.Body
		response.ContentLength = received.ContentLength
		response.EndsWithConnection = endsWithConnection(received)
		cn.updateReuse(received)
		cn.bounded.left = noLimit
		return nil
	}
}

// isResponse reports whether a status is that of an informational or a final response. The
// body of any other could be taken as the next response. 101 ends HTTP on the connection,
// which no call asks for.
func isResponse(status int) bool {
	return status >= http.StatusContinue && status <= 599 && status != http.StatusSwitchingProtocols
}

// endsWithConnection reports whether a response has a body with neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Limit makes reads of the body fail once the target has sent more than about n further
// bytes, framing included.
func (r *Response) Limit(n int64) { r.conn.bounded.left = n }

// Discard reads the rest of the body, so that the connection can be reused, if the target
// sends it at once and it has at most limit bytes. It does nothing if the connection cannot be
// reused because the body ends with it.
func (r *Response) Discard(limit int64, timeout time.Duration) {
	if r.EndsWithConnection {
		return
	}
	if r.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	// An incomplete body makes Close close the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit))
}

// Read reads the body. A body that ends with its connection is complete only if the call was
// fully sent: the kernel reports a reset once, and if the write has got it, the read sees the
// end of the connection.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		if r.EndsWithConnection && !r.complete && !r.waitSent() {
			return n, io.ErrUnexpectedEOF
		}
		r.complete = true
	}
	return n, err
}

// waitSent waits until the call was written, at most for sentTimeout, and reports whether that
// succeeded.
func (r *Response) waitSent() bool {
	if !r.written && r.writeResult != nil {
		timer := time.NewTimer(sentTimeout)
		defer timer.Stop()
		select {
		case err := <-r.writeResult:
			r.written = err == nil
		case <-timer.C:
		}
		r.writeResult = nil
	}
	return r.written
}

// Close returns the connection to the pool if the call was fully sent, the
// response was read to its end, no further bytes are buffered, ctx has not ended,
// and mustClose is not set. Otherwise it closes the connection.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	cn := r.conn
	r.conn = nil
	stopped := r.stop()
	if !stopped || !r.complete || !r.isFullySent() || cn.mustClose || cn.reader.Buffered() > 0 {
		r.client.pools.drop(cn)
		return
	}
	r.client.pools.put(cn, r.client.now())
}

// isFullySent reports whether the call was fully sent. A target may respond before
// it has read a long body, and would read a following call as the rest of it.
func (r *Response) isFullySent() bool {
	select {
	case err := <-r.writeResult:
		r.written = err == nil
	default:
	}
	return r.written
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
	// bounded limits the bytes that reader reads from Conn.
	bounded *boundedConn
	reader  *bufio.Reader
	key     string
	// idleSince is when the connection was last returned to the pool.
	idleSince   time.Time
	idleTimeout time.Duration
	// mustClose is set if the target closes the connection after its response or
	// uses HTTP/1.0, or if hasMismatch is set.
	mustClose bool
	// hasMismatch is set once a response to another call was received.
	hasMismatch bool
	// callIDs holds the IDs of the latest calls, carried is the number of all calls.
	callIDs [8]string
	carried int
}

// carry records a call that is about to be sent.
func (c *conn) carry(callID string) {
	c.callIDs[c.carried%len(c.callIDs)] = callID
	c.carried++
}

// hasCarried reports whether a call with this ID was sent lately.
func (c *conn) hasCarried(callID string) bool {
	return callID != "" && slices.Contains(c.callIDs[:], callID)
}

func (c *conn) abort() { c.Conn.Close() }

// updateReuse sets mustClose and idleTimeout from a response of the target.
func (c *conn) updateReuse(response *http.Response) {
	c.mustClose = c.hasMismatch || response.Close || response.ProtoMinor == 0
	c.idleTimeout = defaultIdleTimeout
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			// Half of the target's timeout allows for delays on both sides.
			c.idleTimeout = min(defaultIdleTimeout, time.Duration(n)*time.Second/2)
		}
	}
}
