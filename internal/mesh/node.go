package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/pki"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 3 * time.Second
	minRedial        = 100 * time.Millisecond
	maxRedial        = 2 * time.Second
	// maxCallsAtOnce bounds the calls of one peer that are handled at once.
	maxCallsAtOnce = 64
)

// Node is the mesh of one instance over TCP. It implements Mesh.
type Node struct {
	self     Peer
	config   *tls.Config
	log      *log.Logger
	handlers map[string]Handler
	metrics  *metrics

	mu     sync.Mutex
	wanted map[string]context.CancelFunc
	links  map[string]*link
	// ctx is set while the node runs; dialing starts only then.
	ctx context.Context

	control      func(network, address string, c syscall.RawConn) error
	onDialFailed func(PeerAddress, error)
}

var _ Mesh = (*Node)(nil)

// NewNode returns a node that shows the certificate in config. Without a config
// the connections are plain TCP and peers name themselves: for networks that
// only instances reach, on which no keys are given out.
func NewNode(self Peer, config *tls.Config, logger *log.Logger) *Node {
	return &Node{
		self:     self,
		config:   config,
		log:      logger,
		handlers: make(map[string]Handler),
		metrics:  newMetrics(),
		wanted:   make(map[string]context.CancelFunc),
		links:    make(map[string]*link),
	}
}

// SetDialControl sets a function that prepares the sockets of new connections. It
// is called before the mesh runs.
func (n *Node) SetDialControl(control func(network, address string, c syscall.RawConn) error) {
	n.control = control
}

// OnDialFailed sets a function that learns of peers that cannot be reached. It is
// called before the mesh runs.
func (n *Node) OnDialFailed(f func(PeerAddress, error)) { n.onDialFailed = f }

func (n *Node) dialFailed(p PeerAddress, err error) {
	if n.onDialFailed != nil {
		n.onDialFailed(p, err)
	}
}

// Self implements Mesh.
func (n *Node) Self() Peer { return n.self }

// Handle implements Mesh.
func (n *Node) Handle(method string, handler Handler) { n.handlers[method] = handler }

// Peers implements Mesh.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Peer, 0, len(n.links))
	for _, l := range n.links {
		out = append(out, l.peer)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Call implements Mesh.
func (n *Node) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	n.mu.Lock()
	l := n.links[to]
	n.mu.Unlock()
	if l == nil {
		return nil, merry.Wrap(ErrNotConnected)
	}
	answer, err := l.call(ctx, method, body)
	n.metrics.countCall(method, err)
	return answer, err
}

// Notify sends a message that is not answered. It may be lost.
func (n *Node) Notify(to, method string, body []byte) error {
	n.mu.Lock()
	l := n.links[to]
	n.mu.Unlock()
	if l == nil {
		return merry.Wrap(ErrNotConnected)
	}
	if err := l.write(&frame{Method: method, Body: body}); err != nil {
		return l.writeFailed(err)
	}
	return nil
}

// Run accepts connections on listener until ctx ends.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			n.log.Warnf("No connection accepted: %v.", err)
			if !pause.For(ctx, minRedial) {
				return ctx.Err()
			}
			continue
		}
		go n.serve(ctx, conn)
	}
}

// serve answers the calls of one peer.
func (n *Node) serve(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	conn, peer, err := n.accept(ctx, n.metrics.count(raw))
	if err != nil {
		n.log.Debugf("Connection from %s refused: %v.", raw.RemoteAddr(), err)
		return
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	s := &session{node: n, peer: peer, out: newLink(peer, conn), slots: make(chan struct{}, maxCallsAtOnce)}
	reader := bufio.NewReader(conn)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		s.slots <- struct{}{}
		go s.answer(ctx, f)
	}
}

// session is one accepted connection.
type session struct {
	node  *Node
	peer  Peer
	out   *link
	slots chan struct{}
}

func (s *session) answer(ctx context.Context, f *frame) {
	defer func() { <-s.slots }()
	if f.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.DeadlineMS)*time.Millisecond)
		defer cancel()
	}
	reply := &frame{ID: f.ID, Answer: true}
	handler := s.node.handlers[f.Method]
	if handler == nil {
		reply.Error = "unknown method " + f.Method
	} else if body, err := handler(ctx, s.peer, f.Body); f.ID == 0 {
		return
	} else if err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	err := s.out.write(reply)
	if errors.Is(err, ErrCodec) {
		err = s.out.write(&frame{ID: f.ID, Answer: true, Error: err.Error()})
	}
	if err != nil {
		s.out.close()
	}
}

// handshake completes TLS and returns the peer's identity.
func (n *Node) handshake(ctx context.Context, conn *tls.Conn) (Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return Peer{}, err
	}
	shown := conn.ConnectionState().PeerCertificates
	if len(shown) == 0 {
		return Peer{}, merry.Wrap(pki.ErrIdentity)
	}
	name, zone, err := pki.Identity(shown[0])
	return Peer{Name: name, Zone: zone}, err
}

// accept learns who dialed.
func (n *Node) accept(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if n.config == nil {
		peer, err := n.greet(raw)
		return raw, peer, err
	}
	conn := tls.Server(raw, n.config)
	peer, err := n.handshake(ctx, conn)
	return conn, peer, err
}

// open learns who was dialed.
func (n *Node) open(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if n.config == nil {
		peer, err := n.greet(raw)
		return raw, peer, err
	}
	conn := tls.Client(raw, n.config)
	peer, err := n.handshake(ctx, conn)
	return conn, peer, err
}

// greet exchanges names on a plain connection.
func (n *Node) greet(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, &frame{Method: greeting, Body: []byte(n.self.Name), Error: n.self.Zone}); err != nil {
		return Peer{}, err
	}
	f, err := readFrame(conn)
	if err != nil {
		return Peer{}, err
	}
	if f.Method != greeting {
		return Peer{}, merry.Wrap(ErrCodec, merry.AppendMessage("no greeting"))
	}
	return Peer{Name: string(f.Body), Zone: f.Error}, conn.SetDeadline(time.Time{})
}

// greeting is the method of the first frame on a plain connection: its body is
// the name, its error field the zone.
const greeting = "hello"

// SetPeers replaces the peers to which connections are kept. A peer without a
// name is whoever answers at the address.
func (n *Node) SetPeers(peers []PeerAddress) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil {
		return
	}
	keep := make(map[string]bool, len(peers))
	for _, p := range peers {
		key := p.Name + "@" + p.Address
		if p.Name == n.self.Name {
			continue
		}
		keep[key] = true
		if n.wanted[key] == nil {
			ctx, cancel := context.WithCancel(n.ctx)
			n.wanted[key] = cancel
			go n.keepLink(ctx, p)
		}
	}
	for key, cancel := range n.wanted {
		if !keep[key] {
			cancel()
			delete(n.wanted, key)
		}
	}
}

// keepLink dials the peer again whenever the connection ends.
func (n *Node) keepLink(ctx context.Context, p PeerAddress) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRedial
	retry.MaxInterval = maxRedial
	for ctx.Err() == nil {
		l, err := n.dial(ctx, p)
		if err != nil {
			n.log.Debugf("Peer %s not reached: %v.", p.Name, err)
			pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		n.useLink(ctx, l)
	}
}

func (n *Node) dial(ctx context.Context, p PeerAddress) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: n.control}
	raw, err := dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		n.dialFailed(p, err)
		return nil, err
	}
	conn, peer, err := n.open(ctx, n.metrics.count(raw))
	if err == nil && (p.Name != "" && peer.Name != p.Name || peer.Name == n.self.Name) {
		err = merry.Wrap(pki.ErrIdentity, merry.AppendMessagef("found %s", peer.Name))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newLink(peer, conn), nil
}

// useLink serves calls over the link until it ends.
func (n *Node) useLink(ctx context.Context, l *link) {
	n.mu.Lock()
	n.links[l.peer.Name] = l
	n.mu.Unlock()
	n.log.Debugf("Peer %s connected.", l.peer.Name)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	l.readAnswers()
	n.mu.Lock()
	if n.links[l.peer.Name] == l {
		delete(n.links, l.peer.Name)
	}
	n.mu.Unlock()
	n.log.Debugf("Peer %s disconnected.", l.peer.Name)
}
