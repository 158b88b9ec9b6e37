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

// Ledger counts how often each request was executed, over all instances of a
// service that share it.
type Ledger struct {
	mu sync.Mutex
	n  map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{n: make(map[string]int)} }

func (l *Ledger) add(k string) {
	l.mu.Lock()
	l.n[k]++
	l.mu.Unlock()
}

// Count returns how often a request was executed.
func (l *Ledger) Count(k string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n[k]
}

// Most returns the request that was executed most often, and how often.
func (l *Ledger) Most() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, n := "", 0
	for x, m := range l.n {
		if m > n {
			k, n = x, m
		}
	}
	return k, n
}

// ServiceConfig constructs a Service.
type ServiceConfig struct {
	Address netip.AddrPort
	Ledger  *Ledger
	// Delay is how long a request takes; AnswerBytes is the length of an answer.
	Delay       time.Duration
	AnswerBytes int
}

// Service is the stand-in of a plain service: it executes a request named by its
// body, notes it in the ledger, and echoes it.
type Service struct {
	listener
	c ServiceConfig
	m sync.Mutex
	// lose counts answers still to be lost after the execution, short those to be
	// cut in the middle, cross those to be given another request's id.
	lose, short, cross int
}

// NewService returns a service that serves.
func NewService(c ServiceConfig) (*Service, error) {
	s := &Service{c: c}
	return s, s.start(c.Address, http.HandlerFunc(s.serve))
}

// Lose makes the next n answers get lost, Short makes them end early, and Cross
// gives them a foreign request id.
func (s *Service) Lose(n int) { s.set(&s.lose, n) }

// Short makes the next n answers end early.
func (s *Service) Short(n int) { s.set(&s.short, n) }

// Cross gives the next n answers another request's id.
func (s *Service) Cross(n int) { s.set(&s.cross, n) }

func (s *Service) set(p *int, n int) {
	s.m.Lock()
	*p = n
	s.m.Unlock()
}

// take spends one of the answers to spoil.
func (s *Service) take(p *int) bool {
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
	if !backoff.For(r.Context(), s.c.Delay) {
		return
	}
	s.c.Ledger.add(string(b))
	if s.take(&s.lose) {
		panic(http.ErrAbortHandler)
	}
	a := Answer(r.Method, r.URL.Path, b, s.c.AnswerBytes)
	id := r.Header.Get(service.HeaderID)
	if s.take(&s.cross) {
		id = "another-" + id
	}
	w.Header().Set(service.HeaderID, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(a)))
	if s.take(&s.short) {
		_, _ = w.Write(a[:len(a)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a)
}

// Answer returns the whole answer that a service gives to a request.
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

// ScorerConfig constructs a Scorer.
type ScorerConfig struct {
	Address netip.AddrPort
	Delay   time.Duration
	Ledger  *Ledger
}

// Scorer is the stand-in of the service that scores samples.
type Scorer struct {
	listener
	c    ScorerConfig
	m    sync.Mutex
	lose int
}

// NewScorer returns a scorer that serves.
func NewScorer(c ScorerConfig) (*Scorer, error) {
	s := &Scorer{c: c}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/score", s.score)
	return s, s.start(c.Address, m)
}

// Lose makes the next n answers get lost.
func (s *Scorer) Lose(n int) {
	s.m.Lock()
	s.lose = n
	s.m.Unlock()
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	var q scorer.Request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !backoff.For(r.Context(), s.c.Delay) {
		return
	}
	s.c.Ledger.add(q.ID)
	s.m.Lock()
	lose := s.lose > 0
	if lose {
		s.lose--
	}
	s.m.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, scorer.Answer{ID: q.ID, Score: float64(len(q.Text)%100) / 100})
}
