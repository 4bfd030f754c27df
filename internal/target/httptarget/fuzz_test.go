package httptarget

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/dotterellink/dotterellink/internal/target"
)

// FuzzEventStream checks that no bytes make the reader panic, end a stream
// without its end mark, or let through a chunk of another call.
func FuzzEventStream(f *testing.F) {
	for _, seed := range []string{
		"id: 0\ndata: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"a\"}\r\n\r\ndata:[DONE]\r\n\r\n",
		"id: 1\ndata: {\"id\":\"a\"}\n\n",
		"data: {\"id\":\"b\"}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"a\"\n\n",
		"event: error\ndata: {\"error\":{}}\n\n",
		": comment\n\n\n\ndata: [DONE]",
		"data: [DO\ndata: NE]\n\n",
		"data: {\"id\":\"b\",\"x\":{\"id\":\"a\"}}\n\n",
		"data: {\"id\":\"a\",\"id\":\"b\"}\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		call := &target.ModelCall{ID: "a", Stream: true}
		stream := newEventStream(call, io.NopCloser(bytes.NewReader(body)), func() {})
		for next := 0; ; next++ {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) && !errors.Is(err, target.ErrTruncated) {
				if !bytes.Contains(body, []byte(EndMark)) {
					t.Fatal("ended without an end mark")
				}
				return
			}
			if err != nil {
				return
			}
			if chunk.Index != next || !bytes.Contains(chunk.Data, []byte(`a`)) {
				t.Fatalf("chunk %d: %d %q", next, chunk.Index, chunk.Data)
			}
		}
	})
}

// FuzzMember compares the scanner with encoding/json.
func FuzzMember(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","usage":null,"choices":[{"delta":{"content":"x"}}]}`,
		` { "x" : [ 1 , {"id":"no"} , "}" ] , "id" : "a\"b" } `,
		`{"id":1,"id":-2.5e3}`, `{"a":"\\","id":true}`, `{}`, `[]`, `"id"`, `{"id":{}}`, `{"\u0069d":1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !json.Valid(data) {
			return
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(data, &want); err != nil {
			want = nil
		}
		got := member(data, "id")
		if bytes.Contains(data, []byte(`\u`)) {
			return
		}
		if string(got) != string(want["id"]) {
			t.Fatalf("%q instead of %q in %q", got, want["id"], data)
		}
		for first, rest := element(data); first != nil; first, rest = element(rest) {
			if !json.Valid(first) {
				t.Fatalf("element %q of %q", first, data)
			}
		}
	})
}
