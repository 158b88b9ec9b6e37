// Package serverchoice chooses a server for a plain request by the time in which it is expected to
// finish there. It performs no I/O.
//
// Servers that state how long work takes on their machines now get the better of two random choices:
// hosts that see the same figures would otherwise all pick the same server. Without recent figures of at least
// two servers there is nothing to compare, and random choices would only open more connections. Then, and among
// servers that do not state how long work takes, the one of lowest cost is chosen.
package serverchoice

import "time"

// Server is what a host knows of a server that may take a plain request.
type Server struct {
	// Slots is the number of requests that the server runs at once, 0 if that is not known.
	Slots int
	// Running is the estimated number of requests at the server, running or waiting.
	Running int
	// StatesSlowdown is set if the server states how long work takes there. Slowdown is the factor by
	// which it takes longer than normally, 1 if that is not known now.
	StatesSlowdown bool
	Slowdown       float64
	// Recent is set if Running rests on a load that the server stated recently.
	Recent bool
	// Avoided is set if the server should get a request only if no other one can take it.
	Avoided bool
	// LimitWait is the time for which the server's limit leaves no room.
	LimitWait time.Duration
	// OtherDomain is set if the server is in another failure domain than the host.
	OtherDomain bool
}

const (
	// avoidCost ranks a server that is avoided behind all others.
	avoidCost = 100
	// limitedCost is the cost of each second for which a server's limit leaves no room: a
	// tenth of a second weighs as much as a server that is avoided.
	limitedCost = 1000
	// otherDomainCost is the load per slot that offsets the longer round trip to another
	// failure domain.
	otherDomainCost = 0.1
)

// isGood reports whether the server may be one of two random choices.
func (s *Server) isGood() bool { return !s.Avoided && s.LimitWait <= 0 }

// load returns the requests at the server per slot.
func (s *Server) load() float64 { return float64(s.Running) / float64(max(s.Slots, 1)) }

// cost ranks the server by its load per slot and by what speaks against it.
func (s *Server) cost() float64 {
	c := s.load()
	if s.Avoided {
		c += avoidCost
	}
	if s.OtherDomain {
		c += otherDomainCost
	}
	if s.LimitWait > 0 {
		c += limitedCost * s.LimitWait.Seconds()
	}
	return c
}

// finish returns the expected time to finish at a good server as a multiple of that at one that is idle
// and works at normal speed. Each request there is taken to delay this one by its share of a slot, also
// while slots are free: other hosts see the same figure and send requests too.
func (s *Server) finish() float64 {
	f := s.Slowdown * (1 + s.load())
	if s.OtherDomain {
		f += otherDomainCost
	}
	return f
}

// Basis is what a choice was based on.
type Basis string

// The bases of a choice.
const (
	// LowestCost is the choice among servers of which fewer than two good ones stated a slowdown recently.
	LowestCost Basis = "lowest-cost"
	// SoonerOfTwo is the choice of the random server that is expected to finish sooner than another one,
	// EitherOfTwo that of two which are expected to finish at the same time.
	SoonerOfTwo Basis = "sooner-of-two"
	EitherOfTwo Basis = "either-of-two"
)

// Choice is a server that was chosen.
type Choice struct {
	// Index is the index of the server.
	Index int
	Basis Basis
	// Ready reports whether the server can take the request at once. Cost ranks servers that cannot.
	Ready bool
	Cost  float64
}

// Choose chooses one of the servers, and returns false if there are none. random returns a random number
// from 0 to n-1.
func Choose(l []Server, random func(n int) int) (Choice, bool) {
	if len(l) == 0 {
		return Choice{}, false
	}
	good, stated := 0, 0
	for i := range l {
		if l[i].isGood() {
			good++
			if l[i].StatesSlowdown && l[i].Recent {
				stated++
			}
		}
	}
	if stated < 2 {
		return lowestCost(l), true
	}
	return soonerOfTwo(l, good, random), true
}

// lowestCost returns the first server of lowest cost.
func lowestCost(l []Server) Choice {
	c := Choice{Basis: LowestCost, Cost: l[0].cost()}
	for i := 1; i < len(l); i++ {
		if d := l[i].cost(); d < c.Cost {
			c.Index, c.Cost = i, d
		}
	}
	c.Ready = c.Cost < avoidCost
	return c
}

// goodServer returns the index of the good server that n others come before.
func goodServer(l []Server, n int) int {
	for i := range l {
		if !l[i].isGood() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// soonerOfTwo returns the server that is expected to finish sooner of two different random ones among the
// n good ones, of which there are at least two.
func soonerOfTwo(l []Server, n int, random func(n int) int) Choice {
	i, j := random(n), random(n-1)
	if j >= i {
		j++
	}
	a, b := goodServer(l, i), goodServer(l, j)
	x, y := l[a].finish(), l[b].finish()
	switch {
	case x < y:
		return Choice{Index: a, Basis: SoonerOfTwo, Ready: true}
	case y < x:
		return Choice{Index: b, Basis: SoonerOfTwo, Ready: true}
	}
	return Choice{Index: a, Basis: EitherOfTwo, Ready: true}
}
