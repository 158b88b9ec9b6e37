package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["drain"] = runDrain
}

// runDrain stops a host with SIGTERM while it drives steps that last beyond the grace period,
// and has clients use connections that they keep to it. Rule LOST.
func runDrain(w *world) error {
	const (
		clients  = 14
		deadline = 3 * time.Second
		// excused is the time after the SIGTERM up to which the rule excuses a request at which
		// its server still works at the end of the grace period.
		excused = 3 * time.Second
		work    = 1200 * time.Millisecond
	)
	w.configure(configuration{Version: 1})
	for i := range 2 {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("engine-", i), service: "engines", engine: true, slots: 8, pause: 100 * time.Millisecond}); err != nil {
			return err
		}
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("scorer-", i), service: "scorers", slots: 6, work: 25 * time.Millisecond}); err != nil {
			return err
		}
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("desk-", i), service: "desk", slots: 12, work: work}); err != nil {
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
	a, b := w.hosts[0], w.hosts[1]
	time.Sleep(3500 * time.Millisecond)
	// Each host drives the steps of a model.
	for i, m := range models {
		s := newStep(fmt.Sprint("s", i), 0, 1, 120, 120, 120, 120)
		s.Model = m
		if err := w.submit(w.hosts[i%2], s); err != nil {
			return err
		}
	}
	var conns []*keptConn
	for i := range clients {
		k, err := w.connect(a)
		if err != nil {
			return err
		}
		if x := k.do(http.MethodPost, "/once/first", fmt.Sprintf("first-%d", i), deadline, []byte("x")); i < 2 && x.status != http.StatusOK {
			return fmt.Errorf("a request before the trouble got %d", x.status)
		}
		conns = append(conns, k)
		if i == 1 {
			w.setWork("desk", time.Millisecond)
		}
	}
	w.setWork("desk", work)
	stopped := time.Now()
	if w.trouble {
		a.signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var broken []string
	var g sync.WaitGroup
	for i, k := range conns {
		g.Go(func() {
			at := excused + 100*time.Millisecond + time.Duration(i)*300*time.Millisecond
			time.Sleep(time.Until(stopped.Add(at)))
			id := fmt.Sprintf("late-%d", i)
			x := k.do(http.MethodPost, "/once/order", id, deadline, []byte("x"))
			if x.status == 0 && w.ran(id) > 0 {
				mu.Lock()
				broken = append(broken, id)
				mu.Unlock()
				w.note("LOST: %s was sent %.1f s after the SIGTERM, passed on to a server, and its connection ended without an answer", id, at.Seconds())
			}
		})
	}
	g.Wait()
	for i := range models {
		p, status := w.list(b, fmt.Sprint("s", i), 0)
		w.note("trainer: step s%d has %d of %d results (%d)", i, len(p.Results), p.Total, status)
	}
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}
