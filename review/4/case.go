package main

import (
	"fmt"
	"time"
)

func init() {
	cases["dead"] = runDead
}

// runDead has the servers of the reward calls turn slow for a few seconds, so that calls reach
// their deadline. Rule MIXED.
func runDead(w *world) error {
	const (
		scorers = 16
		work    = time.Second
		slow    = 4
		slowFor = 8 * time.Second
		count   = 24
		rounds  = 5
	)
	w.configure(configuration{Version: 1})
	for i := range 3 {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("engine-", i), service: "engines", engine: true, slots: 8, pause: 20 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range scorers {
		if _, err := w.newServer(serverConfig{id: fmt.Sprint("scorer-", i), service: "scorers", slots: 6, work: work}); err != nil {
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
	broken := 0
	for n := range rounds {
		k, err := w.deadRound(n, count, slow, slowFor)
		if err != nil {
			return err
		}
		broken += k
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// deadRound has a step run while the scorers are slow for some time, and returns the number of its
// results that must not be dead.
func (w *world) deadRound(n, count int, slow float64, slowFor time.Duration) (int, error) {
	events := make([]int, count)
	for i := range events {
		events[i] = 20
	}
	if w.trouble {
		w.setSlow("scorers", slow)
	}
	began := time.Now()
	s := newStep(fmt.Sprint("s", n), n, 1, events...)
	if err := w.submit(w.hosts[0], s); err != nil {
		return 0, err
	}
	if w.trouble {
		time.AfterFunc(slowFor-time.Since(began), func() { w.setSlow("scorers", 1) })
	}
	var l []result
	for end := time.Now().Add(20 * time.Second); len(l) < count && time.Now().Before(end); {
		p, _ := w.list(w.hosts[len(l)%2], s.ID, len(l))
		for _, r := range p.Results {
			w.note("trainer: result of %s is %s, score %q", r.ID, r.State, r.Score)
		}
		l = append(l, p.Results...)
		time.Sleep(200 * time.Millisecond)
	}
	broken := 0
	for _, r := range l {
		var t item
		for _, x := range s.Items {
			if x.ID == r.ID {
				t = x
			}
		}
		text, score := w.statuses(t.ID), w.statuses(t.ScorerID)
		w.note("%s: %s; its item was answered with %v, its reward call with %v", r.ID, r.State, text, score)
		if r.State == "dead" && countStatus(text, 422)+countStatus(text, 500)+countStatus(score, 500) == 0 {
			broken++
			w.note("MIXED: %s is dead %.1f s after its step was submitted, and no server has answered its item with 422 or 500, nor its reward call with 500", r.ID, time.Since(began).Seconds())
		}
	}
	w.end(w.hosts[1], s.ID)
	if len(l) < count {
		return 0, fmt.Errorf("%d of %d results", len(l), count)
	}
	return broken, nil
}

func countStatus(l []int, status int) int {
	n := 0
	for _, x := range l {
		if x == status {
			n++
		}
	}
	return n
}
