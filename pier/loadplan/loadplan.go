// Package loadplan decides which engines load which version of which model, and how many
// may load at the same time.
//
// It is designed for this workload: several models share the engines, each gets a new
// version every few seconds, and only few engines can load at once. A step may be generated
// by the version that was the newest when it was submitted and by the one before, so a
// server need not load every version: of the servers assigned to a model, one half loads
// the even versions and the other half the odd ones. Half of the loads thus suffice for
// both halves to serve every step, and a server loads at a time when its version is too
// old to serve the model anyway.
package loadplan

import (
	"math"
	"sort"
)

// Server is an engine as the planner sees it.
type Server struct {
	ID string
	// Versions maps each model to the version of it that the server holds.
	Versions map[string]int64
	// Busy reports whether the server is loading or must not be ordered to load now.
	Busy bool
}

// Goal is the newest version of a model, which its servers should load.
type Goal struct {
	Model   string
	Version int64
}

// Load is an order to a server to load a version of a model, either yet to be given or in
// progress.
type Load struct {
	Server  string
	Model   string
	Version int64
}

// Config holds the limits of the planner.
type Config struct {
	// MaxConcurrent is the maximum number of concurrent loads.
	MaxConcurrent int
	// Share determines the number of servers that load each version: it is a multiple of
	// the number of servers divided by the number of models, rounded up. At least
	// minServers load it.
	Share float64
}

// minServers is the least number of servers that load each version, if there are as many: on
// fewer, the loss of one server leaves a step with half of its capacity or less.
const minServers = 3

// Plan returns the loads to order now, given those in progress. Together they do not
// exceed c.MaxConcurrent, and no server gets more than one. The model with the fewest
// servers that can serve its next step comes first, and among equals the goal that is
// listed first: when few loads are possible, no trainer waits for its first server while
// another one gets its second.
func Plan(c Config, servers []Server, goals []Goal, inProgress []Load) []Load {
	s := append([]Server(nil), servers...)
	sort.Slice(s, func(i, j int) bool { return s[i].ID < s[j].ID })
	models := sortedModels(goals)
	loads := append([]Load(nil), inProgress...)
	busy := make(map[string]bool)
	for _, l := range loads {
		busy[l.Server] = true
	}
	blocked := make(map[string]bool)
	share := int(math.Ceil(c.Share * float64(len(s)) / float64(max(len(models), 1))))
	share = max(share, min(minServers, len(s)))
	for len(loads) < c.MaxConcurrent {
		g, ok := mostUrgent(s, goals, loads, share, blocked)
		if !ok {
			break
		}
		i := candidate(s, g, models, busy)
		if i < 0 {
			blocked[g.Model] = true
			continue
		}
		busy[s[i].ID] = true
		loads = append(loads, Load{Server: s[i].ID, Model: g.Model, Version: g.Version})
	}
	return loads[len(inProgress):]
}

// mostUrgent returns the goal with the fewest servers that can serve the model's next
// step, among the models that are not blocked and whose goal fewer than share servers
// hold or load. It returns false if there is none.
func mostUrgent(s []Server, goals []Goal, loads []Load, share int, blocked map[string]bool) (Goal, bool) {
	best, fewest := -1, 0
	for i, g := range goals {
		if blocked[g.Model] || countAtLeast(s, g.Model, g.Version, loads) >= share {
			continue
		}
		n := countAtLeast(s, g.Model, g.Version-1, loads)
		if best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return Goal{}, false
	}
	return goals[best], true
}

// sortedModels returns the names of the models of goals in alphabetical order.
func sortedModels(goals []Goal) []string {
	var m []string
	for _, g := range goals {
		m = append(m, g.Model)
	}
	sort.Strings(m)
	return m
}

// countAtLeast returns the number of servers that hold or are loading the given version
// of a model or a newer one.
func countAtLeast(s []Server, model string, version int64, loads []Load) int {
	held := make(map[string]bool)
	for _, x := range s {
		held[x.ID] = x.Versions[model] >= version
	}
	for _, l := range loads {
		if l.Model == model && l.Version >= version {
			held[l.Server] = true
		}
	}
	n := 0
	for _, h := range held {
		if h {
			n++
		}
	}
	return n
}

// candidate returns the index of the server that should load goal g: the one with the
// oldest version of the model among those assigned to it or, if none of these is free,
// among all others. It returns -1 if no server is free.
func candidate(s []Server, g Goal, models []string, busy map[string]bool) int {
	best := -1
	better := func(i int) bool {
		if best < 0 {
			return true
		}
		a, b := assigned(i, len(s), g.Model, models), assigned(best, len(s), g.Model, models)
		if a != b {
			return a
		}
		return s[i].Versions[g.Model] < s[best].Versions[g.Model]
	}
	for i, x := range s {
		if x.Busy || busy[x.ID] || x.Versions[g.Model] >= g.Version {
			continue
		}
		if better(i) {
			best = i
		}
	}
	return best
}

// assigned reports whether the server at index i is assigned to a model. Each server is
// assigned to two models, so that a model has twice as many servers as load one of its
// versions; with at most two models every server serves all of them.
func assigned(i, n int, model string, models []string) bool {
	m := len(models)
	if m <= 2 {
		return true
	}
	k := sort.SearchStrings(models, model)
	return i%m == k || (i+1)%m == k
}
