package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scriptedConn is a connection on which a target sends fixed bytes and closes.
type scriptedConn struct {
	net.Conn
	data *bytes.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)        { return c.data.Read(p) }
func (c *scriptedConn) SetReadDeadline(_ time.Time) error { return nil }

// FuzzReadHead checks that no bytes of a target make the reader of responses panic, read
// more than its limits, or take a body that breaks off for complete.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 30\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\n\r\nends with the connection",
		"HTTP/1.0 200 OK\r\nX-Call: c1\r\n\r\nold",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Call: c0\r\nContent-Length: 5\r\n\r\nstrayHTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Call: c1\r\n\r\nmore",
		"HTTP/1.1 503 Busy\r\nX-Call: c1\r\nRetry-After: 1e999\r\nKeep-Alive: timeout=-5, max=x\r\nContent-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 12),
		"HTTP/1.1 200 OK\r\nX-More: " + strings.Repeat("y", maxHeadBytes),
		"\x00\x01garbage\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		raw := &scriptedConn{data: bytes.NewReader(data)}
		bounded := &boundedConn{Conn: raw, left: noLimit}
		cn := &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
		response := &Response{conn: cn}
		err := readHead(&Request{Method: http.MethodPost, MatchesCall: func(h http.Header) bool { return h.Get("X-Call") == "c1" }}, response)
		if read := len(data) - raw.data.Len(); read > maxHeadBytes {
			t.Fatalf("read %d bytes for a head", read)
		}
		if err != nil {
			if !errors.Is(err, ErrOutcomeUnknown) {
				t.Fatalf("error %v says that the call may be sent again", err)
			}
			return
		}
		body, err := io.ReadAll(response)
		if length := response.ContentLength; err == nil && length >= 0 && int64(len(body)) != length && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
			t.Fatalf("body of %d bytes is complete, %d were announced", len(body), length)
		}
		if err == nil != response.complete {
			t.Fatalf("complete is %v with error %v", response.complete, err)
		}
		if idle := cn.idleTimeout; idle > defaultIdleTimeout {
			t.Fatalf("idle timeout %v", idle)
		}
	})
}
