package main

import (
	"sync"
	"time"
)

// lateEntry has a server drain while a write of its entry from before is on its way: the store gave that one no answer, and carries it
// out later.
func lateEntry(d *deployment, trouble bool) (int, error) {
	const (
		drainTime = 2 * time.Second
		// contact is how long the store counts as disturbed after the call that got no answer.
		contact = 3 * time.Second
		late    = 4900 * time.Millisecond
		length  = 20 * time.Second
	)
	_, engines, err := d.startSheet()
	if err != nil {
		return 0, err
	}
	hosts, err := d.startHosts(4, 324)
	if err != nil {
		return 0, err
	}
	s := engines[0]
	time.Sleep(3 * time.Second)
	l := &lateBeat{by: late, sent: make(chan struct{})}
	if !trouble {
		l.by = 0
	}
	s.lateBeat.Store(l)
	<-l.sent
	d.record.line("%s writes that it is ready; the store gives no answer and carries the write out %v later", s.id, l.by)
	stop := time.Now().Add(length)
	var wg sync.WaitGroup
	var answers counter
	wg.Go(func() { d.ask(hosts, stop, &wg, &answers) })
	wg.Go(func() {
		time.Sleep(1300 * time.Millisecond)
		d.train(hosts, stop, &wg, &answers)
	})
	time.Sleep(contact + 100*time.Millisecond)
	s.drain()
	drained := time.Now()
	d.record.line("the store has acknowledged that %s is draining", s.id)
	var mu sync.Mutex
	n := 0
	s.setArrived(func(id string) {
		after := time.Since(drained)
		d.record.line("%s reaches %s %d ms after the acknowledgement", id, s.id, after.Milliseconds())
		mu.Lock()
		defer mu.Unlock()
		if after > drainTime {
			n++
		}
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.line("answers: %v", answers.n)
	d.record.line("requests that reached %s later than %v after the acknowledgement: %d", s.id, drainTime, n)
	if n > 0 {
		return broken, nil
	}
	return held, nil
}
