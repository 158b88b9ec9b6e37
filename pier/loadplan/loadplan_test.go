package loadplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet returns n servers that hold version 1 of the models a, b and c.
func fleet(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprint("s", i), Versions: map[string]int64{"a": 1, "b": 1, "c": 1}})
	}
	return l
}

var testConfig = Config{MaxConcurrent: 100, Share: 1}

// Three models share nine engines and publish new versions in turn. With three loads per
// version, six of the nine servers must be able to serve every step, as a step may be
// served by its version and by the one before.
func TestAlternateVersionsServeTwiceTheServers(t *testing.T) {
	s := fleet(9)
	index := make(map[string]int)
	for i := range s {
		index[s[i].ID] = i
	}
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	for v := int64(2); v < 20; v++ {
		for g := range goals {
			goals[g].Version = v
			l := Plan(testConfig, s, goals, nil)
			require.Len(t, l, 3, "each version is loaded by an even share of the servers")
			for _, x := range l {
				s[index[x.Server]].Versions[x.Model] = x.Version
			}
			if v > 3 {
				require.Equal(t, 6, serving(s, goals[g].Model, v-1))
			}
		}
	}
}

// serving returns the number of servers that hold at least a version of a model.
func serving(s []Server, model string, minVersion int64) int {
	n := 0
	for _, x := range s {
		if x.Versions[model] >= minVersion {
			n++
		}
	}
	return n
}

func TestPlan(t *testing.T) {
	goals := []Goal{{"a", 2}, {"b", 1}, {"c", 1}}
	old := fleet(9)
	old[1].Versions["a"] = 0
	tests := map[string]struct {
		c          Config
		s          []Server
		goals      []Goal
		inProgress []Load
		want       int
	}{
		"nothing named":       {testConfig, fleet(9), []Goal{{"a", 1}, {"b", 1}, {"c", 1}}, nil, 0},
		"an even share loads": {testConfig, fleet(9), goals, nil, 3},
		"at once":             {Config{MaxConcurrent: 2, Share: 1}, fleet(9), goals, nil, 2},
		"loads under way count": {
			Config{MaxConcurrent: 2, Share: 1},
			fleet(9), goals,
			[]Load{{"s0", "a", 2}},
			1,
		},
		"no more than wanted":        {testConfig, fleet(9), goals, []Load{{"s0", "a", 2}, {"s1", "a", 2}, {"s2", "a", 2}}, 0},
		"a small share, few servers": {Config{MaxConcurrent: 9, Share: 0.1}, fleet(9), goals, nil, minServers},
		"one server":                 {testConfig, fleet(1), goals, nil, 1},
		"no server":                  {testConfig, nil, goals, nil, 0},
		"the server loads something": {testConfig, fleet(1), goals, []Load{{"s0", "b", 2}}, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Len(t, Plan(c.c, c.s, c.goals, c.inProgress), c.want) })
	}
}

func TestOldestVersionLoadsFirst(t *testing.T) {
	s := fleet(9)
	for i := range s {
		s[i].Versions["a"] = 2
	}
	s[8].Versions["a"] = 1
	l := Plan(Config{MaxConcurrent: 1, Share: 1}, s, []Goal{{"a", 3}, {"b", 1}, {"c", 1}}, nil)
	require.Equal(t, []Load{{"s8", "a", 3}}, l)
}

func TestBusyServersAreLeftAlone(t *testing.T) {
	s := fleet(3)
	s[0].Busy = true
	for _, l := range Plan(testConfig, s, []Goal{{"a", 2}}, nil) {
		require.NotEqual(t, "s0", l.Server)
	}
}

// Few loads are possible, and two trainers have published versions that no server holds:
// each must get a server before one of them gets its second.
func TestScarceLoadsGoToWhomNobodyServes(t *testing.T) {
	s := fleet(7)
	for i := range s {
		s[i].Versions = map[string]int64{"a": 5, "b": 5, "c": 5}
	}
	s[0].Versions["a"] = 7
	s[1].Versions["a"] = 7
	l := Plan(Config{MaxConcurrent: 2, Share: 1}, s, []Goal{{"a", 8}, {"b", 7}, {"c", 7}}, nil)
	require.Equal(t, []string{"b", "c"}, []string{l[0].Model, l[1].Model})
}

// fewestServing simulates three trainers that each publish a version every four seconds
// while two servers at a time load for 0.9 s, and each load keeps its slot for a further
// gap milliseconds. It returns the lowest number of servers that were able to serve a step
// one second after its version was published.
func fewestServing(gap int) int {
	const second, loadMs = 1000, 900
	s := fleet(9)
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	type run struct {
		l    Load
		done int
	}
	var inProgress []run
	fewest := len(s)
	for now := 0; now < 60*second; now += 50 {
		for g := range goals {
			if now%(4*second) == g*second {
				goals[g].Version++
			}
			if now > 20*second && now%(4*second) == g*second+second {
				fewest = min(fewest, serving(s, goals[g].Model, goals[g].Version-1))
			}
		}
		var loads []Load
		rest := inProgress[:0]
		for _, r := range inProgress {
			if now >= r.done {
				for i := range s {
					if s[i].ID == r.l.Server {
						s[i].Versions[r.l.Model] = r.l.Version
					}
				}
				continue
			}
			rest = append(rest, r)
			loads = append(loads, r.l)
		}
		inProgress = rest
		for _, l := range Plan(Config{MaxConcurrent: 2, Share: 1}, s, goals, loads) {
			inProgress = append(inProgress, run{l, now + loadMs + gap})
		}
	}
	return fewest
}

// Three trainers publish versions faster than the engines can load them. Every trainer
// must keep at least two servers, and a pause after each load must cost some.
func TestPaceOfThreeTrainers(t *testing.T) {
	require.GreaterOrEqual(t, fewestServing(0), 2)
	require.Less(t, fewestServing(500), fewestServing(0))
}

// namings is when trainers that lag behind named versions, in ms: a step is submitted with
// each, and must not run on weights older than the version named before.
var namings = map[string][]int{
	"a": {0, 3300, 5500, 8100, 11100, 13400},
	"b": {1000, 6400, 7900, 13200, 15100},
	"c": {1000, 5200, 7800, 8900, 12900, 14100, 18100},
}

// waitsForServers plays the namings on servers of which some can load at once, and returns
// the sum of the times that each step waits until enough servers can run it.
func waitsForServers(servers, enough int, c Config) time.Duration {
	const step, loadMs = 20, 1000
	s := fleet(servers)
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	type run struct {
		l    Load
		done int
	}
	var inProgress []run
	var waited time.Duration
	for now := 0; now < 20_000; now += step {
		for g := range goals {
			if slices.Contains(namings[goals[g].Model], now) {
				goals[g].Version++
			}
		}
		var loads []Load
		rest := inProgress[:0]
		for _, r := range inProgress {
			if now < r.done {
				rest = append(rest, r)
				loads = append(loads, r.l)
				continue
			}
			i := slices.IndexFunc(s, func(x Server) bool { return x.ID == r.l.Server })
			s[i].Versions[r.l.Model] = r.l.Version
		}
		inProgress = rest
		for _, l := range Plan(c, s, goals, loads) {
			inProgress = append(inProgress, run{l, now + loadMs})
		}
		for _, g := range goals {
			if serving(s, g.Model, g.Version-1) < enough {
				waited += step * time.Millisecond
			}
		}
	}
	return waited
}

// Trainers that lag behind name versions in quick succession, while few servers can load at
// once. If each version is loaded by nearly all servers that it may have, the loads of one
// model delay those that another one's step waits for.
func TestStepsOfLaggingTrainersWaitLessWithSmallerShares(t *testing.T) {
	most := waitsForServers(36, 6, Config{MaxConcurrent: 7, Share: 0.8})
	half := waitsForServers(36, 6, Config{MaxConcurrent: 7, Share: 0.5})
	require.Less(t, half, most/2)
}

// play has the planner order loads, which take one round, until it orders no more or the rounds are over.
func play(c Config, s []Server, goals []Goal, rounds int) (loads int) {
	for range rounds {
		l := Plan(c, s, goals, nil)
		for _, x := range l {
			for i := range s {
				if s[i].ID == x.Server {
					s[i].Versions[x.Model] = x.Version
				}
			}
		}
		loads += len(l)
		if len(l) == 0 {
			break
		}
	}
	return loads
}

// Guards against engines that are left idle after those with the version before the newest were lost.
func TestLostServersAreReplaced(t *testing.T) {
	s := fleet(35)
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	c := Config{MaxConcurrent: 8, Share: 0.5}
	for v := int64(2); v <= 3; v++ {
		goals[0].Version = v
		play(c, s, goals, 20)
	}
	require.Equal(t, 12, serving(s, "a", 2))
	s = slices.DeleteFunc(s, func(x Server) bool { return x.Versions["a"] == 2 })
	require.Len(t, s, 29)
	play(c, s, goals, 20)
	require.GreaterOrEqual(t, serving(s, "a", 2), 10, "as many as before, at the share of those left")
}

// Work waits for a version that few servers hold, as its trainer allows no older one.
func TestWorkThatWaitsGetsMoreServers(t *testing.T) {
	tests := map[string]struct {
		demand Demand
		full   int
		want   int
	}{
		"none waits":        {Demand{}, 0, 3},
		"for one server":    {Demand{Oldest: 2, Servers: 1}, 0, 4},
		"for all servers":   {Demand{Oldest: 2, Servers: 20}, 0, 9},
		"others are full":   {Demand{Oldest: 2, Servers: 20}, 4, 5},
		"not named yet":     {Demand{Oldest: 3, Servers: 20}, 0, 3},
		"for an older one":  {Demand{Oldest: 1, Servers: 20}, 0, 3},
		"nonsense is borne": {Demand{Oldest: -5, Servers: -1}, 0, 3},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			s := fleet(9)
			goals := []Goal{{"a", 2}, {"b", 1}, {"c", 1}}
			c := Config{MaxConcurrent: 3, Share: 1}
			play(c, s, goals, 20)
			require.Equal(t, 3, serving(s, "a", 2))
			n := 0
			for i := range s {
				if s[i].Versions["a"] == 1 && n < x.full {
					s[i].Full = true
					n++
				}
			}
			c.Demands = map[string]Demand{"a": x.demand}
			l := Plan(Config{MaxConcurrent: 100, Share: 1, Demands: c.Demands}, s, goals, nil)
			for _, y := range l {
				s[slices.IndexFunc(s, func(z Server) bool { return z.ID == y.Server })].Versions["a"] = y.Version
			}
			require.Equal(t, x.want, serving(s, "a", 2))
		})
	}
}

// Servers are lost and come, versions are named and work waits at random. The planner must get every
// model back to its servers, never load in vain, and stop.
func TestPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "servers")
		s := fleet(n)
		goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}[:rapid.IntRange(1, 3).Draw(t, "models")]
		c := Config{MaxConcurrent: rapid.IntRange(1, 9).Draw(t, "at once"), Share: rapid.SampledFrom([]float64{0.3, 0.5, 0.8, 1}).Draw(t, "share")}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			g := rapid.IntRange(0, len(goals)-1).Draw(t, "goal")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				goals[g].Version++
			case 1:
				lost := rapid.IntRange(0, max(len(s)/3, 1)).Draw(t, "lost")
				s = s[min(lost, len(s)-1):]
			case 2:
				c.Demands = map[string]Demand{goals[g].Model: {
					Oldest: goals[g].Version - rapid.Int64Range(0, 2).Draw(t, "bound"), Servers: rapid.IntRange(0, 5).Draw(t, "wanted"),
				}}
			}
			for _, l := range Plan(c, s, goals, nil) {
				i := slices.IndexFunc(s, func(x Server) bool { return x.ID == l.Server })
				if s[i].Versions[l.Model] >= l.Version {
					t.Fatalf("%s loads version %d of %s, it has %d", l.Server, l.Version, l.Model, s[i].Versions[l.Model])
				}
			}
			if play(c, s, goals, 200) > 3*len(s)+3 {
				t.Fatalf("the planner does not settle")
			}
			c.Demands = nil
			for _, x := range goals {
				p := newPlanner(c, s, goals, nil)
				if got, want := serving(s, x.Model, x.Version-1), min(2*p.share, p.countAssigned(x.Model)); got < want {
					t.Fatalf("%d servers can serve the next step of %s, want %d", got, x.Model, want)
				}
			}
		}
	})
}
