package main

import "time"

// lateEntry has servers drain while a write of their entries from before is on its way: the store gave that one no answer, and carries
// it out later.
func lateEntry(d *deployment, trouble bool) (int, error) {
	const (
		// contact is how long the store counts as disturbed after the calls that got no answer.
		contact = 3 * time.Second
		late    = 4950 * time.Millisecond
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
	by := late
	if !trouble {
		by = 0
	}
	for _, s := range leaving {
		s.writeLate(by)
		d.record.line("%s writes that it is ready; the store gives no answer and carries the write out %v later", s.id, by)
	}
	w := d.startWork(hosts, time.Now().Add(20*time.Second), 1300*time.Millisecond)
	time.Sleep(contact + 100*time.Millisecond)
	l := &leavers{d: d}
	for _, s := range leaving {
		s.drain()
		l.add(s, "the store has acknowledged that it is draining")
	}
	return w.verdict(l)
}
