// Package cluster starts entry hosts and stand-ins in one process, each with its
// own listeners on loopback, for the quickstart, the load tool and the scenarios.
package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/mulberrybench/internal/standin"
	"mulberrypier.example/pier/daemon"
	"mulberrypier.example/pier/hostlist"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/settings"
)

// Config constructs a Cluster.
type Config struct {
	// Hosts, Engines and Services are the numbers of each at the start.
	Hosts    int
	Engines  int
	Services int
	// Domains spreads hosts and engines over that many failure domains.
	Domains int
	// Capacity is the number of streams that an engine runs at once.
	Capacity int
	// Trainers are the names of the trainers; Bound is their staleness bound.
	Trainers []string
	Bound    int64
	// Engine and Lengths are the model of the engines.
	Engine  model.Config
	Lengths model.Lengths
	// LoadRate is the weight store's rate, in loads a second; 0 means no limit.
	LoadRate float64
	// KeepRecords bounds the records that a stream of the log keeps.
	KeepRecords int
	// ServiceDelay is how long a call to a plain service takes.
	ServiceDelay time.Duration
	// Adjust changes the settings of each host before it starts.
	Adjust func(*settings.Settings)
	// Launch starts a host in another way than within this process.
	Launch func(*settings.Settings) (*Process, error)
	Log    *zap.Logger
}

// Process is a running host.
type Process struct {
	// Kill ends the host at once; Drain carries out its planned stop.
	Kill  func()
	Drain func(context.Context)
	// Pause and Resume freeze the host; nil when it cannot be frozen.
	Pause  func()
	Resume func()
}

// Cluster is a set of entry hosts with their stand-ins.
type Cluster struct {
	c        Config
	Log      *standin.Log
	List     *standin.Hosts
	Weights  *standin.Weights
	Scorer   *standin.Scorer
	Scored   *standin.Ledger
	Executed *standin.Ledger
	Balancer *standin.Balancer
	Engines  []*standin.Engine
	Services []*standin.Service

	mu    sync.Mutex
	hosts []*Host
	cuts  map[[2]string]bool
	conns map[*cutConn]struct{}
}

// Host is one entry host.
type Host struct {
	Settings *settings.Settings
	Process  *Process
	// Up is false after the host was killed or has drained.
	Up bool
}

// New starts the stand-ins and the hosts, and publishes the first note.
func New(ctx context.Context, c Config) (*Cluster, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	k := &Cluster{c: c, Scored: standin.NewLedger(), Executed: standin.NewLedger(), cuts: make(map[[2]string]bool), conns: make(map[*cutConn]struct{})}
	if err := k.platform(); err != nil {
		k.Close()
		return nil, err
	}
	for range c.Hosts {
		if _, err := k.AddHost(); err != nil {
			k.Close()
			return nil, err
		}
	}
	if err := k.first(ctx); err != nil {
		k.Close()
		return nil, err
	}
	return k, nil
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// platform starts the stand-ins.
func (k *Cluster) platform() error {
	var err error
	if k.Log, err = standin.NewLog(standin.LogConfig{Address: loopback(), Keep: k.c.KeepRecords}); err != nil {
		return err
	}
	if k.Balancer, err = standin.NewBalancer(k.Callers); err != nil {
		return err
	}
	if k.List, err = standin.NewHosts(standin.HostsConfig{Address: loopback(), Lag: time.Second}); err != nil {
		return err
	}
	if k.Weights, err = standin.NewWeights(standin.WeightsConfig{Address: loopback(), Rate: k.c.LoadRate}); err != nil {
		return err
	}
	if k.Scorer, err = standin.NewScorer(standin.ScorerConfig{Address: loopback(), Ledger: k.Scored}); err != nil {
		return err
	}
	for i := range k.c.Engines {
		m := k.c.Engine
		m.Seed += uint64(i)
		e, err := standin.NewEngine(standin.EngineConfig{
			Address: loopback(), Model: m, Lengths: k.c.Lengths, Fenced: i%2 == 0, Store: k.Weights.Address(),
		})
		if err != nil {
			return err
		}
		k.Engines = append(k.Engines, e)
	}
	for range k.c.Services {
		s, err := standin.NewService(standin.ServiceConfig{
			Address: loopback(), Ledger: k.Executed, Delay: k.c.ServiceDelay, AnswerBytes: 4096,
		})
		if err != nil {
			return err
		}
		k.Services = append(k.Services, s)
	}
	return nil
}

// The ports for hosts, below those that the kernel gives to outgoing connections:
// a host that is started again must find its port free.
const (
	portFirst = 12000
	portLast  = 32000
)

// port is the last one that was tried.
var port atomic.Uint32

// freePort returns a loopback address that nobody listens on.
func freePort() (netip.AddrPort, error) {
	port.CompareAndSwap(0, uint32(rand.IntN(portLast-portFirst)))
	for range portLast - portFirst {
		n := portFirst + port.Add(1)%(portLast-portFirst)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
	return netip.AddrPort{}, outcome.Refuse(outcome.ReasonUnreachable, "no free port")
}

// domain returns the failure domain of the i-th host or engine.
func (k *Cluster) domain(i int) string { return fmt.Sprintf("domain-%d", i%max(1, k.c.Domains)) }

// Settings returns the settings of a new host with the given number.
func (k *Cluster) Settings(i int) (*settings.Settings, error) {
	s := &settings.Settings{
		Name:   fmt.Sprintf("host-%d", i),
		Region: "north",
		Domain: k.domain(i),
		TLS:    settings.TLS{Off: true},
	}
	for _, p := range []*netip.AddrPort{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers} {
		a, err := freePort()
		if err != nil {
			return nil, err
		}
		*p = a
	}
	s.Platform.Log = k.Log.Address()
	s.Platform.Hosts = k.List.Address()
	s.Timing.Announce = settings.Duration(200 * time.Millisecond)
	if k.c.Adjust != nil {
		k.c.Adjust(s)
	}
	s.Fill()
	return s, nil
}

// AddHost starts one more host.
func (k *Cluster) AddHost() (*Host, error) {
	k.mu.Lock()
	n := len(k.hosts)
	k.mu.Unlock()
	s, err := k.Settings(n)
	if err != nil {
		return nil, err
	}
	h := &Host{Settings: s}
	if err := k.start(h); err != nil {
		return nil, err
	}
	k.mu.Lock()
	k.hosts = append(k.hosts, h)
	k.mu.Unlock()
	k.list()
	return h, nil
}

func (k *Cluster) start(h *Host) error {
	f := k.embed
	if k.c.Launch != nil {
		f = k.c.Launch
	}
	p, err := f(h.Settings)
	if err != nil {
		return err
	}
	h.Process = p
	h.Up = true
	return nil
}

// embed starts a host within this process.
func (k *Cluster) embed(s *settings.Settings) (*Process, error) {
	d, err := k.open(s)
	if err != nil {
		return nil, err
	}
	drain := func(ctx context.Context) {
		d.Drain(ctx)
		d.Close()
	}
	return &Process{Kill: d.Close, Drain: drain}, nil
}

// open starts a daemon. A process that is being forked holds a closed port for a
// moment, so a port in use is tried again.
func (k *Cluster) open(s *settings.Settings) (*daemon.Daemon, error) {
	var err error
	for range startTries {
		d := daemon.New(daemon.Config{Settings: s, Log: k.c.Log, DialPeer: k.dialFrom(s.Name)})
		if err = d.Start(); err == nil {
			return d, nil
		}
		d.Close()
		time.Sleep(startWait)
	}
	return nil, err
}

const (
	startTries = 50
	startWait  = 20 * time.Millisecond
)

// dialFrom returns how a host opens connections to others: not across a cut.
func (k *Cluster) dialFrom(name string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if k.isCut(name, a) {
			<-ctx.Done()
			return nil, outcome.RefuseFor(outcome.ReasonUnreachable, "cut", ctx.Err())
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.String())
		if err != nil {
			return nil, err
		}
		r := &cutConn{Conn: c, cut: func() bool { return k.isCut(name, a) }, k: k}
		k.mu.Lock()
		k.conns[r] = struct{}{}
		k.mu.Unlock()
		return r, nil
	}
}

// cutConn drops what is written and read while its ends are cut, and for good
// once it was made silent.
type cutConn struct {
	net.Conn
	k      *Cluster
	cut    func() bool
	silent atomic.Bool
}

// Write drops b while the ends are cut.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.silent.Load() || c.cut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read drops what comes while the ends are cut.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() && !c.cut() {
			return n, err
		}
		// What was dropped leaves a hole, so the connection is of no use any more.
		c.silent.Store(true)
	}
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.k.mu.Lock()
	delete(c.k.conns, c)
	c.k.mu.Unlock()
	return c.Conn.Close()
}

// SilencePeers makes all open connections between hosts silent for good, while
// new ones work.
func (k *Cluster) SilencePeers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.silent.Store(true)
	}
}

func (k *Cluster) isCut(name string, a netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.hosts {
		if h.Settings.Listen.Peers == a {
			return k.cuts[[2]string{name, h.Settings.Name}] || k.cuts[[2]string{h.Settings.Name, name}]
		}
	}
	return false
}

// Cut parts two hosts, or joins them again.
func (k *Cluster) Cut(a, b string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.cuts[[2]string{a, b}] = true
		return
	}
	delete(k.cuts, [2]string{a, b})
	delete(k.cuts, [2]string{b, a})
}

// list writes the platform's list anew.
func (k *Cluster) list() {
	var l []hostlist.Host
	for _, h := range k.Hosts() {
		if h.Up {
			l = append(l, hostlist.Host{Address: h.Settings.Listen.Peers})
		}
	}
	k.List.Set(l)
}

// Hosts returns all hosts that were ever started.
func (k *Cluster) Hosts() []*Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*Host(nil), k.hosts...)
}

// Up returns the hosts that run.
func (k *Cluster) Up() []*Host {
	var l []*Host
	for _, h := range k.Hosts() {
		if h.Up {
			l = append(l, h)
		}
	}
	return l
}

// Host returns the host with the given name, or nil.
func (k *Cluster) Host(name string) *Host {
	for _, h := range k.Hosts() {
		if h.Settings.Name == name {
			return h
		}
	}
	return nil
}

// Kill ends a host at once, as when its process dies.
func (k *Cluster) Kill(h *Host) {
	h.Up = false
	h.Process.Kill()
	k.list()
}

// Drain carries out the planned stop of a host.
func (k *Cluster) Drain(ctx context.Context, h *Host) {
	h.Process.Drain(ctx)
	h.Up = false
	k.list()
}

// Restart starts a new process on a host that was killed.
func (k *Cluster) Restart(h *Host) error {
	if err := k.start(h); err != nil {
		return err
	}
	k.list()
	return nil
}

// Callers returns the addresses for callers and trainers of the hosts that run.
func (k *Cluster) Callers() []netip.AddrPort {
	var l []netip.AddrPort
	for _, h := range k.Up() {
		l = append(l, h.Settings.Listen.Callers)
	}
	return l
}

// Operator returns a client of a host that runs.
func (k *Cluster) Operator() *operator.Client {
	return operator.New(operator.ClientConfig{Address: k.Up()[0].Settings.Listen.Operators})
}

// Note returns the first release note: one deployment with all engines, the
// trainers, and the plain service "registry".
func (k *Cluster) Note() *release.Note {
	n := &release.Note{ID: "first", Text: "all engines, trainers and services"}
	a := &n.Added
	a.Deployments = []release.Deployment{{Name: "ledger", IdleWeight: 0.5, Interactive: true}}
	for i, e := range k.Engines {
		a.Servers = append(a.Servers, release.Server{
			Name: fmt.Sprintf("engine-%d", i), Address: e.Address(), Deployment: "ledger",
			Region: "north", Domain: k.domain(i), Capacity: k.c.Capacity, ChecksFence: i%2 == 0,
		})
	}
	for i, s := range k.Services {
		a.Servers = append(a.Servers, release.Server{
			Name: fmt.Sprintf("registry-%d", i), Address: s.Address(), Service: "registry",
			Region: "north", Domain: k.domain(i), Capacity: 64,
		})
	}
	a.Services = []release.Service{{
		Name:    "registry",
		Calls:   []release.Call{{Method: "GET", Prefix: "/", Idempotent: true}, {Prefix: "/lookup", Idempotent: true}},
		Timeout: release.Duration(10 * time.Second),
	}}
	for _, t := range k.c.Trainers {
		a.Trainers = append(a.Trainers, release.Trainer{
			Name: t, Deployment: "ledger", StalenessBound: k.c.Bound, Scorer: k.Scorer.Address(), Region: "north",
		})
	}
	return n
}

// first publishes the first note once the hosts have found each other.
func (k *Cluster) first(ctx context.Context) error {
	if err := k.Settle(ctx, len(k.Up())); err != nil {
		return err
	}
	_, err := k.Publish(ctx, k.Note())
	return err
}

// Settle waits until every host that runs knows n live members.
func (k *Cluster) Settle(ctx context.Context, n int) error {
	for {
		ok := true
		for _, h := range k.Up() {
			ok = ok && Live(ctx, h) == n
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return outcome.Refuse(outcome.ReasonDeadline, fmt.Sprintf("hosts do not all know %d members", n))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Live returns how many members a host counts as live, or -1 when it does not
// answer.
func Live(ctx context.Context, h *Host) int {
	c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
	a, err := c.Self(ctx)
	if err != nil {
		return -1
	}
	return a.Hosts[0].Members
}

// Publish publishes a note through a host that runs.
func (k *Cluster) Publish(ctx context.Context, n *release.Note) (*operator.Published, error) {
	b, err := n.TOML()
	if err != nil {
		return nil, err
	}
	return k.Operator().Publish(ctx, b, false)
}

// Close ends everything.
func (k *Cluster) Close() {
	for _, h := range k.Up() {
		h.Up = false
		h.Process.Kill()
	}
	for _, e := range k.Engines {
		e.Close()
	}
	for _, s := range k.Services {
		s.Kill()
	}
	if k.Scorer != nil {
		k.Scorer.Kill()
	}
	if k.Weights != nil {
		k.Weights.Kill()
	}
	if k.List != nil {
		k.List.Kill()
	}
	if k.Balancer != nil {
		k.Balancer.Close()
	}
	if k.Log != nil {
		k.Log.Kill()
	}
}
