package accept

import (
	"bytes"
	"time"
)

// maxAhead is the most that net/http buffers of what follows a head before its handler runs, or
// a request: its reader of 4 KiB, and a byte that it reads while the handler runs.
const maxAhead = 4<<10 + 1

// head finds the end of the head of a request in what arrives. Its zero value is before a head.
type head struct {
	// begun is set once a byte other than CR and LF has arrived. Empty lines before a head are
	// not its end.
	begun bool
	// lineBytes counts the bytes of the current line, onlyCR is set if they are one CR.
	lineBytes int
	onlyCR    bool
}

// next returns how many bytes of p belong to the head, and whether it ends with them. Lines may
// end by a line feed alone.
func (h *head) next(p []byte) (n int, ended bool) {
	for i, b := range p {
		if b == '\n' {
			empty := h.lineBytes == 0 || h.onlyCR
			h.lineBytes, h.onlyCR = 0, false
			if empty && h.begun {
				return i + 1, true
			}
			continue
		}
		h.onlyCR = b == '\r' && h.lineBytes == 0
		h.lineBytes++
		h.begun = h.begun || b != '\r'
	}
	return len(p), false
}

// receive notes bytes that have arrived, and returns the cost of those that belong to a head or to
// trailers. It requires c.mu.
func (c *conn) receive(p []byte) (cost int) {
	if c.phase == idle && isEmptyLines(p) {
		// Some clients send an empty line after a body. No request has begun.
		return 0
	}
	if c.phase == unusedYet || c.phase == idle {
		c.phase, c.enteredAt, c.head = inHead, time.Now(), head{}
	}
	if c.phase != inHead {
		return c.follow(p)
	}
	n, ended := c.head.next(p)
	if ended {
		// The handler is sure to run, however long it takes to begin.
		c.phase, c.framed, c.ahead = inRequest, false, nil
		c.follow(p[n:])
	}
	return headByteCost*n + headLineCost*bytes.Count(p[:n], []byte{'\n'})
}

func isEmptyLines(p []byte) bool { return len(bytes.Trim(p, "\r\n")) == 0 }

// follow notes bytes that follow the head of a request, and returns the cost of those that belong
// to trailers. It requires c.mu.
func (c *conn) follow(p []byte) (cost int) {
	if c.framed {
		var n int
		n, cost = c.framing.next(p)
		p = p[n:]
	}
	c.ahead = append(c.ahead, p[:min(len(p), maxAhead-len(c.ahead))]...)
	return cost
}

// frame sets the length of the body, -1 if it is chunked, and returns the cost of the trailers
// that have arrived. It requires c.mu.
func (c *conn) frame(length int64) (cost int) {
	arrived := c.ahead
	c.framed, c.framing, c.ahead = true, newFraming(length), nil
	return c.follow(arrived)
}

// endRequest makes the connection idle, or begins the next head if a part of it was read with the
// request.
func (c *conn) endRequest() {
	c.mu.Lock()
	rest := c.ahead
	c.phase, c.enteredAt, c.framed, c.ahead = idle, time.Now(), false, nil
	cost := c.receive(rest)
	c.mu.Unlock()
	if !c.room.Resize(int64(connectionCost + cost)) {
		_ = c.Conn.Close()
	}
}
