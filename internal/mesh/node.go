package mesh

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

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
}

var _ Mesh = (*Node)(nil)

// NewNode returns a node that shows the certificate in config.
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
			if !pause(ctx, minRedial) {
				return ctx.Err()
			}
			continue
		}
		go n.serve(ctx, conn)
	}
}

// pause waits, and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// serve answers the calls of one peer.
func (n *Node) serve(ctx context.Context, raw net.Conn) {
	conn := tls.Server(n.metrics.count(raw), n.config)
	defer conn.Close()
	peer, err := n.handshake(ctx, conn)
	if err != nil {
		n.log.Debugf("Connection from %s refused: %v.", raw.RemoteAddr(), err)
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
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
	} else if body, err := handler(ctx, s.peer, f.Body); err != nil {
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

// SetPeers replaces the peers to which connections are kept.
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
			pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		n.useLink(ctx, l)
	}
}

func (n *Node) dial(ctx context.Context, p PeerAddress) (*link, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(n.metrics.count(raw), n.config)
	peer, err := n.handshake(ctx, conn)
	if err == nil && peer.Name != p.Name {
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
