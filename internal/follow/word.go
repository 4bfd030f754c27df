package follow

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dotterellink/dotterellink/internal/platform"
)

// maxUpdateBytes bounds a decompressed update. All targets at the size of
// docs/CAPACITY.md take 3 MB.
const maxUpdateBytes = 32 << 20

// ErrUnreadableUpdate means that an update cannot be decoded.
var ErrUnreadableUpdate = merry.Sentinel("follow: unreadable update")

// Update is what the watcher relays: the changes between two versions of the store, or
// all objects.
type Update struct {
	Prefix  string   `msgpack:"p"`
	From    uint64   `msgpack:"f"`
	To      uint64   `msgpack:"t"`
	Full    bool     `msgpack:"a,omitempty"`
	Objects []Object `msgpack:"o,omitempty"`
}

// Object is one object of an update.
type Object struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Version uint64 `msgpack:"r"`
	Deleted bool   `msgpack:"d,omitempty"`
}

// ObjectOf converts an object of the store for an update.
func ObjectOf(o platform.Object) Object {
	return Object{Key: o.Key, Value: o.Value, Version: uint64(o.Version), Deleted: o.Deleted}
}

// List converts the objects of the update to objects of the store.
func (u Update) List() []platform.Object {
	list := make([]platform.Object, 0, len(u.Objects))
	for _, o := range u.Objects {
		list = append(list, platform.Object{Key: o.Key, Value: o.Value, Version: platform.Version(o.Version), Deleted: o.Deleted})
	}
	return list
}

// Encode returns the compressed encoding of the update. Compression pays off because
// one instance sends it to all others and objects repeat their field names.
func (u Update) Encode() ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(compressor).Encode(&u); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeUpdate decodes an update.
func DecodeUpdate(body []byte) (Update, error) {
	var u Update
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUpdateBytes))
	if err == nil {
		err = msgpack.Unmarshal(data, &u)
	}
	if err != nil {
		return Update{}, merry.Wrap(ErrUnreadableUpdate, merry.WithCause(err))
	}
	return u, nil
}
