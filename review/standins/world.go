package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"text/template"
	"time"
)

// hostName is the host name of all routes.
const hostName = "desk.example"

// models are the models of the engines, each with a trainer of its own.
var models = []string{"daka51", "rada74", "ravo48"}

//go:embed names.json
var namesJSON []byte

//go:embed config.json.tmpl
var configText string

//go:embed step.json.tmpl
var stepText string

// names holds the platform's names of paths, header fields and topics.
var names = readNames()

func readNames() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err)
	}
	return m
}

// render fills a template in.
func render(text string, v any) []byte {
	var b bytes.Buffer
	if err := template.Must(template.New("").Parse(text)).Execute(&b, v); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// world is what surrounds the processes of one case, and the record of what was seen.
type world struct {
	trouble bool
	began   time.Time
	dir     string
	store   *store
	hosts   []*host
	servers []*server

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, began: time.Now(), dir: dir, record: f}
	w.store, err = newStore()
	w.note("trouble: %v", trouble)
	return w, err
}

// note adds a line to the record.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// configuration holds what the cases vary of the operators' configuration.
type configuration struct {
	Version int
	// Slots is the number of places of an engine that states none.
	Slots         int
	OnceTimeoutMS int
	// Split splits the trainers' route between the old engines and new ones.
	Split bool
	// Parted sends a part of the trainers' paths to the old engines and the others to new ones.
	Parted bool
	Host   string
	Models []string
}

// configure writes a configuration as the operator does.
func (w *world) configure(c configuration) {
	c.Host, c.Models = hostName, models
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.OnceTimeoutMS == 0 {
		c.OnceTimeoutMS = 3000
	}
	w.store.put(names["operators"], "config", render(configText, c))
	w.note("operator: configuration %d is acknowledged", c.Version)
}

// nameVersion names a version of a model's weights as its trainer does.
func (w *world) nameVersion(model string, v int64) {
	b, _ := json.Marshal(map[string]any{"model": model, "version": v})
	w.store.put(names["operators"], "version/"+model, b)
	w.note("trainer: version %d of %s is named", v, model)
}

// close ends all processes and servers.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		s.close()
	}
	w.store.close()
	_ = os.RemoveAll(w.dir)
}

// setWork sets how long a plain request takes at the servers of a service.
func (w *world) setWork(service string, d time.Duration) {
	for _, s := range w.servers {
		if s.service == service {
			s.mu.Lock()
			s.work = d
			s.mu.Unlock()
		}
	}
}

// ran returns how often a request began to run at any server.
func (w *world) ran(id string) int {
	n := 0
	for _, s := range w.servers {
		n += s.ran(id)
	}
	return n
}

// setSlow makes all work of a service's servers take x times as long.
func (w *world) setSlow(service string, x float64) {
	for _, s := range w.servers {
		if s.service == service {
			s.setSlow(x)
		}
	}
}

// statuses returns the statuses with which all servers have answered a request.
func (w *world) statuses(id string) []int {
	var l []int
	for _, s := range w.servers {
		l = append(l, s.answered(id)...)
	}
	return l
}

// taken returns the number of requests that run at engines.
func (w *world) taken() int {
	n := 0
	for _, s := range w.servers {
		if s.engine && !s.isClosed() {
			s.mu.Lock()
			n += s.running
			s.mu.Unlock()
		}
	}
	return n
}

// firstRun returns when a request first arrived at any server.
func (w *world) firstRun(id string) (at time.Time, ok bool) {
	for _, s := range w.servers {
		if t, found := s.arrivals()[id]; found && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}
