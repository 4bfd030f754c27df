// Package mesh carries messages between instances: msgpack frames over TCP with
// mutual TLS or plain TCP. With TLS, the certificate of an instance gives its
// name and availability zone.
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
	// ErrNoResponse means that the call may have been sent but no response was
	// received. The peer may or may not have handled it.
	ErrNoResponse = merry.Sentinel("mesh: no answer from peer")
	// ErrRemote means that the peer responded with an error.
	ErrRemote = merry.Sentinel("mesh: peer answered with an error")
	// ErrCodec means that a message could not be encoded or decoded.
	ErrCodec = merry.Sentinel("mesh: bad message")
)

// Peer is another instance.
type Peer struct {
	Name string
	Zone string
}

// PeerAddress is a peer with the address on which it listens.
type PeerAddress struct {
	Peer
	// Address is IP:PORT.
	Address string
}

// Handler handles one call of a peer and returns the response. The node runs
// each call in its own goroutine.
type Handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Mesh sends calls to peers and handles calls from peers. Implementations are
// safe for concurrent use.
type Mesh interface {
	// Self returns the identity of this instance.
	Self() Peer
	// Peers returns the peers that are connected now.
	Peers() []Peer
	// Call sends a message to the peer of that name and waits for the response.
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	// Handle sets the handler of a method. It must be called before the mesh runs.
	Handle(method string, handler Handler)
}

// Call sends a typed request to a peer and decodes its typed response.
func Call[Request, Response any](ctx context.Context, m Mesh, to, method string, request *Request) (*Response, error) {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	reply, err := m.Call(ctx, to, method, body)
	if err != nil {
		return nil, err
	}
	var response Response
	if err := msgpack.Unmarshal(reply, &response); err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	return &response, nil
}

// Handle sets a typed handler of a method, which decodes requests and encodes
// responses.
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
