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

// The log was away and servers could not renew: their entries vanish with its
// return, and those that live register again within two seconds.
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
	require.EqualValues(t, 2, before[0].Versions["m"], "a snapshot does not change")
}
