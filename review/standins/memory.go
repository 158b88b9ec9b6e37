package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runMemory has a few clients send the largest bodies that the configuration allows at the same
// time. The platform kills a process that exceeds its memory. Rule LOST.
func runMemory(w *world) error {
	const (
		memoryMB = 324
		big      = 10
		bigBytes = 30 << 20
		small    = 6
		deadline = 3 * time.Second
		// allowed is the number of requests that a machine may lose.
		allowed = 3
	)
	w.configure(configuration{Version: 1})
	for i := range 2 {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("desk-", i), service: "desk", slots: 6, work: 25 * time.Millisecond}); err != nil {
			return err
		}
	}
	for range 2 {
		h, err := w.newHost()
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	a := w.hosts[0]
	time.Sleep(3500 * time.Millisecond)
	var killed atomic.Bool
	go w.enforceMemory(a, memoryMB, &killed)
	var conns []*keptConn
	for i := range small {
		k, err := w.connect(a)
		if err != nil {
			return err
		}
		if x := k.do(http.MethodPost, "/once/first", fmt.Sprintf("first-%d", i), deadline, []byte("x")); x.status != http.StatusOK {
			return fmt.Errorf("a request before the trouble got %d", x.status)
		}
		conns = append(conns, k)
	}
	w.setWork("desk", time.Second)
	var lost atomic.Int64
	var g sync.WaitGroup
	for i, k := range conns {
		g.Go(func() {
			id := fmt.Sprintf("order-%d", i)
			if x := k.do(http.MethodPost, "/once/order", id, deadline, []byte("x")); x.status == 0 && w.ran(id) > 0 {
				lost.Add(1)
				w.note("LOST: %s was passed on to a server, and its connection ended without an answer", id)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	body := make([]byte, bigBytes)
	var n sync.WaitGroup
	for i := range big {
		k, err := w.connect(a)
		if err != nil {
			break
		}
		send := func() {
			x := k.do(http.MethodPost, "/safe/scan", fmt.Sprintf("scan-%d", i), deadline, body)
			_ = k.c.Close()
			w.note("client: scan-%d got %d", i, x.status)
		}
		if w.trouble {
			n.Go(send)
			continue
		}
		send()
	}
	n.Wait()
	g.Wait()
	w.note("%d requests lost; the platform killed the process: %v", lost.Load(), killed.Load())
	if lost.Load() > allowed && killed.Load() {
		return errBroken
	}
	return nil
}

// enforceMemory kills the process of a host once it holds more memory than it may, as the
// platform does.
func (w *world) enforceMemory(h *host, mb int, killed *atomic.Bool) {
	for most := 0; ; time.Sleep(5 * time.Millisecond) {
		select {
		case <-h.exited:
			return
		default:
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
		f := strings.Fields(string(b))
		if err != nil || len(f) < 2 {
			continue
		}
		pages, _ := strconv.Atoi(f[1])
		n := pages * os.Getpagesize() >> 20
		if n > most+32 {
			most = n
			w.note("%s: holds %d MB", h.name, n)
		}
		if n > mb {
			killed.Store(true)
			w.note("platform: %s holds %d MB, more than the %d MB of its machine", h.name, n, mb)
			h.signal(syscall.SIGKILL)
			return
		}
	}
}
