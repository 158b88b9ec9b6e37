// Package capacity measures how the cost of each role grows with the size of the
// system, at three sizes or more, and fits a straight line to the measurements.
// docs/CAPACITY.md is calculated from these lines.
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

// Point is the value of a quantity measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope describes how a quantity, measured in Unit, grows with a size. Size names what
// is counted, such as servers.
type Slope struct {
	Role, Quantity, Size, Unit string
	Points                     []Point
	// TargetSize is the size that the system must support. Table extrapolates to it.
	TargetSize float64
}

// Fit returns the least-squares line through the points, and the largest distance of
// a point from it as a fraction of the largest value.
func (s *Slope) Fit() (base, slope, residual float64) {
	var n, sx, sy, sxx, sxy, maxValue float64
	for _, p := range s.Points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		maxValue = math.Max(maxValue, p.Value)
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	base = (sy - slope*sx) / n
	for _, p := range s.Points {
		residual = math.Max(residual, math.Abs(base+slope*p.Size-p.Value))
	}
	return base, slope, residual / math.Max(maxValue, 1e-12)
}

// Measure runs all measurements. If members is set, it also simulates membership,
// which takes a minute or two.
func Measure(members bool) []Slope {
	l := []Slope{
		foldTime(), snapshotBytes(), snapshotHeap(), reassignTime(), lookupTime(), offerTime(),
		assignTime(), stepHeap(), sampleBytes(), claimTime(), claimHeap(), neighbourCount(),
	}
	if members {
		l = append(l, membershipSlopes()...)
	}
	return l
}

// Table writes a table with one row per slope: its points, the fitted line and the
// value that the line predicts at the target size.
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
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%g\t%.4g\n", s.Role, s.Quantity, s.Unit, s.Size, p, b, m, 100*r, s.TargetSize, b+m*s.TargetSize)
	}
	return t.Flush()
}

// microsPerCall returns the mean duration of a call of f in microseconds, measured
// for at least 100 ms after one call to warm up.
func microsPerCall(f func()) float64 {
	f()
	n, at := 0, time.Now()
	for time.Since(at) < 100*time.Millisecond {
		f()
		n++
	}
	return time.Since(at).Seconds() * 1e6 / float64(n)
}

// retainedBytes returns how many bytes of heap the result of f keeps alive.
func retainedBytes(f func() any) float64 {
	var a, b runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&a)
	x := f()
	runtime.GC()
	runtime.ReadMemStats(&b)
	runtime.KeepAlive(x)
	return float64(b.HeapAlloc) - float64(a.HeapAlloc)
}

// measureAt calls f for each size and returns the points.
func measureAt(sizes []int, f func(n int) float64) []Point {
	var l []Point
	for _, n := range sizes {
		l = append(l, Point{float64(n), f(n)})
	}
	return l
}

// The sizes at which the quantities are measured.
var (
	serverCounts = []int{1500, 3000, 6000, 12000}
	hostCounts   = []int{13, 100, 340, 680}
	// simulatedHostCounts are the sizes at which membership is simulated. Larger ones
	// take minutes each.
	simulatedHostCounts = []int{13, 50, 100, 200}
	slotCounts          = []int{2048, 8192, 16384}
)

func newServer(i int) release.Server {
	return release.Server{
		Name: fmt.Sprintf("engine-%05d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		Deployment: "d", Region: fmt.Sprint("region-", i%5), Domain: fmt.Sprint("domain-", i%12), Capacity: 64,
	}
}

// newSnapshot returns a configuration with n backend servers in one deployment.
func newSnapshot(n int) *config.Snapshot {
	e := &release.Note{ID: "all"}
	e.Added.Deployments = []release.Deployment{{Name: "d"}}
	for i := range n {
		e.Added.Servers = append(e.Added.Servers, newServer(i))
	}
	s, v := config.New().Apply(0, e)
	if v.Err != nil {
		panic(v.Err)
	}
	return s
}

// foldTime measures how long it takes to apply a release note that changes one server.
func foldTime() Slope {
	return Slope{"log reader", "one change of one server", "servers", "us", measureAt(serverCounts, func(n int) float64 {
		s, i := newSnapshot(n), 0
		return microsPerCall(func() {
			i++
			x := newServer(i % n)
			x.Capacity = 1 + i%9
			c := &release.Note{ID: fmt.Sprint(i), Base: s.Revision(), Changed: release.Entries{Servers: []release.Server{x}}}
			s, _ = s.Apply(s.Next(), c)
		})
	}), 12000}
}

func snapshotBytes() Slope {
	return Slope{"log reader", "snapshot in the log", "servers", "KB", measureAt(serverCounts, func(n int) float64 {
		return float64(len(newSnapshot(n).Encode())) / 1e3
	}), 12000}
}

func snapshotHeap() Slope {
	return Slope{"log reader", "configuration in memory", "servers", "MB", measureAt(serverCounts, func(n int) float64 {
		return retainedBytes(func() any { return newSnapshot(n) }) / 1e6
	}), 12000}
}

// newCandidates returns n hosts that may own backend servers.
func newCandidates(n int) []ring.Candidate {
	var c []ring.Candidate
	for i := range n {
		c = append(c, ring.Candidate{ID: fmt.Sprintf("host-%03d-0123456789ab", i), Region: fmt.Sprint("region-", i%5)})
	}
	return c
}

// reassignTime measures how long it takes to find the owner of every server after one
// of 680 hosts was replaced.
func reassignTime() Slope {
	return Slope{"owner", "owners after a host was replaced, 680 hosts", "servers", "ms", measureAt(serverCounts, func(n int) float64 {
		s, c, a, i := newSnapshot(n), newCandidates(680), ring.NewAssignment(), 0
		return microsPerCall(func() {
			i++
			c[i%680].ID = fmt.Sprint("new-", i)
			a.SetCandidates(c)
			s.EachServer(func(v release.Server) { a.Holder("server:"+v.Name, v.Region) })
		}) / 1e3
	}), 12000}
}

// lookupTime measures how long it takes to find the owner of every server again while
// the hosts stay the same, as after a release note.
func lookupTime() Slope {
	return Slope{"owner", "owners after a note, 680 hosts", "servers", "ms", measureAt(serverCounts, func(n int) float64 {
		s, c, a := newSnapshot(n), newCandidates(680), ring.NewAssignment()
		return microsPerCall(func() {
			a.SetCandidates(c)
			s.EachServer(func(v release.Server) { a.Holder("server:"+v.Name, v.Region) })
		}) / 1e3
	}), 12000}
}

// offerTime measures how long an owner takes to list the free slots of its servers.
func offerTime() Slope {
	return Slope{"owner", "one offer", "owned servers", "us", measureAt([]int{18, 180, 1800}, func(n int) float64 {
		t := owner.New(owner.Config{})
		var l []owner.Owned
		for i := range n {
			l = append(l, owner.Owned{Server: newServer(i)})
		}
		t.SetOwned(l)
		for _, x := range t.Names() {
			t.Report(time.Unix(1, 0), x, &engine.Load{})
		}
		return microsPerCall(func() { t.Offers(time.Unix(1, 0), "d", "m") })
	}), 18}
}

// newStep returns the coordinator of an open step with n slots, in groups of 16.
func newStep(n int) *rollout.Coordinator {
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

// assignTime measures the mean time of one call of Assign, over all slots of a step.
func assignTime() Slope {
	return Slope{"coordinator", "one assignment", "slots", "us", measureAt(slotCounts, func(n int) float64 {
		o := make([]rollout.Offer, 1)
		at := time.Now()
		took := time.Duration(0)
		runs := 0
		for time.Since(at) < 200*time.Millisecond {
			c := newStep(n)
			from := time.Now()
			for i := range n {
				o[0] = rollout.Offer{Server: serverNames[i%len(serverNames)], FreeSlots: 1, SecondsToLoad: -1}
				c.Assign(from, "h", o)
			}
			took += time.Since(from)
			runs += n
		}
		return took.Seconds() * 1e6 / float64(runs)
	}), 16384}
}

// serverNames holds the names of 12000 backend servers, the target size of a system.
var serverNames = func() []string {
	var l []string
	for i := range 12000 {
		l = append(l, fmt.Sprintf("engine-%05d", i))
	}
	return l
}()

func stepHeap() Slope {
	return Slope{"coordinator", "a step without samples", "slots", "MB", measureAt(slotCounts, func(n int) float64 {
		return retainedBytes(func() any { return newStep(n) }) / 1e6
	}), 16384}
}

func sampleBytes() Slope {
	return Slope{"coordinator", "a finished sample on the wire", "tokens", "KB", measureAt([]int{250, 1000, 4000}, func(n int) float64 {
		s := &rollout.Sample{Stream: rollout.Stream{Key: rollout.StepKey{Trainer: "t", Step: 1}}, Tokens: n, Text: string(make([]byte, 4*n))}
		s.Segments = []rollout.Segment{{Version: 7, First: 0, End: n / 2}, {Version: 8, First: n / 2, End: n}}
		b, err := msgpack.Marshal(s)
		if err != nil {
			panic(err)
		}
		return float64(len(b)) / 1e3
	}), 1000}
}

// newLedger returns a ledger with n claims. Its limit is far above n, so that no claim
// is refused.
func newLedger(n int) *claim.Ledger {
	l := claim.New(claim.Config{Horizon: time.Hour, Skew: time.Minute, Max: 1 << 30})
	for i := range n {
		l.Apply(int64(i), time.Unix(1000, 0), &claim.Record{Key: fmt.Sprintf("01a23ef7-ef90-7c09-be03-%012d", i), Nonce: "0123456789ab", Host: "host-000-0123456789ab"})
	}
	return l
}

// claimTime measures how long a ledger takes to apply one more claim.
func claimTime() Slope {
	return Slope{"claims", "one claim folded", "claims kept", "us", measureAt([]int{1000, 10000, 100000}, func(n int) float64 {
		l, i := newLedger(n), n
		return microsPerCall(func() {
			l.Apply(int64(i), time.Unix(1000, 0), &claim.Record{Key: fmt.Sprint(i), Nonce: "n"})
			i++
		})
	}), 65536}
}

func claimHeap() Slope {
	return Slope{"claims", "claims in memory", "claims kept", "MB", measureAt([]int{1000, 10000, 100000}, func(n int) float64 {
		return retainedBytes(func() any { return newLedger(n) }) / 1e6
	}), 65536}
}

// neighbourCount measures to how many members a host sends heartbeats.
func neighbourCount() Slope {
	return Slope{"members", "neighbours of a host", "hosts", "hosts", measureAt(hostCounts, func(n int) float64 {
		r := membersim.New(membersim.Config{Hosts: n, IntraRegionDelay: time.Millisecond, InterRegionDelay: time.Millisecond})
		return float64(len(r.Hosts[0].Table.Neighbours()))
	}), 680}
}

// expectedNeighbours returns how many neighbours a host has among n hosts: one at each
// of the ring distances 1, 2, 4 and so on below n.
func expectedNeighbours(n int) float64 { return math.Ceil(math.Log2(float64(n))) }

// membershipSlopes simulates membership at each of simulatedHostCounts.
func membershipSlopes() []Slope {
	l := []Slope{
		{"members", "bytes sent, at rest", "neighbours", "B/s", nil, 10},
		{"members", "messages sent, at rest", "neighbours", "1/s", nil, 10},
		{"members", "bytes sent, a host replaced every 10 s", "neighbours", "B/s", nil, 10},
		{"members", "all know of a death", "neighbours", "ms", nil, 10},
		{"members", "all know of a silent host", "neighbours", "ms", nil, 10},
		{"members", "all know of a leave", "neighbours", "ms", nil, 10},
		{"members", "all know of a join", "neighbours", "ms", nil, 10},
	}
	for _, n := range simulatedHostCounts {
		w := membersim.Measure(n, 1)
		ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
		for i, v := range []float64{w.IdleBytes, w.IdleMessages, w.ChurnBytes, ms(w.Death), ms(w.Unresponsive), ms(w.Leave), ms(w.Join)} {
			l[i].Points = append(l[i].Points, Point{expectedNeighbours(n), v})
		}
	}
	return l
}
