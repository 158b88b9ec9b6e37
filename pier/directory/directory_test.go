package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestRemovalInQuietTimesIsFinal(t *testing.T) {
	d := New()
	d.Register(Server{ID: "s"})
	d.Unregister("s", start)
	require.Empty(t, d.Snapshot(start))
}

// During an outage of the log servers cannot renew their registrations, so these expire and
// are removed when the log returns. Servers that still run register again within two
// seconds and must not be dropped in between.
func TestRemovalAroundAnOutageWaitsForTheReturn(t *testing.T) {
	d := New()
	d.Register(Server{ID: "lives"})
	d.Register(Server{ID: "gone"})
	d.LogUnavailable()
	d.LogRecovered(start)
	d.Unregister("lives", start)
	d.Unregister("gone", start)
	require.Len(t, d.Snapshot(start.Add(ReregisterGrace-1)), 2)
	d.Register(Server{ID: "lives"})
	l := d.Snapshot(start.Add(ReregisterGrace))
	require.Len(t, l, 1)
	require.Equal(t, "lives", l[0].ID)
}

func TestRetainRemovesTheRest(t *testing.T) {
	d := New()
	d.Register(Server{ID: "a"})
	d.Register(Server{ID: "b"})
	d.Retain(map[string]bool{"b": true}, start)
	require.Len(t, d.Snapshot(start), 1)
}

func TestObserveOnlyRaisesVersions(t *testing.T) {
	d := New()
	d.Register(Server{ID: "a", Versions: map[string]int64{"m": 2}})
	before := d.Snapshot(start)
	require.False(t, d.ObserveVersion("a", "m", 1))
	require.True(t, d.ObserveVersion("a", "m", 3))
	require.False(t, d.ObserveVersion("unknown", "m", 3))
	require.EqualValues(t, 3, d.Snapshot(start)[0].Versions["m"])
	require.EqualValues(t, 2, before[0].Versions["m"], "a snapshot must not change")
}

// Servers renew their registrations regularly. A renewal must not mark the directory as
// changed, nor discard the versions that the server has reported since.
func TestRenewalChangesNothing(t *testing.T) {
	now := time.Unix(100, 0)
	reg := func(v int64, leaving bool) Server {
		return Server{ID: "a", Service: "s", Versions: map[string]int64{"m": v}, Leaving: leaving}
	}
	d := New()
	d.Register(reg(1, false))
	require.True(t, d.Changed())
	require.Len(t, d.Snapshot(now), 1)
	require.False(t, d.Changed())
	require.True(t, d.ObserveVersion("a", "m", 2))
	require.True(t, d.Changed())
	d.Snapshot(now)
	renewed := reg(1, false)
	renewed.RenewalSeq = 7
	d.Register(renewed)
	require.False(t, d.Changed())
	require.EqualValues(t, 2, d.Snapshot(now)[0].Versions["m"])
	d.Register(reg(1, true))
	require.True(t, d.Changed())
	require.True(t, d.Snapshot(now)[0].Leaving)
}

// A removed server that is kept for the grace period may be dropped at any time: Changed
// must stay true until it is dropped or registers again.
func TestVanishingEntryIsLookedAtAgain(t *testing.T) {
	now := time.Unix(100, 0)
	d := New()
	d.Register(Server{ID: "a"})
	d.Register(Server{ID: "b"})
	d.Snapshot(now)
	d.LogUnavailable()
	d.Unregister("a", now)
	require.Len(t, d.Snapshot(now), 2)
	require.True(t, d.Changed(), "the removed server may be dropped at any time")
	d.LogRecovered(now)
	d.Register(Server{ID: "a"})
	require.Len(t, d.Snapshot(now.Add(2*ReregisterGrace)), 2, "the removed server registered again")
	require.False(t, d.Changed())
	d.Unregister("b", now)
	require.Len(t, d.Snapshot(now.Add(3*ReregisterGrace)), 1)
	require.False(t, d.Changed())
	d.Register(Server{ID: "b"})
	require.True(t, d.Changed())
	require.Len(t, d.Snapshot(now.Add(3*ReregisterGrace)), 2)
}

// A server that states in an answer that it leaves must get no new work, whatever its
// registration states later. Another incarnation under its id is not affected.
func TestStatementOfLeavingOutlivesTheRegistration(t *testing.T) {
	born := time.Unix(500, 0)
	reg := func(seq int64, born time.Time) Server {
		return Server{ID: "s", RenewalSeq: seq, Born: born, Versions: map[string]int64{"m": seq}}
	}
	leaving := func(d *Directory, now time.Time) bool {
		l := d.Snapshot(now)
		require.Len(t, l, 1)
		return l[0].Leaving
	}
	tests := map[string]struct {
		after func(d *Directory)
		want  bool
	}{
		"renewed":          {func(d *Directory) { d.Register(reg(2, born)) }, true},
		"removed and back": {func(d *Directory) { d.Unregister("s", start); d.Snapshot(start); d.Register(reg(3, born)) }, true},
		"another life":     {func(d *Directory) { d.Register(reg(1, born.Add(time.Second))) }, false},
		"another life, of an earlier time of day, leaves too": {func(d *Directory) {
			d.Register(reg(1, born.Add(-time.Second)))
			d.ObserveLeaving("s", born.Add(-time.Second), start)
			d.Register(reg(2, born.Add(-time.Second)))
		}, true},
		"another life, of an earlier time of day": {func(d *Directory) { d.Register(reg(1, born.Add(-time.Second))) }, false},
		"stated by an older":                      {func(d *Directory) { d.Register(reg(1, born.Add(time.Second))); d.ObserveLeaving("s", born, start) }, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.Register(reg(1, born))
			require.True(t, d.ObserveLeaving("s", born, start))
			require.False(t, d.ObserveLeaving("s", born, start), "already known")
			require.True(t, d.Changed())
			require.True(t, leaving(d, start))
			c.after(d)
			require.Equal(t, c.want, leaving(d, start))
		})
	}
}

func TestLeavingServersAreForgottenInTheEnd(t *testing.T) {
	d := New()
	for _, id := range []string{"gone", "stays"} {
		d.Register(Server{ID: id, Born: start})
		d.ObserveLeaving(id, start, start)
	}
	d.Unregister("gone", start)
	d.Snapshot(start.Add(leavingMemory))
	require.Len(t, d.leaving, 2)
	d.Snapshot(start.Add(leavingMemory + 1))
	require.Contains(t, d.leaving, Incarnation{ID: "stays", Born: start.UnixNano()})
	require.Len(t, d.leaving, 1)
}

// A server that is taken away repeats its registration with the time that it had left first. That must not put
// off the end, and the next incarnation must not inherit it.
func TestTheEarliestEndOfAServerCounts(t *testing.T) {
	leaving := func(in time.Duration, born time.Time) Server {
		return Server{ID: "a", Leaving: true, Reclaimable: true, Born: born, LeavesAt: start.Add(in)}
	}
	d := New()
	d.Register(Server{ID: "a", Reclaimable: true, Born: start})
	require.Zero(t, d.Snapshot(start)[0].LeavesAt)
	d.Register(leaving(2*time.Second, start))
	require.Equal(t, start.Add(2*time.Second), d.Snapshot(start)[0].LeavesAt)
	d.Register(leaving(3*time.Second, start))
	require.False(t, d.Changed(), "the same registration")
	d.Register(leaving(time.Second, start))
	require.Equal(t, start.Add(time.Second), d.Snapshot(start)[0].LeavesAt)
	d.Register(leaving(5*time.Second, start.Add(time.Minute)))
	require.Equal(t, start.Add(5*time.Second), d.Snapshot(start)[0].LeavesAt)
}
