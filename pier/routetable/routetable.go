// Package routetable holds the routes and services in force as an immutable
// snapshot, and finds the route of a request.
package routetable

import (
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests may run at most once for each attempt of a client.
	KindOnce Kind = "once"
	// KindStream answers are sequences of events.
	KindStream Kind = "stream"
	// KindRollout takes the steps of trainers.
	KindRollout Kind = "rollout"
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Objective is the time within which an answer is wanted.
	Objective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Attempts is the greatest number of servers for one request, at least 1.
	Attempts int
	// Resumable streams may go on at another server.
	Resumable bool
	// Services is never empty; weights are positive.
	Services []Weighted
	// ResultsDue is when the results of a step are due after its submission.
	ResultsDue time.Duration
	// GiveUp is how long after its submission a step's samples may be given up.
	GiveUp time.Duration
	// SingleVersion wants each sample from one version of the weights alone.
	SingleVersion bool
}

// Weighted is a service that gets a part of a route's requests.
type Weighted struct {
	Service string
	Weight  int
}

// Pick returns a service; n is any number that is spread evenly.
func (r *Route) Pick(n uint64) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	sum := 0
	for _, s := range r.Services {
		sum += s.Weight
	}
	at := int(n % uint64(max(sum, 1)))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Services[0].Service
}

// Service is a set of backend servers that are alike.
type Service struct {
	Name string
	// HealthPath answers whether a server takes work.
	HealthPath string
	// MaxConns is what a server accepts from all callers together.
	MaxConns int
	// Models are the lines of weights that its servers hold; empty for a plain
	// service.
	Models []string
	// Slots is the number of requests that an engine runs at once.
	Slots int
}

// Engine reports whether the service's servers generate tokens.
func (s *Service) Engine() bool { return len(s.Models) > 0 }

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the configuration in force. It does not change once built.
type Table struct {
	// Version grows with each accepted configuration.
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// New returns a table of routes and services.
func New(version int64, routes []*Route, services []*Service, l Limits) *Table {
	t := &Table{Version: version, Limits: l, Services: make(map[string]*Service), hosts: make(map[string][]*Route)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		h := t.hosts[r.Host]
		i := 0
		for i < len(h) && len(h[i].Prefix) >= len(r.Prefix) {
			i++
		}
		h = append(h, nil)
		copy(h[i+1:], h[i:])
		h[i] = r
		t.hosts[r.Host] = h
	}
	return t
}

// Match returns the route with the longest prefix of path, or nil. A port in
// host does not matter.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
