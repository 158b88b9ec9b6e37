package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/caller"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
)

// chatTokens is the length of a completion whose caller states none.
const chatTokens = 512

// chatCompletions serves a completion in the shape that callers of chat models
// know, whole or as server-sent events.
func (d *Daemon) chatCompletions(c iris.Context, id string) error {
	var q caller.ChatRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	p, err := q.Prompt()
	if err != nil {
		return err
	}
	ctx, cancel, err := deadline(c)
	if err != nil {
		return err
	}
	defer cancel()
	if q.MaxTokens == 0 {
		q.MaxTokens = chatTokens
	}
	m := &entryhost.ChatRequest{Deployment: q.Model, Completion: engine.Completion{
		Stream: "chat-" + incarnation.Nonce(), Prompt: p, MaxTokens: q.MaxTokens, Prefix: "chat-" + q.Model,
	}}
	w := &chatWriter{c: c, id: id, model: q.Model}
	if q.Stream {
		return w.stream(d.complete(ctx, m, w.event))
	}
	var k caller.ChatAnswer
	var b strings.Builder
	last := engine.Chunk{}
	err = d.complete(ctx, m, func(e *engine.Chunk) error {
		b.WriteString(e.Text)
		last = *e
		return nil
	})
	if err != nil {
		return err
	}
	if last.Finish != "stop" && last.Finish != "length" {
		return outcome.Lost(outcome.ReasonShortAnswer, "completion ended as "+last.Finish, nil)
	}
	k = caller.NewAnswer(id, q.Model, b.String(), last.Finish, last.Total)
	return answerJSON(c, &k)
}

// chatWriter writes the events of a streamed completion.
type chatWriter struct {
	c     iris.Context
	id    string
	model string
	begun bool
}

// event writes one event.
func (w *chatWriter) event(e *engine.Chunk) error {
	if !w.begun {
		w.begun = true
		w.c.Header("Content-Type", "text/event-stream")
		w.c.Header("Cache-Control", "no-store")
	}
	k := caller.NewEvent(w.id, w.model, e.Text, e.Finish, e.Version)
	return w.write(&k)
}

func (w *chatWriter) write(v any) error {
	b, err := json.Marshal(v)
	bug.Assert(err == nil, bug.Codec, "chat event: %v", err)
	if err := w.raw("data: " + string(b) + "\n\n"); err != nil {
		return err
	}
	return nil
}

func (w *chatWriter) raw(s string) error {
	h := http.NewResponseController(w.c.ResponseWriter())
	_ = h.SetWriteDeadline(time.Now().Add(10 * time.Second))
	if _, err := w.c.WriteString(s); err != nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "caller", err)
	}
	w.c.ResponseWriter().Flush()
	return nil
}

// stream ends a streamed completion: with the closing event when it is whole,
// with a problem event when it is not, so that a cut answer is never taken for a
// whole one.
func (w *chatWriter) stream(err error) error {
	if err == nil {
		return w.raw("data: [DONE]\n\n")
	}
	if !w.begun {
		return err
	}
	e := outcome.From(err)
	b, _ := json.Marshal(&Problem{
		Type: "about:blank", Title: string(e.Reason), Status: e.Status(), Detail: e.Detail,
		Outcome: outcome.Unknown, Reason: e.Reason, RequestID: w.id,
	})
	_ = w.raw("event: error\ndata: " + string(b) + "\n\n")
	return nil
}
