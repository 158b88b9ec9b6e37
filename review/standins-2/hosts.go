package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesJSON []byte

// platformNames are names of the platform that stand in no program outside of platform/.
var platformNames = readNames()

type names struct {
	// Boot is the variable that holds the path of a host's settings.
	Boot string `json:"boot"`
	// Registration holds the fields of a server's registration, but for its counter.
	Registration map[string]any `json:"registration"`
}

func readNames() (n names) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// host is an entry host, a process of target/mulberrypier started with the command of the deploy file.
type host struct {
	name, zone, settings, log string
	callers, health           string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// newHost writes the settings of a host as platform/settings.template has them.
func newHost(dir, name, zone, store string) (*host, error) {
	h := &host{
		name: name, zone: zone, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
		callers: freeAddress(), health: freeAddress(),
	}
	text := fmt.Sprintf(`name = %q
failure-domain = %q
processor-share = 0.8

[listen]
callers = %q
health = %q
peers = %q
metrics = %q

[log]
address = %q
partitions = 24
record-bytes = 262144
call-bytes = 2097152
retention = "300s"
member-ttl = "1000ms"

[timing]
grace = "8s"
order-lease = "3000ms"

[policy]
loads-at-once = 0.2
load-share = 0.5
`, name, zone, h.callers, h.health, freeAddress(), freeAddress(), store)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) start() error {
	f, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/mulberrypier", "run", "--memory-mb=324", "--provider=", "--provider-duties=",
		"--provider-calls-per-second=", "--usage-window-seconds=", "--usage-due-seconds=")
	h.cmd.Env = []string{platformNames.Boot + "=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.cmd.Stdout, h.cmd.Stderr = f, f
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	go func() {
		_ = h.cmd.Wait()
		_ = f.Close()
		close(exited)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// end kills the process and waits for its end.
func (h *host) end() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}
