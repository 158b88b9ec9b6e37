package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberrypier.example/platform/wire"
)

// oncePrefix begins the paths of requests that may run once only.
const oncePrefix = "/once/"

// beatInterval is how often a server writes its entry.
const beatInterval = 1200 * time.Millisecond

// server is a stand-in for a backend server.
type server struct {
	d       *deployment
	id      string
	service string
	address string
	slots   int
	models  []string
	born    int64
	running atomic.Int64
	http    *http.Server
	// cut is set while the server does not reach the store.
	cut atomic.Bool
	// silent is set once the server writes its entry no more, leaving once it says in its answers that it leaves.
	silent, leaving atomic.Bool
	// answer serves a request that is run.
	answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	// head, if not nil, sets further header fields of an answer.
	head func(h http.Header)
	// written has the server wait for beatInterval from now on until it writes its entry again.
	written chan struct{}
	// arrived, if not nil, is called with the id of each request that is run.
	arrived atomic.Pointer[func(id string)]

	mu       sync.Mutex
	versions map[string]int64
	orders   int64
	busy     bool
	state    string
	seq      int64
}

func (d *deployment) startServer(id, service string, slots int, models []string, answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte)) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: id, service: service, address: l.Addr().String(), slots: slots, models: models, answer: answer,
		born: time.Now().UnixMilli(), versions: make(map[string]int64), state: "ready", written: make(chan struct{}),
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		s.write()
		time.Sleep(rand.N(beatInterval))
		s.beat()
	}()
	return s, nil
}

func (s *server) modelList() []any {
	l := []any{}
	for _, m := range s.models {
		l = append(l, map[string]any{"name": m, "version": s.versions[m], "adapters": []any{}})
	}
	return l
}

func (s *server) beat() {
	for !s.silent.Load() {
		s.write()
		for waiting := true; waiting; {
			select {
			case <-s.written:
			case <-time.After(beatInterval):
				waiting = false
			}
		}
	}
}

// write writes the server's entry.
func (s *server) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent.Load() || s.cut.Load() {
		s.seq++
		return
	}
	s.d.store.put(wire.Sources.Servers, s.id, s.entry())
}

// drain has the server drain, which its next entry says and, from now on, its answers.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.leaving.Store(true)
}

// exit ends the server: it closes its listener and all connections.
func (s *server) exit() {
	s.silent.Store(true)
	_ = s.http.Close()
}

// entry returns the server's next entry. The caller holds mu.
func (s *server) entry() map[string]any {
	s.seq++
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": s.slots, "state": s.state,
		s.d.names.Cold: 0, "seq": s.seq, "born": s.born,
	}
	if len(s.models) > 0 {
		e["stage"], e["models"] = "hybrid", s.modelList()
	}
	return e
}

// cutFromStore cuts the server from the store for a time, as it writes its entry. That write is delivered only after late, when its
// first bytes are sent again; all others of the time fail, and the store removes the entry after three intervals without one. The
// server, which has given the write up, begins to drain after the cut: its next write says so.
func (s *server) cutFromStore(d, late time.Duration) {
	s.written <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry()
	time.AfterFunc(late, func() {
		s.d.record.line("the store gets the write of %s from before the cut: seq %v, %v", s.id, e["seq"], e["state"])
		s.d.store.put(wire.Sources.Servers, s.id, e)
	})
	s.cut.Store(true)
	time.AfterFunc(d, func() { s.cut.Store(false) })
	time.AfterFunc(2*beatInterval, func() {
		if s.cut.Load() {
			s.d.record.line("the store has heard nothing of %s for three intervals and removes its entry", s.id)
			s.d.store.drop(wire.Sources.Servers, s.id)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if x := r.Header.Get(wire.Dialect.ExpectedIncarnation); x != "" && x != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set(wire.Dialect.RequestID, r.Header.Get(wire.Dialect.RequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == wire.Identity.Target:
		s.report(w)
		return
	case r.URL.Path == s.d.names.Order:
		s.order(w, b)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(wire.Dialect.RequestID)
	w.Header().Set(wire.Dialect.RequestID, id)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	if s.leaving.Load() {
		w.Header().Set(wire.Dialect.Leaving, "1")
	}
	w.Header().Set(wire.Dialect.Load, fmt.Sprintf("%d,0,%d", min(n, int64(s.slots)), s.slots))
	if s.head != nil {
		s.head(w.Header())
	}
	if int(n) > s.slots {
		w.Header().Set(wire.Dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.d.runs.add(id)
	if f := s.arrived.Load(); f != nil {
		(*f)(id)
	}
	s.answer(s, w, r, b)
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "hybrid", "models": s.modelList(), "busy": s.busy, "seq": s.orders, "born": s.born,
		"num_waiting": 0, s.d.names.Running: s.running.Load(), "kv_used": 0, "kv_total": 100000, "handles": 0,
	})
}

func (s *server) order(w http.ResponseWriter, b []byte) {
	var q struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
	}
	if json.Unmarshal(b, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.versions[q.Model] >= q.Version:
		w.WriteHeader(http.StatusOK)
		return
	case s.busy, q.Expected != nil && *q.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.busy = true
	s.orders++
	time.AfterFunc(900*time.Millisecond, func() {
		s.mu.Lock()
		s.busy, s.versions[q.Model] = false, q.Version
		s.mu.Unlock()
		s.write()
	})
	w.WriteHeader(http.StatusAccepted)
}

// setArrived sets what is called with the id of each request that is run.
func (s *server) setArrived(f func(id string)) { s.arrived.Store(&f) }

// stamp returns the signature of an answer.
func (s *server) stamp(id string) string { return "stamp-" + s.id + "-" + id }

// text returns the data of the events of an item: a number of events of a number of bytes each, of a document with marks as models
// write it.
func text(id string, events, bytes int) []string {
	l := make([]string, events)
	for i := range l {
		p := id + " " + strconv.Itoa(i+1) + " "
		l[i] = (p + strings.Repeat(`<p class="a">certificate of birth</p>`, bytes/37+1))[:bytes]
	}
	return l
}

// stream returns an answer function that streams events, one each interval.
func stream(events, bytes int, interval time.Duration) func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
	return func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get(wire.Dialect.RequestID)
		after, _ := strconv.Atoi(r.Header.Get(wire.Dialect.ResumeAfter))
		s.mu.Lock()
		v := s.versions[r.Header.Get("X-Model")]
		s.mu.Unlock()
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set(wire.Dialect.ServerStamp, s.stamp(id))
		h.Set(wire.Dialect.WeightVersion, strconv.FormatInt(max(v, 1), 10))
		w.WriteHeader(http.StatusOK)
		c := http.NewResponseController(w)
		for i, t := range text(id, events, bytes) {
			if i < after {
				continue
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, t); err != nil || c.Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(interval):
			}
		}
	}
}

// plain returns an answer function with a body after some work.
func plain(bytes int, work time.Duration) func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
	return func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		time.Sleep(work)
		id := r.Header.Get(wire.Dialect.RequestID)
		w.Header().Set(wire.Dialect.ServerStamp, s.stamp(id))
		w.Header().Set("Content-Length", strconv.Itoa(bytes))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte(strings.Repeat("b", bytes)))
	}
}

// byPath returns an answer function that uses once for requests that may run once only, and other for all others.
func byPath(once, other func(s *server, w http.ResponseWriter, r *http.Request, body []byte)) func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
	return func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		if strings.HasPrefix(r.URL.Path, oncePrefix) {
			once(s, w, r, body)
			return
		}
		other(s, w, r, body)
	}
}
