// Package release defines release notes: the unit in which operators publish
// configuration, and the entries that a note adds, changes and withdraws.
//
// A note is written in TOML, checked by Parse, and stored in the log as msgpack.
// Package config decides whether it is accepted.
package release

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mulberrypier.example/pier/outcome"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	KindDeployment Kind = "deployment"
	KindService    Kind = "service"
	KindServer     Kind = "server"
	KindTrainer    Kind = "trainer"
)

// MaxEntries is the maximum number of entries in one note.
const MaxEntries = 20000

// Key identifies one entry of the configuration.
type Key struct {
	Kind Kind   `toml:"kind" msgpack:"k" json:"kind"`
	Name string `toml:"name" msgpack:"n" json:"name"`
}

// String returns the key in the form kind/name, such as server/a.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Deployment is a pool of model engines that serve the same weights.
type Deployment struct {
	// Name is unique among deployments.
	Name string `toml:"name" msgpack:"n" json:"name"`
	// IdleWeight, from 0 to 1, weighs trainer idle time against staleness.
	IdleWeight float64 `toml:"idle-weight" msgpack:"w" json:"idle-weight"`
	// LoadsAtOnce is how many servers may load weights at the same time; 0 means as
	// many as the rate of the weight store allows.
	LoadsAtOnce int `toml:"loads-at-once" msgpack:"l" json:"loads-at-once"`
	// ExpressServers is the number of servers whose batch is limited to
	// ExpressBatch; they are kept for stragglers and for callers, and rollouts
	// start on the other servers.
	ExpressServers int `toml:"express-servers" msgpack:"e" json:"express-servers,omitempty"`
	ExpressBatch   int `toml:"express-batch" msgpack:"b" json:"express-batch,omitempty"`
	// Interactive reports whether callers may use the deployment for chat.
	Interactive bool `toml:"interactive" msgpack:"i" json:"interactive"`
}

// CallRule is a rule for calls to a service; the first matching rule applies.
type CallRule struct {
	// Method is an HTTP method, or empty for any method.
	Method string `toml:"method" msgpack:"m" json:"method"`
	// Prefix is a prefix of the URL path.
	Prefix string `toml:"prefix" msgpack:"p" json:"prefix"`
	// Idempotent reports whether the call may be retried.
	Idempotent bool `toml:"idempotent" msgpack:"i" json:"idempotent"`
}

// Service is a plain service, as opposed to a deployment of model engines.
type Service struct {
	// Name is unique among services.
	Name string `toml:"name" msgpack:"n" json:"name"`
	// Calls are the rules; a call that matches none of them is not idempotent.
	Calls []CallRule `toml:"calls" msgpack:"c" json:"calls"`
	// Timeout is the deadline for calls that do not set one; the default is 30 s.
	Timeout Duration `toml:"timeout" msgpack:"t" json:"timeout"`
}

// Server is a backend server: a model engine or an instance of a plain service.
type Server struct {
	// Name is unique among servers.
	Name string `toml:"name" msgpack:"n" json:"name"`
	// Address is where the server listens.
	Address netip.AddrPort `toml:"address" msgpack:"a" json:"address"`
	// Deployment is set for a model engine. Exactly one of Deployment and Service
	// is set.
	Deployment string `toml:"deployment" msgpack:"d" json:"deployment,omitempty"`
	// Service is set for an instance of a plain service.
	Service string `toml:"service" msgpack:"s" json:"service,omitempty"`
	// Region and Domain are the region and the failure domain of the server.
	Region string `toml:"region" msgpack:"r" json:"region"`
	Domain string `toml:"failure-domain" msgpack:"f" json:"failure-domain"`
	// Capacity is the number of requests that the server runs concurrently, at
	// least 1.
	Capacity int `toml:"capacity" msgpack:"c" json:"capacity"`
	// ChecksFence reports whether the server rejects orders with an old fencing
	// token.
	ChecksFence bool `toml:"checks-fence" msgpack:"k" json:"checks-fence"`
	// Leaving reports that the server must not receive new work.
	Leaving bool `toml:"leaving" msgpack:"l" json:"leaving"`
}

// Trainer is a consumer of samples.
type Trainer struct {
	// Name is unique among trainers.
	Name string `toml:"name" msgpack:"n" json:"name"`
	// Deployment is the pool that generates the trainer's samples.
	Deployment string `toml:"deployment" msgpack:"d" json:"deployment"`
	// StalenessBound is the maximum number of versions by which a sample may be
	// behind the trainer when it is handed over.
	StalenessBound int64 `toml:"staleness-bound" msgpack:"b" json:"staleness-bound"`
	// Share is the trainer's relative weight among the trainers of its deployment;
	// the default is 1.
	Share float64 `toml:"share" msgpack:"s" json:"share"`
	// Scorer is the address of the scoring service; if it is not set, samples are
	// not scored.
	Scorer netip.AddrPort `toml:"scorer" msgpack:"c" json:"scorer"`
	// ScorerIdempotent reports whether calls to the scorer may be retried.
	ScorerIdempotent bool `toml:"scorer-idempotent" msgpack:"i" json:"scorer-idempotent"`
	// Region is the region in which the trainer runs.
	Region string `toml:"region" msgpack:"r" json:"region"`
}

// Entries holds the entries that a note adds, or those that it changes.
type Entries struct {
	Deployments []Deployment `toml:"deployments" msgpack:"d" json:"deployments,omitempty"`
	Services    []Service    `toml:"services" msgpack:"s" json:"services,omitempty"`
	Servers     []Server     `toml:"servers" msgpack:"v" json:"servers,omitempty"`
	Trainers    []Trainer    `toml:"trainers" msgpack:"t" json:"trainers,omitempty"`
}

// Len returns the number of entries.
func (e *Entries) Len() int {
	return len(e.Deployments) + len(e.Services) + len(e.Servers) + len(e.Trainers)
}

// Keys returns the keys of all entries, in a fixed order.
func (e *Entries) Keys() []Key {
	k := make([]Key, 0, e.Len())
	for i := range e.Deployments {
		k = append(k, Key{KindDeployment, e.Deployments[i].Name})
	}
	for i := range e.Services {
		k = append(k, Key{KindService, e.Services[i].Name})
	}
	for i := range e.Servers {
		k = append(k, Key{KindServer, e.Servers[i].Name})
	}
	for i := range e.Trainers {
		k = append(k, Key{KindTrainer, e.Trainers[i].Name})
	}
	return k
}

// Note is a release note.
type Note struct {
	// ID is unique; a note with an id that was already processed has no effect.
	ID string `toml:"id" msgpack:"i" json:"id"`
	// Base is the revision on which the operator based the note.
	Base int64 `toml:"base" msgpack:"b" json:"base"`
	// Text describes the release.
	Text string `toml:"text" msgpack:"x" json:"text,omitempty"`
	// Added entries must not exist yet.
	Added Entries `toml:"added" msgpack:"a" json:"added"`
	// Changed entries must exist; each replaces the existing entry completely.
	Changed Entries `toml:"changed" msgpack:"c" json:"changed"`
	// Withdrawn entries must exist.
	Withdrawn []Key `toml:"withdrawn" msgpack:"w" json:"withdrawn,omitempty"`
}

// Keys returns the keys of all entries that the note adds, changes or withdraws.
func (n *Note) Keys() []Key {
	k := append(n.Added.Keys(), n.Changed.Keys()...)
	return append(k, n.Withdrawn...)
}

// Parse decodes a note from TOML and checks it. Errors are *outcome.Error with the
// reason bad-request, and their detail names the line or the entry.
func Parse(b []byte) (*Note, error) {
	var n Note
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(&n); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, tomlErrorDetail(err))
	}
	if err := n.Check(); err != nil {
		return nil, err
	}
	return &n, nil
}

// Check validates each entry on its own and returns an *outcome.Error for the first
// invalid one. References between entries are checked by package config.
func (n *Note) Check() error {
	if n.ID == "" || len(n.ID) > 128 {
		return badRequest("id: must have 1 to 128 bytes")
	}
	if n.Base < 0 {
		return badRequest("base: must not be negative")
	}
	k := n.Keys()
	if len(k) == 0 {
		return badRequest("note: touches no entry")
	}
	if len(k) > MaxEntries {
		return badRequest(fmt.Sprintf("note: has %d entries, at most %d", len(k), MaxEntries))
	}
	m := make(map[Key]struct{}, len(k))
	for _, x := range k {
		if x.Name == "" || len(x.Name) > 128 {
			return badRequest(string(x.Kind) + ": name must have 1 to 128 bytes")
		}
		if _, ok := m[x]; ok {
			return badRequest(x.String() + ": touched twice")
		}
		m[x] = struct{}{}
	}
	if err := n.Added.check(); err != nil {
		return err
	}
	return n.Changed.check()
}

// check validates each entry on its own and returns an error for the first invalid one.
func (e *Entries) check() error {
	for i := range e.Deployments {
		d := &e.Deployments[i]
		if !(d.IdleWeight >= 0 && d.IdleWeight <= 1) {
			return badRequest("deployment/" + d.Name + ": idle-weight must be from 0 to 1")
		}
		if d.LoadsAtOnce < 0 || d.ExpressServers < 0 || d.ExpressBatch < 0 {
			return badRequest("deployment/" + d.Name + ": counts must not be negative")
		}
	}
	for i := range e.Servers {
		if err := e.Servers[i].check(); err != nil {
			return err
		}
	}
	for i := range e.Trainers {
		t := &e.Trainers[i]
		if t.Deployment == "" {
			return badRequest("trainer/" + t.Name + ": deployment is missing")
		}
		if t.StalenessBound < 0 {
			return badRequest("trainer/" + t.Name + ": staleness-bound must not be negative")
		}
		if !(t.Share >= 0 && t.Share <= 1000) {
			return badRequest("trainer/" + t.Name + ": share must be from 0 to 1000")
		}
	}
	return nil
}

// check validates the server on its own.
func (s *Server) check() error {
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		return badRequest("server/" + s.Name + ": address is missing")
	}
	if (s.Deployment == "") == (s.Service == "") {
		return badRequest("server/" + s.Name + ": needs exactly one of deployment and service")
	}
	if s.Capacity < 1 || s.Capacity > 65536 {
		return badRequest("server/" + s.Name + ": capacity must be from 1 to 65536")
	}
	return nil
}

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// MarshalText encodes d with time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes d with time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return badRequest("duration: " + string(b))
	}
	*d = Duration(x)
	return nil
}

func badRequest(s string) error { return outcome.Refuse(outcome.ReasonBadRequest, s) }

// tomlErrorDetail returns the line, column and cause of a TOML error.
func tomlErrorDetail(err error) string {
	var m *toml.StrictMissingError
	if errors.As(err, &m) && len(m.Errors) > 0 {
		r, c := m.Errors[0].Position()
		return fmt.Sprintf("line %d, column %d: unknown field", r, c)
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		r, c := d.Position()
		return fmt.Sprintf("line %d, column %d: %s", r, c, d.Error())
	}
	return err.Error()
}

// TOML encodes the note in the form that Parse decodes.
func (n *Note) TOML() ([]byte, error) {
	b, err := toml.Marshal(n)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	return b, nil
}
