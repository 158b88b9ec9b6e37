package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulberrypier.example/platform/wire"
)

// keptConn is a connection that a client keeps open for many requests.
type keptConn struct {
	w *world
	c net.Conn
	r *bufio.Reader
}

func (w *world) connect(h *host) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{w: w, c: c, r: bufio.NewReader(c)}, nil
}

// answer is what a client got for a request; status is 0 without a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// do sends a request and reads its answer.
func (k *keptConn) do(method, path, id string, deadline time.Duration, body []byte) answer {
	r, err := http.NewRequest(method, "http://"+hostName+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set(wire.Dialect.RequestID, id)
	r.Header.Set(wire.Dialect.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	_ = k.c.SetDeadline(time.Now().Add(deadline + 1500*time.Millisecond))
	k.w.note("client: %s %s is sent as %s", method, path, id)
	if err := r.Write(k.c); err != nil {
		k.w.note("client: %s cannot be sent: %v", id, err)
		return answer{err: err}
	}
	a, err := http.ReadResponse(k.r, r)
	if err != nil {
		k.w.note("client: %s has no answer: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		k.w.note("client: %s has no complete answer: %v", id, err)
		return answer{err: err}
	}
	k.w.note("client: %s is answered with %d, connection %q", id, a.StatusCode, a.Header.Get("Connection"))
	return answer{status: a.StatusCode, header: a.Header, body: b}
}

// result is one result of a step.
type result struct {
	ID       string
	State    string
	Text     string
	Versions []int64
	Score    string
}

// page is a page of a step's results.
type page struct {
	Total   int
	Results []result
}

// item is one item of a step.
type item struct {
	ID, Path, Body, Group string
	Events, Tokens        int
	ScorerID, ScorerBody  string
}

// step is the work that a trainer submits.
type step struct {
	ID, Host, Model            string
	Number, MinVersion, Groups int
	Items                      []item
}

// newStep returns a step of the first model with items with texts of the given numbers of events.
func newStep(id string, number, minVersion int, events ...int) *step {
	s := &step{ID: id, Host: hostName, Model: models[0], Number: number, MinVersion: minVersion, Groups: 1}
	for i, n := range events {
		t := item{
			ID: fmt.Sprintf("%s.i%d", id, i), Path: "/roll/item", Group: id + ".g0", Events: n, Tokens: n + 16, ScorerID: fmt.Sprintf("%s.r%d", id, i),
		}
		t.Body = base64.StdEncoding.EncodeToString([]byte(t.ID))
		t.ScorerBody = base64.StdEncoding.EncodeToString([]byte(t.ScorerID))
		s.Items = append(s.Items, t)
	}
	return s
}

// call makes one call about a step at a host, on a new connection.
func (w *world) call(h *host, method, path, id string, wait time.Duration, body []byte) answer {
	r, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host, r.Close = hostName, true
	if id != "" {
		r.Header.Set(wire.Dialect.RequestID, id)
	}
	if wait > 0 {
		r.Header.Set(names["wait"], strconv.FormatInt(wait.Milliseconds(), 10))
	}
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: a.StatusCode, header: a.Header, body: b}
}

// submit hands a step in at a host until it is accepted.
func (w *world) submit(h *host, s *step) error {
	b := render(stepText, s)
	for range 40 {
		a := w.call(h, http.MethodPost, "/roll/"+s.ID, s.ID, 0, b)
		w.note("trainer: step %s at %s: %d %v", s.ID, h.name, a.status, a.err)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("step %s is not accepted", s.ID)
}

// list reads the results of a step from a position on.
func (w *world) list(h *host, id string, after int) (page, int) {
	a := w.call(h, http.MethodGet, names["lots"]+id+"?after="+strconv.Itoa(after), "", time.Second, nil)
	var p page
	if a.status != http.StatusOK || json.Unmarshal(a.body, &p) != nil {
		return page{}, a.status
	}
	return p, a.status
}

// end ends a step.
func (w *world) end(h *host, id string) int {
	a := w.call(h, http.MethodDelete, names["lots"]+id, "", 0, nil)
	w.note("trainer: end of %s at %s: %d %v", id, h.name, a.status, a.err)
	return a.status
}
