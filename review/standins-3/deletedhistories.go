package main

import (
	"fmt"
	"sync"
	"time"

	"mulberrypier.example/platform/wire"
)

// deletedHistories has servers leave without a word while the store deletes the old records of the servers' topic four times a second.
func deletedHistories(d *deployment, trouble bool) (int, error) {
	const drain, stays, length, hostCount = 2 * time.Second, 12 * time.Second, 24 * time.Second, 4
	desk, engines, err := d.startSheet()
	if err != nil {
		return 0, err
	}
	hosts, err := d.startHosts(hostCount, 324)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(length)
	if trouble {
		d.record.line("the store deletes the records of the servers' topic four times a second from now on; the newest of each key stays")
		go func() {
			for ; time.Now().Before(stop); time.Sleep(250 * time.Millisecond) {
				d.store.forget(wire.Sources.Servers)
			}
		}()
	}
	var wg sync.WaitGroup
	var answers counter
	wg.Go(func() { d.ask(hosts, stop, &wg, &answers) })
	wg.Go(func() { d.train(hosts, stop, &wg, &answers) })
	time.Sleep(5600 * time.Millisecond)
	var mu sync.Mutex
	late := 0
	for _, s := range []*server{desk[0], engines[0]} {
		s.leaveUnannounced()
		gone := time.Now()
		d.record.line("the store has removed the entry of %s, which goes on serving for %v and says that it leaves", s.id, stays)
		s.setArrived(func(id string) {
			after := time.Since(gone)
			if after > stays {
				return
			}
			d.record.line("%s reaches %s %d ms after its entry was removed", id, s.id, after.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if after > drain {
				late++
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.record.line("answers: %v", answers.n)
	d.record.line("requests that reached a server later than %v after its entry was removed: %d", drain, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// startSheet writes the configuration and starts the servers of the sheet of the first deployment.
func (d *deployment) startSheet() (desk, engines []*server, err error) {
	d.putConfig(1)
	for i := range 6 {
		s, err := d.startServer(fmt.Sprintf("i-d%d", i), "desk", 6, nil, plain(800, 25*time.Millisecond))
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

// ask sends plain requests, 6 a second in total.
func (d *deployment) ask(hosts []*host, stop time.Time, wg *sync.WaitGroup, answers *counter) {
	for i := 0; time.Now().Before(stop.Add(-2 * time.Second)); i++ {
		id := fmt.Sprintf("ca%010x", i)
		wg.Go(func() {
			s, _, _ := d.call(hosts[i%len(hosts)].callers, "POST", "/ask/"+id, map[string]string{wire.Dialect.RequestID: id, wire.Dialect.Deadline: "2000"}, []byte("ask"), 2*time.Second)
			answers.add(fmt.Sprint("plain request ", s))
		})
		time.Sleep(time.Second / 6)
	}
}

// train submits a batch job of 11 groups of 4 items each 4 s for each of three models, reads its results and ends it.
func (d *deployment) train(hosts []*host, stop time.Time, wg *sync.WaitGroup, answers *counter) {
	for step := 0; time.Now().Before(stop.Add(-8 * time.Second)); step++ {
		for m := range 3 {
			id := fmt.Sprintf("b%d%010x", m, step)
			h := hosts[(step+m)%len(hosts)]
			wg.Go(func() {
				s, _, _ := d.call(h.callers, "POST", "/gen/"+id, map[string]string{wire.Dialect.RequestID: id, "Content-Type": "application/json"}, job(id, step, 11, 4, fmt.Sprint("m", m)), 5*time.Second)
				answers.add(fmt.Sprint("batch job ", s))
				if s == 202 && d.awaitAll(h.callers, id, 7*time.Second) == nil {
					answers.add("batch job complete")
				}
				s, _, _ = d.call(h.callers, "DELETE", d.names.Jobs+id, nil, nil, 5*time.Second)
				answers.add(fmt.Sprint("end of a batch job ", s))
			})
		}
		time.Sleep(4 * time.Second)
	}
}
