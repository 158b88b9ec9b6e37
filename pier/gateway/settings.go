package gateway

import (
	"net/netip"
	"os"
	"time"

	"mulberrypier.example/pier/settings"
)

// Settings are the settings of an entry host whose deployment keeps its state in
// a partitioned log. The doc comments of the fields are the reference.
type Settings struct {
	// Name is the host's name, unique among the entry hosts.
	Name string `toml:"name"`
	// Domain is the failure domain that the host runs in.
	Domain string `toml:"failure-domain"`
	// ProcessorShare is the fraction of a processor core that the host may use. Hosts with
	// a larger share are preferred as drivers of steps.
	ProcessorShare float64 `toml:"processor-share"`
	// Listen holds the addresses that the host listens on.
	Listen Listen `toml:"listen"`
	// Log is the partitioned log.
	Log Log `toml:"log"`
	// Timing holds times that the deployment prescribes.
	Timing Timing `toml:"timing"`
	// Policy holds the policies for loads of weights and for samples.
	Policy Policy `toml:"policy"`
	// Provider is the API of the infrastructure provider. It is absent in deployments without duties there.
	Provider Provider `toml:"provider"`
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string `toml:"log-level"`
}

// Listen holds the addresses that a host listens on.
type Listen struct {
	// Callers is for callers and trainers, behind the platform's balancer.
	Callers netip.AddrPort `toml:"callers"`
	// Health answers the balancer's health check.
	Health netip.AddrPort `toml:"health"`
	// Peers is for the other entry hosts.
	Peers netip.AddrPort `toml:"peers"`
	// Metrics serves counters and histograms.
	Metrics netip.AddrPort `toml:"metrics"`
}

// Log describes the partitioned log.
type Log struct {
	// Address is the address of the log.
	Address netip.AddrPort `toml:"address"`
	// Partitions is the number of partitions of a topic.
	Partitions int `toml:"partitions"`
	// RecordBytes bounds the size of one record, CallBytes that of the records of one
	// append.
	RecordBytes int `toml:"record-bytes"`
	CallBytes   int `toml:"call-bytes"`
	// Retention is how long records are kept.
	Retention settings.Duration `toml:"retention"`
	// MemberTTL is the shortest time after which the log may remove a group member that
	// makes no call.
	MemberTTL settings.Duration `toml:"member-ttl"`
}

// Timing holds times that the deployment prescribes.
type Timing struct {
	// Grace is how long a graceful shutdown may take.
	Grace settings.Duration `toml:"grace"`
	// OrderLease is how long the order lease lasts: while one host holds it, no other
	// orders engines to load weights.
	OrderLease settings.Duration `toml:"order-lease"`
}

// Policy holds the policies for loads of weights and for samples.
type Policy struct {
	// LoadsAtOnce is the initial estimate of the fraction of engines that may load weights
	// at the same time. Concurrent loads slow each other down; the host adjusts the number
	// to the load times that it measures.
	LoadsAtOnce float64 `toml:"loads-at-once"`
	// LoadShare is the number of engines that load each version, as a multiple of an even
	// share of the engines among the models.
	LoadShare float64 `toml:"load-share"`
	// OrderServers has the hosts order servers for services whose configuration allows it. Without it the number of
	// servers is left to the provider. Default: false.
	OrderServers bool `toml:"order-servers"`
}

// Provider describes the API of the infrastructure provider and what the hosts have to do there.
type Provider struct {
	// Address is the address of the API; without it, the deployment has no duties.
	Address netip.AddrPort `toml:"address"`
	// Duties are the provider's names of what one host at a time does on behalf of all.
	Duties []string `toml:"duties"`
	// CallsPerSecond is the number of calls that the provider takes in a second from all hosts together.
	CallsPerSecond float64 `toml:"calls-per-second"`
	// UsageWindow is the length of the windows of usage reports, UsageDue how long after the end of a window its
	// report is due.
	UsageWindow settings.Duration `toml:"usage-window"`
	UsageDue    settings.Duration `toml:"usage-due"`
}

// check returns the key of the first setting that is out of range, "" if there is none.
func (p *Provider) check() string {
	switch {
	case !p.Address.IsValid():
		return ""
	case p.CallsPerSecond <= 0:
		return "provider.calls-per-second"
	case p.UsageWindow.D() < 0 || p.UsageWindow.D() > 24*time.Hour:
		return "provider.usage-window"
	case p.UsageDue.D() < 0 || p.UsageDue.D() > 24*time.Hour:
		return "provider.usage-due"
	}
	return ""
}

// ReadSettings reads and checks the settings in a file. Unknown keys are an error, since
// they are usually misspelt ones. Its errors are of type *settings.Error.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.Error{File: path, Key: "file", Reason: err.Error()}
	}
	s := Settings{LogLevel: "info"}
	if err := settings.Decode(path, b, &s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		err.File = path
		return nil, err
	}
	return &s, nil
}

// Check returns an error that names the first setting that is missing or out of range, or
// nil if there is none.
func (s *Settings) Check() *settings.Error {
	bad := func(key string) *settings.Error {
		return &settings.Error{Key: key, Reason: "is missing or out of range"}
	}
	positive := func(d settings.Duration) bool { return d.D() > 0 && d.D() < 24*time.Hour }
	switch {
	case s.Name == "":
		return bad("name")
	case s.ProcessorShare <= 0:
		return bad("processor-share")
	case !s.Listen.Callers.IsValid():
		return bad("listen.callers")
	case !s.Listen.Health.IsValid():
		return bad("listen.health")
	case !s.Listen.Peers.IsValid():
		return bad("listen.peers")
	case !s.Log.Address.IsValid():
		return bad("log.address")
	case s.Log.Partitions < 1:
		return bad("log.partitions")
	case s.Log.RecordBytes < 2*recordReserve:
		return bad("log.record-bytes")
	case s.Log.CallBytes < s.Log.RecordBytes:
		return bad("log.call-bytes")
	case !positive(s.Log.Retention):
		return bad("log.retention")
	case !positive(s.Log.MemberTTL):
		return bad("log.member-ttl")
	case !positive(s.Timing.Grace):
		return bad("timing.grace")
	case !positive(s.Timing.OrderLease):
		return bad("timing.order-lease")
	case s.Policy.LoadsAtOnce <= 0 || s.Policy.LoadsAtOnce > 1:
		return bad("policy.loads-at-once")
	case s.Policy.LoadShare <= 0:
		return bad("policy.load-share")
	case s.Provider.check() != "":
		return bad(s.Provider.check())
	}
	return nil
}
