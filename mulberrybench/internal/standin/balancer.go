package standin

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"mulberrypier.example/pier/acceptretry"
)

const (
	healthCheckInterval = 100 * time.Millisecond
	balancerTimeout     = time.Second
)

// Balancer stands in for the platform's TCP load balancer in front of the entry
// hosts. It forwards connections, in round-robin order, to the hosts whose last
// health check succeeded.
type Balancer struct {
	l     net.Listener
	hosts func() []netip.AddrPort
	mu    sync.Mutex
	// healthy holds the hosts whose last health check returned 200.
	healthy []netip.AddrPort
	next    int
	stop    chan struct{}
}

// NewBalancer starts a balancer on a free loopback port. It calls hosts before
// each round of health checks to get the current addresses.
func NewBalancer(hosts func() []netip.AddrPort) (*Balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Balancer{l: acceptretry.New(acceptretry.Config{Listener: l}), hosts: hosts, stop: make(chan struct{})}
	go b.checkHealth()
	go b.accept()
	return b, nil
}

// Address returns the address that the balancer listens on.
func (b *Balancer) Address() netip.AddrPort { return b.l.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the health checks and the listener. Open connections stay open
// until one of their ends closes them.
func (b *Balancer) Close() {
	close(b.stop)
	_ = b.l.Close()
}

func (b *Balancer) checkHealth() {
	c := http.Client{Timeout: balancerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var l []netip.AddrPort
		for _, a := range b.hosts() {
			r, err := c.Get("http://" + a.String() + "/healthz")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				l = append(l, a)
			}
		}
		b.mu.Lock()
		b.healthy = l
		b.mu.Unlock()
		select {
		case <-b.stop:
			return
		case <-time.After(healthCheckInterval):
		}
	}
}

func (b *Balancer) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		go b.proxy(c)
	}
}

// proxy forwards a caller's connection to the next healthy host until either end
// closes it. Without a healthy host it closes the connection.
func (b *Balancer) proxy(c net.Conn) {
	defer func() { _ = c.Close() }()
	b.mu.Lock()
	if len(b.healthy) == 0 {
		b.mu.Unlock()
		return
	}
	b.next++
	a := b.healthy[b.next%len(b.healthy)]
	b.mu.Unlock()
	d, err := net.DialTimeout("tcp", a.String(), balancerTimeout)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	done := make(chan struct{}, 2)
	for _, p := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			_, _ = io.Copy(p[0], p[1])
			done <- struct{}{}
		}()
	}
	<-done
}
