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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrypier.example/platform/wire"
)

// The figures of the case: the servers, how many of them crash at once (a share of 0.2) and for how long, and how long a
// client waits for the next piece of a stream: two seconds, which is also four times the route's objective.
const (
	crowdServers = 10
	crashes      = 2
	crashTime    = 4500 * time.Millisecond
	patience     = 2 * time.Second
)

// The load: clients that sample one prompt, with answers of the same length, and others of which each asks for something
// else. All of them fit into the slots of the servers that are left.
const (
	samples      = 61
	samplePieces = 80
	others       = 20
	otherPieces  = 4
	otherGap     = 200 * time.Millisecond
)

// crowdCase has two servers crash under streams that many clients have asked for with the same words.
type crowdCase struct {
	r     *record
	hosts []*host
	mu    sync.Mutex
	// running counts the streams that each server runs, by its id.
	running map[string]int
	// broken counts the streams that broke off and were taken up, wentOn those of them that went on.
	broken, wentOn int
	// begun counts the others' streams that began.
	begun int
}

func runCrowd(dir, folder string, trouble bool) (bool, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	c := &crowdCase{r: r, running: map[string]int{}}
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
	start := func(n int) (*engine, error) {
		e, err := newEngine(fmt.Sprintf("i-%02d", n), "pluma", zones[n%3], []string{"m0"}, s)
		if err != nil {
			return nil, err
		}
		e.onOrder = func(*order) {}
		e.run = func(w http.ResponseWriter, q *http.Request, body []byte) { c.stream(e.id, w, q, body) }
		return e, nil
	}
	var engines []*engine
	for i := range crowdServers {
		e, err := start(i)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for _, z := range zones {
		h, err := newHost(dir, "front-"+z, z, l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.end()
		c.hosts = append(c.hosts, h)
	}
	time.Sleep(6 * time.Second)
	var w sync.WaitGroup
	for i := range samples {
		w.Go(func() { c.sample(i) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.mu.Lock()
		slices.SortStableFunc(engines, func(a, b *engine) int { return c.running[b.id] - c.running[a.id] })
		c.mu.Unlock()
		for i, e := range engines[:crashes] {
			r.add("server %s crashes", e.id)
			e.crash()
			time.AfterFunc(crashTime, func() {
				if _, err := start(crowdServers + i); err != nil {
					r.add("server does not start again: %v", err)
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i := range others {
		w.Go(func() {
			time.Sleep(time.Duration(i) * otherGap)
			body := fmt.Sprintf(`{"pieces":%d,"prompt":"%d"}`, otherPieces, i)
			if n, _ := c.call(i, fmt.Sprintf("o-%d", i), "", 0, body, time.Now().Add(clientDeadline)); n > 0 {
				c.mu.Lock()
				c.begun++
				c.mu.Unlock()
			}
		})
	}
	w.Wait()
	return c.judge(trouble)
}

// judge applies the rule: of 12 or more streams that are taken up, the share that goes on must not be under half of the
// share of new streams that begin.
func (c *crowdCase) judge(trouble bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.broken < 12 || 2*c.wentOn*others >= c.begun*c.broken
	c.r.add("%d streams were taken up, %d went on; of %d new streams %d began; rule held: %v", c.broken, c.wentOn, others, c.begun, held)
	if trouble && c.broken < 12 {
		return held, errors.New("too few streams broke off")
	}
	return held, nil
}

// sample is a client that asks for the same as the others, and takes its stream up at another host if that breaks off: the
// one retry that the sheet gives it.
func (c *crowdCase) sample(n int) {
	deadline := time.Now().Add(clientDeadline)
	id, body := fmt.Sprintf("s-%d", n), fmt.Sprintf(`{"pieces":%d}`, samplePieces)
	got, err := c.call(n, id, "", 0, body, deadline)
	if err == nil || got == 0 {
		return
	}
	more, _ := c.call(n+1, id+"-again", id, got, body, deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
	if more > 0 {
		c.wentOn++
	}
}

// call makes one attempt, and returns the number of whole pieces and why the stream did not end properly. It gives up once
// no piece has come for the client's patience.
func (c *crowdCase) call(host int, id, resumes string, after int, body string, deadline time.Time) (got int, err error) {
	began := time.Now()
	defer func() {
		c.r.add("client: %s got %d pieces after piece %d in %v: %v", id, got, after, time.Since(began).Round(time.Millisecond), err)
	}()
	h := c.hosts[host%len(c.hosts)]
	left := time.Until(deadline)
	c.r.add("client: sends %s to %s, after piece %d, waits %v", id, h.name, after, left.Round(time.Millisecond))
	conn, err := net.Dial("tcp", h.callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		wire.Dialect.RequestID, id, wire.Dialect.Deadline, left.Milliseconds(), len(body))
	if resumes != "" {
		head += fmt.Sprintf("%s: %d\r\n%s: %s\r\n", wire.Dialect.ResumeAfter, after, wire.Dialect.Resumes, resumes)
	}
	if _, err := conn.Write([]byte(head + "\r\n" + body)); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", a.StatusCode)
	}
	for r := bufio.NewReader(a.Body); ; {
		l, err := r.ReadString('\n')
		if strings.HasPrefix(l, "data: ") && strings.HasSuffix(l, "\n") {
			got++
			_ = conn.SetReadDeadline(time.Now().Add(patience))
		}
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
	}
}

// stream runs a request: it sends the pieces that the body asks for, from the one on that the request goes on with.
func (c *crowdCase) stream(id string, w http.ResponseWriter, q *http.Request, body []byte) {
	var m struct {
		Pieces int `json:"pieces"`
	}
	began := time.Now()
	ms, err := strconv.Atoi(q.Header.Get(wire.Dialect.Deadline))
	request := q.Header.Get(wire.Dialect.RequestID)
	if json.Unmarshal(body, &m) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(q.Header.Get(wire.Dialect.ResumeAfter))
	c.mu.Lock()
	c.running[id]++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.running[id]--
		c.mu.Unlock()
	}()
	c.r.add("server %s: runs %s after piece %d", id, request, last)
	w.Header().Set(wire.Dialect.RequestID, request)
	w.Header().Set(wire.Dialect.ServerStamp, "stamp-"+request)
	w.Header().Set(wire.Dialect.WeightVersion, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= m.Pieces; i++ {
		time.Sleep(pieceTime)
		if q.Context().Err() != nil {
			return
		}
		if time.Since(began) > time.Duration(ms)*time.Millisecond {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}
