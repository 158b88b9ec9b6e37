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

// EngineConfig configures an Engine.
type EngineConfig struct {
	Address netip.AddrPort
	Model   model.Config
	Lengths model.Lengths
	// ChunkInterval is the time between two chunks of a stream, and between two load
	// reports; 0 means 20 ms.
	ChunkInterval time.Duration
	// Lag is the age of the load that the engine reports.
	Lag time.Duration
	// RefuseStaleOrders makes the engine refuse orders whose fencing token is lower than
	// the highest one that it has seen for the model.
	RefuseStaleOrders bool
	// WeightStore is the address of the weight store that weights are loaded from. With
	// the zero value, loads need no store.
	WeightStore netip.AddrPort
	// FinishedRetention is how long a finished stream that was not read to its end
	// can be resumed; 0 means one minute.
	FinishedRetention time.Duration
}

// Engine stands in for a model engine. It advances a model.Engine in real time and
// serves its streams over the engine's HTTP interface.
type Engine struct {
	baseServer
	c EngineConfig
	m sync.Mutex
	// e simulates the generation; streamInfo holds, by stream id, what the
	// simulation does not track.
	e          *model.Engine
	streamInfo map[string]*streamInfo
	// fence holds the highest fencing token of an accepted order, by model.
	fence map[string]int64
	// tick is closed and replaced each time the simulation has advanced, which
	// wakes the readers of all streams.
	tick chan struct{}
	// reports holds, oldest first, the newest load report that is at least
	// EngineConfig.Lag old and all younger ones. The engine serves the first one.
	reports []loadReport
	leaving bool
	// stop is closed by Close; once keeps it from being closed twice.
	stop chan struct{}
	once sync.Once
	// started counts the streams started, collected the finished streams that an
	// owner removed with "take"; orders counts the orders accepted, rejected those
	// refused because of a stale fencing token.
	started   int
	collected int
	orders    int
	rejected  int
}

// streamInfo is what the simulation does not track of a stream.
type streamInfo struct {
	prompt string
	// driver is the driver that the last reader named.
	driver string
	// reader is the number of connections that have opened the stream. Only the
	// newest connection receives chunks.
	reader int
	// finishedAt is when the engine first saw the stream finished, or zero.
	finishedAt time.Time
}

// loadReport is the load that the engine had at the given time.
type loadReport struct {
	at   time.Time
	load engine.Load
}

// NewEngine starts an engine that serves at c.Address.
func NewEngine(c EngineConfig) (*Engine, error) {
	if c.ChunkInterval == 0 {
		c.ChunkInterval = 20 * time.Millisecond
	}
	if c.FinishedRetention == 0 {
		c.FinishedRetention = time.Minute
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

// reset replaces the simulation by an idle one without streams and loaded versions.
func (e *Engine) reset() {
	e.e = model.NewEngine(time.Now(), e.c.Model)
	e.streamInfo = make(map[string]*streamInfo)
	e.reports = nil
}

// Close stops the engine for good.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stop) })
	e.Kill()
}

// Crash simulates a process crash: the server stops, and all streams and loaded
// versions are lost. Restart serves again.
func (e *Engine) Crash() {
	e.Kill()
	e.m.Lock()
	e.reset()
	e.m.Unlock()
}

// SetLoadFails sets the fraction of the weight loads, in [0, 1], that fail from now
// on.
func (e *Engine) SetLoadFails(f float64) {
	e.m.Lock()
	e.e.SetLoadFails(f)
	e.m.Unlock()
}

// SetLeaving sets whether the engine reports that it is about to stop.
func (e *Engine) SetLeaving(b bool) {
	e.m.Lock()
	e.leaving = b
	e.m.Unlock()
}

// Started returns the number of streams that this engine has started.
func (e *Engine) Started() int {
	e.m.Lock()
	defer e.m.Unlock()
	return e.started
}

// Collected returns the number of finished streams that an owner removed after it
// had read them to their end.
func (e *Engine) Collected() int {
	e.m.Lock()
	defer e.m.Unlock()
	return e.collected
}

// Orders returns the number of orders accepted, and of those rejected because of a
// stale fencing token.
func (e *Engine) Orders() (accepted, rejected int) {
	e.m.Lock()
	defer e.m.Unlock()
	return e.orders, e.rejected
}

// Version returns the version of the model's weights that is loaded.
func (e *Engine) Version(m string) int64 {
	e.m.Lock()
	defer e.m.Unlock()
	return e.e.Version(m)
}

// run advances the simulation every ChunkInterval until Close.
func (e *Engine) run() {
	k := time.NewTicker(e.c.ChunkInterval)
	defer k.Stop()
	for {
		select {
		case <-e.stop:
			return
		case n := <-k.C:
			e.m.Lock()
			e.e.Advance(n)
			e.removeUncollected(n)
			e.reports = append(e.reports, loadReport{n, e.currentLoad()})
			for len(e.reports) > 1 && n.Sub(e.reports[1].at) >= e.c.Lag {
				e.reports = e.reports[1:]
			}
			close(e.tick)
			e.tick = make(chan struct{})
			e.m.Unlock()
		}
	}
}

// removeUncollected removes the streams that finished more than FinishedRetention
// ago and were not collected.
func (e *Engine) removeUncollected(now time.Time) {
	for id, m := range e.streamInfo {
		s := e.e.Stream(id)
		if s == nil || !s.Finished() {
			continue
		}
		if m.finishedAt.IsZero() {
			m.finishedAt = now
		}
		if now.Sub(m.finishedAt) > e.c.FinishedRetention {
			e.e.Remove(now, id)
			delete(e.streamInfo, id)
		}
	}
}

func (e *Engine) currentLoad() engine.Load {
	r, w := e.e.Counts()
	return engine.Load{
		Running: r, Waiting: w, Versions: e.e.Versions(), Loading: e.e.Loading(), Leaving: e.leaving, Failed: e.e.Failed(),
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.m.Lock()
	l := e.currentLoad()
	if len(e.reports) > 0 {
		l = e.reports[0].load
	}
	e.m.Unlock()
	writeJSON(w, l)
}

func (e *Engine) list(w http.ResponseWriter, _ *http.Request) {
	e.m.Lock()
	l := []engine.RunningStream{}
	for id, m := range e.streamInfo {
		s := e.e.Stream(id)
		if s == nil {
			continue
		}
		l = append(l, engine.RunningStream{Stream: id, Driver: m.driver, Prompt: m.prompt, Tokens: e.e.Tokens(s), Finished: s.Finished()})
	}
	e.m.Unlock()
	writeJSON(w, l)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.m.Lock()
	_, ok := e.streamInfo[id]
	if s := e.e.Stream(id); ok && s != nil && s.Finished() && r.URL.Query().Has("take") {
		e.collected++
	}
	e.e.Remove(time.Now(), id)
	delete(e.streamInfo, id)
	e.m.Unlock()
	if !ok && r.URL.Query().Has("take") {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.m.Lock()
	if e.c.RefuseStaleOrders && o.FencingToken < e.fence[o.Model] {
		e.rejected++
		e.m.Unlock()
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	e.fence[o.Model] = max(o.FencingToken, e.fence[o.Model])
	e.orders++
	e.m.Unlock()
	ok := e.fetchWeights(&o)
	e.m.Lock()
	e.e.Load(time.Now(), o.Model, o.Version)
	if !ok {
		e.e.FailLoads()
	}
	e.m.Unlock()
	writeJSON(w, struct{}{})
}

// fetchWeights requests the weights from the store and reports whether the store
// granted them.
func (e *Engine) fetchWeights(o *engine.Order) bool {
	if !e.c.WeightStore.IsValid() {
		return true
	}
	c := http.Client{Timeout: 2 * time.Second}
	a, err := c.Get("http://" + e.c.WeightStore.String() + "/v1/weights/" + o.Model + "/" + strconv.FormatInt(o.Version, 10))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// openStream returns the stream with the id of the request and the number of its new
// reader, and starts the stream if it does not exist. It returns false if the
// request resumes a stream that does not exist.
func (e *Engine) openStream(q *engine.Completion) (*streamInfo, int, bool) {
	e.m.Lock()
	defer e.m.Unlock()
	m := e.streamInfo[q.Stream]
	if m == nil {
		if q.Resume {
			return nil, 0, false
		}
		m = &streamInfo{prompt: q.Prompt}
		e.streamInfo[q.Stream] = m
		e.started++
		e.e.Add(time.Now(), &model.Stream{
			ID: q.Stream, Model: q.Model, Prefix: q.Prefix, Priority: q.Priority, PriorTokens: q.GivenTokens,
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
	m, reader, ok := e.openStream(&q)
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	f := w.(http.Flusher)
	f.Flush()
	offset, lastPing := max(q.Offset, q.GivenTokens), time.Now()
	for {
		e.m.Lock()
		l, tick := e.chunks(&q, m, reader, offset), e.tick
		e.m.Unlock()
		for i := range l {
			offset = max(offset, l[i].End)
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
			lastPing = time.Now()
		} else if time.Since(lastPing) > 500*time.Millisecond {
			lastPing = time.Now()
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

// chunks returns the tokens from offset on as one chunk for each weight version, and
// a final chunk once the stream has finished, was cancelled, or was opened by a newer
// reader.
func (e *Engine) chunks(q *engine.Completion, m *streamInfo, reader, offset int) []engine.Chunk {
	s := e.e.Stream(q.Stream)
	switch {
	case s == nil || e.streamInfo[q.Stream] != m:
		return []engine.Chunk{{Stream: q.Stream, First: offset, End: offset, Finish: "cancelled", Total: offset}}
	case m.reader != reader:
		return []engine.Chunk{{Stream: q.Stream, First: offset, End: offset, Finish: "taken", Total: offset}}
	}
	var l []engine.Chunk
	for _, g := range e.e.RecordSegments(s) {
		if g.End > offset {
			first := max(offset, g.First)
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

// Text returns the text of the tokens from first up to, but not including, end that
// every engine generates for a prompt. It is a function of the prompt and of the
// positions only, so that a caller can check a sample that several engines produced.
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
