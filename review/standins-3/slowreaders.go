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

// slowReaders has clients read long lists of results slowly, on two machines. The platform ends a process that exceeds the machine's
// memory and starts it again.
func slowReaders(d *deployment, trouble bool) (int, error) {
	const memoryMB, readers, groups, perGroup, events = 144, 200, 7, 16, 21
	if err := d.putConfig(); err != nil {
		return 0, err
	}
	for i := range 6 {
		if _, err := d.startServer(fmt.Sprintf("i-e%d", i), "engines", 8, []string{"m0", "m1", "m2"}, stream(events, 400, 3*time.Millisecond)); err != nil {
			return 0, err
		}
	}
	for i := range 2 {
		if _, err := d.startServer(fmt.Sprintf("i-d%d", i), "desk", 20, nil, plain(800, 5*time.Millisecond)); err != nil {
			return 0, err
		}
	}
	hosts, err := d.startHosts(2, memoryMB)
	if err != nil {
		return 0, err
	}
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("%012x", 0xa0b000+i)
		s, _, _ := d.call(hosts[i%2].callers, "POST", "/gen/"+id, map[string]string{wire.Dialect.RequestID: id, "Content-Type": "application/json"}, d.names.job(id, i, groups, perGroup, "m0"), 5*time.Second)
		d.record.line("batch job %s answered %d", id, s)
		if s != 202 {
			return 0, fmt.Errorf("job %s was not accepted", id)
		}
		if err := d.awaitAll(hosts[i%2].callers, id, 30*time.Second); err != nil {
			return 0, err
		}
		ids = append(ids, id)
	}
	for _, h := range hosts {
		d.record.line("all results are listed; memory of %s: %d KB of %d KB", h.name, h.memory("VmRSS"), memoryMB<<10)
	}
	stop := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	var read counter
	ends := make([]int, len(hosts))
	for k, h := range hosts {
		for i := range readers {
			wg.Go(func() {
				for n := 0; time.Now().Before(stop); n++ {
					read.add(d.readSlowly(h.callers, ids[(i+n)%len(ids)], trouble))
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		wg.Go(func() { ends[k] = d.limitMemory(h, stop) })
	}
	wg.Wait()
	d.record.line("reads: %v", read.n)
	if ends[0] < 0 || ends[1] < 0 {
		return 0, fmt.Errorf("a process could not be started again")
	}
	d.record.line("ends by itself: %s %d, %s %d", hosts[0].name, ends[0], hosts[1].name, ends[1])
	if ends[0] >= 3 && ends[1] >= 3 {
		return broken, nil
	}
	return held, nil
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
