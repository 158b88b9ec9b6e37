package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the command with which the deploy file starts the program, and settingsTemplate the
// settings that the platform fills in.
const (
	program          = "target/mulberrypier"
	settingsTemplate = "platform/settings.template"
)

// settingsJSON holds the fields of the settings that are the same for all hosts.
//
//go:embed settings.json
var settingsJSON []byte

// nextIP counts the loopback addresses that were tried for hosts.
var nextIP atomic.Int32

// host is one process of the program, with a loopback address of its own.
type host struct {
	w        *world
	name     string
	ip       string
	settings string
	front    string
	ready    string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// port returns a port that is free at an address.
func port(ip string, n int) (int, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, n))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newHost writes the settings of a host. It does not start the process.
func (w *world) newHost() (*host, error) {
	h := &host{w: w, name: fmt.Sprintf("front-z-%d", len(w.hosts)+1)}
	var front, ready int
	for {
		n := int(nextIP.Add(1))
		h.ip = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, n)
		if n > 250 {
			return nil, errors.New("no free address")
		}
		var err [4]error
		front, err[0] = port(h.ip, 8149)
		ready, err[1] = port(h.ip, 8141)
		_, err[2] = port(h.ip, 7380)
		_, err[3] = port(h.ip, 7395)
		if errors.Join(err[:]...) == nil {
			break
		}
	}
	h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, front), fmt.Sprintf("%s:%d", h.ip, ready)
	b, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	fields := map[string]string{
		"{{node}}": h.name, "{{listen.front}}": h.front, "{{listen.ready}}": h.ready, "{{ip}}": h.ip,
		"{{platform.address}}": w.store.address(),
	}
	if err := json.Unmarshal(settingsJSON, &fields); err != nil {
		return nil, err
	}
	text := string(b)
	for k, v := range fields {
		text = strings.ReplaceAll(text, k, v)
	}
	if strings.Contains(text, "{{") {
		return nil, errors.New("a placeholder of the settings is not filled in")
	}
	h.settings = filepath.Join(w.dir, h.name+".settings")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}

// start starts the process and waits until it is ready.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		if log, err = os.OpenFile(filepath.Join(d, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	c := exec.Command(program, "run")
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["boot"] + "=" + h.settings}
	if err := c.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = c, make(chan struct{})
	e := h.exited
	h.w.note("%s: process started", h.name)
	go func() {
		err := c.Wait()
		h.w.note("%s: process ended: %v", h.name, err)
		close(e)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			h.w.note("%s: ready", h.name)
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + h.ready + names["ready"])
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// signal sends the process a signal.
func (h *host) signal(s syscall.Signal) {
	h.w.note("%s: %v is sent", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process if it runs.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		<-h.exited
	}
}
