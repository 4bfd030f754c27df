package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/upstream"
)

// rawTarget serves raw TCP connections, so that tests can break the protocol.
type rawTarget struct {
	listener net.Listener
	accepted atomic.Int32
	requests atomic.Int32
	// serve is called for each connection and may read requests from it.
	serve func(c net.Conn, r *bufio.Reader)
}

func newRawTarget(serve func(t *rawTarget, c net.Conn, r *bufio.Reader)) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &rawTarget{listener: l}
	t.serve = func(c net.Conn, r *bufio.Reader) { serve(t, c, r) }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.accepted.Add(1)
			go func() {
				defer c.Close()
				t.serve(c, bufio.NewReader(c))
			}()
		}
	}()
	DeferCleanup(l.Close)
	return t
}

func (t *rawTarget) address() string { return t.listener.Addr().String() }

// next reads and counts one request. It returns nil if the request is incomplete.
func (t *rawTarget) next(r *bufio.Reader) (*http.Request, string) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	t.requests.Add(1)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, ""
	}
	return request, string(body)
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Call: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

var _ = Describe("Client", func() {
	var client *upstream.Client

	request := func(t *rawTarget, id string) *upstream.Request {
		return &upstream.Request{
			CallID: id, TargetID: "t1", Address: t.address(), Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example",
			Header: http.Header{"X-Call": {id}}, Body: []byte("question"), HasBody: true,
			MaxIdle: time.Second, Deadline: time.Now().Add(2 * time.Second),
			MatchesCall: func(h http.Header) bool { return h.Get("X-Call") == id },
		}
	}
	call := func(t *rawTarget, id string) (string, error) {
		response, err := client.Do(context.Background(), request(t, id))
		if err != nil {
			return "", err
		}
		defer response.Close()
		body, err := io.ReadAll(response)
		return string(body), err
	}
	echo := func(t *rawTarget, c net.Conn, r *bufio.Reader) {
		for {
			q, body := t.next(r)
			if q == nil {
				return
			}
			fmt.Fprint(c, responseText(q.Header.Get("X-Call"), body+" "+q.RequestURI+" "+q.Host))
		}
	}

	BeforeEach(func() { client = upstream.NewClient(prometheus.NewRegistry()) })

	It("sends method, path, query, host and body unchanged and reuses connections", func() {
		t := newRawTarget(echo)
		for i := range 5 {
			body, err := call(t, fmt.Sprint("c", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("question /a/b?c=d h.example"))
		}
		Expect(t.accepted.Load()).To(Equal(int32(1)))
		Expect(client.OpenConnections("t1", t.address())).To(Equal(1))
	})

	It("skips a late response to another call and does not reuse the connection", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			for {
				q, _ := t.next(r)
				if q == nil {
					return
				}
				fmt.Fprint(c, responseText("stranger", "not yours"), responseText(q.Header.Get("X-Call"), "yours"))
			}
		})
		Expect(call(t, "c1")).To(Equal("yours"))
		Expect(call(t, "c2")).To(Equal("yours"))
		Expect(t.accepted.Load()).To(Equal(int32(2)))
	})

	// Guards against the answer of an earlier call that a later one with the same ID gets:
	// nothing in it tells a second copy from the answer that is due.
	It("does not send a call on a connection that has carried a call with the same ID", func() {
		var answered atomic.Int32
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			copies := ""
			for {
				q, _ := t.next(r)
				if q == nil {
					return
				}
				text := responseText(q.Header.Get("X-Call"), fmt.Sprint("answer ", answered.Add(1)))
				// The copies arrive where the next response is due.
				fmt.Fprint(c, copies, text)
				copies = text
			}
		})
		Expect(call(t, "c1")).To(Equal("answer 1"))
		Expect(call(t, "c1")).To(Equal("answer 2"))
		Expect(call(t, "c2")).To(Equal("answer 3"))
		Expect(call(t, "c1")).To(Equal("answer 4"))
	})

	It("skips a late response to another call with informational responses around it", func() {
		const early = "HTTP/1.1 103 Early Hints\r\nX-Call: c2\r\n\r\n"
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			q, _ := t.next(r)
			fmt.Fprint(c, early, responseText("c1", "not yours"), early, responseText(q.Header.Get("X-Call"), "yours"))
		})
		Expect(call(t, "c2")).To(Equal("yours"))
	})

	It("closes a connection on which bytes follow a complete response", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			for {
				q, _ := t.next(r)
				if q == nil {
					return
				}
				fmt.Fprint(c, responseText(q.Header.Get("X-Call"), "yours")+responseText(q.Header.Get("X-Call"), "again"))
			}
		})
		Expect(call(t, "c1")).To(Equal("yours"))
		time.Sleep(20 * time.Millisecond)
		Expect(call(t, "c2")).To(Equal("yours"))
		Expect(t.accepted.Load()).To(Equal(int32(2)))
	})

	It("never sends a call twice when the target closes idle connections", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			q, _ := t.next(r)
			if q != nil {
				fmt.Fprint(c, responseText(q.Header.Get("X-Call"), "yours"))
			}
		})
		for i := range 4 {
			Expect(call(t, fmt.Sprint("c", i))).To(Equal("yours"))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(t.requests.Load()).To(Equal(int32(4)))
	})

	It("reports that nothing was sent if the connection cannot be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		t := &rawTarget{listener: l}
		l.Close()
		_, err = call(t, "c1")
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})

	It("reports an unknown outcome if the target closes the connection, and sends once", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) { t.next(r) })
		_, err := call(t, "c1")
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		Expect(t.requests.Load()).To(Equal(int32(1)))
	})

	It("reports an unknown outcome if the received bytes are not a response", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			t.next(r)
			fmt.Fprint(c, "\x00\x01garbage\r\n\r\n")
		})
		_, err := call(t, "c1")
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
	})

	It("fails reading the body of a truncated response", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			t.next(r)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 100\r\n\r\nhalf")
		})
		_, err := call(t, "c1")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("does not reuse a connection if the response arrives before the call is fully sent", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			head, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, responseText(head.Header.Get("X-Call"), "early"))
			time.Sleep(200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, head.Body)
		})
		long := request(t, "c1")
		long.Body = []byte(strings.Repeat("x", 8<<20))
		response, err := client.Do(context.Background(), long)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("early"))
		response.Close()
		Expect(client.OpenConnections("t1", t.address())).To(BeZero())
	})

	It("closes the connection when the caller disconnects", func() {
		closed := make(chan struct{})
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			t.next(r)
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := client.Do(ctx, request(t, "c1"))
		Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
		Eventually(closed, 500*time.Millisecond).Should(BeClosed())
	})

	It("does not reuse connections that were idle for longer than the call allows", func() {
		t := newRawTarget(echo)
		Expect(call(t, "c1")).NotTo(BeEmpty())
		time.Sleep(60 * time.Millisecond)
		next := request(t, "c2")
		next.MaxIdle = 20 * time.Millisecond
		response, err := client.Do(context.Background(), next)
		Expect(err).NotTo(HaveOccurred())
		response.Close()
		Expect(t.accepted.Load()).To(Equal(int32(2)))
	})

	It("does not reuse a connection after Connection: close", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			for {
				q, _ := t.next(r)
				if q == nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Call: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Call"))
			}
		})
		for i := range 3 {
			_, err := call(t, fmt.Sprint("c", i))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(t.accepted.Load()).To(Equal(int32(3)))
	})
})
