package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"mulberrypier.example/pier/daemon"
	"mulberrypier.example/pier/hostlist"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/settings"
)

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

// Host is an entry host. It stays in the cluster's list after it has ended.
type Host struct {
	Settings *settings.Settings
	Process  *Process
	// Up is false after the host was killed or has drained.
	Up bool
}

// The range of ports for hosts. It lies below the ephemeral ports that the kernel
// assigns to outgoing connections, so that the port of a host is still free when the
// host is restarted, and beside those of the tests of platform.
const (
	firstPort = 12000
	lastPort  = 18000
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
