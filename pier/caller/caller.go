// Package caller defines the HTTP request and response bodies of the interface for
// callers: chat completions in the widespread format of chat model APIs.
package caller

import (
	"strings"

	"mulberrypier.example/pier/outcome"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a POST to /v1/chat/completions.
type ChatRequest struct {
	// Model is the name of an interactive deployment.
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// MaxTokens is the maximum length of the completion; zero means the host's default.
	MaxTokens int `json:"max_tokens"`
	// Stream requests the completion as a stream of events.
	Stream bool `json:"stream"`
}

// Prompt checks the request and returns the conversation as a single text, with one
// "role: content" line per message. An error is an *outcome.Error that names the
// invalid field.
func (q *ChatRequest) Prompt() (string, error) {
	if q.Model == "" {
		return "", outcome.Refuse(outcome.ReasonBadRequest, "body: field model is missing")
	}
	if len(q.Messages) == 0 {
		return "", outcome.Refuse(outcome.ReasonBadRequest, "body: field messages is empty")
	}
	if q.MaxTokens < 0 {
		return "", outcome.Refuse(outcome.ReasonBadRequest, "body: field max_tokens must not be negative")
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String(), nil
}

// Choice is one completion. Message is set in a complete answer, Delta in an event.
type Choice struct {
	Index   int      `json:"index"`
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	// FinishReason is nil in all events but the last.
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ChatAnswer is a complete completion, or one event of a streamed one.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// WeightVersion is the version of the weights that produced the event's tokens.
	WeightVersion int64 `json:"weight_version,omitempty"`
}

// NewAnswer returns a complete completion; tokens is its length.
func NewAnswer(id, model, text, finish string, tokens int) ChatAnswer {
	return ChatAnswer{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: &finish}},
		Usage:   &Usage{CompletionTokens: tokens},
	}
}

// NewEvent returns one event of a streamed completion; finish is empty for all events
// but the last.
func NewEvent(id, model, text, finish string, version int64) ChatAnswer {
	c := Choice{Delta: &Message{Role: "assistant", Content: text}}
	if finish != "" {
		c.FinishReason = &finish
	}
	return ChatAnswer{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []Choice{c}, WeightVersion: version,
	}
}
