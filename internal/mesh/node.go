package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
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
	// minRedialDelay is also the pause after a failed accept.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// maxConcurrentCalls is the maximum number of calls that are handled
	// concurrently for one accepted connection.
	maxConcurrentCalls = 64
)

// Node is the mesh of one instance over TCP. It implements Mesh.
type Node struct {
	self      Peer
	tlsConfig *tls.Config
	log       *log.Logger
	handlers  map[string]Handler
	metrics   *metrics

	mu sync.Mutex
	// cancels ends the connections to the peers of SetPeers, by name and address.
	cancels map[string]context.CancelFunc
	// links holds the dialed connections by peer name. Calls use only the last one of a peer,
	// which has a second one while it is also dialed as an address without a name.
	links map[string][]*link
	// ctx is set by Run. SetPeers has no effect before.
	ctx context.Context

	dialControl  func(network, address string, c syscall.RawConn) error
	onDialFailed func(PeerAddress, error)
}

var _ Mesh = (*Node)(nil)

// NewNode returns a node that authenticates with the certificate in config. If
// config is nil, connections are plain TCP and peers state their own identity.
// This is for networks that only instances can reach and on which instances are
// not issued TLS keys.
func NewNode(self Peer, config *tls.Config, logger *log.Logger) *Node {
	return &Node{
		self:      self,
		tlsConfig: config,
		log:       logger,
		handlers:  make(map[string]Handler),
		metrics:   newMetrics(),
		cancels:   make(map[string]context.CancelFunc),
		links:     make(map[string][]*link),
	}
}

// SetDialControl sets net.Dialer.Control for outgoing connections. It must be
// called before the mesh runs.
func (n *Node) SetDialControl(control func(network, address string, c syscall.RawConn) error) {
	n.dialControl = control
}

// OnDialFailed sets a function that is called when a TCP connection to a peer
// cannot be opened. It must be set before the mesh runs.
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
	for _, links := range n.links {
		out = append(out, links[0].peer)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// linkTo returns the connection to use for calls to a peer, nil if there is none.
func (n *Node) linkTo(peer string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := n.links[peer]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// Call implements Mesh.
func (n *Node) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	l := n.linkTo(to)
	if l == nil {
		return nil, merry.Wrap(ErrNotConnected)
	}
	response, err := l.call(ctx, method, body)
	n.metrics.countCall(method, err)
	return response, err
}

// Notify sends a message without a response. The message may be lost.
func (n *Node) Notify(to, method string, body []byte) error {
	l := n.linkTo(to)
	if l == nil {
		return merry.Wrap(ErrNotConnected)
	}
	if err := l.write(&frame{Method: method, Body: body}); err != nil {
		return l.handleWriteError(err)
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
	// The function above may not have run yet when the loop notices the end of ctx. An
	// open listener would leave redials of peers waiting instead of refusing them.
	defer listener.Close()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			n.log.Warnf("Failed to accept a connection: %v.", err)
			if !pause.For(ctx, minRedialDelay) {
				return ctx.Err()
			}
			continue
		}
		go n.serve(ctx, conn)
	}
}

// serve handles the calls of one accepted connection.
func (n *Node) serve(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	conn, peer, err := n.identifyClient(ctx, n.metrics.wrapConn(raw))
	if err != nil {
		n.log.Debugf("Connection from %s refused: %v.", raw.RemoteAddr(), err)
		return
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	s := &session{node: n, peer: peer, peerLink: newLink(peer, conn), slots: make(chan struct{}, maxConcurrentCalls)}
	reader := bufio.NewReader(conn)
	for {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		s.slots <- struct{}{}
		go s.handle(ctx, f)
	}
}

// session is one accepted connection.
type session struct {
	node     *Node
	peer     Peer
	peerLink *link
	slots    chan struct{}
}

// handle runs the handler of a call and writes its response, or nothing if the
// handler ran for a message without response (ID 0).
func (s *session) handle(ctx context.Context, f *frame) {
	defer func() { <-s.slots }()
	if f.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(f.DeadlineMS)*time.Millisecond)
		defer cancel()
	}
	response := &frame{ID: f.ID, IsResponse: true}
	handler := s.node.handlers[f.Method]
	if handler == nil {
		response.Error = "unknown method " + f.Method
	} else if body, err := handler(ctx, s.peer, f.Body); f.ID == 0 {
		return
	} else if err != nil {
		response.Error = err.Error()
	} else {
		response.Body = body
	}
	err := s.peerLink.write(response)
	if errors.Is(err, ErrCodec) {
		err = s.peerLink.write(&frame{ID: f.ID, IsResponse: true, Error: err.Error()})
	}
	if err != nil {
		s.peerLink.close()
	}
}

// handshake completes TLS and returns the peer's identity.
func (n *Node) handshake(ctx context.Context, conn *tls.Conn) (Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return Peer{}, err
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Peer{}, merry.Wrap(pki.ErrIdentity)
	}
	name, zone, err := pki.Identity(certificates[0])
	return Peer{Name: name, Zone: zone}, err
}

// identifyClient returns the connection to use for an accepted connection, which
// is raw or TLS over raw, and the identity of the peer that opened it.
func (n *Node) identifyClient(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if n.tlsConfig == nil {
		peer, err := n.exchangeHello(raw)
		return raw, peer, err
	}
	conn := tls.Server(raw, n.tlsConfig)
	peer, err := n.handshake(ctx, conn)
	return conn, peer, err
}

// identifyServer returns the connection to use for a dialed connection, which is
// raw or TLS over raw, and the identity of the peer at the other end.
func (n *Node) identifyServer(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	if n.tlsConfig == nil {
		peer, err := n.exchangeHello(raw)
		return raw, peer, err
	}
	conn := tls.Client(raw, n.tlsConfig)
	peer, err := n.handshake(ctx, conn)
	return conn, peer, err
}

// exchangeHello exchanges names and zones on a plain connection.
func (n *Node) exchangeHello(conn net.Conn) (Peer, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, err
	}
	if err := writeFrame(conn, &frame{Method: helloMethod, Body: []byte(n.self.Name), Error: n.self.Zone}); err != nil {
		return Peer{}, err
	}
	f, err := readFrame(conn)
	if err != nil {
		return Peer{}, err
	}
	if f.Method != helloMethod {
		return Peer{}, merry.Wrap(ErrCodec, merry.AppendMessage("first frame is not a hello"))
	}
	return Peer{Name: string(f.Body), Zone: f.Error}, conn.SetDeadline(time.Time{})
}

// helloMethod is the method of the first frame on a plain connection. The body of
// the frame holds the sender's name, and its error field the zone.
const helloMethod = "hello"

// SetPeers replaces the list of peers to which the node keeps connections. If the
// name of a peer is empty, any name except the node's own is accepted at its
// address.
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
		if n.cancels[key] == nil {
			ctx, cancel := context.WithCancel(n.ctx)
			n.cancels[key] = cancel
			go n.maintainLink(ctx, p)
		}
	}
	for key, cancel := range n.cancels {
		if !keep[key] {
			cancel()
			delete(n.cancels, key)
		}
	}
}

// maintainLink keeps a connection to the peer until ctx ends. It redials with
// exponential backoff.
func (n *Node) maintainLink(ctx context.Context, p PeerAddress) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = minRedialDelay
	redial.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		l, err := n.dial(ctx, p)
		if err != nil {
			n.log.Debugf("Failed to connect to peer %s: %v.", p.Name, err)
			pause.For(ctx, redial.NextBackOff())
			continue
		}
		redial.Reset()
		n.runLink(ctx, l)
	}
}

func (n *Node) dial(ctx context.Context, p PeerAddress) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: n.dialControl}
	raw, err := dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		n.dialFailed(p, err)
		return nil, err
	}
	conn, peer, err := n.identifyServer(ctx, n.metrics.wrapConn(raw))
	if err == nil && (p.Name != "" && peer.Name != p.Name || peer.Name == n.self.Name) {
		err = merry.Wrap(pki.ErrIdentity, merry.AppendMessagef("dialed peer identified itself as %s", peer.Name))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return newLink(peer, conn), nil
}

// runLink makes the link available for calls until the connection ends.
func (n *Node) runLink(ctx context.Context, l *link) {
	n.mu.Lock()
	n.links[l.peer.Name] = append(n.links[l.peer.Name], l)
	n.mu.Unlock()
	n.log.Debugf("Peer %s connected.", l.peer.Name)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	l.readResponses()
	n.mu.Lock()
	if left := slices.DeleteFunc(n.links[l.peer.Name], func(other *link) bool { return other == l }); len(left) > 0 {
		n.links[l.peer.Name] = left
	} else {
		delete(n.links, l.peer.Name)
	}
	n.mu.Unlock()
	n.log.Debugf("Peer %s disconnected.", l.peer.Name)
}
