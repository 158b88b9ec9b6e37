// Package settings defines the settings of an entry host, which are read from a TOML
// file.
//
// The doc comments of the fields are the reference for operators.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// UnmarshalText parses d with time.ParseDuration. An error is an *Error.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return &Error{Key: "duration", Reason: err.Error()}
	}
	*d = Duration(x)
	return nil
}

// MarshalText formats d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Settings are the settings of one entry host. A setting that is absent or zero gets
// its default; a setting without a default is required unless its comment says
// otherwise.
type Settings struct {
	// Name is the host's name, unique among the entry hosts.
	Name string `toml:"name"`
	// Region is the region in which the host runs. A server's owner is chosen among
	// the hosts of the server's region as long as one of them is live. Default: none.
	Region string `toml:"region"`
	// Domain is the failure domain in which the host runs. Default: none.
	Domain string `toml:"failure-domain"`
	// Listen holds the addresses that the host listens on.
	Listen Listen `toml:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// Limits bounds the host's load and memory.
	Limits Limits `toml:"limits"`
	// Timing holds intervals and timeouts.
	Timing Timing `toml:"timing"`
	// Policy controls how rollouts are scheduled.
	Policy Policy `toml:"policy"`
	// TLS holds the keys for connections from entry hosts and operators.
	TLS TLS `toml:"tls"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	// Default: info.
	LogLevel string `toml:"log-level"`
}

// Listen holds the addresses that a host listens on, each an IP address and a port.
// All are required.
type Listen struct {
	// Callers is the address for callers and trainers, behind the platform's load
	// balancer.
	Callers netip.AddrPort `toml:"callers"`
	// Operators is the address for operators, metrics and health checks.
	Operators netip.AddrPort `toml:"operators"`
	// Peers is the address for the other entry hosts.
	Peers netip.AddrPort `toml:"peers"`
}

// Platform holds the addresses of the platform's services, each an IP address and a
// port.
type Platform struct {
	// Log is the address of the append-only log service.
	Log netip.AddrPort `toml:"log"`
	// Hosts is the address of the platform's host list, which lags behind the actual
	// hosts. Without it, Peers must name some of the other hosts. Default: none.
	Hosts netip.AddrPort `toml:"hosts"`
	// Peers lists addresses of other entry hosts to contact first. Default: none.
	Peers []netip.AddrPort `toml:"peers"`
}

// Limits bounds the host's load and memory.
type Limits struct {
	// BodyBytes is the maximum length of a request body, in bytes. Default: 16 MiB.
	BodyBytes int64 `toml:"body-bytes"`
	// HeaderBytes is the maximum length of a request header, in bytes.
	// Default: 64 KiB.
	HeaderBytes int `toml:"header-bytes"`
	// Running is the maximum number of calls to plain services in progress.
	// Default: 512.
	Running int `toml:"running"`
	// Waiting is the maximum number of calls to plain services that wait in the
	// queue; further calls are refused. Default: 1024.
	Waiting int `toml:"waiting"`
	// Connections is the maximum number of open connections on each listener; further
	// ones are closed at once. Default: 8192.
	Connections int `toml:"connections"`
	// ClaimsPerPartition is the maximum number of claims that are valid at a time in
	// each partition of idempotency keys; further claims are refused. Default: 65536.
	ClaimsPerPartition int `toml:"claims-per-partition"`
	// AnswerBytes is the memory for stored answers to claimed calls, in bytes. It is
	// divided equally among the partitions. Default: 64 MiB.
	AnswerBytes int64 `toml:"answer-bytes"`
	// RetryRatio is the number of retries that each call to a plain service adds to
	// the service's retry budget, from 0 to 1. Default: 0.1.
	RetryRatio float64 `toml:"retry-ratio"`
	// Reserve is the fraction of an interactive deployment's capacity that rollouts
	// leave free for callers, from 0 to below 1. Default: 0.1.
	Reserve float64 `toml:"reserve"`
}

// Timing holds intervals and timeouts, each written with its unit, such as "250ms".
type Timing struct {
	// Heartbeat is the interval between heartbeats to a neighbour. Default: 500ms.
	Heartbeat Duration `toml:"heartbeat"`
	// Suspicion is how long a suspected host has to refute the suspicion before it
	// counts as dead. Default: 500ms.
	Suspicion Duration `toml:"suspicion"`
	// IdleTimeout is how long an engine's stream may carry no data before it counts as
	// failed. Default: 3s.
	IdleTimeout Duration `toml:"silence"`
	// Adoption is how long a coordinator waits for a new owner to adopt a stream whose
	// owner was lost; after that the sample is generated again. Default: 8s.
	Adoption Duration `toml:"adoption"`
	// IdleAsk is the interval between offers of free slots to a trainer's coordinator
	// that had no pending samples at the last offer. Default: 1s.
	IdleAsk Duration `toml:"idle-ask"`
	// Progress is the interval between an owner's reports of its streams' progress to
	// a coordinator. It must be well below Adoption, as a stream that is not reported
	// for that long counts as lost. Default: 1s.
	Progress Duration `toml:"progress"`
	// Report is the interval at which an owner asks its backend servers for their
	// load. Default: 500ms.
	Report Duration `toml:"report"`
	// LoadLimit is how long a load of weights may take before it counts as failed.
	// Default: 60s.
	LoadLimit Duration `toml:"load-limit"`
	// Drain is the time limit for a graceful shutdown. Default: 10m.
	Drain Duration `toml:"drain"`
	// Announce is how long the health check reports an error during a graceful
	// shutdown before new work is refused, so that the load balancer sends none.
	// Default: 1s.
	Announce Duration `toml:"announce"`
	// ClaimLinger is the pause after an append to a partition of claims, during which
	// further claims are batched. With 64 partitions it bounds the rate of the claims'
	// appends to the log. Default: 5ms.
	ClaimLinger Duration `toml:"claim-linger"`
	// KeyHorizon is how long an idempotency key is valid after it was issued. It must
	// be shorter than the log's retention. Default: 1h.
	KeyHorizon Duration `toml:"key-horizon"`
}

// Policy controls how rollouts are scheduled.
type Policy struct {
	// Order is the order in which samples are started. With arrival, groups start in
	// the order of opening. With longest-first, one sample of each group starts first
	// to learn its length, then the group with the longest predicted samples. With
	// spread, one sample of each group starts before the second of any.
	// Default: longest-first.
	Order string `toml:"order"`
	// NoSiblings turns off the preference for starting a sample on a server that last
	// got one of the same group and so has the prompt's prefix in its cache.
	// Default: false.
	NoSiblings bool `toml:"no-siblings"`
	// Rule decides which trainer is offered free slots first: with fair, the one with
	// the fewest streams for its share; with nearest, the one whose step is closest to
	// complete; with oldest, the one whose step was opened first. Default: fair.
	Rule string `toml:"rule"`
	// StragglerPriority raises the engine priority of a step's last samples.
	// Default: false.
	StragglerPriority bool `toml:"straggler-priority"`
	// Spares is the maximum number of extra attempts of a sample that is late in its
	// step; the extra attempts run at the same time. Default: 0.
	Spares int `toml:"spares"`
	// Move moves late samples from busy servers to idle ones. Default: false.
	Move bool `toml:"move"`
	// Straggler is the length from which a sample counts as a straggler and is moved
	// to an express server, as a multiple of its group's mean length. Default: 4.
	Straggler float64 `toml:"straggler"`
	// Tail is the largest fraction of a step's samples that may still be running for
	// all of them to count as stragglers. Default: 0.02.
	Tail float64 `toml:"tail"`
	// SpareAfter is how long a sample runs before it may get an extra attempt.
	// Default: 30s.
	SpareAfter Duration `toml:"spare-after"`
}

// TLS holds the key files for connections between entry hosts and from operators.
// Either Cert, Key and CA are all set, or Off is true and connections are not
// encrypted.
type TLS struct {
	// Off turns off TLS. Default: false.
	Off bool `toml:"off"`
	// Cert is the file of this host's certificate, in PEM.
	Cert string `toml:"cert"`
	// Key is the file of this host's private key, in PEM.
	Key string `toml:"key"`
	// CA is the file of the certificate that signed the certificates of hosts and
	// operators, in PEM.
	CA string `toml:"ca"`
}

// Error reports an invalid setting.
type Error struct {
	// File is the settings file.
	File string
	// Key is the setting's name in the file, or the line and column.
	Key string
	// Reason says what is wrong and what is expected.
	Reason string
}

// Error returns the file, key and reason, separated by colons.
func (e *Error) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Read reads a settings file, fills in the defaults and checks the result. An error
// is an *Error.
func Read(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Key: "file", Reason: err.Error()}
	}
	return Parse(file, b)
}

// Decode decodes TOML into v. Keys that v does not have are an error, as they are
// most likely misspelt. An error is an *Error whose key is the line and column.
func Decode(file string, b []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v)
	if err != nil {
		return &Error{File: file, Key: position(err), Reason: err.Error()}
	}
	return nil
}

// Parse decodes settings, fills in the defaults and checks the result; file only
// appears in errors. An error is an *Error.
func Parse(file string, b []byte) (*Settings, error) {
	var s Settings
	if err := Decode(file, b, &s); err != nil {
		return nil, err
	}
	s.SetDefaults()
	if err := s.Validate(); err != nil {
		err.File = file
		return nil, err
	}
	return &s, nil
}

// SetDefaults sets all settings that have their zero value to their defaults.
func (s *Settings) SetDefaults() {
	setDefault(&s.LogLevel, "info")
	l := &s.Limits
	setDefault(&l.BodyBytes, 16<<20)
	setDefault(&l.HeaderBytes, 64<<10)
	setDefault(&l.Running, 512)
	setDefault(&l.Waiting, 1024)
	setDefault(&l.Connections, 8192)
	setDefault(&l.ClaimsPerPartition, 65536)
	setDefault(&l.AnswerBytes, 64<<20)
	setDefault(&l.RetryRatio, 0.1)
	setDefault(&l.Reserve, 0.1)
	t := &s.Timing
	setDefault(&t.Heartbeat, Duration(500*time.Millisecond))
	setDefault(&t.Suspicion, Duration(500*time.Millisecond))
	setDefault(&t.IdleTimeout, Duration(3*time.Second))
	setDefault(&t.Adoption, Duration(8*time.Second))
	setDefault(&t.IdleAsk, Duration(time.Second))
	setDefault(&t.Progress, Duration(time.Second))
	setDefault(&t.Report, Duration(500*time.Millisecond))
	setDefault(&t.LoadLimit, Duration(time.Minute))
	setDefault(&t.Drain, Duration(10*time.Minute))
	setDefault(&t.Announce, Duration(time.Second))
	setDefault(&t.ClaimLinger, Duration(5*time.Millisecond))
	setDefault(&t.KeyHorizon, Duration(time.Hour))
	setDefault(&s.Policy.Order, "longest-first")
	setDefault(&s.Policy.Rule, "fair")
	setDefault(&s.Policy.Straggler, 4)
	setDefault(&s.Policy.Tail, 0.02)
	setDefault(&s.Policy.SpareAfter, Duration(30*time.Second))
}

// Validate returns an error for the first invalid setting, or nil.
func (s *Settings) Validate() *Error {
	invalid := func(k, r string) *Error { return &Error{Key: k, Reason: r} }
	switch {
	case s.Name == "":
		return invalid("name", "is missing; want the host's name")
	case !s.Listen.Callers.IsValid():
		return invalid("listen.callers", "is missing; want IP address and port")
	case !s.Listen.Operators.IsValid():
		return invalid("listen.operators", "is missing; want IP address and port")
	case !s.Listen.Peers.IsValid():
		return invalid("listen.peers", "is missing; want IP address and port")
	case !s.Platform.Log.IsValid():
		return invalid("platform.log", "is missing; want IP address and port")
	case s.Limits.BodyBytes < 1:
		return invalid("limits.body-bytes", "must be at least 1")
	case s.Limits.Running < 1 || s.Limits.Waiting < 0:
		return invalid("limits.running", "must be at least 1, and limits.waiting at least 0")
	case s.Limits.RetryRatio < 0 || s.Limits.RetryRatio > 1:
		return invalid("limits.retry-ratio", "must be from 0 to 1")
	case s.Limits.Reserve < 0 || s.Limits.Reserve >= 1:
		return invalid("limits.reserve", "must be at least 0 and less than 1")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return invalid("log-level", "must be debug, info, warn or error")
	}
	switch s.Policy.Order {
	case "arrival", "longest-first", "spread":
	default:
		return invalid("policy.order", "must be arrival, longest-first or spread")
	}
	switch s.Policy.Rule {
	case "fair", "nearest", "oldest":
	default:
		return invalid("policy.rule", "must be fair, nearest or oldest")
	}
	return s.checkTLS()
}

func (s *Settings) checkTLS() *Error {
	t := &s.TLS
	n := 0
	for _, f := range []string{t.Cert, t.Key, t.CA} {
		if f != "" {
			n++
		}
	}
	switch {
	case t.Off && n > 0:
		return &Error{Key: "tls.off", Reason: "must not be true when cert, key or ca is set"}
	case !t.Off && n != 3:
		return &Error{Key: "tls", Reason: "must have cert, key and ca, or off = true"}
	}
	return nil
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// position returns the line and column of a TOML error, and the name of a key that is
// not known, or "file" if the error has no position.
func position(err error) string {
	var m *toml.StrictMissingError
	if errors.As(err, &m) && len(m.Errors) > 0 {
		r, c := m.Errors[0].Position()
		return fmt.Sprintf("line %d, column %d: unknown setting %s", r, c, strings.Join(m.Errors[0].Key(), "."))
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		r, c := d.Position()
		return fmt.Sprintf("line %d, column %d", r, c)
	}
	return "file"
}
