package config

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

func server(n, deployment string) release.Server {
	return release.Server{Name: n, Address: address, Deployment: deployment, Capacity: 1}
}

// base returns a snapshot with deployment d, server s of it, and trainer t.
func base(t testing.TB) *Snapshot {
	n := &release.Note{ID: "base"}
	n.Added.Deployments = []release.Deployment{{Name: "d"}, {Name: "e"}}
	n.Added.Servers = []release.Server{server("s", "d")}
	n.Added.Trainers = []release.Trainer{{Name: "t", Deployment: "d"}}
	s, v := New().Apply(0, n)
	require.Nil(t, v.Err)
	return s
}

// TestApply covers what a note may do to a configuration.
func TestApply(t *testing.T) {
	k := func(kind release.Kind, n string) release.Key { return release.Key{Kind: kind, Name: n} }
	for name, x := range map[string]struct {
		note   release.Note
		reason outcome.Reason
	}{
		"adds a server":               {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{server("x", "d")}}}, ""},
		"adds one that exists":        {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{server("s", "d")}}}, outcome.ReasonConflict},
		"changes one that is missing": {release.Note{Base: 1, Changed: release.Entries{Servers: []release.Server{server("x", "d")}}}, outcome.ReasonConflict},
		"moves a server":              {release.Note{Base: 1, Changed: release.Entries{Servers: []release.Server{server("s", "e")}}}, ""},
		"refers to nothing":           {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{server("x", "z")}}}, outcome.ReasonUnknownName},
		"was written before":          {release.Note{Base: 0, Changed: release.Entries{Servers: []release.Server{server("s", "d")}}}, outcome.ReasonConflict},
		"was written after":           {release.Note{Base: 9, Changed: release.Entries{Servers: []release.Server{server("s", "d")}}}, outcome.ReasonStaleBase},
		"withdraws a used pool":       {release.Note{Base: 1, Withdrawn: []release.Key{k(release.KindDeployment, "d")}}, outcome.ReasonConflict},
		"withdraws an unused pool":    {release.Note{Base: 1, Withdrawn: []release.Key{k(release.KindDeployment, "e")}}, ""},
		"withdraws pool and users": {release.Note{Base: 1, Withdrawn: []release.Key{
			k(release.KindDeployment, "d"), k(release.KindServer, "s"), k(release.KindTrainer, "t"),
		}}, ""},
		"uses what it withdraws": {release.Note{
			Base: 1, Added: release.Entries{Servers: []release.Server{server("x", "e")}}, Withdrawn: []release.Key{k(release.KindDeployment, "e")},
		}, outcome.ReasonUnknownName},
		"touches nothing": {release.Note{Base: 1}, outcome.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s := base(t)
			x.note.ID = "n"
			c, v := s.Apply(1, &x.note)
			require.Equal(t, int64(2), c.Next())
			if x.reason == "" {
				require.Nil(t, v.Err)
				require.Equal(t, int64(2), c.Revision())
				return
			}
			require.NotNil(t, v.Err)
			require.Equal(t, x.reason, v.Err.Reason, "%v", v.Err)
			require.Equal(t, int64(1), c.Revision())
		})
	}
}

// TestRepeated covers a note whose append was repeated, as its answer was lost.
func TestRepeated(t *testing.T) {
	s := base(t)
	n := &release.Note{ID: "n", Base: 1, Added: release.Entries{Servers: []release.Server{server("x", "d")}}}
	a, _ := s.Apply(1, n)
	b, v := a.Apply(2, n)
	require.True(t, v.Repeated)
	require.Nil(t, v.Err)
	require.Equal(t, a.Revision(), b.Revision())
	require.Equal(t, int64(3), b.Next())
	c, _ := b.Apply(0, n)
	require.Same(t, b, c)
}

// drawNote draws a note that touches a few of a few entries.
func drawNote(t *rapid.T, i int, r int64) *release.Note {
	n := &release.Note{ID: fmt.Sprint("n", i), Base: max(0, r-int64(rapid.IntRange(0, 3).Draw(t, "behind")))}
	name := func() string { return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name") }
	for range rapid.IntRange(1, 3).Draw(t, "entries") {
		e := &n.Added
		if rapid.Bool().Draw(t, "changed") {
			e = &n.Changed
		}
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			e.Deployments = append(e.Deployments, release.Deployment{Name: name()})
		case 1:
			e.Servers = append(e.Servers, server(name(), name()))
		case 2:
			e.Trainers = append(e.Trainers, release.Trainer{Name: name(), Deployment: name()})
		case 3:
			k := rapid.SampledFrom([]release.Kind{release.KindDeployment, release.KindServer, release.KindTrainer}).Draw(t, "withdrawn")
			n.Withdrawn = append(n.Withdrawn, release.Key{Kind: k, Name: name()})
		}
	}
	return n
}

// TestFoldRandom folds the same random records on several hosts, some of which
// take a snapshot of another in the middle, skip or repeat records. All end with
// the same configuration, no revision goes back, and nothing refers to nothing.
func TestFoldRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for i := range rapid.IntRange(1, 40).Draw(t, "notes") {
			n := drawNote(t, rapid.IntRange(0, i).Draw(t, "id"), a.Revision())
			r := a.Revision()
			a, _ = a.Apply(int64(i), n)
			require.GreaterOrEqual(t, a.Revision(), r)
			switch rapid.IntRange(0, 5).Draw(t, "other") {
			case 0:
				x, err := Decode(a.Encode())
				require.NoError(t, err)
				b = x
			case 1:
				b, _ = b.Apply(int64(i), n)
				b, _ = b.Apply(int64(i), n)
			default:
				b, _ = b.Apply(int64(i), n)
			}
			require.Equal(t, a.Encode(), b.Encode())
			whole(t, a)
		}
	})
}

// whole checks that every reference is to something that exists.
func whole(t *rapid.T, s *Snapshot) {
	s.EachServer(func(v release.Server) {
		_, ok := s.Deployment(v.Deployment)
		require.True(t, ok, "server %s", v.Name)
		found := false
		s.EachOf(PoolOf(&v), func(x release.Server) { found = found || x.Name == v.Name })
		require.True(t, found, "server %s is in no pool", v.Name)
	})
	s.EachTrainer(func(x release.Trainer) {
		_, ok := s.Deployment(x.Deployment)
		require.True(t, ok, "trainer %s", x.Name)
	})
}

// large returns a snapshot with n servers.
func large(b testing.TB, n int) *Snapshot {
	e := &release.Note{ID: "base"}
	e.Added.Deployments = []release.Deployment{{Name: "d"}}
	for i := range n {
		e.Added.Servers = append(e.Added.Servers, server(fmt.Sprint("server-", i), "d"))
	}
	s, v := New().Apply(0, e)
	require.Nil(b, v.Err)
	return s
}

// BenchmarkApply measures one change at several numbers of servers.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1500, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := large(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := server(fmt.Sprint("server-", i%n), "d")
				x.Capacity = 1 + i%9
				c := &release.Note{ID: fmt.Sprint(i), Base: s.Revision(), Changed: release.Entries{Servers: []release.Server{x}}}
				s, _ = s.Apply(s.Next(), c)
			}
		})
	}
}

// FuzzDecode feeds snapshots of any kind.
func FuzzDecode(f *testing.F) {
	f.Add(base(f).Encode())
	f.Add([]byte{0x81, 0xa1, 'n', 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			require.True(t, outcome.Is(err, outcome.ReasonBadRequest))
			return
		}
		require.LessOrEqual(t, s.Revision(), s.Next())
	})
}
