package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrypier.example/platform/wire"
)

// heartbeat is the time between two registrations of a server.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a backend server: an engine or a plain server. It drops a request
// whose connection closes, and stops work at the deadline that it receives.
type server struct {
	w        *world
	id       string
	service  string
	engine   bool
	slots    int
	listener net.Listener
	http     *http.Server
	stopped  chan struct{}

	mu sync.Mutex
	// work is how long a plain request takes, and pause the time between two events; slow
	// multiplies both.
	work, pause time.Duration
	slow        float64
	events      int
	versions    map[string]int64
	orders      int64
	busy        bool
	seq         int64
	state       string
	born        time.Time
	// header holds further header fields of all answers to requests.
	header http.Header
	// arrived holds when each request first arrived.
	arrived map[string]time.Time
	// running counts the requests that run.
	running int
	// runs holds how often each request began to run here, answers the last status by request.
	runs    map[string]int
	answers map[string][]int
}

// serverConfig holds what cases vary of a server.
type serverConfig struct {
	id, service string
	engine      bool
	slots       int
	work, pause time.Duration
	events      int
}

func (w *world) newServer(c serverConfig) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: c.id, service: c.service, engine: c.engine, slots: c.slots, listener: l, stopped: make(chan struct{}),
		work: c.work, pause: c.pause, slow: 1, events: c.events, versions: make(map[string]int64), state: "ready", born: time.Now(),
		header: make(http.Header), runs: make(map[string]int), arrived: make(map[string]time.Time), answers: make(map[string][]int),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	w.servers = append(w.servers, s)
	return s, nil
}

func (s *server) beat() {
	for {
		s.register()
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the server's registration to the store.
func (s *server) register() {
	s.mu.Lock()
	s.seq++
	m := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": "z", "version": "v1", "slots": s.slots,
		"state": s.state, "cold_left": 0, "seq": s.seq, "born": s.born.UnixMilli(),
	}
	if s.engine {
		m["stage"] = "hybrid"
		m["models"] = s.loaded()
	}
	s.mu.Unlock()
	b, _ := json.Marshal(m)
	s.w.store.put(names["servers"], s.id, b)
}

// version returns the version of a model that the server holds. The caller holds mu.
func (s *server) version(model string) int64 { return max(s.versions[model], 1) }

// loaded returns the models that an engine holds. The caller holds mu.
func (s *server) loaded() []any {
	var l []any
	for _, m := range models {
		l = append(l, map[string]any{"name": m, "version": s.version(m), "adapters": []any{}})
	}
	return l
}

// setState registers another state at once.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.register()
	s.w.note("%s: registers as %s, acknowledged", s.id, state)
}

// setSlow makes all work of the server take x times as long.
func (s *server) setSlow(x float64) {
	s.mu.Lock()
	s.slow = x
	s.mu.Unlock()
	s.w.note("%s: work takes %.1f times as long", s.id, x)
}

// setHeader sets a header field of all answers to requests.
func (s *server) setHeader(name, value string) {
	s.mu.Lock()
	s.header[http.CanonicalHeaderKey(name)] = []string{value}
	s.mu.Unlock()
	s.w.note("%s: answers state %s: %s", s.id, name, value)
}

// arrivals returns when each request first arrived.
func (s *server) arrivals() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.arrived)
}

// leave removes the server's registration and ends the server.
func (s *server) leave() {
	s.close()
	s.w.store.put(names["servers"], s.id, nil)
}

// close ends the server with all its connections.
func (s *server) close() {
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
		_ = s.http.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := wire.Dialect
	id := r.Header.Get(d.RequestID)
	if id != "" {
		w.Header().Set(d.RequestID, id)
	}
	if e := r.Header.Get(d.ExpectedIncarnation); e != "" && e != s.id {
		w.Header().Set(d.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case names["report"]:
		s.report(w)
		return
	case names["order"]:
		s.order(w, body)
		return
	}
	s.mu.Lock()
	s.running++
	n := s.running
	for k, v := range s.header {
		w.Header()[k] = v
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(d.Load, fmt.Sprintf("%d,%d,%d", n, 0, s.slots))
	s.recordRun(id)
	if s.engine {
		s.generate(w, r, id)
		return
	}
	s.servePlain(w, r, id, body)
}

func (s *server) recordRun(id string) {
	s.mu.Lock()
	s.runs[id]++
	if s.arrived[id].IsZero() {
		s.arrived[id] = time.Now()
	}
	s.mu.Unlock()
	s.w.note("%s: %s runs", s.id, id)
}

func (s *server) recordAnswer(id string, status int) {
	s.mu.Lock()
	s.answers[id] = append(s.answers[id], status)
	s.mu.Unlock()
	s.w.note("%s: %s is answered with %d", s.id, id, status)
}

// ran returns how often a request began to run here.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// answered returns the statuses with which a request was answered here.
func (s *server) answered(id string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.answers[id]...)
}

func stamp(id string) string { return "stamp." + id }

// servePlain serves a plain request. Its work ends at the deadline with a 504.
func (s *server) servePlain(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	ctx := r.Context()
	if n, err := strconv.Atoi(r.Header.Get(wire.Dialect.Deadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(n)*time.Millisecond)
		defer cancel()
	}
	began := time.Now()
	for {
		s.mu.Lock()
		left := time.Duration(float64(s.work)*s.slow) - time.Since(began)
		s.mu.Unlock()
		if left <= 0 {
			break
		}
		select {
		case <-time.After(min(left, 20*time.Millisecond)):
		case <-ctx.Done():
			if r.Context().Err() != nil {
				s.w.note("%s: %s is dropped, its connection has closed", s.id, id)
				return
			}
			w.Header().Set(wire.Dialect.ServerStamp, stamp(id)+".504")
			w.WriteHeader(http.StatusGatewayTimeout)
			s.recordAnswer(id, http.StatusGatewayTimeout)
			return
		}
	}
	w.Header().Set(wire.Dialect.ServerStamp, stamp(id))
	_, _ = io.WriteString(w, "done "+id+" "+string(body))
	s.recordAnswer(id, http.StatusOK)
}

// eventData returns the data of one event of a text.
func eventData(id string, n int, version int64) string {
	return fmt.Sprintf("%s-%d-v%d", id, n, version)
}

// generate serves a stream of events, from the one after the last that the caller has.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	d := wire.Dialect
	from, _ := strconv.Atoi(r.Header.Get(d.ResumeAfter))
	m := r.Header.Get("X-Model")
	s.mu.Lock()
	v, events := s.version(m), s.events
	s.mu.Unlock()
	if f := strings.Split(r.Header.Get("X-Token-Counts"), ","); len(f) == 2 {
		if n, err := strconv.Atoi(f[1]); err == nil {
			events = n
		}
	}
	w.Header().Set(d.ServerStamp, stamp(id))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(d.WeightVersion, strconv.FormatInt(v, 10))
	c := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		s.mu.Lock()
		pause, now := time.Duration(float64(s.pause)*s.slow), s.version(m)
		s.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			s.w.note("%s: %s is dropped at event %d, its connection has closed", s.id, id, n)
			return
		}
		if now != v {
			v = now
			_, _ = fmt.Fprintf(w, "%s: %d\n", d.EventVersion, v)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, v))
		_ = c.Flush()
	}
	s.recordAnswer(id, http.StatusOK)
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]any{"stage": "hybrid", "busy": s.busy, "seq": s.orders, "handles": 0, "born": s.born.UnixMilli()}
	if s.engine {
		m["models"] = s.loaded()
	}
	reply(w, m)
}

// order carries an order to load a version out, which takes 0.9 s.
func (s *server) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Model    string
		Version  int64
		Holder   string
		Fence    int64
		Expected int64
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.w.note("%s: order of %s with fence %d for version %d of %s", s.id, o.Holder, o.Fence, o.Version, o.Model)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || o.Expected != s.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.orders++
	s.busy = true
	time.AfterFunc(900*time.Millisecond, func() {
		s.mu.Lock()
		s.busy, s.versions[o.Model] = false, max(s.version(o.Model), o.Version)
		s.mu.Unlock()
		s.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// holds returns the version of a model that the server holds.
func (s *server) holds(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(model)
}

// isClosed reports whether the server has ended.
func (s *server) isClosed() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// total returns how many requests began to run.
func (s *server) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}
