// Package stepplan decides in which order the samples of a step start, and on which
// engines.
//
// It is designed for this workload: a trainer submits several groups of samples at once and
// waits for nine tenths of the groups. Most samples are short, a few are five times as
// long, and the step lasts as long as the longest sample that the trainer waits for.
// Therefore samples that are expected to be long start first; among equals, groups that
// come first in the step take precedence, as the trainer may wait for just these; and a
// sample starts on the engine where it is expected to be slowed down least.
package stepplan

import "sort"

// Sample is an item of a step that has not started.
type Sample struct {
	// ItemIndex is the index of the item in its step.
	ItemIndex int
	Group     string
	// ExpectedTokens is the expected number of tokens, 0 if unknown.
	ExpectedTokens int
}

// StartOrder returns a copy of s in the order in which the samples should start: by
// decreasing ExpectedTokens, and in the given order where these are equal.
func StartOrder(s []Sample) []Sample {
	r := append([]Sample(nil), s...)
	sort.SliceStable(r, func(i, j int) bool { return r[i].ExpectedTokens > r[j].ExpectedTokens })
	return r
}

// Engine is a server that may run a sample.
type Engine struct {
	ID string
	// Version is the version of the sample's model that the server is last known to hold.
	Version int64
	// Software is the version of the server's software, empty if it is not known.
	Software string
	// Slots is the number of samples that the server runs at once.
	Slots int
	// Running is the number of samples known to run on the server.
	Running int
	// RelativeTokenTime is the time per token as a multiple of that of the fastest
	// server; 1 if unknown. Values below 1 count as 1.
	RelativeTokenTime float64
	// SameDomain reports whether the server is in the failure domain of this host.
	SameDomain bool
}

// Need is what a run requires of its engine.
type Need struct {
	// MinVersion is the oldest version of the weights that may generate the text.
	MinVersion int64
	// Software is the version of the software that must generate the text, empty for any.
	Software string
}

// MetBy reports whether an engine meets the need, with or without a free slot.
func (n Need) MetBy(e *Engine) bool {
	return e.Version >= n.MinVersion && (n.Software == "" || e.Software == n.Software)
}

// PickEngine returns the index in l of the engine that should run a sample, or -1 if no engine
// that it may run on has a free slot.
func PickEngine(l []Engine, n Need) int {
	best := -1
	for i, e := range l {
		if e.Running >= e.Slots || !n.MetBy(&e) {
			continue
		}
		if best < 0 || preferred(e, l[best]) {
			best = i
		}
	}
	return best
}

// preferred reports whether a sample should run on a rather than on b: the lower time
// per token decides, then the newer version, then being in the host's failure domain,
// then the id.
func preferred(a, b Engine) bool {
	x, y := a.tokenTime(), b.tokenTime()
	if x != y {
		return x < y
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.SameDomain != b.SameDomain {
		return a.SameDomain
	}
	return a.ID < b.ID
}

// slowdownPerSample is the increase of the time per token for each sample that runs on
// the engine already, as a fraction of the time per token of a sample that runs alone.
const slowdownPerSample = 0.03

// tokenTime returns the expected time per token of a further sample on e, in units of the
// time that the fastest server takes for a sample that runs alone.
func (e Engine) tokenTime() float64 {
	return max(e.RelativeTokenTime, 1) * (1 + slowdownPerSample*float64(e.Running))
}

// minMoveSpeedup is the factor by which the time per token must be lower on another
// engine before a running sample moves there. A move is not free: the new engine has to
// process the text generated so far again, and the connection to the old one is closed.
const minMoveSpeedup = 1.6

// Run is a sample that runs on a server.
type Run struct {
	Server string
	// MinVersion is the oldest version of the weights that may generate the rest of the
	// sample.
	MinVersion int64
}

// PlanMoves returns the indices in runs of the samples that should continue on another
// engine of the same software, at most limit of them. The samples of a server that became slow delay their
// steps, and a generation can be resumed elsewhere after its last complete event. Runs
// are considered in the given order, and a slot that one of them takes is not free for
// the next. The list l is not modified.
func PlanMoves(l []Engine, runs []Run, limit int) []int {
	l = append([]Engine(nil), l...)
	index := make(map[string]int, len(l))
	for i, e := range l {
		index[e.ID] = i
	}
	var moves []int
	for n, r := range runs {
		from, ok := index[r.Server]
		if !ok || len(moves) == limit || l[from].Software == "" {
			continue
		}
		to := PickEngine(l, Need{MinVersion: r.MinVersion, Software: l[from].Software})
		if to < 0 || to == from || l[to].tokenTime()*minMoveSpeedup >= l[from].tokenTime() {
			continue
		}
		l[to].Running++
		l[from].Running--
		moves = append(moves, n)
	}
	return moves
}
