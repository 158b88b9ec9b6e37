package capacityplan

import (
	"math"
	"slices"
	"time"
)

// unanswered repeats the targets whose orders were not answered.
func (p *Planner) unanswered() []Decision {
	var d []Decision
	for _, k := range p.groupsInOrder() {
		if g := p.groups[k]; g.uncertain && !g.blocked {
			d = append(d, p.order(k, g.target, ReasonUnanswered)...)
		}
	}
	return d
}

// deviations repeats the targets from which the registered servers differ. The provider may replace lost
// servers by itself or not. Those that are not needed any more are not ordered again.
func (p *Planner) deviations() []Decision {
	var d []Decision
	for _, k := range p.groupsInOrder() {
		g := p.groups[k]
		switch {
		case !g.mayOrder() || g.blocked:
		case g.refused > 0:
			d = append(d, p.again(k, g)...)
		case g.missing() > 0 && g.dueAt == 0 && p.ideal[k] > g.servers.Ready:
			d = append(d, p.order(k, g.target, ReasonMissing)...)
		case g.surplusSince > 0 && p.in.Now-g.surplusSince > p.in.Scaling.StartupTime+startupSlack:
			g.surplusSince = p.in.Now
			d = append(d, p.order(k, max(g.target, p.occupied(g)), ReasonSurplus)...)
		}
	}
	return d
}

// again orders a target that was refused, as far as it is still wanted.
func (p *Planner) again(k Group, g *group) []Decision {
	a := p.current()
	n := min(g.refused, p.ideal[k], g.target+a.room(k, false, false))
	g.refused = 0
	if n <= g.target || p.unbalancedSince == 0 {
		return nil
	}
	return p.order(k, n, ReasonRefused)
}

// occupied returns the number of servers of a group whose slots suffice for what runs there.
func (p *Planner) occupied(g *group) int {
	return min(ceilDiv(g.servers.Running, p.in.Slots), g.servers.Ready)
}

// bounds returns orders for failure domains with fewer or more servers than the configuration allows.
func (p *Planner) bounds() []Decision {
	var d []Decision
	a := p.current()
	for _, domain := range a.domains {
		d = append(d, p.minimum(a, domain)...)
		d = append(d, p.maximum(domain)...)
	}
	return d
}

func (p *Planner) minimum(a *allocation, domain string) []Decision {
	var d []Decision
	for _, reclaimable := range []bool{false, true} {
		k := Group{Domain: domain, Reclaimable: reclaimable}
		n := min(p.in.Scaling.Min-a.total(domain), a.room(k, false, false))
		if n <= 0 || !p.groups[k].mayOrder() {
			continue
		}
		a.count[k] += n
		a.held[domain] += n
		d = append(d, p.order(k, max(p.groups[k].target, a.count[k]), ReasonMinimum)...)
	}
	return d
}

func (p *Planner) maximum(domain string) []Decision {
	var d []Decision
	for _, reclaimable := range []bool{true, false} {
		k := Group{Domain: domain, Reclaimable: reclaimable}
		g := p.groups[k]
		if g == nil || !g.mayOrder() {
			continue
		}
		over := -p.in.Scaling.Max
		for _, r := range []bool{true, false} {
			if o := p.groups[Group{Domain: domain, Reclaimable: r}]; o != nil {
				over += o.target
			}
		}
		if n := max(g.target-over, p.occupied(g), 0); over > 0 && n < g.target {
			d = append(d, p.order(k, n, ReasonMaximum)...)
		}
	}
	return d
}

// raise orders the servers that are needed beyond those that are expected.
func (p *Planner) raise() []Decision {
	a := p.current()
	n := p.summary.Needed - a.sum(false) - a.sum(true)
	if n <= 0 {
		return nil
	}
	left := a.fill(n)
	d := p.orderMore(a, ReasonDemand)
	if left > 0 {
		d = append(d, p.makeRoom(left)...)
	}
	return d
}

// orderMore orders the groups that have more servers in an allocation than are expected.
func (p *Planner) orderMore(a *allocation, r Reason) []Decision {
	var d []Decision
	for _, k := range p.groupsInOrder() {
		g := p.groups[k]
		if n := a.count[k]; n > g.expected(p.in.Now) && g.mayOrder() {
			d = append(d, p.order(k, max(n, g.target), r)...)
		}
	}
	return d
}

// makeRoom lowers the targets of groups that do not provide servers, so that others of their failure domains
// may be ordered next.
func (p *Planner) makeRoom(n int) []Decision {
	var d []Decision
	for _, k := range p.groupsInOrder() {
		g := p.groups[k]
		other := p.groups[Group{Domain: k.Domain, Reclaimable: !k.Reclaimable}]
		x := min(g.missing(), n)
		if x == 0 || !g.blocked || !g.mayOrder() || other == nil || other.blocked || !other.mayOrder() {
			continue
		}
		n -= x
		d = append(d, p.order(k, g.target-x, ReasonRoom)...)
	}
	return d
}

// worthwhile returns the number of servers from which on a change is made only to save money.
func (p *Planner) worthwhile() int {
	return max(int(math.Ceil(minChange*float64(p.summary.Needed))), 2)
}

// settled reports whether the demand has been observed for as long as a target is held.
func (p *Planner) settled() bool { return p.in.Now-p.observedSince >= observationTime+holdTime }

// compare records since when the targets differ from the planned distribution by a number worth a change.
func (p *Planner) compare() {
	switch {
	case p.distance() < p.worthwhile():
		p.unbalancedSince = 0
	case p.unbalancedSince == 0:
		p.unbalancedSince = p.in.Now
	}
}

// distance returns the number of servers that groups should have and for which nothing was ordered.
func (p *Planner) distance() int {
	n := 0
	for k, g := range p.groups {
		n += max(p.ideal[k]-g.target, 0)
	}
	return n
}

// rebalance orders cheaper servers, and such in other failure domains, in place of others, once that has been
// worthwhile for a while. The others are removed when the new ones have registered.
func (p *Planner) rebalance() []Decision {
	if p.unbalancedSince == 0 || p.in.Now-p.unbalancedSince < holdTime {
		return nil
	}
	a := p.current()
	for _, d := range a.domains {
		for _, reclaimable := range []bool{true, false} {
			k := Group{Domain: d, Reclaimable: reclaimable}
			x := max(min(p.ideal[k]-a.count[k], a.room(k, false, false)), 0)
			a.count[k] += x
			a.held[d] += x
		}
	}
	if d := p.orderMore(a, ReasonPrice); len(d) > 0 {
		return d
	}
	// The failure domains that should get them are full: others hold them meanwhile.
	a.add(true, min(p.distance(), a.missingReclaimable()), true, false)
	return p.orderMore(a, ReasonPrice)
}

// missingReclaimable returns how many reclaimable servers there are fewer than needed.
func (a *allocation) missingReclaimable() int {
	return max(a.p.summary.Needed-a.p.summary.Steady-a.sum(true), 0)
}

// lower lowers the targets that have been too high for a while, the most expensive first. The servers left
// suffice for all that was needed in that time, and in each group for what runs there.
func (p *Planner) lower() []Decision {
	if !p.settled() {
		return nil
	}
	hold := p.holdTime()
	spare := -p.needed.highest(p.in.Now, holdTime)
	for _, g := range p.groups {
		spare += min(g.servers.Ready, g.target)
	}
	var d []Decision
	l := p.byPrice()
	slices.Reverse(l)
	for _, k := range l {
		g := p.groups[k]
		n := max(g.ideals.highest(p.in.Now, hold), p.occupied(g), p.in.Scaling.Min-p.ready(Group{Domain: k.Domain, Reclaimable: !k.Reclaimable}))
		if n >= g.target || !g.mayOrder() {
			continue
		}
		x := min(g.target-n, g.missing()+max(spare, 0))
		if x == 0 {
			continue
		}
		spare -= max(x-g.missing(), 0)
		d = append(d, p.order(k, g.target-x, ReasonLowerNeed)...)
	}
	return d
}

// holdTime returns how long targets must have been too high, which depends on by how much they are.
func (p *Planner) holdTime() time.Duration {
	excess := 0
	for _, g := range p.groups {
		excess += max(g.target-g.ideals.highest(p.in.Now, holdTime), 0)
	}
	if excess >= p.worthwhile() {
		return holdTime
	}
	return longHoldTime
}

// ready returns the number of servers of a group that take work and stay.
func (p *Planner) ready(k Group) int {
	if g := p.groups[k]; g != nil {
		return min(g.servers.Ready, g.target)
	}
	return 0
}

// expiring repeats the targets whose records will expire, so that a host that starts later knows them.
func (p *Planner) expiring() []Decision {
	var d []Decision
	for _, k := range p.groupsInOrder() {
		g := p.groups[k]
		if p.c.RecordLifetime > 0 && g.recorded && p.in.Now-g.recordedAt > p.c.RecordLifetime && g.mayOrder() && !g.blocked {
			d = append(d, p.order(k, g.target, ReasonExpiry)...)
		}
	}
	return d
}
