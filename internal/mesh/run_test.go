package mesh

import (
	"context"
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// endingContext has ended, but its Done channel never tells so: the moment between the
// end of a context and the functions that it starts.
type endingContext struct {
	context.Context
	ended atomic.Bool
}

func (c *endingContext) Err() error {
	if c.ended.Load() {
		return context.Canceled
	}
	return nil
}

// endingListener accepts one connection, at the moment at which its context ends.
type endingListener struct {
	net.Listener
	ctx    *endingContext
	conn   net.Conn
	closed atomic.Bool
}

func (l *endingListener) Accept() (net.Conn, error) {
	l.ctx.ended.Store(true)
	return l.conn, nil
}

func (l *endingListener) Close() error {
	l.closed.Store(true)
	return nil
}

var _ = Describe("A node that ends", func() {
	It("closes its listener and a connection that arrives at that moment", func() {
		near, far := net.Pipe()
		defer far.Close()
		ctx := &endingContext{Context: context.Background()}
		listener := &endingListener{ctx: ctx, conn: near}
		Expect(NewNode(Peer{Name: "a"}, nil, telemetry.Discard()).Run(ctx, listener)).To(MatchError(context.Canceled))
		Expect(listener.closed.Load()).To(BeTrue())
		_, err := far.Write([]byte("x"))
		Expect(err).To(HaveOccurred())
	})
})
