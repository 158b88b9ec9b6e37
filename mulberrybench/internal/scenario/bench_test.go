package scenario_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/mulberrybench/internal/scenario"
	"mulberrypier.example/pier/trainer"
)

// readMetric returns the value of the metric with a name and labels from the metrics of
// the host at a, or 0 if the host does not report it.
func readMetric(b testing.TB, a netip.AddrPort, name string) float64 {
	r, err := http.Get("http://" + a.String() + "/metrics")
	require.NoError(b, err)
	defer r.Body.Close()
	t, err := io.ReadAll(r.Body)
	require.NoError(b, err)
	for l := range strings.Lines(string(t)) {
		if v, ok := strings.CutPrefix(l, name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			require.NoError(b, err)
			return f
		}
	}
	return 0
}

// newProcessCluster starts a cluster whose hosts are processes of their own.
func newProcessCluster(b testing.TB, c cluster.Config) *cluster.Cluster {
	c.Launch = scenario.Launcher(b.TempDir())
	k, err := cluster.New(b.Context(), c)
	require.NoError(b, err)
	b.Cleanup(k.Close)
	return k
}

// BenchmarkRelay measures the cost of relaying the engines' streams through one host:
// chunks a second, processor time per chunk, and memory per open stream.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{64, 256, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newProcessCluster(b, cluster.Config{
				Hosts: 1, Engines: 4, Services: 1, Domains: 1, Capacity: n / 4, Trainers: []string{"thaw"}, Bound: 9,
				Engine:  model.Config{Speed: 2000, HalfSpeedBatch: 1e9, MaxBatch: n / 4, CachePrefixes: 64},
				Lengths: model.Lengths{Median: 1e6, Seed: 1},
			})
			a := k.Up()[0].Settings.Listen.Operators
			before := readMetric(b, a, "process_resident_memory_bytes")
			c := trainer.New(trainer.Config{Trainer: "thaw", Hosts: k.Callers()})
			g := newGroups(n/4, 4)
			for i := range g {
				g[i].MaxTokens = 1 << 20
			}
			_, err := c.Open(b.Context(), 1, g)
			require.NoError(b, err)
			time.Sleep(2 * time.Second)
			at, chunks, cpu := time.Now(), readMetric(b, a, "mulberry_engine_chunks_total"), readMetric(b, a, "process_cpu_seconds_total")
			time.Sleep(4 * time.Second)
			d := time.Since(at).Seconds()
			got := readMetric(b, a, "mulberry_engine_chunks_total") - chunks
			spent := readMetric(b, a, "process_cpu_seconds_total") - cpu
			b.ReportMetric(got/d, "chunks/s")
			b.ReportMetric(spent/got*1e6, "cpu-us/chunk")
			b.ReportMetric(got/spent, "chunks/cpu-s")
			// Memory per stream does not include the text: a token has about 5 bytes.
			text := readMetric(b, a, "mulberry_engine_tokens_total") * 5
			b.ReportMetric((readMetric(b, a, "process_resident_memory_bytes")-before-text)/float64(n), "B/stream")
			b.ReportMetric(readMetric(b, a, "mulberry_streams"), "streams")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAddedLatency measures the latency that a host adds to a call to a plain
// service. Calls through the host alternate with direct calls to the stand-in, so that
// both see the same load of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	k := newProcessCluster(b, cluster.Config{Hosts: 1, Engines: 1, Services: 1, Domains: 1, Capacity: 1, Trainers: []string{"thaw"}, Engine: model.Config{Speed: 1, HalfSpeedBatch: 1, MaxBatch: 1}, Lengths: model.Lengths{Median: 1}})
	direct := "http://" + k.Services[0].Address().String() + "/lookup/1"
	through := "http://" + k.Callers()[0].String() + "/v1/services/registry/lookup/1"
	var l [2][]float64
	const calls = 4000
	a := k.Up()[0].Settings.Listen.Operators
	cpu := readMetric(b, a, "process_cpu_seconds_total")
	b.ReportMetric(readMetric(b, a, "process_resident_memory_bytes")/1e6, "idle-RSS-MB")
	for range calls {
		for i, u := range []string{direct, through} {
			at := time.Now()
			r, err := http.Get(u)
			require.NoError(b, err)
			_, err = io.Copy(io.Discard, r.Body)
			require.NoError(b, err)
			require.NoError(b, r.Body.Close())
			l[i] = append(l[i], time.Since(at).Seconds()*1e6)
		}
	}
	b.ReportMetric((readMetric(b, a, "process_cpu_seconds_total")-cpu)/float64(calls)*1e6, "cpu-us/call")
	b.ReportMetric(readMetric(b, a, "process_resident_memory_bytes")/1e6, "RSS-MB")
	for i := range l {
		slices.Sort(l[i])
	}
	q := func(i int, p float64) float64 { return l[i][int(p*float64(len(l[i])))] }
	b.ReportMetric(q(0, 0.5), "direct-p50-us")
	b.ReportMetric(q(0, 0.99), "direct-p99-us")
	b.ReportMetric(q(1, 0.5)-q(0, 0.5), "added-p50-us")
	b.ReportMetric(q(1, 0.99)-q(0, 0.99), "added-p99-us")
	b.ReportMetric(0, "ns/op")
}
