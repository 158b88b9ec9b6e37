package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulberrypier.example/platform/wire"
)

// names holds the paths and names of the platform that package wire does not export.
type names struct {
	Append           string `json:"append"`
	Read             string `json:"read"`
	Newest           string `json:"newest"`
	Join             string `json:"join"`
	Leave            string `json:"leave"`
	Commit           string `json:"commit"`
	Owners           string `json:"owners"`
	Jobs             string `json:"jobs"`
	Bodies           string `json:"bodies"`
	Order            string `json:"order"`
	Ready            string `json:"ready"`
	SettingsVariable string `json:"settings_variable"`
	// WaitHeader is the header that says how long a read of results may wait.
	WaitHeader string `json:"wait_header"`
	// OldestVersion and GroupsWanted are fields of a batch job, Cold is one of a server's entry, Running one of its report.
	OldestVersion string `json:"oldest_version"`
	GroupsWanted  string `json:"groups_wanted"`
	Cold          string `json:"cold"`
	Running       string `json:"running"`
	// Settings holds the values of the settings' template that are the same for all hosts.
	Settings map[string]string `json:"settings"`
}

// counter counts by name.
type counter struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counter) add(k string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[k]++
}

func (c *counter) get(k string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[k]
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%7.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, a...)...)
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	namesFile string
	names     names
	dir       string
	store     *store
	record    *record
	runs      counter
	hosts     []*host
}

// host is a process of the project's program.
type host struct {
	d              *deployment
	name           string
	memoryMB       int
	callers, ready string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

const routeHost = "host.example"

// The ports of servers and hosts lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// tried is the number of ports that were tried, from a random one on: none is given out twice.
var (
	tried  atomic.Int32
	origin = rand.Int32N(lastPort - firstPort)
)

// listen listens at a free loopback address.
func listen() (net.Listener, error) {
	var err error
	for range 1000 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+(origin+tried.Add(1))%(lastPort-firstPort))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newDeployment(namesFile, recordFile string) (*deployment, error) {
	b, err := os.ReadFile(namesFile)
	if err != nil {
		return nil, err
	}
	d := &deployment{namesFile: namesFile}
	if err := json.Unmarshal(b, &d.names); err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	d.record = &record{f: f, start: time.Now()}
	if d.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	d.store, err = newStore(d.names, 24)
	return d, err
}

// putConfig writes the configuration.
func (d *deployment) putConfig() error {
	b, err := os.ReadFile(filepath.Join(filepath.Dir(d.namesFile), "config.json"))
	if err != nil {
		return err
	}
	d.store.put(wire.Sources.Operators, "config", json.RawMessage(b))
	return nil
}

// fillIn replaces the placeholders of a text by the values of a host.
func fillIn(t string, values map[string]string) string {
	for k, v := range values {
		t = strings.ReplaceAll(t, "{{"+k+"}}", v)
	}
	return t
}

// startHost starts a process with the command of the deploy file and settings filled in from its template.
func (d *deployment) startHost(name string, memoryMB int) (*host, error) {
	h := &host{d: d, name: name, memoryMB: memoryMB, settings: filepath.Join(d.dir, name+".yaml")}
	var l [4]string
	for i := range l {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		l[i] = a
	}
	h.callers, h.ready = l[0], l[1]
	t, err := os.ReadFile("platform/settings.template")
	if err != nil {
		return nil, err
	}
	_, peers, _ := net.SplitHostPort(l[2])
	_, metrics, _ := net.SplitHostPort(l[3])
	s := fillIn(fillIn(string(t), d.names.Settings), map[string]string{
		"node": name, "zone": "z1", "listen.front": h.callers, "listen.ready": h.ready, "ip": "127.0.0.1",
		"port_range.0": peers, "port_range.1": metrics, "platform.address": d.store.address,
	})
	if err := os.WriteFile(h.settings, []byte(s), 0o600); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, h.start()
}

// startHosts starts some hosts and waits until they are ready.
func (d *deployment) startHosts(n, memoryMB int) ([]*host, error) {
	var l []*host
	for i := range n {
		h, err := d.startHost(fmt.Sprintf("front-%d", i+1), memoryMB)
		if err != nil {
			return nil, err
		}
		l = append(l, h)
	}
	for _, h := range l {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// start starts the process.
func (h *host) start() error {
	run := deployCommand(map[string]string{"limits.memory_mb": strconv.Itoa(h.memoryMB)})
	h.cmd = exec.Command(run[0], run[1:]...)
	h.cmd.Env = append(os.Environ(), h.d.names.SettingsVariable+"="+h.settings)
	f, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd.Stdout, h.cmd.Stderr = f, f
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, e chan struct{}) {
		_ = c.Wait()
		close(e)
	}(h.cmd, h.exited)
	return nil
}

// deployCommand returns the words of the command of the deploy file.
func deployCommand(values map[string]string) []string {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		panic(err)
	}
	for l := range strings.Lines(string(b)) {
		if k, v, ok := strings.Cut(strings.TrimSpace(l), " = "); ok && k == "run" {
			var words []string
			for _, w := range strings.Fields(strings.Trim(v, `"`)) {
				w = fillIn(w, values)
				if i := strings.Index(w, "{{"); i >= 0 {
					w = w[:i]
				}
				words = append(words, w)
			}
			return words
		}
	}
	panic("the deploy file has no command")
}

// awaitReady waits until the process says that it is ready.
func (h *host) awaitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + h.ready + h.d.names.Ready)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// memory returns a figure of the process's memory in KB, such as VmHWM or VmRSS.
func (h *host) memory(k string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == k+":" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// alive reports whether the process has not ended.
func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// end ends all processes.
func (d *deployment) end(keep bool) {
	for _, h := range d.hosts {
		if h.cmd != nil && h.alive() {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if !keep {
		_ = os.RemoveAll(d.dir)
	}
}

// call makes a request on a new connection and returns the status and the body of the answer, status 0 if there is none.
func (d *deployment) call(address, method, path string, header map[string]string, body []byte, most time.Duration) (int, http.Header, []byte) {
	c := http.Client{Timeout: most, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	q, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	q.Host = routeHost
	for k, v := range header {
		q.Header.Set(k, v)
	}
	r, err := c.Do(q)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, r.Header, b
	}
	return r.StatusCode, r.Header, b
}

// requestID returns the header with the id of a request.
func requestID(id string) map[string]string { return map[string]string{wire.Dialect.RequestID: id} }
