package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["split"] = runSplit
	cases["parted"] = runParted
}

// runSplit has the servers of one of the two services lost for good between which a trainer's route
// is split. Rule LOST.
func runSplit(w *world) error {
	return w.loseService(configuration{Version: 1, Split: true}, 0, func(int) string { return "/roll/item" })
}

// runParted is runSplit with routes that send the first items of a step to the service that is
// lost and all others to the other one.
func runParted(w *world) error {
	const old = 10
	return w.loseService(configuration{Version: 1, Parted: true}, old, func(i int) string {
		if i < old {
			return "/roll/old/item"
		}
		return "/roll/new/item"
	})
}

// loseService runs a step while the only server of one of two services is lost for good. The
// items from the one at first on may run at the other service.
func (w *world) loseService(c configuration, first int, path func(i int) string) error {
	const (
		items    = 20
		deadline = 12 * time.Second
		// unserved is the time at no server, in steady state, from which an item counts.
		unserved = 5 * time.Second
		// gone is the time until the registrations of lost servers are removed: three heartbeats.
		gone = 3 * heartbeat
	)
	w.configure(c)
	old, err := w.newServer(serverConfig{id: "engine-old", service: "engines", engine: true, slots: 8, pause: 50 * time.Millisecond})
	if err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("engine-new-", i), service: "engines-new", engine: true, slots: 8, pause: 50 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("scorer-", i), service: "scorers", slots: 6, work: 25 * time.Millisecond}); err != nil {
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
	time.Sleep(3500 * time.Millisecond)
	events := make([]int, items)
	for i := range events {
		events[i] = 20
	}
	s := newStep("s0", 0, 1, events...)
	for i := range s.Items {
		s.Items[i].Path = path(i)
	}
	if err := w.submit(w.hosts[0], s); err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	lost := time.Now()
	if w.trouble {
		w.note("%s: crashes and is lost for good", old.id)
		old.close()
		time.AfterFunc(gone, func() {
			w.store.put(names["servers"], old.id, nil)
			w.note("store: the registration of %s is removed", old.id)
		})
	}
	var l []result
	for len(l) < items && time.Since(began) < deadline {
		p, _ := w.list(w.hosts[len(l)%2], s.ID, len(l))
		for _, r := range p.Results {
			w.note("trainer: result of %s is %s", r.ID, r.State)
		}
		l = append(l, p.Results...)
		time.Sleep(200 * time.Millisecond)
	}
	ended := time.Now()
	w.note("trainer: %d of %d results after %.1f s", len(l), items, ended.Sub(began).Seconds())
	w.end(w.hosts[1], s.ID)
	if len(l) == items {
		return nil
	}
	begun, broken := 0, 0
	for i, t := range s.Items {
		n := w.ran(t.ID)
		begun += min(n, 1)
		if i >= first && !listed(l, t.ID) && w.idleAt(t.ID) && ended.Sub(lost.Add(gone)) > unserved {
			broken++
			w.note("LOST: %s is not done and was at no server for the last %.1f s, %d runs before", t.ID, ended.Sub(lost.Add(gone)).Seconds(), n)
		}
	}
	for _, x := range w.servers {
		if strings.HasPrefix(x.id, "engine-new") {
			w.note("%s: %d of %d places were ever taken", x.id, x.total(), x.slots)
		}
	}
	if begun > 0 && broken > 0 {
		return errBroken
	}
	return fmt.Errorf("%d of %d results, %d items begun", len(l), items, begun)
}

func listed(l []result, id string) bool {
	for _, r := range l {
		if r.ID == id {
			return true
		}
	}
	return false
}

// idleAt reports whether an item has been at none of the new engines.
func (w *world) idleAt(id string) bool {
	for _, s := range w.servers {
		if s.service == "engines-new" && s.ran(id) > 0 {
			return false
		}
	}
	return true
}
