package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mulberrypier.example/platform/wire"
)

// job returns the body of a batch job.
func (n *names) job(id string, step, groups, perGroup int, model string) []byte {
	var items []any
	for i := range groups * perGroup {
		item := fmt.Sprintf("%s%04x", id, i)
		items = append(items, map[string]any{
			"id": item, "path": "/gen/" + item, "headers": map[string]string{"X-Model": model, wire.Dialect.TokenCounts: "276,400"},
			"body": base64.StdEncoding.EncodeToString(make([]byte, 600)), "tokens": 676, "group": fmt.Sprintf("%sg%d", id, i/perGroup),
			"scorer": map[string]any{"id": "5c" + item, "host": routeHost, "path": "/score/" + item, "body": base64.StdEncoding.EncodeToString([]byte("score"))},
		})
	}
	b, err := json.Marshal(map[string]any{"step": step, "model": model, n.OldestVersion: 1, n.GroupsWanted: groups * 9 / 10, "items": items})
	if err != nil {
		panic(err)
	}
	return b
}

// listed returns how many results of a job are listed from a position on, and the total; -1 if the read failed.
func (d *deployment) listed(address, id string, after int) (n, total int) {
	s, _, b := d.call(address, "GET", d.names.Jobs+id+"?after="+strconv.Itoa(after), nil, nil, 5*time.Second)
	var m struct {
		Total   int               `json:"total"`
		Results []json.RawMessage `json:"results"`
	}
	if s != 200 || json.Unmarshal(b, &m) != nil {
		return -1, 0
	}
	return len(m.Results), m.Total
}

// awaitAll waits until all results of a job are listed.
func (d *deployment) awaitAll(address, id string, most time.Duration) error {
	at := 0
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n, total := d.listed(address, id, at)
		if n > 0 {
			at += n
		}
		if total > 0 && at == total {
			return nil
		}
	}
	return fmt.Errorf("job %s has %d results only", id, at)
}

// limitMemory ends the process of a host whenever it exceeds the memory of its machine, and starts it again a second later. It
// returns how often that was, -1 if the process could not be started again. A process that ends otherwise counts too.
func (d *deployment) limitMemory(h *host, stop time.Time) int {
	n, most := 0, 0
	for ; time.Now().Before(stop); time.Sleep(20 * time.Millisecond) {
		m := h.memory("VmRSS")
		most = max(most, m)
		if h.alive() && m <= h.memoryMB<<10 {
			continue
		}
		n++
		d.record.line("%s holds %d KB of %d KB: the platform ends it, for the %dth time", h.name, m, h.memoryMB<<10, n)
		if n > 5 {
			return n
		}
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(time.Second)
		if h.start() != nil {
			return -1
		}
	}
	d.record.line("%s held %d KB of %d KB at most", h.name, most, h.memoryMB<<10)
	return n
}

// readSlowly reads the results of a job from the start, slowly if slow is set, for as long as a client waits. It returns how that ended.
func (d *deployment) readSlowly(address, id string, slow bool) string {
	n := net.Dialer{Timeout: time.Second}
	if slow {
		n.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
			})
		}
	}
	c, err := n.Dial("tcp", address)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := fmt.Fprintf(c, "GET %s%s?after=0 HTTP/1.1\r\nHost: %s\r\n%s: 1000\r\nConnection: close\r\n\r\n", d.names.Jobs, id, routeHost, d.names.WaitHeader); err != nil {
		return "not sent"
	}
	total := 0
	b := make([]byte, 4<<10)
	for {
		if slow {
			time.Sleep(100 * time.Millisecond)
		}
		k, err := c.Read(b)
		total += k
		if err != nil {
			if n, ok := err.(net.Error); ok && n.Timeout() {
				return "given up after 2.5 s"
			}
			return "ended"
		}
	}
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
