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

func newServer(n, deployment string) release.Server {
	return release.Server{Name: n, Address: address, Deployment: deployment, Capacity: 1}
}

// baseSnapshot returns a snapshot with the deployments d and e, and a server s and
// a trainer t of deployment d.
func baseSnapshot(t testing.TB) *Snapshot {
	n := &release.Note{ID: "base"}
	n.Added.Deployments = []release.Deployment{{Name: "d"}, {Name: "e"}}
	n.Added.Servers = []release.Server{newServer("s", "d")}
	n.Added.Trainers = []release.Trainer{{Name: "t", Deployment: "d"}}
	s, v := New().Apply(0, n)
	require.Nil(t, v.Err)
	return s
}

// TestApply checks which notes are accepted, and the reason for rejecting the
// others.
func TestApply(t *testing.T) {
	k := func(kind release.Kind, n string) release.Key { return release.Key{Kind: kind, Name: n} }
	for name, x := range map[string]struct {
		note   release.Note
		reason outcome.Reason
	}{
		"adds a server":               {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{newServer("x", "d")}}}, ""},
		"adds one that exists":        {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{newServer("s", "d")}}}, outcome.ReasonConflict},
		"changes one that is missing": {release.Note{Base: 1, Changed: release.Entries{Servers: []release.Server{newServer("x", "d")}}}, outcome.ReasonConflict},
		"moves a server":              {release.Note{Base: 1, Changed: release.Entries{Servers: []release.Server{newServer("s", "e")}}}, ""},
		"refers to nothing":           {release.Note{Base: 1, Added: release.Entries{Servers: []release.Server{newServer("x", "z")}}}, outcome.ReasonUnknownName},
		"was written before":          {release.Note{Base: 0, Changed: release.Entries{Servers: []release.Server{newServer("s", "d")}}}, outcome.ReasonConflict},
		"was written after":           {release.Note{Base: 9, Changed: release.Entries{Servers: []release.Server{newServer("s", "d")}}}, outcome.ReasonStaleBase},
		"withdraws a used pool":       {release.Note{Base: 1, Withdrawn: []release.Key{k(release.KindDeployment, "d")}}, outcome.ReasonConflict},
		"withdraws an unused pool":    {release.Note{Base: 1, Withdrawn: []release.Key{k(release.KindDeployment, "e")}}, ""},
		"withdraws pool and users": {release.Note{Base: 1, Withdrawn: []release.Key{
			k(release.KindDeployment, "d"), k(release.KindServer, "s"), k(release.KindTrainer, "t"),
		}}, ""},
		"uses what it withdraws": {release.Note{
			Base: 1, Added: release.Entries{Servers: []release.Server{newServer("x", "e")}}, Withdrawn: []release.Key{k(release.KindDeployment, "e")},
		}, outcome.ReasonUnknownName},
		"touches nothing": {release.Note{Base: 1}, outcome.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseSnapshot(t)
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

// TestRepeated checks that a note is applied once if its append was retried after a
// lost response, so that the log contains it twice.
func TestRepeated(t *testing.T) {
	s := baseSnapshot(t)
	n := &release.Note{ID: "n", Base: 1, Added: release.Entries{Servers: []release.Server{newServer("x", "d")}}}
	a, _ := s.Apply(1, n)
	b, v := a.Apply(2, n)
	require.True(t, v.Duplicate)
	require.Nil(t, v.Err)
	require.Equal(t, a.Revision(), b.Revision())
	require.Equal(t, int64(3), b.Next())
	c, _ := b.Apply(0, n)
	require.Same(t, b, c)
}

// drawNote draws a note that touches up to three entries out of a small set, so
// that conflicts are frequent.
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
			e.Servers = append(e.Servers, newServer(name(), name()))
		case 2:
			e.Trainers = append(e.Trainers, release.Trainer{Name: name(), Deployment: name()})
		case 3:
			k := rapid.SampledFrom([]release.Kind{release.KindDeployment, release.KindServer, release.KindTrainer}).Draw(t, "withdrawn")
			n.Withdrawn = append(n.Withdrawn, release.Key{Kind: k, Name: name()})
		}
	}
	return n
}

// TestFoldRandom folds the same random notes on two hosts, one of which at times
// decodes the snapshot of the other or receives a record twice. Both must have the
// same configuration after each record, no revision may decrease, and all
// references must resolve.
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
			requireConsistent(t, a)
		}
	})
}

// requireConsistent checks that all references between entries resolve, and that
// each server is listed in its pool.
func requireConsistent(t *rapid.T, s *Snapshot) {
	s.EachServer(func(v release.Server) {
		_, ok := s.Deployment(v.Deployment)
		require.True(t, ok, "server %s", v.Name)
		found := false
		s.EachServerIn(PoolOf(&v), func(x release.Server) { found = found || x.Name == v.Name })
		require.True(t, found, "server %s is in no pool", v.Name)
	})
	s.EachTrainer(func(x release.Trainer) {
		_, ok := s.Deployment(x.Deployment)
		require.True(t, ok, "trainer %s", x.Name)
	})
}

// largeSnapshot returns a snapshot with n servers.
func largeSnapshot(b testing.TB, n int) *Snapshot {
	e := &release.Note{ID: "base"}
	e.Added.Deployments = []release.Deployment{{Name: "d"}}
	for i := range n {
		e.Added.Servers = append(e.Added.Servers, newServer(fmt.Sprint("server-", i), "d"))
	}
	s, v := New().Apply(0, e)
	require.Nil(b, v.Err)
	return s
}

// BenchmarkApply measures a change of one server in configurations of several
// sizes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1500, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := largeSnapshot(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := newServer(fmt.Sprint("server-", i%n), "d")
				x.Capacity = 1 + i%9
				c := &release.Note{ID: fmt.Sprint(i), Base: s.Revision(), Changed: release.Entries{Servers: []release.Server{x}}}
				s, _ = s.Apply(s.Next(), c)
			}
		})
	}
}

// FuzzDecode checks that arbitrary input is rejected with bad-request or decoded to
// a snapshot whose revision is not above the next offset.
func FuzzDecode(f *testing.F) {
	f.Add(baseSnapshot(f).Encode())
	f.Add([]byte{0x81, 0xa1, 'n', 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest))
			return
		}
		require.LessOrEqual(t, s.Revision(), s.Next())
	})
}
