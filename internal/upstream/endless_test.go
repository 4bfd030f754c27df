package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterellink/dotterellink/internal/upstream"
)

var _ = Describe("Client before a target that sends bytes without end", func() {
	const ok = "HTTP/1.1 200 OK\r\nX-Call: c1\r\n"

	// endless is a target that answers each call with start and then repeats more until its
	// caller closes the connection, which ends closed.
	endless := func(start, more string) (t *rawTarget, closed chan struct{}) {
		closed = make(chan struct{})
		var once sync.Once
		block := strings.Repeat(more, 1+4096/len(more))
		t = newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			t.next(r)
			_, err := io.WriteString(c, start)
			for err == nil {
				_, err = io.WriteString(c, block)
			}
			once.Do(func() { close(closed) })
		})
		return t, closed
	}
	do := func(t *rawTarget, timeout time.Duration) (*upstream.Response, error) {
		client := upstream.NewClient(prometheus.NewRegistry())
		return client.Do(context.Background(), &upstream.Request{
			TargetID: "t1", Address: t.address(), Method: http.MethodGet, URI: "/", Host: "h.example", Header: http.Header{},
			MaxIdle: time.Second, Deadline: time.Now().Add(timeout),
			MatchesCall: func(h http.Header) bool { return h.Get("X-Call") == "c1" },
		})
	}

	DescribeTable("ends the call and the connection long before the deadline",
		func(start, more string) {
			t, closed := endless(start, more)
			started := time.Now()
			response, err := do(t, 20*time.Second)
			if err == nil {
				_, err = io.Copy(io.Discard, response)
				response.Close()
			} else {
				Expect(errors.Is(err, upstream.ErrOutcomeUnknown)).To(BeTrue())
			}
			Expect(err).To(HaveOccurred())
			Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
			Eventually(closed, 2*time.Second).Should(BeClosed())
		},
		Entry("a status line", "HTTP/1.1 200 ", "O"),
		Entry("header fields", ok, "X-More: 1\r\n"),
		Entry("one header field", ok+"X-More: ", "y"),
		Entry("a header field in folded lines", ok+"X-More: a\r\n", " more\r\n"),
		Entry("informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("informational responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 5000)+"\r\n\r\n"),
		Entry("responses to another call", "", "HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 3\r\n\r\nabc"),
		Entry("the body of a response to another call", "HTTP/1.1 200 OK\r\nX-Call: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"),
		Entry("a chunk size", ok+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("a chunk extension", ok+"Transfer-Encoding: chunked\r\n\r\n3;", "x"),
		Entry("chunks of one byte with extensions", ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 500)+"\r\nx\r\n"),
		Entry("trailers", ok+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "X-Trailer: 1\r\n"),
		Entry("no response at all", "", "\x00\xff"),
	)

	It("ends a body once the limit of its reader is reached", func() {
		t, closed := endless(ok+"\r\n", "body")
		response, err := do(t, 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		response.Limit(1 << 20)
		n, err := io.Copy(io.Discard, response)
		Expect(errors.Is(err, upstream.ErrTooLong)).To(BeTrue())
		Expect(n).To(BeNumerically("~", 1<<20, 8<<10))
		response.Close()
		Eventually(closed, 2*time.Second).Should(BeClosed())
	})

	It("does not wait for the rest of a body that it discards", func() {
		t, closed := endless(ok+"Content-Length: 100000000\r\n\r\n", "body")
		response, err := do(t, 20*time.Second)
		Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		response.Discard(16<<10, 50*time.Millisecond)
		response.Close()
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		Eventually(closed, 2*time.Second).Should(BeClosed())
	})

	It("closes an idle connection on which bytes arrive", func() {
		client := upstream.NewClient(prometheus.NewRegistry())
		closed := make(chan struct{})
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			t.next(r)
			_, err := fmt.Fprint(c, responseText("c1", "yours"))
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(c, "stray")
			}
			close(closed)
		})
		response, err := client.Do(context.Background(), &upstream.Request{
			TargetID: "t1", Address: t.address(), Method: http.MethodGet, URI: "/", Host: "h.example", Header: http.Header{},
			MaxIdle: time.Second, Deadline: time.Now().Add(time.Second), MatchesCall: func(http.Header) bool { return true },
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response)
		Expect(err).NotTo(HaveOccurred())
		response.Close()
		Eventually(func() bool {
			client.CloseIdle()
			select {
			case <-closed:
				return true
			default:
				return false
			}
		}, 2*time.Second).Should(BeTrue())
	})

	It("needs little memory while twenty targets do so at once", func() {
		// heap returns the live memory. What is allocated during a collection counts as live
		// until the next one, so the least of some collections is closest.
		heap := func() uint64 {
			least := uint64(math.MaxUint64)
			for range 3 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				least = min(least, m.HeapAlloc)
			}
			return least
		}
		before := heap()
		done := make(chan struct{})
		for range 20 {
			t, _ := endless(ok+"X-More: ", "y")
			go func() {
				for range 5 {
					if response, err := do(t, 5*time.Second); err == nil {
						response.Close()
					}
				}
				done <- struct{}{}
			}()
		}
		most := uint64(0)
		for ended := 0; ended < 20; {
			select {
			case <-done:
				ended++
			case <-time.After(10 * time.Millisecond):
				most = max(most, heap())
			}
		}
		// The head of a call is 64 KiB at most. The targets are in this process too.
		Expect(most - min(most, before)).To(BeNumerically("<", 20<<20))
	})
})
