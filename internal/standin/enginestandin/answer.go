package enginestandin

import (
	"encoding/json"

	"github.com/dotterellink/dotterellink/internal/target"
)

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type answer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *target.Usage `json:"usage,omitempty"`
}

type embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float32 `json:"embedding"`
}

type embeddingAnswer struct {
	ID     string        `json:"id"`
	Object string        `json:"object"`
	Model  string        `json:"model"`
	Data   []embedding   `json:"data"`
	Usage  *target.Usage `json:"usage"`
}

func (s *stream) answer(object string, c choice, usage *target.Usage) []byte {
	return mustJSON(answer{
		ID:      s.shownID(),
		Object:  object,
		Created: s.engine.clock.Now().Unix(),
		Model:   s.plan.model,
		Choices: []choice{c},
		Usage:   usage,
	})
}

func (s *stream) tokenJSON(index int) []byte {
	token := Token(s.plan.promptHash, index)
	if s.plan.kind == target.KindCompletion {
		return s.answer("text_completion", choice{Text: token}, nil)
	}
	return s.answer("chat.completion.chunk", choice{Delta: &message{Content: token}}, nil)
}

func (s *stream) lastJSON(usage *target.Usage) []byte {
	reason := "stop"
	if s.plan.kind == target.KindCompletion {
		return s.answer("text_completion", choice{FinishReason: &reason}, usage)
	}
	return s.answer("chat.completion.chunk", choice{Delta: &message{}, FinishReason: &reason}, usage)
}

func (s *stream) wholeJSON(usage *target.Usage) []byte {
	reason := "stop"
	switch s.plan.kind {
	case target.KindEmbedding:
		return mustJSON(embeddingAnswer{
			ID:     s.shownID(),
			Object: "list",
			Model:  s.plan.model,
			Data:   []embedding{{Object: "embedding", Embedding: []float32{float32(uint32(s.plan.promptHash))}}},
			Usage:  usage,
		})
	case target.KindCompletion:
		return s.answer("text_completion", choice{Text: s.text(), FinishReason: &reason}, usage)
	}
	content := &message{Role: "assistant", Content: s.text()}
	return s.answer("chat.completion", choice{Message: content, FinishReason: &reason}, usage)
}

// mustJSON encodes values of this package, which always succeeds.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
