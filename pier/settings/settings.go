// Package settings defines the settings of an entry host, read from TOML.
//
// The doc comments of the fields are the reference that operators read.
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

// UnmarshalText reads d as time.ParseDuration does.
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return &Error{Key: "duration", Reason: err.Error()}
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Settings are the settings of one entry host.
type Settings struct {
	// Name is the host's name, unique among the entry hosts.
	Name string `toml:"name"`
	// Region and Domain tell where the host runs. Owners are chosen in the region
	// of their server when it has a live host.
	Region string `toml:"region"`
	Domain string `toml:"failure-domain"`
	// Listen holds the addresses that the host listens on.
	Listen Listen `toml:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// Limits bound what the host takes on.
	Limits Limits `toml:"limits"`
	// Timing holds the times of heartbeats and deadlines.
	Timing Timing `toml:"timing"`
	// Policy holds the decisions on rollouts.
	Policy Policy `toml:"policy"`
	// TLS holds the keys for connections between entry hosts and for operators.
	TLS TLS `toml:"tls"`
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string `toml:"log-level"`
}

// Listen holds the addresses that a host listens on.
type Listen struct {
	// Callers is for callers and trainers, behind the platform's balancer.
	Callers netip.AddrPort `toml:"callers"`
	// Operators is for operators, metrics and health checks.
	Operators netip.AddrPort `toml:"operators"`
	// Peers is for the other entry hosts.
	Peers netip.AddrPort `toml:"peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the append-only log service.
	Log netip.AddrPort `toml:"log"`
	// Hosts is the lagging list of hosts; without one, Peers must name some.
	Hosts netip.AddrPort `toml:"hosts"`
	// Peers are addresses of other entry hosts to begin with.
	Peers []netip.AddrPort `toml:"peers"`
}

// Limits bound what the host takes on.
type Limits struct {
	// BodyBytes is the greatest length of a request's body. Default: 16 MiB.
	BodyBytes int64 `toml:"body-bytes"`
	// HeaderBytes is the greatest length of a request's header. Default: 64 KiB.
	HeaderBytes int `toml:"header-bytes"`
	// Running is how many calls to plain services run at once. Default: 512.
	Running int `toml:"running"`
	// Waiting is how many calls to plain services may wait. Default: 1024.
	Waiting int `toml:"waiting"`
	// Connections is how many connections each listener keeps. Default: 8192.
	Connections int `toml:"connections"`
	// ClaimsPerPartition is how many claims a partition keeps. Default: 65536.
	ClaimsPerPartition int `toml:"claims-per-partition"`
	// AnswerBytes is the memory for answers to claimed calls. Default: 64 MiB.
	AnswerBytes int64 `toml:"answer-bytes"`
	// RetryRatio is how many retries a request to a peer earns. Default: 0.1.
	RetryRatio float64 `toml:"retry-ratio"`
	// Reserve is the part of an interactive deployment that rollouts leave free.
	// Default: 0.1.
	Reserve float64 `toml:"reserve"`
}

// Timing holds the times of heartbeats and deadlines.
type Timing struct {
	// Heartbeat is the time between heartbeats to a neighbour. Default: 500ms.
	Heartbeat Duration `toml:"heartbeat"`
	// Suspicion is how long a silent host has to refute. Default: 500ms.
	Suspicion Duration `toml:"suspicion"`
	// Silence is how long an engine's stream may carry nothing. Default: 3s.
	Silence Duration `toml:"silence"`
	// Adoption is how long a stream without an owner waits for one. Default: 8s.
	Adoption Duration `toml:"adoption"`
	// IdleAsk is the time between two offers of room to a trainer's coordinator
	// that had nothing pending. Default: 1s.
	IdleAsk Duration `toml:"idle-ask"`
	// Progress is the time between two tellings of how far streams are; it must be
	// well below Adoption. Default: 1s.
	Progress Duration `toml:"progress"`
	// Report is the time between reports of a backend server. Default: 500ms.
	Report Duration `toml:"report"`
	// LoadLimit is how long a load of weights may take. Default: 60s.
	LoadLimit Duration `toml:"load-limit"`
	// Drain is how long a planned stop waits at most. Default: 10m.
	Drain Duration `toml:"drain"`
	// Announce is how long a planned stop answers the health check with an error
	// before it refuses new work. Default: 1s.
	Announce Duration `toml:"announce"`
	// ClaimLinger is the time between two appends of one partition of claims; with
	// 64 partitions it bounds the claims' appends on the log. Default: 5ms.
	ClaimLinger Duration `toml:"claim-linger"`
	// KeyHorizon is how long an idempotency key is valid. Default: 1h. It must be
	// shorter than the log keeps its records.
	KeyHorizon Duration `toml:"key-horizon"`
}

// Policy holds the decisions on rollouts.
type Policy struct {
	// Order is how groups are started: arrival, longest-first or spread.
	// Default: longest-first.
	Order string `toml:"order"`
	// NoSiblings does not prefer the server that runs samples of the same group,
	// with the prompt's prefix in its cache.
	NoSiblings bool `toml:"no-siblings"`
	// Rule is how trainers share servers: fair, nearest or oldest. Default: fair.
	Rule string `toml:"rule"`
	// StragglerPriority raises the engine priority of the last samples.
	StragglerPriority bool `toml:"straggler-priority"`
	// Spares is how many extra attempts a late sample may get.
	Spares int `toml:"spares"`
	// Move takes late samples from busy servers to servers that have run empty.
	Move bool `toml:"move"`
	// Straggler is how many times as long as its group's mean a sample must be to
	// be moved to an express server, and Tail the part of a step that may be left
	// for all its samples to be. Defaults: 4 and 0.02.
	Straggler float64 `toml:"straggler"`
	Tail      float64 `toml:"tail"`
	// SpareAfter is how long a sample runs before it gets one. Default: 30s.
	SpareAfter Duration `toml:"spare-after"`
}

// TLS holds the files of keys. With none of them connections are not encrypted,
// which Off must then say.
type TLS struct {
	// Off says that connections between hosts and of operators are plain.
	Off bool `toml:"off"`
	// Cert and Key are this host's certificate and key, in PEM.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA is the certificate that signed those of hosts and operators, in PEM.
	CA string `toml:"ca"`
}

// Error is a setting that is not valid.
type Error struct {
	// File is the settings file.
	File string
	// Key is the setting's name in the file, or the line.
	Key string
	// Reason says what is wrong with it.
	Reason string
}

// Error returns file, key and reason.
func (e *Error) Error() string { return e.File + ": " + e.Key + ": " + e.Reason }

// Read reads and checks a settings file. An error is an *Error.
func Read(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Key: "file", Reason: err.Error()}
	}
	return Parse(file, b)
}

// Decode reads TOML into v. Keys that v does not have are an error, as they are
// mistyped ones; an error is an *Error that names the line.
func Decode(file string, b []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v)
	if err != nil {
		return &Error{File: file, Key: place(err), Reason: err.Error()}
	}
	return nil
}

// Parse checks settings and fills in the defaults. An error is an *Error.
func Parse(file string, b []byte) (*Settings, error) {
	var s Settings
	if err := Decode(file, b, &s); err != nil {
		return nil, err
	}
	s.Fill()
	if err := s.Check(); err != nil {
		err.File = file
		return nil, err
	}
	return &s, nil
}

// Fill sets the defaults of what is not set.
func (s *Settings) Fill() {
	fill(&s.LogLevel, "info")
	l := &s.Limits
	fill(&l.BodyBytes, 16<<20)
	fill(&l.HeaderBytes, 64<<10)
	fill(&l.Running, 512)
	fill(&l.Waiting, 1024)
	fill(&l.Connections, 8192)
	fill(&l.ClaimsPerPartition, 65536)
	fill(&l.AnswerBytes, 64<<20)
	fill(&l.RetryRatio, 0.1)
	fill(&l.Reserve, 0.1)
	t := &s.Timing
	fill(&t.Heartbeat, Duration(500*time.Millisecond))
	fill(&t.Suspicion, Duration(500*time.Millisecond))
	fill(&t.Silence, Duration(3*time.Second))
	fill(&t.Adoption, Duration(8*time.Second))
	fill(&t.IdleAsk, Duration(time.Second))
	fill(&t.Progress, Duration(time.Second))
	fill(&t.Report, Duration(500*time.Millisecond))
	fill(&t.LoadLimit, Duration(time.Minute))
	fill(&t.Drain, Duration(10*time.Minute))
	fill(&t.Announce, Duration(time.Second))
	fill(&t.ClaimLinger, Duration(5*time.Millisecond))
	fill(&t.KeyHorizon, Duration(time.Hour))
	fill(&s.Policy.Order, "longest-first")
	fill(&s.Policy.Rule, "fair")
	fill(&s.Policy.Straggler, 4)
	fill(&s.Policy.Tail, 0.02)
	fill(&s.Policy.SpareAfter, Duration(30*time.Second))
}

// Check returns the first setting that is not valid, or nil.
func (s *Settings) Check() *Error {
	bad := func(k, r string) *Error { return &Error{Key: k, Reason: r} }
	switch {
	case s.Name == "":
		return bad("name", "is missing")
	case !s.Listen.Callers.IsValid():
		return bad("listen.callers", "is missing")
	case !s.Listen.Operators.IsValid():
		return bad("listen.operators", "is missing")
	case !s.Listen.Peers.IsValid():
		return bad("listen.peers", "is missing")
	case !s.Platform.Log.IsValid():
		return bad("platform.log", "is missing")
	case s.Limits.BodyBytes < 1:
		return bad("limits.body-bytes", "must be positive")
	case s.Limits.Running < 1 || s.Limits.Waiting < 0:
		return bad("limits.running", "must be positive")
	case s.Limits.RetryRatio < 0 || s.Limits.RetryRatio > 1:
		return bad("limits.retry-ratio", "must be from 0 to 1")
	case s.Limits.Reserve < 0 || s.Limits.Reserve >= 1:
		return bad("limits.reserve", "must be from 0 to below 1")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return bad("log-level", "must be debug, info, warn or error")
	}
	switch s.Policy.Order {
	case "arrival", "longest-first", "spread":
	default:
		return bad("policy.order", "must be arrival, longest-first or spread")
	}
	switch s.Policy.Rule {
	case "fair", "nearest", "oldest":
	default:
		return bad("policy.rule", "must be fair, nearest or oldest")
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
		return &Error{Key: "tls.off", Reason: "is set beside keys"}
	case !t.Off && n != 3:
		return &Error{Key: "tls", Reason: "needs cert, key and ca, or off = true"}
	}
	return nil
}

func fill[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// place returns the line of a TOML error.
func place(err error) string {
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
