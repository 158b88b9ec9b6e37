package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

// Guards against requests that a host takes late in a planned stop and cuts when its process ends: also those
// that take longer than others before them did.
func TestPlannedStopAnswersAllThatItTakes(t *testing.T) {
	const period, long = 8 * time.Second, 5 * time.Second
	const longAnswer = maxBufferedBytes + 1
	tests := map[string]stopLoad{
		"once, half a second":       {kind: routetable.KindOnce, lasts: 500 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 3 * time.Second},
		"once, longer":              {kind: routetable.KindOnce, lasts: 1200 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 3 * time.Second},
		"once, long ones late":      {kind: routetable.KindOnce, lasts: 200 * time.Millisecond, late: long, gap: 100 * time.Millisecond, deadline: 10 * time.Second},
		"idempotent":                {kind: routetable.KindIdempotent, lasts: 1200 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 10 * time.Second},
		"idempotent, long ones":     {kind: routetable.KindIdempotent, lasts: 200 * time.Millisecond, late: long, gap: 100 * time.Millisecond, deadline: 10 * time.Second},
		"idempotent, long answers":  {kind: routetable.KindIdempotent, lasts: 200 * time.Millisecond, late: long, gap: 100 * time.Millisecond, deadline: 10 * time.Second, bytes: longAnswer, lateBytes: longAnswer},
		"idempotent, long late":     {kind: routetable.KindIdempotent, lasts: 200 * time.Millisecond, late: long, gap: 100 * time.Millisecond, deadline: 10 * time.Second, lateBytes: longAnswer},
		"streams":                   {kind: routetable.KindStream, lasts: 1200 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 10 * time.Second},
		"streams, deadline in time": {kind: routetable.KindStream, lasts: 1200 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 3 * time.Second},
		"streams, long ones late":   {kind: routetable.KindStream, lasts: 200 * time.Millisecond, late: long, gap: 100 * time.Millisecond, deadline: 10 * time.Second},
		"wait for a server's limit": {kind: routetable.KindOnce, lasts: 50 * time.Millisecond, gap: 100 * time.Millisecond, deadline: 10 * time.Second, limit: "8"},
		"streams that wait":         {kind: routetable.KindStream, lasts: time.Second, gap: 100 * time.Millisecond, deadline: 10 * time.Second, limit: "4"},
		"short":                     {kind: routetable.KindOnce, lasts: 40 * time.Millisecond, gap: 10 * time.Millisecond, deadline: 3 * time.Second},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := p.play(t, period)
			t.Logf("longest %v, host idle after %v, machine late by up to %v", v.longest, v.idle, v.lag)
			v.check(t, p, period)
		})
	}
}

// serveCalls has the host answer callers' requests on the route for plain requests, and returns
// its address. Each has the deadline that its Deadline field states.
func (g *Gateway) serveCalls(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	require.NoError(t, g.serve(a, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.Table().Match("h", r.URL.Path)
		if c == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		d, err := time.ParseDuration(r.Header.Get(testDialect.Deadline))
		if err != nil {
			panic(err)
		}
		b, _ := io.ReadAll(r.Body)
		x, err := g.Do(r.Context(), Call{
			Route: c, Method: r.Method, Target: r.URL.Path, Host: "h", ID: r.Header.Get(testDialect.RequestID), Body: b,
			Header: http.Header{}, Deadline: time.Now().Add(d), Purpose: backend.PurposeCall,
		})
		switch {
		case err == nil:
		case outcome.AsError(err).Outcome == outcome.NotRun:
			w.Header().Set("Reason", err.Error())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		default:
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		defer x.Close()
		w.WriteHeader(x.Status)
		_, _ = w.Write(x.Body)
		if x.Rest == nil {
			return
		}
		if _, err := io.Copy(w, x.Rest); err != nil {
			panic(http.ErrAbortHandler)
		}
	})))
	return a
}

// awaitClosed returns, once no request may begin any more, the last time at which one was seen to be able to.
func (p *inProgress) awaitClosed() time.Time {
	var open time.Time
	for {
		now := time.Now()
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return open
		}
		open = now
		time.Sleep(time.Millisecond)
	}
}

// measureLag asks a server of package net/http alone, every few milliseconds, until the function that
// it returns is called. That one returns the longest time of an answer: by as much the machine, not
// the host, may be late.
func measureLag(t *testing.T) (end func() time.Duration) {
	t.Helper()
	const probers, interval = 4, 5 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	var longest [probers]time.Duration
	done := make(chan struct{})
	var w sync.WaitGroup
	for i, c := range openConnections(t, netip.MustParseAddrPort(s.Listener.Addr().String()), probers) {
		w.Go(func() {
			defer c.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
				began := time.Now()
				r, err := c.Get(s.URL)
				if err != nil {
					panic(err)
				}
				_ = r.Body.Close()
				longest[i] = max(longest[i], time.Since(began))
			}
		})
	}
	return func() time.Duration {
		close(done)
		w.Wait()
		s.Close()
		return slices.Max(longest[:])
	}
}

// openConnections returns clients that each have one open connection to an address. It returns once all
// are open, so that a slow machine delays the load rather than part of it.
func openConnections(t *testing.T, a netip.AddrPort, n int) []*http.Client {
	t.Helper()
	const atOnce = 32
	conns := make([]*http.Client, n)
	var w sync.WaitGroup
	for first := range atOnce {
		w.Go(func() {
			for i := first; i < n; i += atOnce {
				conns[i] = &http.Client{Transport: &http.Transport{DisableCompression: true}}
				assert.NoError(t, openConnection(conns[i], a))
			}
		})
	}
	w.Wait()
	return conns
}

// openConnection opens the connection of a client. A client on a slow machine may not keep the first
// one.
func openConnection(c *http.Client, a netip.AddrPort) error {
	kept := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		PutIdleConn: func(err error) { kept = err == nil },
	})
	for !kept {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/other", nil)
		if err != nil {
			return err
		}
		r, err := c.Do(q)
		if err != nil {
			return err
		}
		if err := r.Body.Close(); err != nil {
			return err
		}
	}
	return nil
}
