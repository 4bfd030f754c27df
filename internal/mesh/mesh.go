// Package mesh carries messages between instances: msgpack frames over TCP with
// mutual TLS. Instances are known by the name and availability zone in their
// certificates.
package mesh

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of calls to peers.
var (
	// ErrNotConnected means that the call was not sent.
	ErrNotConnected = merry.Sentinel("mesh: peer not connected")
	// ErrNoResponse means that the call was sent but no answer came, so that the
	// peer may or may not have handled it.
	ErrNoResponse = merry.Sentinel("mesh: no answer from peer")
	// ErrRemote means that the peer handled the call and failed.
	ErrRemote = merry.Sentinel("mesh: peer answered with an error")
	// ErrCodec means that a message could not be encoded or decoded.
	ErrCodec = merry.Sentinel("mesh: bad message")
)

// Peer is another instance.
type Peer struct {
	Name string
	Zone string
}

// PeerAddress is where a peer listens.
type PeerAddress struct {
	Peer
	// Address is IP:PORT.
	Address string
}

// Handler answers one call of a peer. It runs on a goroutine of its own.
type Handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Mesh sends calls to peers and answers theirs. Implementations are safe for
// concurrent use.
type Mesh interface {
	// Self returns the identity of this instance.
	Self() Peer
	// Peers returns the peers that are connected now.
	Peers() []Peer
	// Call sends a message and waits for the answer. The peer's identity comes
	// from its certificate.
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	// Handle sets the handler of a method. It is called before the mesh runs.
	Handle(method string, handler Handler)
}

// Call sends a typed request to a peer and decodes its typed response.
func Call[Request, Response any](ctx context.Context, m Mesh, to, method string, request *Request) (*Response, error) {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	answer, err := m.Call(ctx, to, method, body)
	if err != nil {
		return nil, err
	}
	var response Response
	if err := msgpack.Unmarshal(answer, &response); err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	return &response, nil
}

// Handle sets a typed handler of a method.
func Handle[Request, Response any](m Mesh, method string, handler func(context.Context, Peer, *Request) (*Response, error)) {
	m.Handle(method, func(ctx context.Context, from Peer, body []byte) ([]byte, error) {
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
		}
		response, err := handler(ctx, from, &request)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(response)
	})
}
