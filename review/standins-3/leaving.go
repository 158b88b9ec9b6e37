package main

import (
	"fmt"
	"sync"
	"time"

	"mulberrypier.example/platform/wire"
)

const (
	// drainTime is drain_ms of the sheet, exitAfter how long a server that leaves goes on serving.
	drainTime = 2 * time.Second
	exitAfter = 3500 * time.Millisecond
)

// leavers are servers that leave.
type leavers struct {
	d    *deployment
	mu   sync.Mutex
	late int
	// ranLate holds the ids of the requests that reached a server too late.
	ranLate map[string]bool
}

// add records the requests that reach a server of which the store has acknowledged just now that it leaves, and ends it.
func (l *leavers) add(s *server, what string) {
	at := time.Now()
	l.d.record.line("%s leaves: %s; it ends %v later", s.id, what, exitAfter)
	s.setArrived(func(id string) {
		after := time.Since(at)
		l.d.record.line("%s reaches %s %d ms after the acknowledgement", id, s.id, after.Milliseconds())
		l.mu.Lock()
		defer l.mu.Unlock()
		if after > drainTime {
			l.late++
			if l.ranLate == nil {
				l.ranLate = make(map[string]bool)
			}
			l.ranLate[id] = true
		}
	})
	time.AfterFunc(exitAfter, func() {
		l.d.record.line("%s ends", s.id)
		s.exit()
	})
}

// startSheet writes the configuration and starts the servers of the sheet of the first deployment.
func (d *deployment) startSheet() (desk, engines []*server, err error) {
	if err := d.putConfig(); err != nil {
		return nil, nil, err
	}
	for i := range 6 {
		s, err := d.startServer(fmt.Sprintf("i-d%d", i), "desk", 6, nil, byPath(plain(800, 1200*time.Millisecond), plain(800, 25*time.Millisecond)))
		if err != nil {
			return nil, nil, err
		}
		desk = append(desk, s)
	}
	for i := range 9 {
		s, err := d.startServer(fmt.Sprintf("i-e%d", i), "engines", 8, []string{"m0", "m1", "m2"}, stream(25, 300, 8*time.Millisecond))
		if err != nil {
			return nil, nil, err
		}
		engines = append(engines, s)
	}
	return desk, engines, nil
}

// work is what clients and trainers send.
type work struct {
	d       *deployment
	wg      sync.WaitGroup
	answers counter
	mu      sync.Mutex
	// failed holds the ids of the requests that may run once and got no success.
	failed map[string]int
}

// startWork sends plain requests, 4 a second, that may run once only, and from a time on a batch job of 11 groups
// of 4 items each 4 s for each of three models.
func (d *deployment) startWork(hosts []*host, stop time.Time, jobsAfter time.Duration) *work {
	w := &work{d: d, failed: make(map[string]int)}
	w.wg.Go(func() {
		for i := 0; time.Now().Before(stop.Add(-4 * time.Second)); i++ {
			w.wg.Go(func() { w.ask(hosts[i%len(hosts)], fmt.Sprintf("0e%010x", i), 4*time.Second) })
			time.Sleep(time.Second / 4)
		}
	})
	w.wg.Go(func() {
		time.Sleep(jobsAfter)
		for step := 0; time.Now().Before(stop.Add(-7 * time.Second)); step++ {
			for m := range 3 {
				w.wg.Go(func() {
					w.train(hosts[(step+m)%len(hosts)], fmt.Sprintf("b%d%010x", m, step), step, fmt.Sprint("m", m))
				})
			}
			time.Sleep(4 * time.Second)
		}
	})
	return w
}

// ask makes a plain request that may run once only.
func (w *work) ask(h *host, id string, deadline time.Duration) {
	header := map[string]string{wire.Dialect.RequestID: id, wire.Dialect.Deadline: fmt.Sprint(deadline.Milliseconds())}
	s, _, _ := w.d.call(h.callers, "POST", oncePrefix+id, header, []byte("ask"), deadline)
	w.answers.add(fmt.Sprint("plain request ", s))
	if s == 200 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed[id] = s
}

// train submits a batch job, reads its results and ends it.
func (w *work) train(h *host, id string, step int, model string) {
	d := w.d
	s, _, _ := d.call(h.callers, "POST", "/gen/"+id, map[string]string{wire.Dialect.RequestID: id, "Content-Type": "application/json"}, d.names.job(id, step, 11, 4, model), 5*time.Second)
	w.answers.add(fmt.Sprint("batch job ", s))
	if s == 202 && d.awaitAll(h.callers, id, 6*time.Second) == nil {
		w.answers.add("batch job complete")
	}
	s, _, _ = d.call(h.callers, "DELETE", d.names.Jobs+id, nil, nil, 5*time.Second)
	w.answers.add(fmt.Sprint("end of a batch job ", s))
}

// verdict waits for the end of the work and returns the exit code of a case with servers that leave.
func (w *work) verdict(l *leavers) (int, error) {
	w.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	w.d.record.line("answers: %v", w.answers.n)
	for id, s := range w.failed {
		if l.ranLate[id] {
			w.d.record.line("lost: %s, which may run once only, was sent to a server that had left, and got %d as that one ended", id, s)
		}
	}
	w.d.record.line("requests that reached a server later than %v after the acknowledgement that it leaves: %d", drainTime, l.late)
	if l.late > 0 {
		return broken, nil
	}
	return held, nil
}
