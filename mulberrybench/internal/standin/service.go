package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/scorer"
	"mulberrypier.example/pier/service"
)

// ExecutionCounter counts how often each request was executed. All instances of a service
// share one counter, so that duplicate executions on different instances show.
type ExecutionCounter struct {
	mu sync.Mutex
	n  map[string]int
}

// NewExecutionCounter returns a counter whose counts are zero.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{n: make(map[string]int)} }

func (c *ExecutionCounter) add(k string) {
	c.mu.Lock()
	c.n[k]++
	c.mu.Unlock()
}

// Count returns the number of executions of the request k.
func (c *ExecutionCounter) Count(k string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[k]
}

// Max returns the request with the most executions and their number, or "" and 0 if
// nothing was executed.
func (c *ExecutionCounter) Max() (string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, n := "", 0
	for x, m := range c.n {
		if m > n {
			k, n = x, m
		}
	}
	return k, n
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Address          netip.AddrPort
	ExecutionCounter *ExecutionCounter
	// Delay is the execution time of a request; ResponseBytes is the least length of a
	// response body.
	Delay         time.Duration
	ResponseBytes int
}

// Service stands in for a plain service. It counts the executions of a request by its
// body and answers with Answer.
type Service struct {
	baseServer
	c ServiceConfig
	m sync.Mutex
	// drop, truncate and mismatch are the numbers of further responses to drop after
	// the execution, to truncate, and to send with another request's id.
	drop, truncate, mismatch int
}

// NewService starts a service that serves at c.Address.
func NewService(c ServiceConfig) (*Service, error) {
	s := &Service{c: c}
	return s, s.start(c.Address, http.HandlerFunc(s.serve))
}

// DropResponses makes the service execute the next n requests but close the
// connection instead of answering.
func (s *Service) DropResponses(n int) { s.set(&s.drop, n) }

// TruncateResponses makes the service close the connection after half of each of the
// next n response bodies.
func (s *Service) TruncateResponses(n int) { s.set(&s.truncate, n) }

// MismatchIDs makes the service send the next n responses with the id of another
// request.
func (s *Service) MismatchIDs(n int) { s.set(&s.mismatch, n) }

func (s *Service) set(p *int, n int) {
	s.m.Lock()
	*p = n
	s.m.Unlock()
}

// consume decrements the counter of a fault and reports whether the fault applies to
// the current response.
func (s *Service) consume(p *int) bool {
	s.m.Lock()
	defer s.m.Unlock()
	if *p == 0 {
		return false
	}
	*p--
	return true
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !backoff.Sleep(r.Context(), s.c.Delay) {
		return
	}
	s.c.ExecutionCounter.add(string(b))
	if s.consume(&s.drop) {
		panic(http.ErrAbortHandler)
	}
	a := Answer(r.Method, r.URL.Path, b, s.c.ResponseBytes)
	id := r.Header.Get(service.HeaderID)
	if s.consume(&s.mismatch) {
		id = "another-" + id
	}
	w.Header().Set(service.HeaderID, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(a)))
	if s.consume(&s.truncate) {
		_, _ = w.Write(a[:len(a)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a)
}

// Answer returns the complete response body of a service to a request: a line that
// echoes the request, padded to at least n bytes with text derived from the body.
func Answer(method, path string, body []byte, n int) []byte {
	a := []byte(fmt.Sprintf("%s %s %s\n", method, path, body))
	h := fnv.New64a()
	_, _ = h.Write(body)
	x := h.Sum64()
	for len(a) < n {
		x = x*6364136223846793005 + 1442695040888963407
		a = append(a, 'a'+byte(x>>59))
	}
	return a
}

// ScorerConfig configures a Scorer.
type ScorerConfig struct {
	Address          netip.AddrPort
	Delay            time.Duration
	ExecutionCounter *ExecutionCounter
}

// Scorer stands in for the service that scores samples. It counts each execution in
// its counter.
type Scorer struct {
	baseServer
	c    ScorerConfig
	m    sync.Mutex
	drop int
}

// NewScorer starts a scorer that serves at c.Address.
func NewScorer(c ScorerConfig) (*Scorer, error) {
	s := &Scorer{c: c}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/score", s.score)
	return s, s.start(c.Address, m)
}

// DropResponses makes the scorer score the next n samples but close the connection
// instead of answering.
func (s *Scorer) DropResponses(n int) {
	s.m.Lock()
	s.drop = n
	s.m.Unlock()
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	var q scorer.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !backoff.Sleep(r.Context(), s.c.Delay) {
		return
	}
	s.c.ExecutionCounter.add(q.ID)
	s.m.Lock()
	drop := s.drop > 0
	if drop {
		s.drop--
	}
	s.m.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, scorer.Answer{ID: q.ID, Score: float64(len(q.Text)%100) / 100})
}
