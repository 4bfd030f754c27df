package entry

import (
	"encoding/json"
	"testing"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/target"
)

// FuzzModelRequest checks that the body sent to the engine for an accepted request
// has a token limit between 1 and the model's context, and that at least as many
// tokens are reserved.
func FuzzModelRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{}],"max_tokens":5,"max_tokens":900}`,
		`{"model":"m","messages":[{}],"Max_Tokens":900,"max_completion_tokens":7}`,
		`{"model":"m","messages":[{}],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{}],"max_tokens":null}`,
		`{"model":"m","messages":[{}],"max_tokens":1e2}`,
		`[]`, `null`, `{"model":`, "{\"model\":\"\\ud800\"}",
	} {
		f.Add([]byte(seed))
	}
	model := &environment.Model{Name: "m", ContextTokens: 1000, DefaultMaxTokens: 50}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := parseModelRequest(body)
		if err != nil {
			return
		}
		checked := &checkedRequest{model: model, request: r, prompt: r.prompt()}
		limit, err := checkLimits(target.KindChat, checked)
		if err != nil {
			return
		}
		sent, err := r.rewrite(target.KindChat, limit)
		if err != nil {
			t.Fatalf("request accepted, but its body could not be encoded: %v", err)
		}
		var engine struct {
			MaxTokens           int64  `json:"max_tokens"`
			MaxCompletionTokens *int64 `json:"max_completion_tokens"`
		}
		if err := json.Unmarshal(sent, &engine); err != nil {
			t.Fatalf("body %q sent to the engine is not valid: %v", sent, err)
		}
		if engine.MaxTokens < 1 || engine.MaxTokens > model.ContextTokens || checked.reserved < engine.MaxTokens {
			t.Fatalf("token limit %d sent to the engine, %d tokens reserved", engine.MaxTokens, checked.reserved)
		}
	})
}
