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
	data, err := readGrowing(r, int(n))
	if err != nil {
		return nil, err
	}
	var f frame
	if err := msgpack.Unmarshal(data, &f); err != nil {
		return nil, merry.Wrap(ErrCodec, merry.WithCause(err))
	}
	return &f, nil
}

// frameStepBytes is the memory that a frame occupies before any of it has arrived.
const frameStepBytes = 64 << 10

// readGrowing reads n bytes into memory that grows with what has arrived, so that a peer
// cannot occupy memory by declaring a long frame.
func readGrowing(r io.Reader, n int) ([]byte, error) {
	data := make([]byte, 0, min(n, frameStepBytes))
	for len(data) < n {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(n, 2*len(data))), data...)
		}
		got, err := io.ReadFull(r, data[len(data):cap(data)])
		data = data[:len(data)+got]
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
