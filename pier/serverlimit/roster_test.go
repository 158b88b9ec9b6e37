package serverlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func hostNames(n int) []string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprint("host-", i))
	}
	return l
}

// totalShare returns the sum of the shares that hosts grant for a server.
func totalShare(rosters map[string]*Roster, server string, now time.Duration) float64 {
	sum := 0.0
	for _, r := range rosters {
		sum += r.Share(server, now)
	}
	return sum
}

func TestRosterHasOneCoordinatorAndADeputy(t *testing.T) {
	hosts := hostNames(12)
	rosters := make(map[string]*Roster)
	for _, h := range hosts {
		rosters[h] = NewRoster(h)
		for at := time.Second; at <= 21*time.Second; at += RosterInterval {
			rosters[h].Set(hosts, at)
		}
	}
	for i := range 50 {
		s := fmt.Sprint("server-", i)
		first, deputy := rosters[hosts[0]].Coordinators(s)
		require.NotEqual(t, first, deputy)
		require.Equal(t, 1.0, rosters[first].Share(s, 21*time.Second))
		require.Equal(t, deputyShare, rosters[deputy].Share(s, 21*time.Second))
		require.Equal(t, 1+deputyShare, totalShare(rosters, s, 21*time.Second))
	}
}

// While lists differ, the shares of all hosts together stay below one and a half times the
// limit.
func TestRosterSharesWhileHostsDisagree(t *testing.T) {
	const start = 100 * time.Second
	all := hostNames(6)
	server := "server"
	probe := NewRoster("")
	probe.Set(all, 0)
	first, deputy := probe.Coordinators(server)
	without := func() []string {
		var l []string
		for _, h := range all {
			if h != first {
				l = append(l, h)
			}
		}
		return l
	}()
	tests := map[string]struct {
		before, after []string
		// reads reports whether a host reads the list at a time after the change.
		reads func(host string, since time.Duration) bool
		// frozen is set if the coordinator reads nothing for 15 s before the change, in which the
		// others do not know it.
		frozen bool
	}{
		"the coordinator leaves, all learn of it": {all, without, func(string, time.Duration) bool { return true }, false},
		"the coordinator is cut off and does not learn of it": {
			all, without,
			func(h string, _ time.Duration) bool { return h != first },
			false,
		},
		"the coordinator joins, the others learn of it late": {
			without, all,
			func(h string, d time.Duration) bool { return h == first || d > 4*time.Second },
			false,
		},
		"the coordinator is frozen, the deputy learns late that it is back": {
			all, all,
			func(h string, d time.Duration) bool { return h != deputy || d > 4*time.Second },
			true,
		},
		"nobody can read the list": {all, without, func(string, time.Duration) bool { return false }, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			rosters := make(map[string]*Roster)
			for _, h := range all {
				rosters[h] = NewRoster(h)
				if len(c.before) == len(all) || h != first {
					rosters[h].Set(c.before, 10*time.Second)
				}
			}
			for now := start - 40*time.Second; now < start+30*time.Second; now += 250 * time.Millisecond {
				frozen := c.frozen && now >= start-15*time.Second && now < start
				for h, r := range rosters {
					list := c.before
					if frozen {
						list = without
					}
					switch {
					case frozen && h == first:
					case now >= start && c.reads(h, now-start) && r.Due(now):
						r.Set(c.after, now)
					case now < start && r.Len() > 0 && r.Due(now):
						r.Set(list, now)
					}
				}
				require.LessOrEqual(t, totalShare(rosters, server, now), 1.5, "at %s", now)
			}
		})
	}
}

// A host that was just started, and one without a list, does not grant a whole limit.
func TestRosterOfANewHost(t *testing.T) {
	r := NewRoster("a")
	require.True(t, r.Due(0))
	require.Zero(t, r.Share("s", 0))
	first, deputy := r.Coordinators("s")
	require.Empty(t, first)
	require.Empty(t, deputy)
	r.Set([]string{"a"}, 0)
	require.Equal(t, deputyShare, r.Share("s", time.Second))
	for at := RosterInterval; at <= 6*time.Second; at += RosterInterval {
		r.Set([]string{"a"}, at)
	}
	require.Equal(t, deputyShare, r.Share("s", 6*time.Second))
	require.Equal(t, 1.0, r.Share("s", 7*time.Second))
}

func TestRosterKeepsFewLists(t *testing.T) {
	r := NewRoster("a")
	for i := range 1000 {
		r.Set(hostNames(1+i%7), time.Duration(i)*time.Second)
	}
	require.LessOrEqual(t, len(r.lists), 9)
}
