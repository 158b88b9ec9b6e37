package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberrypier.example/pier/hostlist"
)

// HostsConfig constructs a Hosts.
type HostsConfig struct {
	Address netip.AddrPort
	// Lag is how late a change shows.
	Lag time.Duration
}

// Hosts is the stand-in of the platform's lagging list of hosts.
type Hosts struct {
	listener
	c HostsConfig
	m sync.Mutex
	// past holds the lists with the time from which they count.
	past []dated
}

type dated struct {
	at   time.Time
	list []hostlist.Host
}

// NewHosts returns an empty list that serves.
func NewHosts(c HostsConfig) (*Hosts, error) {
	h := &Hosts{c: c}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) { reply(w, hostlist.List{Hosts: h.now()}) })
	return h, h.start(c.Address, m)
}

// Set changes the list; the change shows after the lag.
func (h *Hosts) Set(l []hostlist.Host) {
	h.m.Lock()
	defer h.m.Unlock()
	at := time.Now().Add(h.c.Lag)
	if len(h.past) == 0 {
		at = time.Time{}
	}
	h.past = append(h.past, dated{at, append([]hostlist.Host(nil), l...)})
}

// now returns the newest list whose time has come.
func (h *Hosts) now() []hostlist.Host {
	h.m.Lock()
	defer h.m.Unlock()
	n := time.Now()
	for i := len(h.past) - 1; i >= 0; i-- {
		if !h.past[i].at.After(n) {
			return h.past[i].list
		}
	}
	return nil
}

// WeightsConfig constructs a Weights.
type WeightsConfig struct {
	Address netip.AddrPort
	// Rate is the loads a second that the store gives out; 0 means no limit.
	Rate float64
}

// Weights is the stand-in of the platform's rate-limited weight store.
type Weights struct {
	listener
	limit *rate.Limiter
	m     sync.Mutex
	// given and refused count the loads.
	given, refused int
}

// NewWeights returns a store that serves.
func NewWeights(c WeightsConfig) (*Weights, error) {
	w := &Weights{limit: rate.NewLimiter(rate.Inf, 1)}
	if c.Rate > 0 {
		w.limit = rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate)))
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/weights/{model}/{version}", w.get)
	return w, w.start(c.Address, m)
}

func (s *Weights) get(w http.ResponseWriter, _ *http.Request) {
	ok := s.limit.Allow()
	s.m.Lock()
	if ok {
		s.given++
	} else {
		s.refused++
	}
	s.m.Unlock()
	if !ok {
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	reply(w, struct{}{})
}

// Loads returns how many loads the store gave out and refused.
func (s *Weights) Loads() (given, refused int) {
	s.m.Lock()
	defer s.m.Unlock()
	return s.given, s.refused
}
