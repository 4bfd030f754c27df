package soak_test

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// linkState is how a link treats bytes. Held bytes arrive once the link is whole
// again, as after a partition.
type linkState struct {
	holdsRequests, holdsAnswers bool
	delay                       time.Duration
	refuses                     bool
}

// link is a proxy in front of one address.
type link struct {
	// at is the address of the link, at which nothing listens while it refuses connections.
	at string
	to string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	state    linkState
	changed  chan struct{}
	open     map[net.Conn]struct{}
}

func newLink(address, to string) *link {
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	k := &link{listener: l, at: l.Addr().String(), to: to, changed: make(chan struct{}), open: make(map[net.Conn]struct{})}
	go k.accept(l)
	return k
}

func (k *link) address() string { return k.at }

func (k *link) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go k.join(conn)
	}
}

// listenAgain requires k.mu. It opens the listener that a link which refused connections
// had closed.
func (k *link) listenAgain() {
	l, err := net.Listen("tcp", k.at)
	if err != nil {
		// Another process of the machine has the port now; the link stays refused.
		return
	}
	k.listener = l
	go k.accept(l)
}

// join connects a caller to the far side, and resets it if there is none.
func (k *link) join(caller net.Conn) {
	k.mu.Lock()
	refuses := k.state.refuses
	k.mu.Unlock()
	var server net.Conn
	err := net.ErrClosed
	if !refuses {
		server, err = net.DialTimeout("tcp", k.to, time.Second)
	}
	if err != nil {
		reset(caller)
		return
	}
	k.mu.Lock()
	k.open[caller], k.open[server] = struct{}{}, struct{}{}
	k.mu.Unlock()
	go k.carry(server, caller, func(s linkState) bool { return s.holdsRequests })
	go k.carry(caller, server, func(s linkState) bool { return s.holdsAnswers })
}

// carry copies bytes one way, as the state of the link has it.
func (k *link) carry(to, from net.Conn, holds func(linkState) bool) {
	defer k.drop(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.wait(holds)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
		}
		if err != nil {
			return
		}
	}
}

// wait returns once bytes may pass.
func (k *link) wait(holds func(linkState) bool) {
	for {
		k.mu.Lock()
		state, changed := k.state, k.changed
		k.mu.Unlock()
		if !holds(state) {
			time.Sleep(state.delay)
			return
		}
		<-changed
	}
}

func (k *link) drop(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		delete(k.open, c)
		_ = c.Close()
	}
}

func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.closed || s.refuses == k.state.refuses:
	case s.refuses:
		_ = k.listener.Close()
	default:
		k.listenAgain()
	}
	k.state = s
	close(k.changed)
	k.changed = make(chan struct{})
}

// resetAll breaks all open connections.
func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		reset(c)
	}
}

func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	_ = k.listener.Close()
	k.mu.Unlock()
	k.set(linkState{})
	k.resetAll()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
