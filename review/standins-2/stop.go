package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberrypier.example/platform/wire"
)

// stopCase stops a host with SIGTERM while a client goes on to use a connection that it has kept.
type stopCase struct {
	r *record
	// began is the time of the SIGTERM, zero without the disruption.
	began time.Time

	mu sync.Mutex
	// broken holds the requests that ended without a complete answer.
	broken int
}

// The figures of the sheet and of the page on ingress: grace_s, the client's deadline, the time between two pieces of a
// stream, and the numbers of pieces of a usual and of a long one: the mean of its kind of request and 8 in 100 are five
// times as long.
const (
	clientDeadline = 12 * time.Second
	pieceTime      = 100 * time.Millisecond
	usualPieces    = 10
	longPieces     = 50
	// sentAfter is when the long requests are sent, after the SIGTERM.
	sentAfter = 4 * time.Second
	clients   = 4
)

func runStop(dir, folder string, trouble bool) (bool, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	c := &stopCase{r: r}
	s := newStore(24)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go s.serve(l)
	config, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return false, err
	}
	s.put(wire.Sources.Operators, "config", config)
	zones := []string{"bilbao", "oviedo", "santander"}
	models := []string{"m0", "m1", "m2"}
	for i := range 3 {
		e, err := newEngine(fmt.Sprintf("i-%02d", i), "pluma", zones[i], models, s)
		if err != nil {
			return false, err
		}
		e.onOrder = func(*order) {}
		e.run = func(w http.ResponseWriter, q *http.Request, body []byte) { c.stream(e.id, w, q, body) }
	}
	var hosts []*host
	for _, z := range zones {
		h, err := newHost(dir, "front-"+z, z, l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.end()
		hosts = append(hosts, h)
	}
	time.Sleep(8 * time.Second)
	h := hosts[0]
	var w sync.WaitGroup
	errs := make([]error, clients)
	for i := range clients {
		w.Go(func() { errs[i] = c.client(i, h) })
	}
	// The clients' usual streams take 3 s at most.
	time.Sleep(3500 * time.Millisecond)
	step, err := os.ReadFile(filepath.Join(folder, "step.json"))
	if err != nil {
		return false, err
	}
	// With as many models as hosts, each host runs the step of one.
	for _, m := range models {
		if err := c.submit(h, "step-"+m, strings.ReplaceAll(string(step), "MODEL", m)); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	c.mu.Lock()
	c.began = time.Now()
	c.mu.Unlock()
	if trouble {
		r.add("platform: SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		time.AfterFunc(8*time.Second, func() { h.signal(syscall.SIGKILL) })
	}
	w.Wait()
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	r.add("%d requests ended without a complete answer after they were passed on; rule held: %v", c.broken, c.broken == 0)
	return c.broken == 0, nil
}

// stream runs a request: it sends as many pieces as the body asks for, until the time that the request gives it is up.
func (c *stopCase) stream(id string, w http.ResponseWriter, q *http.Request, body []byte) {
	var m struct {
		Pieces int `json:"pieces"`
	}
	began := time.Now()
	// An item states no deadline.
	ms, err := strconv.Atoi(q.Header.Get(wire.Dialect.Deadline))
	if err != nil {
		ms = 60_000
	}
	request := q.Header.Get(wire.Dialect.RequestID)
	if json.Unmarshal(body, &m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.r.add("server %s: runs %s, which has %d ms and wants %d pieces, after %q", id, request, ms, m.Pieces, q.Header.Get(wire.Dialect.ResumeAfter))
	w.Header().Set(wire.Dialect.RequestID, request)
	w.Header().Set(wire.Dialect.ServerStamp, "stamp-"+request)
	w.Header().Set(wire.Dialect.WeightVersion, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get(wire.Dialect.ResumeAfter))
	for i := last + 1; i <= m.Pieces; i++ {
		time.Sleep(pieceTime)
		if q.Context().Err() != nil {
			c.r.add("server %s: %s was closed before piece %d", id, request, i)
			return
		}
		if time.Since(began) > time.Duration(ms)*time.Millisecond {
			c.r.add("server %s: the time of %s is up before piece %d", id, request, i)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, request)
		_ = http.NewResponseController(w).Flush()
	}
	c.r.add("server %s: %s is complete", id, request)
}

// submit hands in the step of a trainer.
func (c *stopCase) submit(h *host, id, step string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/read/step", strings.NewReader(step))
	if err != nil {
		return err
	}
	q.Host = "desk.example"
	q.Header.Set(wire.Dialect.RequestID, id)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	_ = a.Body.Close()
	c.r.add("trainer: %s got %d", id, a.StatusCode)
	if a.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the step is answered %d", a.StatusCode)
	}
	return nil
}

// client sends usual streams on one connection, and later a long one on the same connection, which it has kept.
func (c *stopCase) client(n int, h *host) error {
	conn, err := net.Dial("tcp", h.callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := range 3 {
		if s := c.call(conn, r, fmt.Sprintf("r-%d-%d", n, i), usualPieces); s != "complete" {
			return fmt.Errorf("a request before the disruption: %s", s)
		}
	}
	for c.start().IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(c.start().Add(sentAfter)))
	if c.call(conn, r, fmt.Sprintf("r-%d-long", n), longPieces) == "cut" {
		c.mu.Lock()
		c.broken++
		c.mu.Unlock()
	}
	return nil
}

func (c *stopCase) start() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.began
}

// call sends a request and reads its answer. It returns complete, refused, if no server gets it, or cut.
func (c *stopCase) call(conn net.Conn, r *bufio.Reader, id string, pieces int) string {
	body := fmt.Sprintf(`{"pieces":%d}`, pieces)
	began := time.Now()
	_ = conn.SetDeadline(began.Add(clientDeadline))
	c.r.add("client: sends %s for %d pieces, waits %v", id, pieces, clientDeadline)
	_, err := fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		wire.Dialect.RequestID, id, wire.Dialect.Deadline, clientDeadline.Milliseconds(), len(body), body)
	if err != nil {
		c.r.add("client: the connection is closed, %s was not sent: %v", id, err)
		return "refused"
	}
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		c.r.add("client: no answer to %s: %v", id, err)
		return "unread"
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	got := strings.Count(string(b), "data: ")
	c.r.add("client: %s got %d, %d of %d pieces, after %v; end of the answer: %v", id, a.StatusCode, got, pieces,
		time.Since(began).Round(time.Millisecond), err)
	switch {
	case a.StatusCode != http.StatusOK && err == nil:
		return "refused"
	case err != nil:
		return "cut"
	}
	return "complete"
}
