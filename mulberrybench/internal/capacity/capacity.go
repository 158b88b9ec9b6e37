// Package capacity measures the slopes from which docs/CAPACITY.md is worked out:
// what each role costs at three sizes or more, with a straight line through them.
package capacity

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/mulberrybench/internal/membersim"
	"mulberrypier.example/pier/claim"
	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/ring"
	"mulberrypier.example/pier/rollout"
)

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a quantity over a size.
type Slope struct {
	Role, What, Size, Unit string
	Points                 []Point
	// At is the size that the letter asks for.
	At float64
}

// Fit returns the line through the points, and the largest distance of a point
// from it, as a part of the largest value.
func (s *Slope) Fit() (base, slope, residual float64) {
	var n, sx, sy, sxx, sxy, top float64
	for _, p := range s.Points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		top = math.Max(top, p.Value)
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	base = (sy - slope*sx) / n
	for _, p := range s.Points {
		residual = math.Max(residual, math.Abs(base+slope*p.Size-p.Value))
	}
	return base, slope, residual / math.Max(top, 1e-12)
}

// Measure runs all measurements. With members set, membership is run too, which
// takes a minute or two.
func Measure(members bool) []Slope {
	l := []Slope{
		foldTime(), snapshotBytes(), snapshotHeap(), refreshTime(), noteRefreshTime(), offerTime(),
		assignTime(), stepHeap(), sampleBytes(), claimTime(), claimHeap(), heartbeatBytes(),
	}
	if members {
		l = append(l, memberSlopes()...)
	}
	return l
}

// Table writes the slopes.
func Table(w io.Writer, l []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "role\twhat\tunit\tsize\tpoints\tbase\tslope\tresidual\tat\tvalue")
	for i := range l {
		s := &l[i]
		b, m, r := s.Fit()
		p := ""
		for _, x := range s.Points {
			p += fmt.Sprintf("%g:%.4g ", x.Size, x.Value)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%g\t%.4g\n", s.Role, s.What, s.Unit, s.Size, p, b, m, 100*r, s.At, b+m*s.At)
	}
	return t.Flush()
}

// timed returns the microseconds of one call of f, over at least a tenth of a
// second.
func timed(f func()) float64 {
	f()
	n, at := 0, time.Now()
	for time.Since(at) < 100*time.Millisecond {
		f()
		n++
	}
	return time.Since(at).Seconds() * 1e6 / float64(n)
}

// heap returns the bytes that what f returns keeps alive.
func heap(f func() any) float64 {
	var a, b runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&a)
	x := f()
	runtime.GC()
	runtime.ReadMemStats(&b)
	runtime.KeepAlive(x)
	return float64(b.HeapAlloc) - float64(a.HeapAlloc)
}

func over(sizes []int, f func(n int) float64) []Point {
	var l []Point
	for _, n := range sizes {
		l = append(l, Point{float64(n), f(n)})
	}
	return l
}

var (
	servers = []int{1500, 3000, 6000, 12000}
	hosts   = []int{13, 100, 340, 680}
	// memberHosts are the numbers at which membership is run; more takes minutes.
	memberHosts = []int{13, 50, 100, 200}
	slots       = []int{2048, 8192, 16384}
)

func server(i int) release.Server {
	return release.Server{
		Name: fmt.Sprintf("engine-%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		Deployment: "d", Region: fmt.Sprint("region-", i%5), Domain: fmt.Sprint("domain-", i%12), Capacity: 64,
	}
}

func snapshot(n int) *config.Snapshot {
	e := &release.Note{ID: "all"}
	e.Added.Deployments = []release.Deployment{{Name: "d"}}
	for i := range n {
		e.Added.Servers = append(e.Added.Servers, server(i))
	}
	s, v := config.New().Apply(0, e)
	if v.Err != nil {
		panic(v.Err)
	}
	return s
}

func foldTime() Slope {
	return Slope{"log reader", "one change of one server", "servers", "us", over(servers, func(n int) float64 {
		s, i := snapshot(n), 0
		return timed(func() {
			i++
			x := server(i % n)
			x.Capacity = 1 + i%9
			c := &release.Note{ID: fmt.Sprint(i), Base: s.Revision(), Changed: release.Entries{Servers: []release.Server{x}}}
			s, _ = s.Apply(s.Next(), c)
		})
	}), 12000}
}

func snapshotBytes() Slope {
	return Slope{"log reader", "snapshot in the log", "servers", "KB", over(servers, func(n int) float64 {
		return float64(len(snapshot(n).Encode())) / 1e3
	}), 12000}
}

func snapshotHeap() Slope {
	return Slope{"log reader", "configuration in memory", "servers", "MB", over(servers, func(n int) float64 {
		return heap(func() any { return snapshot(n) }) / 1e6
	}), 12000}
}

func candidates(n int) []ring.Candidate {
	var c []ring.Candidate
	for i := range n {
		c = append(c, ring.Candidate{ID: fmt.Sprintf("host-%03d-0123456789ab", i), Region: fmt.Sprint("region-", i%5)})
	}
	return c
}

func refreshTime() Slope {
	return Slope{"owner", "owners after a host was replaced, 680 hosts", "servers", "ms", over(servers, func(n int) float64 {
		s, c, a, i := snapshot(n), candidates(680), ring.NewAssignment(), 0
		return timed(func() {
			i++
			c[i%680].ID = fmt.Sprint("new-", i)
			a.SetCandidates(c)
			s.EachServer(func(v release.Server) { a.Holder("server:"+v.Name, v.Region) })
		}) / 1e3
	}), 12000}
}

func noteRefreshTime() Slope {
	return Slope{"owner", "owners after a note, 680 hosts", "servers", "ms", over(servers, func(n int) float64 {
		s, c, a := snapshot(n), candidates(680), ring.NewAssignment()
		return timed(func() {
			a.SetCandidates(c)
			s.EachServer(func(v release.Server) { a.Holder("server:"+v.Name, v.Region) })
		}) / 1e3
	}), 12000}
}

func offerTime() Slope {
	return Slope{"owner", "one offer", "owned servers", "us", over([]int{18, 180, 1800}, func(n int) float64 {
		t := owner.New(owner.Config{})
		var l []owner.Owned
		for i := range n {
			l = append(l, owner.Owned{Server: server(i)})
		}
		t.Own(l)
		for _, x := range t.Names() {
			t.Report(time.Unix(1, 0), x, &engine.Load{})
		}
		return timed(func() { t.Offers(time.Unix(1, 0), "d", "m") })
	}), 18}
}

func step(n int) *rollout.Coordinator {
	c := rollout.NewCoordinator(rollout.Config{Key: rollout.StepKey{Trainer: "t", Step: 1}, Policy: rollout.Policy{Order: rollout.OrderLongest, Siblings: true}})
	var g []rollout.Group
	for i := range n / 16 {
		g = append(g, rollout.Group{First: rollout.Slot(i * 16), Samples: 16, Prompt: "p", MaxTokens: 4000})
	}
	if err := c.Open(g); err != nil {
		panic(err)
	}
	return c
}

func assignTime() Slope {
	return Slope{"coordinator", "one assignment", "slots", "us", over(slots, func(n int) float64 {
		o := make([]rollout.Offer, 1)
		at := time.Now()
		took := time.Duration(0)
		runs := 0
		for time.Since(at) < 200*time.Millisecond {
			c := step(n)
			from := time.Now()
			for i := range n {
				o[0] = rollout.Offer{Server: servernames[i%len(servernames)], Room: 1, Until: -1}
				c.Ask(from, "h", o)
			}
			took += time.Since(from)
			runs += n
		}
		return took.Seconds() * 1e6 / float64(runs)
	}), 16384}
}

// servernames are the names of all backend servers of the letter's size.
var servernames = func() []string {
	var l []string
	for i := range 12000 {
		l = append(l, fmt.Sprintf("engine-%05d", i))
	}
	return l
}()

func stepHeap() Slope {
	return Slope{"coordinator", "a step without samples", "slots", "MB", over(slots, func(n int) float64 {
		return heap(func() any { return step(n) }) / 1e6
	}), 16384}
}

func sampleBytes() Slope {
	return Slope{"coordinator", "a finished sample on the wire", "tokens", "KB", over([]int{250, 1000, 4000}, func(n int) float64 {
		s := &rollout.Sample{Stream: rollout.Stream{Key: rollout.StepKey{Trainer: "t", Step: 1}}, Tokens: n, Text: string(make([]byte, 4*n))}
		s.Segments = []rollout.Segment{{Version: 7, First: 0, End: n / 2}, {Version: 8, First: n / 2, End: n}}
		b, err := msgpack.Marshal(s)
		if err != nil {
			panic(err)
		}
		return float64(len(b)) / 1e3
	}), 1000}
}

func ledger(n int) *claim.Ledger {
	l := claim.New(claim.Config{Horizon: time.Hour, Skew: time.Minute, Max: 1 << 30})
	for i := range n {
		l.Apply(int64(i), time.Unix(1000, 0), &claim.Record{Key: fmt.Sprintf("01a23ef7-ef90-7c09-be03-%012d", i), Nonce: "0123456789ab", Host: "host-000-0123456789ab"})
	}
	return l
}

func claimTime() Slope {
	return Slope{"claims", "one claim folded", "claims kept", "us", over([]int{1000, 10000, 100000}, func(n int) float64 {
		l, i := ledger(n), n
		return timed(func() {
			l.Apply(int64(i), time.Unix(1000, 0), &claim.Record{Key: fmt.Sprint(i), Nonce: "n"})
			i++
		})
	}), 65536}
}

func claimHeap() Slope {
	return Slope{"claims", "claims in memory", "claims kept", "MB", over([]int{1000, 10000, 100000}, func(n int) float64 {
		return heap(func() any { return ledger(n) }) / 1e6
	}), 65536}
}

func heartbeatBytes() Slope {
	return Slope{"members", "neighbours of a host", "hosts", "hosts", over(hosts, func(n int) float64 {
		r := membersim.New(membersim.Config{Hosts: n, Hop: time.Millisecond, Far: time.Millisecond})
		return float64(len(r.Hosts[0].Table.Neighbours()))
	}), 680}
}

// neighbours returns the number of ring distances below n.
func neighbours(n int) float64 { return math.Ceil(math.Log2(float64(n))) }

// memberSlopes runs membership at all sizes.
func memberSlopes() []Slope {
	l := []Slope{
		{"members", "bytes sent, at rest", "neighbours", "B/s", nil, 10},
		{"members", "messages sent, at rest", "neighbours", "1/s", nil, 10},
		{"members", "bytes sent, a host replaced every 10 s", "neighbours", "B/s", nil, 10},
		{"members", "all know of a death", "neighbours", "ms", nil, 10},
		{"members", "all know of a silent host", "neighbours", "ms", nil, 10},
		{"members", "all know of a leave", "neighbours", "ms", nil, 10},
		{"members", "all know of a join", "neighbours", "ms", nil, 10},
	}
	for _, n := range memberHosts {
		w := membersim.Measure(n, 1)
		ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
		for i, v := range []float64{w.Bytes, w.Messages, w.Churn, ms(w.Death), ms(w.Silent), ms(w.Leave), ms(w.Join)} {
			l[i].Points = append(l[i].Points, Point{neighbours(n), v})
		}
	}
	return l
}
