package capacityplan

import (
	"maps"
	"slices"
)

// allocation distributes servers among groups.
type allocation struct {
	p *Planner
	// domains are the failure domains, the cheapest first.
	domains []string
	// count is the number of servers of each group; held is, by failure domain, the number that counts towards the
	// maximum, where an unanswered decrease counts at its old value.
	count map[Group]int
	held  map[string]int
	// half is the most servers of a failure domain, kindHalf that of a kind in it, so that no domain holds more
	// than the loss of another one leaves.
	half     int
	kindHalf map[bool]int
	// ordering is set if groups with an order in flight get no more.
	ordering bool
}

// newAllocation returns the distribution of no servers, of needed ones of which steady ones are ordinary.
func (p *Planner) newAllocation() *allocation {
	needed, steady := p.summary.Needed, p.summary.Steady
	a := &allocation{
		p: p, domains: p.domains(), count: make(map[Group]int), held: make(map[string]int),
		half: needed, kindHalf: map[bool]int{false: needed, true: needed},
	}
	if len(a.domains) > 1 {
		a.half = needed / 2
		a.kindHalf = map[bool]int{false: ceilDiv(steady, 2), true: ceilDiv(needed-steady, 2)}
	}
	return a
}

// total returns the number of servers of both kinds in a failure domain.
func (a *allocation) total(domain string) int {
	return a.count[Group{Domain: domain}] + a.count[Group{Domain: domain, Reclaimable: true}]
}

// sum returns the number of servers of a kind.
func (a *allocation) sum(reclaimable bool) int {
	n := 0
	for k, c := range a.count {
		if k.Reclaimable == reclaimable {
			n += c
		}
	}
	return n
}

// room returns how many more servers a group may get.
func (a *allocation) room(k Group, withinHalf, spread bool) int {
	g := a.p.groups[k]
	if g == nil || k.Reclaimable && a.p.in.Scaling.ReclaimablePrice <= 0 {
		return 0
	}
	r := a.p.in.Scaling.Max - max(a.held[k.Domain], a.total(k.Domain))
	if g.blocked || g.uncertain || a.ordering && g.inFlight {
		r = min(r, g.expected(a.p.in.Now)-a.count[k])
	}
	if withinHalf {
		r = min(r, a.half-a.total(k.Domain))
	}
	if spread {
		r = min(r, a.kindHalf[k.Reclaimable]-a.count[k])
	}
	return max(r, 0)
}

// add adds n servers of a kind in the cheapest failure domains, and returns the number for which there is no
// room.
func (a *allocation) add(reclaimable bool, n int, withinHalf, spread bool) int {
	for _, d := range a.domains {
		k := Group{Domain: d, Reclaimable: reclaimable}
		x := min(a.room(k, withinHalf, spread), n)
		a.count[k] += x
		if _, ok := a.held[d]; ok {
			a.held[d] += x
		}
		n -= x
	}
	return n
}

// fill adds n servers: ordinary ones up to the steady need, and reclaimable ones beyond it. The rules of
// distribution are given up in the order of the calls, rather than capacity.
func (a *allocation) fill(n int) int {
	ordinary := min(max(a.p.summary.Steady-a.sum(false), 0), n)
	n += a.add(false, ordinary, true, true) - ordinary
	n = a.add(true, n, true, true)
	n = a.add(true, n, true, false)
	n = a.add(false, n, true, false)
	n = a.add(true, n, false, false)
	return a.add(false, n, false, false)
}

// allocateAll returns the servers that each group should have.
func (p *Planner) allocateAll() map[Group]int {
	a := p.newAllocation()
	for _, d := range a.domains {
		n := p.in.Scaling.Min
		for _, reclaimable := range []bool{false, true} {
			k := Group{Domain: d, Reclaimable: reclaimable}
			x := min(a.room(k, false, false), n)
			a.count[k] += x
			n -= x
		}
	}
	a.fill(max(p.summary.Needed-a.sum(false)-a.sum(true), 0))
	return a.count
}

// current returns the distribution of the servers that are expected.
func (p *Planner) current() *allocation {
	a := p.newAllocation()
	a.ordering = true
	for k, g := range p.groups {
		a.count[k] = g.expected(p.in.Now)
		a.held[k.Domain] += max(g.held(), a.count[k])
	}
	return a
}

// expected returns the number of servers that are registered, or will be soon.
func (p *Planner) expected() int {
	n := 0
	for _, g := range p.groups {
		n += g.expected(p.in.Now)
	}
	return n
}

// groupsInOrder returns the groups by failure domain and kind, so that a plan does not depend on chance.
func (p *Planner) groupsInOrder() []Group {
	return slices.SortedFunc(maps.Keys(p.groups), func(a, b Group) int {
		if a.Domain != b.Domain {
			return comparePrices(0, 0, a.Domain, b.Domain)
		}
		if a.Reclaimable == b.Reclaimable {
			return 0
		}
		return map[bool]int{true: 1, false: -1}[a.Reclaimable]
	})
}
