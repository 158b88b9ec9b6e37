// Package cluster runs entry hosts and stand-ins for the quickstart, the scenarios and
// their benchmarks. All run in this process, each with its own listeners on loopback,
// unless Config.Launch starts the hosts in another way.
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

// Config holds the parameters of a Cluster.
type Config struct {
	// Hosts, Engines and Services are the initial numbers of entry hosts, engines and
	// servers of the plain service.
	Hosts    int
	Engines  int
	Services int
	// Domains is the number of failure domains over which hosts, engines and services
	// are spread.
	Domains int
	// Capacity is the number of streams that an engine runs at once.
	Capacity int
	// Trainers are the names of the trainers; Bound is their staleness bound, in versions.
	Trainers []string
	Bound    int64
	// Engine and Lengths configure the model behind the engines.
	Engine  model.Config
	Lengths model.Lengths
	// LoadRate is the rate of the weight store, in loads per second; 0 means no limit.
	LoadRate float64
	// KeepRecords is the maximum number of records that each stream of the log retains;
	// 0 means no limit.
	KeepRecords int
	// ServiceDelay is how long a call to a plain service takes.
	ServiceDelay time.Duration
	// AdjustSettings, if set, modifies the settings of each host before the defaults are
	// filled in.
	AdjustSettings func(*settings.Settings)
	// Launch, if set, starts a host by other means than within this process.
	Launch func(*settings.Settings) (*Process, error)
	Log    *zap.Logger
}

// Process controls a running host.
type Process struct {
	// Kill ends the host at once. Drain shuts it down gracefully and returns when it
	// has ended.
	Kill  func()
	Drain func(context.Context)
	// Pause freezes the host until Resume. Both are nil if the host cannot be frozen.
	Pause  func()
	Resume func()
}

// Cluster is a set of entry hosts with their stand-ins.
type Cluster struct {
	c        Config
	Log      *standin.Log
	HostList *standin.Hosts
	Weights  *standin.Weights
	Scorer   *standin.Scorer
	// Scored counts what the scorer scored, Executed what the plain services executed.
	Scored   *standin.ExecutionCounter
	Executed *standin.ExecutionCounter
	Balancer *standin.Balancer
	Engines  []*standin.Engine
	Services []*standin.Service

	mu    sync.Mutex
	hosts []*Host
	// partitions holds the pairs of host names that cannot reach each other.
	partitions map[[2]string]bool
	// conns holds the open connections between hosts.
	conns map[*partitionableConn]struct{}
}

// Host is an entry host. It stays in the cluster's list after it has ended.
type Host struct {
	Settings *settings.Settings
	Process  *Process
	// Up is false after the host was killed or has drained.
	Up bool
}

// New starts the stand-ins and the hosts, and publishes the initial release note. If
// it fails, everything that was started is ended.
func New(ctx context.Context, c Config) (*Cluster, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	k := &Cluster{
		c: c, Scored: standin.NewExecutionCounter(), Executed: standin.NewExecutionCounter(),
		partitions: make(map[[2]string]bool), conns: make(map[*partitionableConn]struct{}),
	}
	if err := k.startStandIns(); err != nil {
		k.Close()
		return nil, err
	}
	for range c.Hosts {
		if _, err := k.AddHost(); err != nil {
			k.Close()
			return nil, err
		}
	}
	if err := k.publishInitialNote(ctx); err != nil {
		k.Close()
		return nil, err
	}
	return k, nil
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// startStandIns starts the stand-ins for the platform, the engines and the services.
// Every second engine checks fencing tokens.
func (k *Cluster) startStandIns() error {
	var err error
	if k.Log, err = standin.NewLog(standin.LogConfig{Address: loopback(), RetainedRecords: k.c.KeepRecords}); err != nil {
		return err
	}
	if k.Balancer, err = standin.NewBalancer(k.Callers); err != nil {
		return err
	}
	if k.HostList, err = standin.NewHosts(standin.HostsConfig{Address: loopback(), Lag: time.Second}); err != nil {
		return err
	}
	if k.Weights, err = standin.NewWeights(standin.WeightsConfig{Address: loopback(), Rate: k.c.LoadRate}); err != nil {
		return err
	}
	if k.Scorer, err = standin.NewScorer(standin.ScorerConfig{Address: loopback(), ExecutionCounter: k.Scored}); err != nil {
		return err
	}
	for i := range k.c.Engines {
		m := k.c.Engine
		m.Seed += uint64(i)
		e, err := standin.NewEngine(standin.EngineConfig{
			Address: loopback(), Model: m, Lengths: k.c.Lengths, RefuseStaleOrders: i%2 == 0, WeightStore: k.Weights.Address(),
		})
		if err != nil {
			return err
		}
		k.Engines = append(k.Engines, e)
	}
	for range k.c.Services {
		s, err := standin.NewService(standin.ServiceConfig{
			Address: loopback(), ExecutionCounter: k.Executed, Delay: k.c.ServiceDelay, ResponseBytes: 4096,
		})
		if err != nil {
			return err
		}
		k.Services = append(k.Services, s)
	}
	return nil
}

// The range of ports for hosts. It lies below the ephemeral ports that the kernel
// assigns to outgoing connections, so that the port of a host is still free when the
// host is restarted.
const (
	firstPort = 12000
	lastPort  = 32000
)

// lastPortOffset is the offset from firstPort, modulo the size of the range, of the port
// that was tried last.
var lastPortOffset atomic.Uint32

// freePort returns a loopback address on which no process listens. It starts at a
// random port, so that concurrent processes seldom try the same ones.
func freePort() (netip.AddrPort, error) {
	lastPortOffset.CompareAndSwap(0, uint32(rand.IntN(lastPort-firstPort)))
	for range lastPort - firstPort {
		n := firstPort + lastPortOffset.Add(1)%(lastPort-firstPort)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
	return netip.AddrPort{}, outcome.Refuse(outcome.ReasonUnreachable, "no free port")
}

// domain returns the failure domain of the i-th host, engine or service.
func (k *Cluster) domain(i int) string { return fmt.Sprintf("domain-%d", i%max(1, k.c.Domains)) }

// Settings returns the settings of the i-th host, with free ports and the addresses of
// the stand-ins.
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
	s.Platform.Hosts = k.HostList.Address()
	s.Timing.Announce = settings.Duration(200 * time.Millisecond)
	if k.c.AdjustSettings != nil {
		k.c.AdjustSettings(s)
	}
	s.SetDefaults()
	return s, nil
}

// AddHost starts another host and adds it to the platform's host list.
func (k *Cluster) AddHost() (*Host, error) {
	k.mu.Lock()
	n := len(k.hosts)
	k.mu.Unlock()
	s, err := k.Settings(n)
	if err != nil {
		return nil, err
	}
	h := &Host{Settings: s}
	if err := k.startHost(h); err != nil {
		return nil, err
	}
	k.mu.Lock()
	k.hosts = append(k.hosts, h)
	k.mu.Unlock()
	k.updateHostList()
	return h, nil
}

// startHost starts the process of a host, by Config.Launch if it is set.
func (k *Cluster) startHost(h *Host) error {
	f := k.startEmbedded
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

// startEmbedded starts a host within this process.
func (k *Cluster) startEmbedded(s *settings.Settings) (*Process, error) {
	d, err := k.startDaemon(s)
	if err != nil {
		return nil, err
	}
	drain := func(ctx context.Context) {
		d.Drain(ctx)
		d.Close()
	}
	return &Process{Kill: d.Close, Drain: drain}, nil
}

// startDaemon starts a daemon. It retries a failed start, as a port may still be in use:
// a child process inherits the sockets and keeps a closed port open until it executes its
// program.
func (k *Cluster) startDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	var err error
	for range maxStartAttempts {
		d := daemon.New(daemon.Config{Settings: s, Log: k.c.Log, DialPeer: k.peerDialer(s.Name)})
		if err = d.Start(); err == nil {
			return d, nil
		}
		d.Close()
		time.Sleep(startRetryDelay)
	}
	return nil, err
}

// A daemon that fails to start is retried for about one second.
const (
	maxStartAttempts = 50
	startRetryDelay  = 20 * time.Millisecond
)

// peerDialer returns the function by which the named host connects to its peers. Across
// a network partition the function blocks until its context ends.
func (k *Cluster) peerDialer(name string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if k.isPartitioned(name, a) {
			<-ctx.Done()
			return nil, outcome.RefuseWithCause(outcome.ReasonUnreachable, "cut", ctx.Err())
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.String())
		if err != nil {
			return nil, err
		}
		r := &partitionableConn{Conn: c, partitioned: func() bool { return k.isPartitioned(name, a) }, k: k}
		k.mu.Lock()
		k.conns[r] = struct{}{}
		k.mu.Unlock()
		return r, nil
	}
}

// partitionableConn is a connection between two hosts that discards all data while a
// network partition separates them, and for good once it is stalled.
type partitionableConn struct {
	net.Conn
	k           *Cluster
	partitioned func() bool
	stalled     atomic.Bool
}

// Write writes b, or discards it and reports success if the connection is partitioned
// or stalled.
func (c *partitionableConn) Write(b []byte) (int, error) {
	if c.stalled.Load() || c.partitioned() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read reads into b. Data that arrives while the connection is partitioned or stalled is
// discarded.
func (c *partitionableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.stalled.Load() && !c.partitioned() {
			return n, err
		}
		// The discarded bytes leave a gap in the stream, so the connection must not
		// deliver any later ones.
		c.stalled.Store(true)
	}
}

// Close closes the connection and removes it from the cluster's open connections.
func (c *partitionableConn) Close() error {
	c.k.mu.Lock()
	delete(c.k.conns, c)
	c.k.mu.Unlock()
	return c.Conn.Close()
}

// StallPeerConnections stalls all open connections between hosts for good: they stay open
// but carry no more data. New connections are not affected.
func (k *Cluster) StallPeerConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.stalled.Store(true)
	}
}

// isPartitioned reports whether a network partition separates the named host from the
// host that listens for peers at address a.
func (k *Cluster) isPartitioned(name string, a netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.hosts {
		if h.Settings.Listen.Peers == a {
			return k.partitions[[2]string{name, h.Settings.Name}] || k.partitions[[2]string{h.Settings.Name, name}]
		}
	}
	return false
}

// SetPartitioned starts or ends a network partition between two hosts, given by name.
func (k *Cluster) SetPartitioned(a, b string, partitioned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if partitioned {
		k.partitions[[2]string{a, b}] = true
		return
	}
	delete(k.partitions, [2]string{a, b})
	delete(k.partitions, [2]string{b, a})
}

// updateHostList sets the platform's host list to the running hosts.
func (k *Cluster) updateHostList() {
	var l []hostlist.Host
	for _, h := range k.Hosts() {
		if h.Up {
			l = append(l, hostlist.Host{Address: h.Settings.Listen.Peers})
		}
	}
	k.HostList.Set(l)
}

// Hosts returns all hosts that were ever started, including those that have ended.
func (k *Cluster) Hosts() []*Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*Host(nil), k.hosts...)
}

// Up returns the running hosts.
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

// Kill ends a host at once, as in a crash of its process, and removes it from the
// platform's host list.
func (k *Cluster) Kill(h *Host) {
	h.Up = false
	h.Process.Kill()
	k.updateHostList()
}

// Drain shuts a host down gracefully and then removes it from the platform's host list.
func (k *Cluster) Drain(ctx context.Context, h *Host) {
	h.Process.Drain(ctx)
	h.Up = false
	k.updateHostList()
}

// Restart starts a new process, with the same settings, on a host that has ended.
func (k *Cluster) Restart(h *Host) error {
	if err := k.startHost(h); err != nil {
		return err
	}
	k.updateHostList()
	return nil
}

// Callers returns the addresses at which the running hosts accept callers and trainers.
func (k *Cluster) Callers() []netip.AddrPort {
	var l []netip.AddrPort
	for _, h := range k.Up() {
		l = append(l, h.Settings.Listen.Callers)
	}
	return l
}

// OperatorClient returns an operator's client of the first running host.
func (k *Cluster) OperatorClient() *operator.Client {
	return operator.New(operator.ClientConfig{Address: k.Up()[0].Settings.Listen.Operators})
}

// Note returns the initial release note. It adds a deployment with all engines, the
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
		Calls:   []release.CallRule{{Method: "GET", Prefix: "/", Idempotent: true}, {Prefix: "/lookup", Idempotent: true}},
		Timeout: release.Duration(10 * time.Second),
	}}
	for _, t := range k.c.Trainers {
		a.Trainers = append(a.Trainers, release.Trainer{
			Name: t, Deployment: "ledger", StalenessBound: k.c.Bound, Scorer: k.Scorer.Address(), Region: "north",
		})
	}
	return n
}

// publishInitialNote publishes the initial release note once every host knows all
// others.
func (k *Cluster) publishInitialNote(ctx context.Context) error {
	if err := k.WaitForMembers(ctx, len(k.Up())); err != nil {
		return err
	}
	_, err := k.Publish(ctx, k.Note())
	return err
}

// WaitForMembers waits until every running host counts n live members, or until the
// context ends.
func (k *Cluster) WaitForMembers(ctx context.Context, n int) error {
	for {
		ok := true
		for _, h := range k.Up() {
			ok = ok && LiveMembers(ctx, h) == n
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

// LiveMembers returns the number of members that a host counts as live, itself included, or
// -1 if the host does not answer.
func LiveMembers(ctx context.Context, h *Host) int {
	c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
	a, err := c.HostStatus(ctx)
	if err != nil {
		return -1
	}
	return a.Hosts[0].Members
}

// Publish publishes a release note through a running host and waits for its outcome.
func (k *Cluster) Publish(ctx context.Context, n *release.Note) (*operator.Published, error) {
	b, err := n.TOML()
	if err != nil {
		return nil, err
	}
	return k.OperatorClient().Publish(ctx, b, false)
}

// Close kills all hosts and stand-ins.
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
	if k.HostList != nil {
		k.HostList.Kill()
	}
	if k.Balancer != nil {
		k.Balancer.Close()
	}
	if k.Log != nil {
		k.Log.Kill()
	}
}
