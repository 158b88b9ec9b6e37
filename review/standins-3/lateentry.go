package main

import "time"

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
