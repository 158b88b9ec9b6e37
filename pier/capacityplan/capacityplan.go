// Package capacityplan decides how many servers of each kind a service should have in each failure domain,
// where an infrastructure provider sets up and removes servers on order.
//
// It is designed for this workload: four trainers each submit a step of about 100 samples every 4 s, and at
// times 2.5 times as many. Some samples take many times as long as others. A service starts with 44 servers
// of 6 slots in 4 failure domains, has at most 22 in each, and a new server serves 4 s after its order, so
// that an order that follows the demand of a step comes after most of that step. Therefore the capacity
// follows the highest demand of the last seconds, with room for a burst.
// Reclaimable servers are cheaper; the provider takes all of a failure domain away at 2 to 3 s notice and
// then has none there, or nowhere, for a while. Therefore the mean demand is served by ordinary servers.
//
// A target is an absolute number of servers. It is raised at once. It is lowered when it was too high for a
// while, and only as far as the servers that are left are registered and suffice: a cheaper server replaces
// another one only after it has registered.
package capacityplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/routetable"
)

const (
	// observationTime is how long demand is observed before the first decision of a term.
	observationTime = 2 * time.Second
	// demandWindow is the time of which the highest demand counts. It is longer than the time between two
	// steps of a trainer, so that the demand between two steps does not count as lower.
	demandWindow = 5 * time.Second
	// holdTime is how long a target must have been too high before it is lowered. One that is too high by less
	// than minChange is lowered after longHoldTime, as the highest demand of some seconds varies by as much.
	holdTime     = 10 * time.Second
	longHoldTime = 60 * time.Second
	// minChange is the part of the servers needed that is worth a change which only saves money.
	minChange = 0.1
	// stepWindow is the time in which the largest step counts. Trainers submit one every few seconds.
	stepWindow = 15 * time.Second
	// burstSteps is the number of further steps for which there is room: a step that is 2.5 times as large as
	// the others needs room for 1.5 more. With less the samples of a burst wait.
	burstSteps = 1.5
)

// Group is the servers of one kind in a failure domain. A target applies to a group.
type Group struct {
	Domain string
	// Reclaimable selects the servers that the provider may take away at short notice.
	Reclaimable bool
}

// Servers describes the servers of a group.
type Servers struct {
	// Ready is the number of registered servers that take work, Leaving that of the others.
	Ready, Leaving int
	// Running is the number of samples at the servers that take work.
	Running int
}

// CountServers returns the servers of each group.
func CountServers(l []directory.Server) map[Group]Servers {
	r := make(map[Group]Servers)
	for i := range l {
		k := Group{Domain: l[i].Domain, Reclaimable: l[i].Reclaimable}
		s := r[k]
		if l[i].Leaving {
			s.Leaving++
		} else {
			s.Ready++
		}
		r[k] = s
	}
	return r
}

// Input is what is known of a service at a time.
type Input struct {
	// Now is the time since boot.
	Now     time.Duration
	Scaling routetable.Scaling
	// Slots is the number of samples that a server runs at once, at least 1.
	Slots int
	// Open is the number of samples that run or wait, LargestStep that of all samples of the largest
	// open step.
	Open, LargestStep int
	// Servers holds the servers of each group that has any.
	Servers map[Group]Servers
}

// Reason is why a target is ordered.
type Reason string

// The reasons of a Decision.
const (
	// ReasonDemand is that more servers are needed.
	ReasonDemand Reason = "demand"
	// ReasonMinimum and ReasonMaximum are that a failure domain has fewer or more than the configuration allows.
	ReasonMinimum Reason = "minimum"
	ReasonMaximum Reason = "maximum"
	// ReasonPrice is that cheaper servers, or such in other failure domains, are to replace others.
	ReasonPrice Reason = "price"
	// ReasonLowerNeed is that fewer servers are needed.
	ReasonLowerNeed Reason = "lower-need"
	// ReasonRefused is that the provider had no such servers when they were ordered before.
	ReasonRefused Reason = "refused"
	// ReasonUnanswered is that the order of the same target was not answered, ReasonMissing and ReasonSurplus
	// that fewer or more servers are registered than ordered. The same target is ordered again.
	ReasonUnanswered Reason = "unanswered"
	ReasonMissing    Reason = "missing"
	ReasonSurplus    Reason = "surplus"
	// ReasonRoom is that servers that the provider has taken away would count towards the maximum of their
	// failure domain.
	ReasonRoom Reason = "room"
	// ReasonExpiry is that the record of the target will expire.
	ReasonExpiry Reason = "expiry"
)

// Decision is a target that is to be ordered.
type Decision struct {
	Group   Group
	Servers int
	Reason  Reason
}

// Summary is what the decisions of a plan follow from.
type Summary struct {
	// Open is the number of samples that run or wait, Peak the highest number in demandWindow, and Headroom the
	// number of further ones for which there is room.
	Open, Peak, Headroom int
	// Needed is the number of servers needed, Steady the number of those that are to be ordinary ones, Expected
	// the number that is registered or will register soon.
	Needed, Steady, Expected int
	// Deciding reports whether the demand has been observed for long enough.
	Deciding bool
}

// Config configures a Planner.
type Config struct {
	// RecordLifetime is the time after which the record of a target has to be renewed; 0 for never.
	RecordLifetime time.Duration
}

// Planner plans the targets of one service. It performs no I/O and is not safe for concurrent use.
type Planner struct {
	c      Config
	groups map[Group]*group
	// observedSince is when demand was first observed in this term, 0 if it was not. decided is set once any
	// target was recorded.
	observedSince time.Duration
	decided       bool
	// unbalancedSince is since when other groups should have servers than do; 0 if they need not.
	unbalancedSince time.Duration
	// demand, needed and step hold the open samples, the servers needed and the largest steps of late.
	demand, needed, step window
	// in and summary are those of the last plan, ideal the servers that each group should have by it.
	in      Input
	summary Summary
	ideal   map[Group]int
}

// New returns a planner that knows no target.
func New(c Config) *Planner { return &Planner{c: c, groups: make(map[Group]*group)} }

// Summary returns what the decisions of the last plan follow from.
func (p *Planner) Summary() Summary { return p.summary }

// Targets returns the targets in force, as far as they are known.
func (p *Planner) Targets() map[Group]int {
	r := make(map[Group]int, len(p.groups))
	for k, g := range p.groups {
		r[k] = g.target
	}
	return r
}

// StartTerm has the planner decide from now on. What another host decided shortly before may not have been
// sent, so it is ordered again.
func (p *Planner) StartTerm(now time.Duration) {
	p.observedSince, p.unbalancedSince, p.decided = 0, 0, false
	p.demand, p.needed, p.step = window{}, window{}, window{}
	for _, g := range p.groups {
		g.startTerm(now)
		p.decided = p.decided || g.recorded
	}
}

// Recorded processes the record of a decision, which was read or appended at now.
func (p *Planner) Recorded(k Group, servers int, now time.Duration) {
	p.group(k).record(servers, now)
	p.decided = true
}

// Answered processes the answer to the order of a target.
func (p *Planner) Answered(k Group, servers int, r Result, now time.Duration) {
	if g := p.groups[k]; g != nil {
		g.answered(servers, r, now, p.in.Scaling.StartupTime)
	}
}

func (p *Planner) group(k Group) *group {
	g := p.groups[k]
	if g == nil {
		g = &group{}
		p.groups[k] = g
	}
	return g
}

// Plan returns the targets to order now. Each of them counts as in flight until Answered is called.
func (p *Planner) Plan(in Input) []Decision {
	in.Slots = max(in.Slots, 1)
	p.in = in
	p.track()
	d := p.unanswered()
	if !p.observe() {
		return d
	}
	p.ideal = p.allocateAll()
	for k, g := range p.groups {
		g.ideals.add(in.Now, p.ideal[k])
	}
	p.compare()
	d = append(d, p.deviations()...)
	d = append(d, p.bounds()...)
	more := p.raise()
	if len(more) == 0 {
		more = p.rebalance()
	}
	d = append(d, more...)
	d = append(d, p.lower()...)
	d = append(d, p.expiring()...)
	p.summary.Expected = p.expected()
	return d
}

// track creates the groups that may be ordered, and compares what is registered with what was ordered.
func (p *Planner) track() {
	for k := range p.in.Servers {
		p.group(k)
	}
	for _, d := range p.domains() {
		p.group(Group{Domain: d})
		if p.in.Scaling.ReclaimablePrice > 0 {
			p.group(Group{Domain: d, Reclaimable: true})
		}
	}
	for k, g := range p.groups {
		g.observe(k, p.in.Servers[k], p.in.Now, p.in.Scaling.StartupTime)
	}
}

// observe processes the demand. It returns false as long as that has not been observed for long enough.
func (p *Planner) observe() bool {
	now := p.in.Now
	if p.observedSince == 0 {
		if p.in.Open == 0 && !p.decided {
			return false
		}
		p.observedSince = max(now, 1)
	}
	p.demand.add(now, p.in.Open)
	p.step.add(now, p.in.LargestStep)
	p.need()
	p.needed.add(now, p.summary.Needed)
	p.summary.Deciding = p.observedSince > 0 && now-p.observedSince >= observationTime && p.in.Scaling.Max > 0
	return p.summary.Deciding
}

// need computes the number of servers needed, and of the ordinary ones among them. The steady demand is that
// of the last minute, unless that of late is lower.
func (p *Planner) need() {
	now, slots := p.in.Now, p.in.Slots
	domains := len(p.domains())
	s := Summary{Open: p.in.Open, Peak: p.demand.highest(now, demandWindow)}
	s.Headroom = int(math.Ceil(burstSteps * float64(p.step.highest(now, stepWindow))))
	least, most := p.in.Scaling.Min*domains, max(p.in.Scaling.Max, p.in.Scaling.Min)*domains
	s.Needed = min(max(ceilDiv(s.Peak+s.Headroom, slots), least), most)
	steady := min(p.demand.mean(now, windowLength), p.demand.mean(now, holdTime))
	s.Steady = min(max(int(math.Ceil(steady/float64(slots))), least), s.Needed)
	p.summary = s
}

// order has a target ordered, unless an order of the group is in flight.
func (p *Planner) order(k Group, servers int, r Reason) []Decision {
	if !p.groups[k].order(servers, p.in.Now) {
		return nil
	}
	return []Decision{{Group: k, Servers: servers, Reason: r}}
}

// domains returns the failure domains, the cheapest first.
func (p *Planner) domains() []string {
	l := slices.Collect(maps.Keys(p.in.Scaling.DomainPrices))
	for k := range p.groups {
		if _, ok := p.in.Scaling.DomainPrices[k.Domain]; !ok && (len(p.in.Scaling.DomainPrices) == 0 || !p.groups[k].empty()) {
			l = append(l, k.Domain)
		}
	}
	slices.SortFunc(l, func(a, b string) int { return comparePrices(p.domainPrice(a), p.domainPrice(b), a, b) })
	return slices.Compact(l)
}

// domainPrice returns the price of an ordinary server in a failure domain. One without a price counts as more
// expensive than all others.
func (p *Planner) domainPrice(d string) float64 {
	if x, ok := p.in.Scaling.DomainPrices[d]; ok {
		return x
	}
	most := 1.0
	for _, x := range p.in.Scaling.DomainPrices {
		most = max(most, x)
	}
	return most
}

// byPrice returns the groups, the cheapest first.
func (p *Planner) byPrice() []Group {
	price := func(k Group) float64 {
		if k.Reclaimable {
			return p.domainPrice(k.Domain) * p.in.Scaling.ReclaimablePrice
		}
		return p.domainPrice(k.Domain)
	}
	l := slices.Collect(maps.Keys(p.groups))
	slices.SortFunc(l, func(a, b Group) int {
		if a.Domain == b.Domain && a.Reclaimable != b.Reclaimable && price(a) == price(b) {
			return map[bool]int{true: -1, false: 1}[a.Reclaimable]
		}
		return comparePrices(price(a), price(b), a.Domain, b.Domain)
	})
	return l
}

func comparePrices(x, y float64, a, b string) int {
	switch {
	case x < y || x == y && a < b:
		return -1
	case x == y && a == b:
		return 0
	}
	return 1
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
