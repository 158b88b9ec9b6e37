package scenario_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/trainer"
)

// sampleMonitor is a trainer that pulls one step after another and records the longest
// time between two deliveries of samples.
type sampleMonitor struct {
	mu sync.Mutex
	// last is the time of the last delivery, gap the longest time between two deliveries
	// since longestGap was called, and n the number of samples so far.
	last time.Time
	gap  time.Duration
	n    int
}

// run pulls steps through the address a until ctx ends or a call fails.
func (f *sampleMonitor) run(ctx context.Context, a netip.AddrPort) {
	c := trainer.New(trainer.Config{Trainer: "thaw", Hosts: []netip.AddrPort{a}})
	for n := int64(1); ctx.Err() == nil; n++ {
		s, err := c.Open(ctx, n, newGroups(512, 8))
		if err != nil {
			return
		}
		s.Version, s.Max, s.Wait = 1, 64, 200*time.Millisecond
		for !s.Complete() && ctx.Err() == nil {
			l, err := s.Pull(ctx)
			if err != nil {
				return
			}
			f.record(len(l))
		}
	}
}

// record counts n samples that were delivered now.
func (f *sampleMonitor) record(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n == 0 {
		return
	}
	f.n += n
	now := time.Now()
	f.gap = max(f.gap, now.Sub(f.last))
	f.last = now
}

// longestGap returns the longest time between two deliveries since its last call.
func (f *sampleMonitor) longestGap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gap
	f.gap = 0
	return g
}

// coordinatorHost returns the host that coordinates a step.
func coordinatorHost(b *testing.B, k *cluster.Cluster) *cluster.Host {
	a, err := k.OperatorClient().Status(b.Context())
	require.NoError(b, err)
	for i := range a.Hosts {
		for _, h := range k.Up() {
			if len(a.Hosts[i].Steps) > 0 && strings.HasPrefix(a.Hosts[i].Self.ID, h.Settings.Name+"-") {
				return h
			}
		}
	}
	b.Fatal("no host coordinates a step")
	return nil
}

// BenchmarkRecovery measures the longest time in which a trainer gets no sample after
// the loss of a coordinator, of an owner, of the log, and of a failure domain, with
// 13 hosts in four failure domains and 13 engines.
func BenchmarkRecovery(b *testing.B) {
	k, err := cluster.New(b.Context(), cluster.Config{
		Hosts: 13, Engines: 13, Services: 1, Domains: 4, Capacity: 8, Trainers: []string{"thaw"}, Bound: 5,
		Engine:  model.Config{Speed: 300, HalfSpeedBatch: 64, MaxBatch: 8, PrefillTokens: 1, CachePrefixes: 64},
		Lengths: model.Lengths{Median: 120, GroupSigma: 0.2, SampleSigma: 0.2, Seed: 1},
	})
	require.NoError(b, err)
	defer k.Close()
	n := &release.Note{ID: "more", Base: 1}
	n.Added.Deployments = []release.Deployment{{Name: "more"}}
	p, err := k.Publish(b.Context(), n)
	require.NoError(b, err)
	require.Equal(b, "in-force", p.State)
	b.ReportMetric(p.Took.Seconds()*1e3, "note-ms")
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	f := &sampleMonitor{last: time.Now()}
	go f.run(ctx, k.Balancer.Address())
	time.Sleep(4 * time.Second)
	f.longestGap()
	time.Sleep(3 * time.Second)
	b.ReportMetric(f.longestGap().Seconds()*1e3, "undisturbed-ms")

	k.Kill(coordinatorHost(b, k))
	time.Sleep(5 * time.Second)
	b.ReportMetric(f.longestGap().Seconds()*1e3, "coordinator-ms")

	c := coordinatorHost(b, k)
	for _, h := range k.Up() {
		if h != c {
			k.Kill(h)
			break
		}
	}
	time.Sleep(5 * time.Second)
	b.ReportMetric(f.longestGap().Seconds()*1e3, "owner-ms")

	k.Log.SetUnavailable(true)
	time.Sleep(3 * time.Second)
	b.ReportMetric(f.longestGap().Seconds()*1e3, "log-ms")
	k.Log.SetUnavailable(false)

	d := coordinatorHost(b, k).Settings.Domain
	gone := 0
	for _, h := range k.Up() {
		if h.Settings.Domain == d {
			k.Kill(h)
			gone++
		}
	}
	time.Sleep(6 * time.Second)
	b.ReportMetric(f.longestGap().Seconds()*1e3, fmt.Sprintf("domain-of-%d-ms", gone))
	b.ReportMetric(float64(f.n), "samples")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.Sys)/1e6, "process-MB")
	b.ReportMetric(0, "ns/op")
}
