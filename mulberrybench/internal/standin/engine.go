package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/engine"
)

// EngineConfig constructs an Engine.
type EngineConfig struct {
	Address netip.AddrPort
	Model   model.Config
	Lengths model.Lengths
	// Tick is the time between two chunks of a stream; 0 means 20 ms.
	Tick time.Duration
	// Lag is how old the reported load is.
	Lag time.Duration
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool
	// Store is the weight store that loads come from; none when not valid.
	Store netip.AddrPort
	// KeepFinished is how long a finished stream that was not read to its end can
	// be resumed; 0 means a minute.
	KeepFinished time.Duration
}

// Engine is the stand-in of a model engine.
type Engine struct {
	listener
	c EngineConfig
	m sync.Mutex
	// e is the model; meta holds what the model does not know of each stream.
	e     *model.Engine
	meta  map[string]*meta
	fence map[string]int64
	// tick is closed and replaced at each step of the model.
	tick    chan struct{}
	reports []datedLoad
	leaving bool
	stop    chan struct{}
	once    sync.Once
	// started counts streams begun, taken finished ones that an owner took off;
	// orders counts orders taken, stale those refused.
	started int
	taken   int
	orders  int
	stale   int
}

type meta struct {
	prompt string
	driver string
	// reader counts the connections that have read the stream; only the newest
	// one gets its chunks.
	reader int
	ended  time.Time
}

type datedLoad struct {
	at   time.Time
	load engine.Load
}

// NewEngine returns an engine that serves.
func NewEngine(c EngineConfig) (*Engine, error) {
	if c.Tick == 0 {
		c.Tick = 20 * time.Millisecond
	}
	if c.KeepFinished == 0 {
		c.KeepFinished = time.Minute
	}
	e := &Engine{c: c, tick: make(chan struct{}), stop: make(chan struct{}), fence: make(map[string]int64)}
	e.reset()
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("GET /v1/streams", e.list)
	m.HandleFunc("DELETE /v1/streams", e.cancel)
	m.HandleFunc("GET /v1/load", e.load)
	m.HandleFunc("POST /v1/orders", e.order)
	go e.run()
	return e, e.start(c.Address, m)
}

func (e *Engine) reset() {
	e.e = model.NewEngine(time.Now(), e.c.Model)
	e.meta = make(map[string]*meta)
	e.reports = nil
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stop) })
	e.Kill()
}

// Crash ends the process: all streams and loaded versions are lost.
func (e *Engine) Crash() {
	e.Kill()
	e.m.Lock()
	e.reset()
	e.m.Unlock()
}

// SetLoadFails sets the part of the loads that fail from now on.
func (e *Engine) SetLoadFails(f float64) {
	e.m.Lock()
	e.e.SetLoadFails(f)
	e.m.Unlock()
}

// SetLeaving makes the engine say that it is about to stop.
func (e *Engine) SetLeaving(b bool) {
	e.m.Lock()
	e.leaving = b
	e.m.Unlock()
}

// Started returns the number of streams that were begun here.
func (e *Engine) Started() int {
	e.m.Lock()
	defer e.m.Unlock()
	return e.started
}

// Taken returns the number of finished streams that an owner took off.
func (e *Engine) Taken() int {
	e.m.Lock()
	defer e.m.Unlock()
	return e.taken
}

// Orders returns how many orders were taken, and refused for their fence.
func (e *Engine) Orders() (taken, stale int) {
	e.m.Lock()
	defer e.m.Unlock()
	return e.orders, e.stale
}

// Version returns the loaded version of a model.
func (e *Engine) Version(m string) int64 {
	e.m.Lock()
	defer e.m.Unlock()
	return e.e.Version(m)
}

// run steps the model in real time.
func (e *Engine) run() {
	k := time.NewTicker(e.c.Tick)
	defer k.Stop()
	for {
		select {
		case <-e.stop:
			return
		case n := <-k.C:
			e.m.Lock()
			e.e.Advance(n)
			e.sweep(n)
			e.reports = append(e.reports, datedLoad{n, e.loadNow()})
			for len(e.reports) > 1 && n.Sub(e.reports[1].at) >= e.c.Lag {
				e.reports = e.reports[1:]
			}
			close(e.tick)
			e.tick = make(chan struct{})
			e.m.Unlock()
		}
	}
}

// sweep forgets finished streams that nobody came back for.
func (e *Engine) sweep(now time.Time) {
	for id, m := range e.meta {
		s := e.e.Stream(id)
		if s == nil || !s.Finished() {
			continue
		}
		if m.ended.IsZero() {
			m.ended = now
		}
		if now.Sub(m.ended) > e.c.KeepFinished {
			e.e.Remove(now, id)
			delete(e.meta, id)
		}
	}
}

func (e *Engine) loadNow() engine.Load {
	r, w := e.e.Counts()
	return engine.Load{
		Running: r, Waiting: w, Versions: e.e.Versions(), Loading: e.e.Loading(), Leaving: e.leaving, Failed: e.e.Failed(),
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.m.Lock()
	l := e.loadNow()
	if len(e.reports) > 0 {
		l = e.reports[0].load
	}
	e.m.Unlock()
	reply(w, l)
}

func (e *Engine) list(w http.ResponseWriter, _ *http.Request) {
	e.m.Lock()
	l := []engine.Running{}
	for id, m := range e.meta {
		s := e.e.Stream(id)
		if s == nil {
			continue
		}
		l = append(l, engine.Running{Stream: id, Driver: m.driver, Prompt: m.prompt, Tokens: e.e.Tokens(s), Finished: s.Finished()})
	}
	e.m.Unlock()
	reply(w, l)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.m.Lock()
	_, ok := e.meta[id]
	if s := e.e.Stream(id); ok && s != nil && s.Finished() && r.URL.Query().Has("take") {
		e.taken++
	}
	e.e.Remove(time.Now(), id)
	delete(e.meta, id)
	e.m.Unlock()
	if !ok && r.URL.Query().Has("take") {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	reply(w, struct{}{})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.m.Lock()
	if e.c.Fenced && o.Fence < e.fence[o.Model] {
		e.stale++
		e.m.Unlock()
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	e.fence[o.Model] = max(o.Fence, e.fence[o.Model])
	e.orders++
	e.m.Unlock()
	ok := e.fetch(&o)
	e.m.Lock()
	e.e.Load(time.Now(), o.Model, o.Version)
	if !ok {
		e.e.FailLoads()
	}
	e.m.Unlock()
	reply(w, struct{}{})
}

// fetch takes the weights from the store; it fails when the store refuses.
func (e *Engine) fetch(o *engine.Order) bool {
	if !e.c.Store.IsValid() {
		return true
	}
	c := http.Client{Timeout: 2 * time.Second}
	a, err := c.Get("http://" + e.c.Store.String() + "/v1/weights/" + o.Model + "/" + strconv.FormatInt(o.Version, 10))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// begin finds the stream to resume, or starts a new one.
func (e *Engine) begin(q *engine.Completion) (*meta, int, bool) {
	e.m.Lock()
	defer e.m.Unlock()
	m := e.meta[q.Stream]
	if m == nil {
		if q.Resume {
			return nil, 0, false
		}
		m = &meta{prompt: q.Prompt}
		e.meta[q.Stream] = m
		e.started++
		e.e.Add(time.Now(), &model.Stream{
			ID: q.Stream, Model: q.Model, Prefix: q.Prefix, Priority: q.Priority, Given: q.GivenTokens,
			Length: max(q.GivenTokens+1, e.c.Lengths.Draw(q.Prefix, q.Stream, q.MaxTokens)),
		})
	}
	m.driver = q.Driver
	m.reader++
	return m, m.reader, true
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q engine.Completion
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, reader, ok := e.begin(&q)
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	f := w.(http.Flusher)
	f.Flush()
	at, pinged := max(q.Offset, q.GivenTokens), time.Now()
	for {
		e.m.Lock()
		l, tick := e.chunks(&q, m, reader, at), e.tick
		e.m.Unlock()
		for i := range l {
			at = max(at, l[i].End)
			b, _ := json.Marshal(&l[i])
			if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
				return
			}
		}
		if len(l) > 0 {
			f.Flush()
			if l[len(l)-1].Finish != "" {
				return
			}
			pinged = time.Now()
		} else if time.Since(pinged) > 500*time.Millisecond {
			pinged = time.Now()
			_, _ = w.Write([]byte("event: ping\ndata: {}\n\n"))
			f.Flush()
		}
		select {
		case <-tick:
		case <-r.Context().Done():
			return
		}
	}
}

// chunks returns what a reader has not been sent yet, by version.
func (e *Engine) chunks(q *engine.Completion, m *meta, reader, at int) []engine.Chunk {
	s := e.e.Stream(q.Stream)
	switch {
	case s == nil || e.meta[q.Stream] != m:
		return []engine.Chunk{{Stream: q.Stream, First: at, End: at, Finish: "cancelled", Total: at}}
	case m.reader != reader:
		return []engine.Chunk{{Stream: q.Stream, First: at, End: at, Finish: "taken", Total: at}}
	}
	var l []engine.Chunk
	for _, g := range e.e.Note(s) {
		if g.End > at {
			first := max(at, g.First)
			l = append(l, engine.Chunk{Stream: q.Stream, First: first, End: g.End, Text: Text(m.prompt, first, g.End), Version: g.Version})
		}
	}
	if s.Finished() {
		k := engine.Chunk{Stream: q.Stream, First: s.Length, End: s.Length, Finish: "stop", Total: s.Length}
		if q.MaxTokens > 0 && s.Length >= q.MaxTokens {
			k.Finish = "length"
		}
		l = append(l, k)
	}
	return l
}

// Text returns the tokens from first to end that every engine generates for a
// prompt.
func Text(prompt string, first, end int) string {
	var b strings.Builder
	h := xxhash.Sum64String(prompt)
	for i := first; i < end; i++ {
		b.WriteByte('w')
		b.WriteString(strconv.FormatUint((h+uint64(i)*2654435761)%997, 10))
		b.WriteByte(' ')
	}
	return b.String()
}
