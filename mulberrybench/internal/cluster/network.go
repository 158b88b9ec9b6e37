package cluster

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"mulberrypier.example/pier/outcome"
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
