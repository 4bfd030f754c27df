package follow

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// maxWordBytes bounds a word once unpacked: all targets at the size of
// docs/CAPACITY.md take 3 MB.
const maxWordBytes = 32 << 20

// ErrUnreadableUpdate means that a word cannot be read.
var ErrUnreadableUpdate = merry.Sentinel("follow: unreadable word")

// Update is what the watching instance relays: the changes between two versions of
// the store, or all objects.
type Update struct {
	Prefix  string   `msgpack:"p"`
	From    uint64   `msgpack:"f"`
	To      uint64   `msgpack:"t"`
	Full    bool     `msgpack:"a,omitempty"`
	Objects []Object `msgpack:"o,omitempty"`
}

// Object is one object of a word.
type Object struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Version uint64 `msgpack:"r"`
	Deleted bool   `msgpack:"d,omitempty"`
}

// ObjectOf returns an object of the store for a word.
func ObjectOf(o platform.Object) Object {
	return Object{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted}
}

// List returns the objects as the store has them.
func (w Update) List() []platform.Object {
	list := make([]platform.Object, 0, len(w.Objects))
	for _, o := range w.Objects {
		list = append(list, platform.Object{Key: o.Key, Value: o.Value, Version: platform.Version(o.Version), Deleted: o.Deleted})
	}
	return list
}

// Encode returns the word for the wire. It is compressed: one instance sends it to
// all others, and objects repeat their field names.
func (w Update) Encode() ([]byte, error) {
	var out bytes.Buffer
	packer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(packer).Encode(&w); err != nil {
		return nil, err
	}
	if err := packer.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeUpdate reads a word.
func DecodeUpdate(body []byte) (Update, error) {
	var w Update
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxWordBytes))
	if err == nil {
		err = msgpack.Unmarshal(unpacked, &w)
	}
	if err != nil {
		return Update{}, merry.Wrap(ErrUnreadableUpdate, merry.WithCause(err))
	}
	return w, nil
}
