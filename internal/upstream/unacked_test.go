package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/dotterellink/dotterellink/internal/upstream"
)

// setDeaf makes the kernel drop all segments that arrive on a connection, without an
// acknowledgement, or accept them again.
func setDeaf(c net.Conn, deaf bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var setErr error
	Expect(raw.Control(func(fd uintptr) {
		if !deaf {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})).To(Succeed())
	Expect(setErr).NotTo(HaveOccurred())
}

var _ = Describe("Client before a target whose machine acknowledges nothing for a while", func() {
	do := func(t *rawTarget, client *upstream.Client) (*upstream.Response, error) {
		return client.Do(context.Background(), &upstream.Request{
			TargetID: "t1", Address: t.address(), Method: http.MethodGet, URI: "/", Host: "h.example", Header: http.Header{},
			MaxIdle: time.Second, Deadline: time.Now().Add(10 * time.Second), MatchesCall: func(http.Header) bool { return true },
		})
	}

	// Guards against calls that are cut at a sound target: one lost keep-alive probe closed
	// the connection.
	DescribeTable("waits for the answer",
		func(deafAfter, deafFor time.Duration) {
			t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
				defer GinkgoRecover()
				t.next(r)
				time.Sleep(deafAfter)
				setDeaf(c, true)
				time.Sleep(deafFor)
				setDeaf(c, false)
				time.Sleep(1200 * time.Millisecond)
				fmt.Fprint(c, responseText("c1", "yours"))
			})
			response, err := do(t, upstream.NewClient(prometheus.NewRegistry()))
			Expect(err).NotTo(HaveOccurred())
			defer response.Close()
			Expect(io.ReadAll(response)).To(Equal([]byte("yours")))
		},
		Entry("after a silence of 0.6 s, in which one probe is lost", 700*time.Millisecond, 600*time.Millisecond),
		Entry("after a silence of 2 s", 500*time.Millisecond, 2*time.Second),
	)

	It("ends the call well before its deadline if the silence does not end", func() {
		t := newRawTarget(func(t *rawTarget, c net.Conn, r *bufio.Reader) {
			defer GinkgoRecover()
			t.next(r)
			setDeaf(c, true)
			time.Sleep(8 * time.Second)
		})
		started := time.Now()
		_, err := do(t, upstream.NewClient(prometheus.NewRegistry()))
		Expect(err).To(MatchError(upstream.ErrOutcomeUnknown))
		Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	})
})
