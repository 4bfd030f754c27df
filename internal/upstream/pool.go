package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"
)

// pools holds idle connections by target. The most recently idle connection is
// used first.
type pools struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// open counts connections by target, including idle ones.
	open map[string]int
}

// NewClient returns a client without connections.
func NewClient(registerer prometheus.Registerer) *Client {
	return &Client{
		pools:   &pools{idle: make(map[string][]*conn), open: make(map[string]int)},
		metrics: newMetrics(registerer),
		now:     time.Now,
	}
}

// OpenConnections returns the number of connections to a target, including idle
// ones.
func (c *Client) OpenConnections(targetID, address string) int {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	return c.pools.open[poolKey(targetID, address)]
}

// HasIdle reports whether the pool holds an idle connection to a target. Do may
// still open a new one, if the idle one is too old or no longer usable.
func (c *Client) HasIdle(targetID, address string) bool {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	return len(c.pools.idle[poolKey(targetID, address)]) > 0
}

func poolKey(targetID, address string) string { return targetID + "@" + address }

// connection returns an idle connection that can be reused, or a new one.
func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	key := poolKey(r.TargetID, r.Address)
	for {
		cn := c.pools.take(key)
		if cn == nil {
			return c.dial(ctx, key, r.Address)
		}
		idle := c.now().Sub(cn.idleSince)
		if idle <= min(cn.idleTimeout, r.MaxIdle) && !cn.hasCarried(r.CallID) && isReusable(cn.Conn) {
			c.metrics.reused.Inc()
			return cn, nil
		}
		c.pools.drop(cn)
	}
}

func (c *Client) dial(ctx context.Context, key, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         SetUnackedTimeout(unackedTimeout),
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.metrics.dialFailed.Inc()
		return nil, err
	}
	c.metrics.dialed.Inc()
	bounded := &boundedConn{Conn: raw, left: noLimit}
	cn := &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), key: key, idleTimeout: defaultIdleTimeout}
	c.pools.mu.Lock()
	c.pools.open[key]++
	c.pools.mu.Unlock()
	return cn, nil
}

// refusalCheckTimeout limits the check whether an address refuses connections.
const refusalCheckTimeout = 100 * time.Millisecond

// RefusesConnections reports whether no process accepts connections at an address. It
// returns false if the address does not respond.
func (c *Client) RefusesConnections(address string) bool {
	raw, err := net.DialTimeout("tcp", address, refusalCheckTimeout)
	if err != nil {
		c.metrics.dialFailed.Inc()
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.metrics.dialed.Inc()
	raw.Close()
	return false
}

// EndedByPeer reports whether an error means that the other side ended the connection, and
// not a timeout or an abort on this side.
func EndedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// readBufferBytes is large enough for the head of a response and some events of a
// streamed body.
const readBufferBytes = 4 << 10

func (p *pools) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return cn
}

func (p *pools) put(cn *conn, now time.Time) {
	_ = cn.SetDeadline(time.Time{})
	cn.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.key] = append(p.idle[cn.key], cn)
}

func (p *pools) drop(cn *conn) {
	cn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[cn.key]--; p.open[cn.key] <= 0 {
		delete(p.open, cn.key)
	}
}

// CloseIdle closes idle connections that exceed their idle timeout or cannot be
// reused, such as those that the target closed.
func (c *Client) CloseIdle() {
	now := c.now()
	var toClose []*conn
	c.pools.mu.Lock()
	for key, list := range c.pools.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) > cn.idleTimeout || !isReusable(cn.Conn) {
				toClose = append(toClose, cn)
				continue
			}
			kept = append(kept, cn)
		}
		if c.pools.idle[key] = kept; len(kept) == 0 {
			delete(c.pools.idle, key)
		}
	}
	c.pools.mu.Unlock()
	for _, cn := range toClose {
		c.pools.drop(cn)
	}
}

// isReusable reports whether an idle connection is open and has no unread bytes.
// Bytes received while no call is in flight belong to no call.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// SetUnackedTimeout returns a net.Dialer.Control function that makes the kernel
// close connections whose sent bytes are not acknowledged within timeout.
func SetUnackedTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

type metrics struct{ dialed, dialFailed, reused prometheus.Counter }

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		dialed:     prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_upstream_connections_opened_total", Help: "Connections opened to targets."}),
		dialFailed: prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_upstream_dials_failed_total", Help: "Connections to targets that could not be opened."}),
		reused:     prometheus.NewCounter(prometheus.CounterOpts{Name: "dotterellink_upstream_connections_reused_total", Help: "Calls sent on an idle connection."}),
	}
	registerer.MustRegister(m.dialed, m.dialFailed, m.reused)
	return m
}
