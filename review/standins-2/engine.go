package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberrypier.example/platform/wire"
)

// loadTime is how long a server takes to load a version while at most loadsAtOnce do, reportLag how old the figures of
// a report are, and heartbeat the time between two writes of a registration.
const (
	loadTime    = 900 * time.Millisecond
	loadsAtOnce = 7
	reportLag   = 200 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
)

// loading is the number of servers that load.
var loading atomic.Int64

// order is an order as it reached a server.
type order struct {
	at      time.Time
	server  string
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Holder  string `json:"holder"`
	Fence   int64  `json:"fence"`
	// Expected is a pointer, as the field may be missing.
	Expected *int64 `json:"expected"`
	status   int
}

// engine is a stand-in of a model server that takes orders.
type engine struct {
	id, service, zone string
	address           string
	store             *store
	server            *http.Server
	born              int64
	onOrder           func(o *order)
	// run, if not nil, runs requests that are no calls to the server's own interface.
	run func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	beats    int64
	states   []engineState
	versions map[string]int64
	models   []string
	seq      int64
	busy     bool
	crashed  bool
}

// engineState is the state that a server had from a time on.
type engineState struct {
	from time.Time
	body []byte
}

func newEngine(id, service, zone string, models []string, s *store) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, zone: zone, address: l.Addr().String(), store: s, born: time.Now().UnixMilli(),
		versions: make(map[string]int64), models: models,
	}
	for _, m := range models {
		e.versions[m] = 1
	}
	e.mu.Lock()
	e.note()
	e.mu.Unlock()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for e.register() {
			time.Sleep(heartbeat)
		}
	}()
	return e, nil
}

// crash ends the server with all its connections. Its registration is removed after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.put(wire.Sources.Servers, e.id, nil) })
}

// list returns the versions as they stand in registrations and reports. The caller holds mu.
func (e *engine) list() []map[string]any {
	var r []map[string]any
	for _, m := range e.models {
		r = append(r, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return r
}

// register writes the server's registration, and reports whether it has not crashed.
func (e *engine) register() bool {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return false
	}
	e.beats++
	m := maps.Clone(platformNames.Registration)
	m["service"], m["address"], m["zone"], m["models"], m["born"] = e.service, e.address, e.zone, e.list(), e.born
	fields, _ := json.Marshal(m)
	// The counter is the last field.
	b := fmt.Sprintf(`%s,"seq":%d}`, bytes.TrimSuffix(fields, []byte("}")), e.beats)
	e.mu.Unlock()
	e.store.put(wire.Sources.Servers, e.id, []byte(b))
	return true
}

// note keeps the present state for later reports. The caller holds mu.
func (e *engine) note() {
	b, _ := json.Marshal(map[string]any{
		"stage": "hybrid", "models": e.list(), "busy": e.busy, "seq": e.seq, "num_waiting": 0, "kv_used": 0, "kv_total": 102120,
		"handles": 0, "born": e.born,
	})
	e.states = append(e.states, engineState{time.Now(), b})
}

// report returns the state of reportLag ago.
func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.states[0].body
	for _, s := range e.states {
		if time.Since(s.from) >= reportLag {
			b = s.body
		}
	}
	return b
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Header.Get(wire.Dialect.ExpectedIncarnation) != "" && r.Header.Get(wire.Dialect.ExpectedIncarnation) != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == wire.Identity.Target:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(e.report())
	case strings.HasSuffix(r.URL.Path, "/order"):
		e.order(w, body)
	case e.run != nil:
		e.run(w, r, body)
	default:
		w.Header().Set(wire.Dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	o := &order{at: time.Now(), server: e.id}
	if json.Unmarshal(body, o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	switch {
	case o.Op != "version" || o.Holder == "" || o.Fence == 0 || e.versions[o.Model] == 0:
		o.status = http.StatusBadRequest
	case e.versions[o.Model] >= o.Version:
		o.status = http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		o.status = http.StatusConflict
	default:
		o.status = http.StatusAccepted
		e.busy, e.seq = true, e.seq+1
		e.note()
		n := max(loading.Add(1), loadsAtOnce)
		time.AfterFunc(loadTime*time.Duration(n)/loadsAtOnce, func() { e.loaded(o.Model, o.Version) })
	}
	e.mu.Unlock()
	e.onOrder(o)
	w.WriteHeader(o.status)
}

func (e *engine) loaded(model string, version int64) {
	loading.Add(-1)
	e.mu.Lock()
	e.busy, e.versions[model] = false, version
	e.note()
	e.mu.Unlock()
	e.register()
}
