package accept_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/accept"
)

func TestAccept(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Accept Suite")
}

var _ = Describe("Tracker", func() {
	var tracker *accept.Tracker
	var address string
	var release chan struct{}

	BeforeEach(func() {
		tracker, release = accept.NewTracker(), make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-release
			}
			if r.URL.Path == "/reset" {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
					_ = c.Close()
				}
				return
			}
			_, _ = io.WriteString(w, "ok")
		})}
		tracker.Track(server)
		go server.Serve(tracker.Listener(l)) //nolint:errcheck // Ends with the spec.
		DeferCleanup(server.Close)
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
	}
	answer := func(r *bufio.Reader) int {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0
		}
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	It("keeps a connection on which a request has begun to arrive, and closes it once it is idle", func() {
		c, r := dial()
		send(c, get)
		Expect(answer(r)).To(Equal(200))
		send(c, get[:20])
		time.Sleep(50 * time.Millisecond)
		Expect(tracker.CloseIdle(false)).To(Equal(1))
		send(c, get[20:])
		Expect(answer(r)).To(Equal(200))
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(BeZero())
		_, err := r.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("keeps a connection whose request is being answered", func() {
		c, r := dial()
		send(c, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		Expect(tracker.CloseIdle(true)).To(Equal(1))
		close(release)
		Expect(answer(r)).To(Equal(200))
	})

	// Guards against a planned stop that cuts a request whose bytes arrived together with
	// those of the one before.
	It("keeps a connection whose second of two pipelined requests is being answered", func() {
		c, r := dial()
		send(c, get+"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(answer(r)).To(Equal(200))
		time.Sleep(50 * time.Millisecond)
		Expect(tracker.CloseIdle(true)).To(Equal(1))
		close(release)
		Expect(answer(r)).To(Equal(200))
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(BeZero())
	})

	It("closes connections without any request only if asked to", func() {
		c, r := dial()
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(Equal(1))
		send(c, get)
		Expect(answer(r)).To(Equal(200))
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(BeZero())
		_, other := dial()
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(Equal(1), "not accepted yet")
		Expect(tracker.CloseIdle(true)).To(BeZero())
		_, err := other.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("lets a server reset a connection, and forgets it", func() {
		c, r := dial()
		send(c, "GET /reset HTTP/1.0\r\nHost: a\r\n\r\n")
		_, err := r.ReadByte()
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(tracker.CloseIdle(false)).To(BeZero())
	})

	It("forgets connections that have ended", func() {
		c, r := dial()
		send(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		Expect(answer(r)).To(Equal(200))
		Eventually(func() int { return tracker.CloseIdle(false) }).Should(BeZero())
	})
})
