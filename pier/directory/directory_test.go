package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestRemovalInQuietTimesIsFinal(t *testing.T) {
	d := New()
	d.Put(Server{ID: "s"})
	d.Remove("s", start)
	require.Empty(t, d.Snapshot(start))
}

// During an outage of the log servers cannot renew their registrations, so these expire and
// are removed when the log returns. Servers that still run register again within two
// seconds and must not be dropped in between.
func TestRemovalAroundAnOutageWaitsForTheReturn(t *testing.T) {
	d := New()
	d.Put(Server{ID: "lives"})
	d.Put(Server{ID: "gone"})
	d.LogAway()
	d.LogBack(start)
	d.Remove("lives", start)
	d.Remove("gone", start)
	require.Len(t, d.Snapshot(start.Add(ReturnGrace-1)), 2)
	d.Put(Server{ID: "lives"})
	l := d.Snapshot(start.Add(ReturnGrace))
	require.Len(t, l, 1)
	require.Equal(t, "lives", l[0].ID)
}

func TestRetainRemovesTheRest(t *testing.T) {
	d := New()
	d.Put(Server{ID: "a"})
	d.Put(Server{ID: "b"})
	d.Retain(map[string]bool{"b": true}, start)
	require.Len(t, d.Snapshot(start), 1)
}

func TestObserveOnlyRaisesVersions(t *testing.T) {
	d := New()
	d.Put(Server{ID: "a", Versions: map[string]int64{"m": 2}})
	before := d.Snapshot(start)
	require.False(t, d.Observe("a", "m", 1))
	require.True(t, d.Observe("a", "m", 3))
	require.False(t, d.Observe("unknown", "m", 3))
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
	d.Put(reg(1, false))
	require.True(t, d.Changed())
	require.Len(t, d.Snapshot(now), 1)
	require.False(t, d.Changed())
	require.True(t, d.Observe("a", "m", 2))
	require.True(t, d.Changed())
	d.Snapshot(now)
	renewed := reg(1, false)
	renewed.Renewals = 7
	d.Put(renewed)
	require.False(t, d.Changed())
	require.EqualValues(t, 2, d.Snapshot(now)[0].Versions["m"])
	d.Put(reg(1, true))
	require.True(t, d.Changed())
	require.True(t, d.Snapshot(now)[0].Leaving)
}

// A removed server that is kept for the grace period may be dropped at any time: Changed
// must stay true until it is dropped or registers again.
func TestVanishingEntryIsLookedAtAgain(t *testing.T) {
	now := time.Unix(100, 0)
	d := New()
	d.Put(Server{ID: "a"})
	d.Put(Server{ID: "b"})
	d.Snapshot(now)
	d.LogAway()
	d.Remove("a", now)
	require.Len(t, d.Snapshot(now), 2)
	require.True(t, d.Changed(), "the removed server may be dropped at any time")
	d.LogBack(now)
	d.Put(Server{ID: "a"})
	require.Len(t, d.Snapshot(now.Add(2*ReturnGrace)), 2, "the removed server registered again")
	require.False(t, d.Changed())
	d.Remove("b", now)
	require.Len(t, d.Snapshot(now.Add(3*ReturnGrace)), 1)
	require.False(t, d.Changed())
	d.Put(Server{ID: "b"})
	require.True(t, d.Changed())
	require.Len(t, d.Snapshot(now.Add(3*ReturnGrace)), 2)
}
