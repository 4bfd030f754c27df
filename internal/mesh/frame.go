package mesh

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// maxFrameBytes is the maximum size of an encoded frame, large enough for the
// whole state of an environment.
const maxFrameBytes = 4 << 20

// frame is one message on the wire. Its encoded length precedes it as a
// big-endian 32-bit integer.
type frame struct {
	// ID matches a response to its call. It is 0 for a message without response.
	ID         uint64 `msgpack:"i"`
	IsResponse bool   `msgpack:"a,omitempty"`
	Method     string `msgpack:"m,omitempty"`
	Body       []byte `msgpack:"b,omitempty"`
	Error      string `msgpack:"e,omitempty"`
	// DeadlineMS is the time in milliseconds until the caller's deadline; 0 means
	// no deadline.
	DeadlineMS int64 `msgpack:"d,omitempty"`
}

func writeFrame(w io.Writer, f *frame) error {
	data, err := msgpack.Marshal(f)
	if err != nil {
		return merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	if len(data) > maxFrameBytes {
		return merry.Wrap(ErrCodec, merry.AppendMessage("message exceeds 4 MiB"))
	}
	buffer := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(buffer, uint32(len(data)))
	_, err = w.Write(append(buffer, data...))
	return err
}

func readFrame(r io.Reader) (*frame, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return nil, merry.Wrap(ErrCodec, merry.AppendMessage("message exceeds 4 MiB"))
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	var f frame
	if err := msgpack.Unmarshal(data, &f); err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	return &f, nil
}
