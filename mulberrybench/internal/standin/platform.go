package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberrypier.example/pier/hostlist"
)

// HostsConfig configures a Hosts.
type HostsConfig struct {
	Address netip.AddrPort
	// Lag is the time from a change until readers see it.
	Lag time.Duration
}

// Hosts stands in for the platform's list of hosts, which lags behind changes.
type Hosts struct {
	baseServer
	c HostsConfig
	m sync.Mutex
	// history holds all versions of the list, oldest first.
	history []listVersion
}

// listVersion is a list that readers see from visibleAt on.
type listVersion struct {
	visibleAt time.Time
	list      []hostlist.Host
}

// NewHosts starts a server at c.Address whose list is empty.
func NewHosts(c HostsConfig) (*Hosts, error) {
	h := &Hosts{c: c}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, hostlist.List{Hosts: h.current()}) })
	return h, h.start(c.Address, m)
}

// Set replaces the list. Readers see the first list at once and later ones after the
// lag.
func (h *Hosts) Set(l []hostlist.Host) {
	h.m.Lock()
	defer h.m.Unlock()
	at := time.Now().Add(h.c.Lag)
	if len(h.history) == 0 {
		at = time.Time{}
	}
	h.history = append(h.history, listVersion{at, append([]hostlist.Host(nil), l...)})
}

// current returns the newest list that readers may see.
func (h *Hosts) current() []hostlist.Host {
	h.m.Lock()
	defer h.m.Unlock()
	n := time.Now()
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].visibleAt.After(n) {
			return h.history[i].list
		}
	}
	return nil
}

// WeightsConfig configures a Weights.
type WeightsConfig struct {
	Address netip.AddrPort
	// Rate is the greatest number of loads a second; 0 means no limit.
	Rate float64
}

// Weights stands in for the platform's rate-limited weight store. It serves no
// weights; a successful response stands for a load.
type Weights struct {
	baseServer
	limit *rate.Limiter
	m     sync.Mutex
	// granted and refused count the requests for loads.
	granted, refused int
}

// NewWeights starts a weight store that serves at c.Address.
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
		s.granted++
	} else {
		s.refused++
	}
	s.m.Unlock()
	if !ok {
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, struct{}{})
}

// Loads returns how many loads the store has granted, and how many it has refused
// because of its rate limit.
func (s *Weights) Loads() (granted, refused int) {
	s.m.Lock()
	defer s.m.Unlock()
	return s.granted, s.refused
}
