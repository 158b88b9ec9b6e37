package standin

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	balancerCheck = 100 * time.Millisecond
	balancerDial  = time.Second
)

// Balancer is the stand-in of the platform's balancer in front of the entry
// hosts: it spreads connections over those whose health check is good.
type Balancer struct {
	l     net.Listener
	hosts func() []netip.AddrPort
	m     sync.Mutex
	// good holds the hosts that answered the last check.
	good []netip.AddrPort
	next int
	stop chan struct{}
}

// NewBalancer returns a balancer over the hosts that the function names.
func NewBalancer(hosts func() []netip.AddrPort) (*Balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Balancer{l: l, hosts: hosts, stop: make(chan struct{})}
	go b.check()
	go b.accept()
	return b, nil
}

// Address returns where the balancer listens.
func (b *Balancer) Address() netip.AddrPort { return b.l.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the balancer.
func (b *Balancer) Close() {
	close(b.stop)
	_ = b.l.Close()
}

func (b *Balancer) check() {
	c := http.Client{Timeout: balancerDial, Transport: &http.Transport{DisableKeepAlives: true}}
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
		b.m.Lock()
		b.good = l
		b.m.Unlock()
		select {
		case <-b.stop:
			return
		case <-time.After(balancerCheck):
		}
	}
}

func (b *Balancer) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		go b.join(c)
	}
}

// join connects a caller with the next good host.
func (b *Balancer) join(c net.Conn) {
	defer func() { _ = c.Close() }()
	b.m.Lock()
	if len(b.good) == 0 {
		b.m.Unlock()
		return
	}
	b.next++
	a := b.good[b.next%len(b.good)]
	b.m.Unlock()
	d, err := net.DialTimeout("tcp", a.String(), balancerDial)
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
