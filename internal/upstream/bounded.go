package upstream

import (
	"net"

	"github.com/ansel1/merry/v2"
)

const (
	// maxHeadBytes limits what a target may send before the body of the response to a call:
	// informational responses, responses to other calls, and the head itself.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational responses to one call.
	maxInformational = 8
	// noLimit stands for a number of bytes that is not limited.
	noLimit = -1
)

// ErrTooLong means that a target sent more bytes than any response has in that place.
var ErrTooLong = merry.Sentinel("upstream: response is too long")

// boundedConn is a connection that returns a limited number of bytes. It is read by one
// goroutine at a time.
type boundedConn struct {
	net.Conn
	// left is the number of bytes that may still be read, or noLimit.
	left int64
	// readError is the last error of Conn.
	readError error
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, merry.Wrap(ErrTooLong)
	}
	if c.left > 0 && int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.Conn.Read(p)
	c.readError = err
	if c.left > 0 {
		c.left -= int64(n)
	}
	return n, err
}
