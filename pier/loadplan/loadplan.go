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
//
// Engines that are lost are replaced, and while work waits for a version that too few hold, engines
// with room load it in addition.
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
	// Full reports whether the server has no room for more work, so that a load for work that waits
	// would not help.
	Full bool
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

// Demand is what work that waits for a model needs.
type Demand struct {
	// Oldest is the oldest version that the work may use.
	Oldest int64
	// Servers is the number of further servers that it could use at once.
	Servers int
}

// Config holds the limits of the planner, and the demands on it.
type Config struct {
	// MaxConcurrent is the maximum number of concurrent loads.
	MaxConcurrent int
	// Share determines the number of servers that load each version: it is a multiple of
	// the number of servers divided by the number of models, rounded up. At least
	// minServers load it.
	Share float64
	// Demands holds what work waits for, by model.
	Demands map[string]Demand
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
	p := newPlanner(c, servers, goals, inProgress)
	for len(p.loads) < c.MaxConcurrent {
		n, ok := p.mostUrgent(goals)
		if !ok {
			break
		}
		i := p.candidate(n)
		if i < 0 {
			p.blocked[n] = true
			continue
		}
		p.busy[p.servers[i].ID] = true
		p.loads = append(p.loads, Load{Server: p.servers[i].ID, Model: n.goal.Model, Version: n.goal.Version})
	}
	return p.loads[len(inProgress):]
}

// planner is the state of one Plan.
type planner struct {
	c Config
	// servers are sorted by id, models by name.
	servers []Server
	models  []string
	// share is the number of servers that load each version.
	share int
	// loads holds those in progress and those planned, busy the servers that get them.
	loads []Load
	busy  map[string]bool
	// blocked holds the needs for which there is no server.
	blocked map[need]bool
}

// need is a reason to load a goal.
type need struct {
	goal Goal
	// below is the version of which a server has to hold an older one for the load to help.
	below int64
	// waiting is set if work waits for it.
	waiting bool
}

func newPlanner(c Config, servers []Server, goals []Goal, inProgress []Load) *planner {
	p := &planner{
		c: c, servers: append([]Server(nil), servers...), models: sortedModels(goals),
		loads: append([]Load(nil), inProgress...), busy: make(map[string]bool), blocked: make(map[need]bool),
	}
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].ID < p.servers[j].ID })
	for _, l := range p.loads {
		p.busy[l.Server] = true
	}
	n := len(p.servers)
	p.share = int(math.Ceil(c.Share * float64(n) / float64(max(len(p.models), 1))))
	p.share = max(p.share, min(minServers, n))
	return p
}

// mostUrgent returns the most important kind of need that any model has, and of that kind the one of
// the model with the fewest servers that can serve its next step. It returns false if no model
// needs a load for which there is a server.
func (p *planner) mostUrgent(goals []Goal) (need, bool) {
	for _, kind := range []func(g Goal) (need, bool){p.tooFewNew, p.tooFewServing, p.waiting} {
		if n, ok := p.mostUrgentOf(goals, kind); ok {
			return n, true
		}
	}
	return need{}, false
}

func (p *planner) mostUrgentOf(goals []Goal, kind func(g Goal) (need, bool)) (need, bool) {
	var best need
	fewest := -1
	for _, g := range goals {
		n, ok := kind(g)
		if !ok || p.blocked[n] {
			continue
		}
		if c := p.countAtLeast(g.Model, g.Version-1); fewest < 0 || c < fewest {
			best, fewest = n, c
		}
	}
	return best, fewest >= 0
}

// tooFewNew is the need of a model whose newest version too few servers load.
func (p *planner) tooFewNew(g Goal) (need, bool) {
	return need{goal: g, below: g.Version}, p.countAtLeast(g.Model, g.Version) < p.share
}

// tooFewServing is the need of a model of which servers were lost that could serve its next step.
func (p *planner) tooFewServing(g Goal) (need, bool) {
	few := p.countAtLeast(g.Model, g.Version-1) < min(2*p.share, p.countAssigned(g.Model))
	return need{goal: g, below: g.Version - 1}, few
}

// waiting is the need of a model for which work waits.
func (p *planner) waiting(g Goal) (need, bool) {
	d := p.c.Demands[g.Model]
	few := g.Version >= d.Oldest && p.loading(g.Model, d.Oldest) < d.Servers
	return need{goal: g, below: d.Oldest, waiting: true}, few
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
func (p *planner) countAtLeast(model string, version int64) int {
	held := make(map[string]bool)
	for _, x := range p.servers {
		held[x.ID] = x.Versions[model] >= version
	}
	for _, l := range p.loads {
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

// loading returns the number of servers that are loading the given version of a model or a newer one.
func (p *planner) loading(model string, version int64) int {
	n := 0
	for _, l := range p.loads {
		if l.Model == model && l.Version >= version {
			n++
		}
	}
	return n
}

func (p *planner) countAssigned(model string) int {
	n := 0
	for i := range p.servers {
		if assigned(i, len(p.servers), model, p.models) {
			n++
		}
	}
	return n
}

// candidate returns the index of the server that should load what is needed: the one with the
// oldest version of the model among those assigned to it or, if none of these is free,
// among all others. It returns -1 if no server is free.
func (p *planner) candidate(n need) int {
	model := n.goal.Model
	best := -1
	better := func(i int) bool {
		if best < 0 {
			return true
		}
		a, b := assigned(i, len(p.servers), model, p.models), assigned(best, len(p.servers), model, p.models)
		if a != b {
			return a
		}
		return p.servers[i].Versions[model] < p.servers[best].Versions[model]
	}
	for i, x := range p.servers {
		if x.Busy || p.busy[x.ID] || x.Versions[model] >= n.below || n.waiting && x.Full {
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
