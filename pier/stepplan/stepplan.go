// Package stepplan decides which samples of a step start next, and where.
//
// The pattern that it answers: a trainer asks for some groups of samples at once
// and waits for nine tenths of the groups. Most samples are short, a few are five
// times as long, and the step lasts as long as its longest sample that counts. So
// samples that are expected to be long start first, groups that stand first in
// the step go before others, as the trainer may wait for just these, and a sample
// starts on the engine where the fewest others slow it down.
package stepplan

import "sort"

// Sample is an item that has not started.
type Sample struct {
	// Item is the item's place in its step.
	Item  int
	Group string
	// Hint is the expected number of tokens, 0 if not known.
	Hint int
}

// Order sorts samples into the order in which they start: the longest expected
// first, and in the order of the step where they are alike.
func Order(s []Sample) []Sample {
	r := append([]Sample(nil), s...)
	sort.SliceStable(r, func(i, j int) bool { return r[i].Hint > r[j].Hint })
	return r
}

// Engine is a server that may take a sample.
type Engine struct {
	ID string
	// Version is what the server is believed to hold of the sample's model.
	Version int64
	Slots   int
	// Running is the number of samples that are known to be at the server.
	Running int
	// Slowness is the time of a token as a multiple of the fastest server's; 1 if
	// not known.
	Slowness float64
	// Near servers are in the failure domain of this host.
	Near bool
}

// Pick returns the place of the engine that should take a sample that needs at
// least version min, or -1 if none has room.
func Pick(l []Engine, min int64) int {
	best := -1
	for i, e := range l {
		if e.Version < min || e.Running >= e.Slots {
			continue
		}
		if best < 0 || before(e, l[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a is the better place: the one where a token takes less
// time, then the newer version, then the nearer one.
func before(a, b Engine) bool {
	x, y := a.cost(), b.cost()
	if x != y {
		return x < y
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Near != b.Near {
		return a.Near
	}
	return a.ID < b.ID
}

// batchCost is how much one more sample in the batch lengthens a token, as a
// part of the time of a token alone.
const batchCost = 0.03

func (e Engine) cost() float64 {
	return max(e.Slowness, 1) * (1 + batchCost*float64(e.Running))
}

// moveGain is how much less time a token must take elsewhere for a running sample
// to go on there: a move reads the text again and costs a connection.
const moveGain = 1.6

// Run is a sample that runs at a server.
type Run struct {
	Server string
	// Min is the oldest version that may generate the rest.
	Min int64
}

// Moves returns the places of the runs that should go on at another engine, at
// most so many: the samples of a server that turned slow hold up their steps, and a
// generation can go on elsewhere after its last whole event. The runs listed first
// go first. Room that one run takes is not there for the next.
func Moves(l []Engine, runs []Run, most int) []int {
	l = append([]Engine(nil), l...)
	at := make(map[string]int, len(l))
	for i, e := range l {
		at[e.ID] = i
	}
	var moves []int
	for n, r := range runs {
		from, ok := at[r.Server]
		if !ok || len(moves) == most {
			continue
		}
		to := Pick(l, r.Min)
		if to < 0 || to == from || l[to].cost()*moveGain >= l[from].cost() {
			continue
		}
		l[to].Running++
		l[from].Running--
		moves = append(moves, n)
	}
	return moves
}
