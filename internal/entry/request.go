package entry

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/dotterellink/dotterellink/internal/target"
)

// modelRequest holds the fields of an OpenAI request that are checked or rewritten
// here. All other fields are sent to the engine unchanged.
type modelRequest struct {
	fields              fields
	Model               string
	Stream              bool
	IncludeUsage        bool
	N                   *int
	BestOf              *int
	MaxTokens           *int64
	MaxCompletionTokens *int64
	Messages            json.RawMessage
	Prompt              json.RawMessage
	Input               json.RawMessage
	Tools               json.RawMessage
}

// parseModelRequest decodes body, checks the types of the fields used here and
// rejects callers' keys in the user and metadata fields.
func parseModelRequest(body []byte) (*modelRequest, error) {
	f, err := parseFields(body)
	if err != nil {
		return nil, err
	}
	r := &modelRequest{fields: f, Messages: f["messages"], Prompt: f["prompt"], Input: f["input"], Tools: f["tools"]}
	for _, field := range []struct {
		name string
		out  any
	}{
		{"model", &r.Model},
		{"stream", &r.Stream},
		{"n", &r.N},
		{"best_of", &r.BestOf},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens},
	} {
		if err := f.decode(field.name, field.out); err != nil {
			return nil, err
		}
	}
	if err := r.readStreamOptions(); err != nil {
		return nil, err
	}
	return r, f.rejectKeys("user", "metadata")
}

func (m *modelRequest) readStreamOptions() error {
	var options *struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := m.fields.decode("stream_options", &options); err != nil {
		return err
	}
	if options == nil {
		return nil
	}
	if !m.Stream {
		return badField("stream_options", "needs stream to be true")
	}
	m.IncludeUsage = options.IncludeUsage
	return nil
}

// prompt returns the parts of the request that are counted as prompt.
func (m *modelRequest) prompt() []byte {
	return bytes.Join([][]byte{m.Tools, m.Messages, m.Prompt, m.Input}, nil)
}

func limitField(r *modelRequest) string {
	if r.MaxCompletionTokens != nil {
		return "max_completion_tokens"
	}
	return "max_tokens"
}

// checkPrompt checks that the field with the prompt is set and of an allowed type,
// which it recognizes by the first byte of the value.
func checkPrompt(kind target.Kind, r *modelRequest) error {
	name, raw, firstBytes := "messages", r.Messages, "["
	switch kind {
	case target.KindCompletion:
		name, raw, firstBytes = "prompt", r.Prompt, "[\""
	case target.KindEmbedding:
		name, raw, firstBytes = "input", r.Input, "[\""
	}
	switch {
	case len(raw) == 0, string(raw) == "null", string(raw) == "[]", string(raw) == `""`:
		return badField(name, "must not be empty")
	case !strings.ContainsRune(firstBytes, rune(raw[0])):
		return badField(name, "must be of another type: %s", strings.NewReplacer("[", "array ", "\"", "string ").Replace(firstBytes))
	}
	return nil
}

// rewrite returns the body to send to the engine. It sets the token limit to limit,
// which is part of the tokens to reserve, except for embeddings, and requests the
// usage of every stream.
func (m *modelRequest) rewrite(kind target.Kind, limit int64) ([]byte, error) {
	if kind != target.KindEmbedding {
		delete(m.fields, "max_completion_tokens")
		m.fields["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
	}
	if m.Stream {
		m.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(m.fields)
}
