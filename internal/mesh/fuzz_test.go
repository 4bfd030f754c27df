package mesh

import (
	"bytes"
	"testing"
)

// FuzzReadFrame checks that no input makes the decoder panic, read more or less
// than the declared length, or return a frame that cannot be encoded again.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, &frame{ID: 1, Method: "environment.status", Body: []byte{0x81, 0xa1, 'r', 1}, DeadlineMS: 1000}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		decoded, err := readFrame(reader)
		if err != nil {
			return
		}
		declared := int(data[0])<<24 | int(data[1])<<16 | int(data[2])<<8 | int(data[3])
		if read := len(data) - reader.Len(); read != 4+declared {
			t.Fatalf("read %d bytes for a declared frame length of %d", read, declared)
		}
		if err := writeFrame(&bytes.Buffer{}, decoded); err != nil {
			t.Fatal(err)
		}
	})
}
