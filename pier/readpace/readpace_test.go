package readpace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const allowed = 800 * time.Millisecond

func half() float64 { return 0.5 }

func TestPageBytes(t *testing.T) {
	tests := map[string]struct {
		do   func(p *Pacer)
		want int
	}{
		"at the start":        {func(*Pacer) {}, initialPageBytes},
		"quick":               {func(p *Pacer) { p.Done(initialPageBytes, initialPageBytes, allowed/4) }, 2 * initialPageBytes},
		"slow":                {func(p *Pacer) { p.Done(initialPageBytes, initialPageBytes, allowed/2) }, initialPageBytes},
		"not filled":          {func(p *Pacer) { p.Done(initialPageBytes, 10, 0) }, initialPageBytes},
		"timed out":           {func(p *Pacer) { p.Failed(initialPageBytes, TimedOut) }, initialPageBytes / 2},
		"refused":             {func(p *Pacer) { p.Failed(initialPageBytes, Refused) }, initialPageBytes},
		"timed out together":  {func(p *Pacer) { p.Failed(initialPageBytes, TimedOut); p.Failed(initialPageBytes, TimedOut) }, initialPageBytes / 2},
		"an earlier one done": {func(p *Pacer) { p.Failed(maxPageBytes, TimedOut); p.Done(minPageBytes, minPageBytes, 0) }, initialPageBytes},
		"grows on probation": {func(p *Pacer) {
			p.Failed(initialPageBytes, TimedOut)
			for range probation {
				p.Done(initialPageBytes/2, initialPageBytes/2, 0)
			}
		}, initialPageBytes / 2},
		"grows after probation": {func(p *Pacer) {
			p.Failed(initialPageBytes, TimedOut)
			for range probation + 1 {
				p.Done(initialPageBytes/2, initialPageBytes/2, 0)
			}
		}, initialPageBytes},
		"never below the least": {func(p *Pacer) {
			for range 20 {
				p.Failed(p.PageBytes(), TimedOut)
			}
		}, minPageBytes},
		"never above the most": {func(p *Pacer) {
			for range 20 {
				p.Done(p.PageBytes(), p.PageBytes(), 0)
			}
		}, maxPageBytes},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(allowed, half)
			c.do(p)
			require.Equal(t, c.want, p.PageBytes())
		})
	}
}

func TestDelay(t *testing.T) {
	tests := map[string]struct {
		failures int
		random   float64
		want     time.Duration
	}{
		"none":        {0, 0.5, 0},
		"one":         {1, 0.5, initialDelay},
		"two":         {2, 0.5, 2 * initialDelay},
		"many":        {100, 0.5, maxDelay},
		"least of it": {1, 0, initialDelay / 2},
		"most of it":  {1, 1, initialDelay * 3 / 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(allowed, func() float64 { return c.random })
			require.Equal(t, c.want, p.Delay(c.failures))
		})
	}
}

// Hosts share a log of a limited rate. With pages of one fixed size that takes longer than a page
// may, none of them ever reads a byte; they must come to their ends instead.
func TestHostsOnASlowLogComeToTheirEnds(t *testing.T) {
	const (
		hosts     = 91
		rate      = 10 << 20 // bytes a second for all hosts
		partition = 1 << 20
	)
	perHost := float64(rate) / hosts
	p := New(allowed, half)
	now, read := time.Duration(0), 0
	for read < partition {
		n := p.PageBytes()
		took := time.Duration(float64(n) / perHost * float64(time.Second))
		if took > allowed {
			p.Failed(n, TimedOut)
			now += allowed + p.Delay(1)
			continue
		}
		p.Done(n, n, took)
		read += n
		now += took
		require.Less(t, now, 20*time.Second)
	}
	fixed := time.Duration(float64(maxPageBytes) / perHost * float64(time.Second))
	require.Greater(t, fixed, allowed, "the load is one that pages of a fixed size do not get through")
}
