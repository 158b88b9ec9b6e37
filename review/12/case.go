package main

import (
	"sync"
	"time"
)

func init() { cases["late-entry"] = lateEntry }

const (
	// drainTime is drain_ms of the sheet, exitAfter how long a server that leaves goes on serving.
	drainTime = 2 * time.Second
	exitAfter = 3500 * time.Millisecond
)

// lateEntry has servers drain just after they were cut from the store, while a write of their entries from before is on its way.
func lateEntry(d *deployment, trouble bool) (int, error) {
	const (
		cut = 3100 * time.Millisecond
		// late is when what was sent as the cut began is sent again after it: 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first time.
		late = 6200 * time.Millisecond
	)
	desk, engines, err := d.startSheet()
	if err != nil {
		return 0, err
	}
	hosts, err := d.startHosts(12, 324)
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	leaving := []*server{desk[0], engines[0]}
	for _, s := range leaving {
		if !trouble {
			s.written <- struct{}{}
			s.write()
			continue
		}
		d.record.line("%s is cut from the store for %v as it writes its entry", s.id, cut)
		s.cutFromStore(cut, late)
	}
	w := d.startWork(hosts, time.Now().Add(21*time.Second), 2500*time.Millisecond)
	time.Sleep(3*beatInterval - 100*time.Millisecond)
	for _, s := range leaving {
		s.drain()
	}
	time.Sleep(120 * time.Millisecond)
	l := &leavers{d: d}
	for _, s := range leaving {
		l.add(s, "the store has acknowledged that it is draining")
	}
	return w.verdict(l)
}

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
