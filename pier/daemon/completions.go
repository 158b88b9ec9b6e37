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

// defaultChatTokens is the maximum length of a completion whose request states
// none.
const defaultChatTokens = 512

// chatCompletions serves a completion in the common chat completions format, either
// in one response or as server-sent events.
func (d *Daemon) chatCompletions(c iris.Context, id string) error {
	var q caller.ChatRequest
	if err := readJSON(c, &q); err != nil {
		return err
	}
	p, err := q.Prompt()
	if err != nil {
		return err
	}
	ctx, cancel, err := callerContext(c)
	if err != nil {
		return err
	}
	defer cancel()
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultChatTokens
	}
	m := &entryhost.ChatRequest{Deployment: q.Model, Completion: engine.Completion{
		Stream: "chat-" + incarnation.Nonce(), Prompt: p, MaxTokens: q.MaxTokens, Prefix: "chat-" + q.Model,
	}}
	w := &chatWriter{c: c, id: id, model: q.Model}
	if q.Stream {
		return w.finish(d.complete(ctx, m, w.writeChunk))
	}
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
		return outcome.Ambiguous(outcome.ReasonShortAnswer, "completion ended as "+last.Finish, nil)
	}
	k := caller.NewAnswer(id, q.Model, b.String(), last.Finish, last.Total)
	return respondJSON(c, &k)
}

// chatWriter writes a streamed completion as server-sent events.
type chatWriter struct {
	c       iris.Context
	id      string
	model   string
	started bool
}

// writeChunk writes one chunk as an event. It sends the response headers before the
// first one.
func (w *chatWriter) writeChunk(e *engine.Chunk) error {
	if !w.started {
		w.started = true
		w.c.Header("Content-Type", "text/event-stream")
		w.c.Header("Cache-Control", "no-store")
	}
	k := caller.NewEvent(w.id, w.model, e.Text, e.Finish, e.Version)
	return w.writeEvent(&k)
}

// writeEvent writes v as the JSON data of an event.
func (w *chatWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	bug.Assert(err == nil, bug.Codec, "encode chat event: %v", err)
	if err := w.writeRaw("data: " + string(b) + "\n\n"); err != nil {
		return err
	}
	return nil
}

// writeRaw writes s and flushes it. A client that does not accept it within 10 s
// counts as disconnected.
func (w *chatWriter) writeRaw(s string) error {
	h := http.NewResponseController(w.c.ResponseWriter())
	_ = h.SetWriteDeadline(time.Now().Add(10 * time.Second))
	if _, err := w.c.WriteString(s); err != nil {
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "caller", err)
	}
	w.c.ResponseWriter().Flush()
	return nil
}

// finish ends a streamed completion: with the closing event on success, with a
// problem event on failure, so that a client cannot mistake a truncated answer for
// a complete one. An error that occurs before the first event is returned, to be
// answered as a plain refusal.
func (w *chatWriter) finish(err error) error {
	if err == nil {
		return w.writeRaw("data: [DONE]\n\n")
	}
	if !w.started {
		return err
	}
	e := outcome.AsError(err)
	b, _ := json.Marshal(&Problem{
		Type: "about:blank", Title: string(e.Reason), Status: e.Status(), Detail: e.Detail,
		Outcome: outcome.Unknown, Reason: e.Reason, RequestID: w.id,
	})
	_ = w.writeRaw("event: error\ndata: " + string(b) + "\n\n")
	return nil
}
