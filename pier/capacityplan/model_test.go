package capacityplan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulberrypier.example/pier/routetable"
)

// tick is the time between two plans and the resolution of the model.
const tick = 500 * time.Millisecond

// model is a provider with its servers, and trainers whose samples run there.
type model struct {
	now     time.Duration
	p       *Planner
	scaling routetable.Scaling
	slots   int
	servers []*modelServer
	targets map[Group]int
	// keeps is set if the provider replaces servers that are lost.
	keeps bool
	// unavailable holds until when a group provides no servers; answer, if not nil, replaces the answer to an
	// order, which is not carried out then.
	unavailable map[Group]time.Duration
	answer      func(d Decision) (Result, bool)
	// trainers submit a step of steps(t) samples every 4 s each.
	trainers int
	steps    func(t time.Duration) int
	waiting  []time.Duration
	random   *rand.Rand

	// orders are all decisions, waited is the time that samples have waited for a slot, and cost the price of
	// all servers.
	orders []timedDecision
	waited map[time.Duration]time.Duration
	cost   float64
	// broken holds the rules that an order has broken.
	broken []string
}

type timedDecision struct {
	Decision
	at time.Duration
}

// modelServer is a server that serves from ready on, and drains from leaves on.
type modelServer struct {
	k       Group
	ready   time.Duration
	leaving bool
	endsAt  time.Duration
	// running holds when the samples end.
	running []time.Duration
}

func newModel() *model {
	m := &model{
		p: New(Config{}), slots: 6, targets: make(map[Group]int), unavailable: make(map[Group]time.Duration), trainers: 4,
		steps: func(time.Duration) int { return 100 }, random: rand.New(rand.NewPCG(1, 2)), waited: make(map[time.Duration]time.Duration),
		scaling: routetable.Scaling{
			Min: 2, Max: 22, StartupTime: 4 * time.Second, ReclaimablePrice: 0.22,
			DomainPrices: map[string]float64{"a": 1, "b": 1.1, "c": 1.2, "d": 1.3},
		},
	}
	for d := range m.scaling.DomainPrices {
		m.targets[Group{Domain: d}] = 11
	}
	m.provide(0)
	return m
}

// sampleTime returns the time of a sample: 1 s for most, 5 s for 8 in 100, and now and then 7 s.
func (m *model) sampleTime() time.Duration {
	switch x := m.random.IntN(100); {
	case x < 1:
		return 7 * time.Second
	case x < 9:
		return 5 * time.Second
	}
	return time.Second
}

// sinceBoot returns the reading of the clock at a time of the model.
func sinceBoot(t time.Duration) time.Duration { return t + time.Hour }

// run runs the model until a time.
func (m *model) run(until time.Duration) {
	for ; m.now < until; m.now += tick {
		m.end()
		m.submit()
		m.start()
		in := m.input()
		for _, d := range m.p.Plan(in) {
			m.orders = append(m.orders, timedDecision{d, m.now})
			m.check(d, in.Servers[d.Group])
			m.p.Recorded(d.Group, d.Servers, sinceBoot(m.now))
			m.p.Answered(d.Group, d.Servers, m.execute(d), sinceBoot(m.now))
		}
	}
}

// check notes the rules that an order breaks.
func (m *model) check(d Decision, s Servers) {
	other := m.targets[Group{Domain: d.Group.Domain, Reclaimable: !d.Group.Reclaimable}]
	switch before := m.targets[d.Group]; {
	case m.now < observationTime:
		m.broken = append(m.broken, fmt.Sprint(m.now, d, " before the demand was observed"))
	case d.Servers < before && d.Servers*m.slots < s.Running:
		m.broken = append(m.broken, fmt.Sprint(m.now, d, " with samples running: ", s.Running))
	case d.Servers > before && d.Servers+other > m.scaling.Max:
		m.broken = append(m.broken, fmt.Sprint(m.now, d, " over the maximum, of the other kind: ", other))
	case d.Servers < before && d.Servers+other < m.scaling.Min:
		m.broken = append(m.broken, fmt.Sprint(m.now, d, " under the minimum, of the other kind: ", other))
	}
}

func (m *model) submit() {
	for i := range m.trainers {
		phase := time.Duration(i) * 4 * time.Second / time.Duration(m.trainers)
		if m.now >= phase && (m.now-phase)%(4*time.Second) == 0 {
			for range m.steps(m.now) {
				m.waiting = append(m.waiting, m.now)
			}
		}
	}
}

// start gives the waiting samples slots of the least loaded servers.
func (m *model) start() {
	for len(m.waiting) > 0 {
		var best *modelServer
		for _, s := range m.servers {
			if !s.leaving && s.ready <= m.now && len(s.running) < m.slots && (best == nil || len(s.running) < len(best.running)) {
				best = s
			}
		}
		if best == nil {
			break
		}
		best.running = append(best.running, m.now+m.sampleTime())
		m.waiting = m.waiting[1:]
	}
	m.waited[m.now] = time.Duration(len(m.waiting)) * tick
}

// end ends samples and servers.
func (m *model) end() {
	var l []*modelServer
	for _, s := range m.servers {
		var r []time.Duration
		for _, e := range s.running {
			if e > m.now {
				r = append(r, e)
			}
		}
		s.running = r
		if s.leaving && (len(r) == 0 || m.now >= s.endsAt) {
			for range r {
				m.waiting = append([]time.Duration{m.now}, m.waiting...)
			}
			continue
		}
		l = append(l, s)
		price := m.scaling.DomainPrices[s.k.Domain]
		if s.k.Reclaimable {
			price *= m.scaling.ReclaimablePrice
		}
		m.cost += price * tick.Seconds()
	}
	m.servers = l
	if m.keeps {
		m.provide(m.now + m.scaling.StartupTime)
	}
}

func (m *model) input() Input {
	in := Input{Now: sinceBoot(m.now), Scaling: m.scaling, Slots: m.slots, Open: len(m.waiting), LargestStep: m.steps(m.now), Servers: make(map[Group]Servers)}
	for _, s := range m.servers {
		in.Open += len(s.running)
		x := in.Servers[s.k]
		switch {
		case s.leaving:
			x.Leaving++
		case s.ready <= m.now:
			x.Ready++
			x.Running += len(s.running)
		}
		in.Servers[s.k] = x
	}
	return in
}

// execute carries an order out.
func (m *model) execute(d Decision) Result {
	if m.answer != nil {
		if r, ok := m.answer(d); ok {
			return r
		}
	}
	if d.Servers > m.count(d.Group) && m.now < m.unavailable[d.Group] {
		return Refused
	}
	m.targets[d.Group] = d.Servers
	m.provide(m.now + m.scaling.StartupTime)
	return Accepted
}

// provide starts and removes servers until there are as many as ordered.
func (m *model) provide(ready time.Duration) {
	for k, n := range m.targets {
		for i := m.count(k); i < n && m.now >= m.unavailable[k]; i++ {
			m.servers = append(m.servers, &modelServer{k: k, ready: ready})
		}
		for i := m.count(k); i > n; i-- {
			m.remove(k, time.Hour)
		}
	}
}

// count returns the servers of a group that stay.
func (m *model) count(k Group) int {
	n := 0
	for _, s := range m.servers {
		if s.k == k && !s.leaving {
			n++
		}
	}
	return n
}

// remove has a server of a group leave within a time.
func (m *model) remove(k Group, within time.Duration) {
	for _, s := range m.servers {
		if s.k == k && !s.leaving {
			s.leaving, s.endsAt = true, m.now+within
			return
		}
	}
}

// reclaim takes all reclaimable servers of a failure domain away; none are available there for 8 s.
func (m *model) reclaim(domain string) {
	k := Group{Domain: domain, Reclaimable: true}
	m.unavailable[k] = m.now + 8*time.Second
	for m.count(k) > 0 {
		m.remove(k, 2500*time.Millisecond)
	}
}

// waitedBetween returns the time that samples have waited for a slot in a period.
func (m *model) waitedBetween(from, to time.Duration) time.Duration {
	var r time.Duration
	for t, w := range m.waited {
		if t >= from && t < to {
			r += w
		}
	}
	return r
}

// ready returns the number of servers of a kind that take work.
func (m *model) ready(reclaimable bool) int {
	n := 0
	for _, s := range m.servers {
		if s.k.Reclaimable == reclaimable && !s.leaving && s.ready <= m.now {
			n++
		}
	}
	return n
}

// ordersOf returns the orders of a group in a period.
func (m *model) ordersOf(k Group, from, to time.Duration) []timedDecision {
	var r []timedDecision
	for _, o := range m.orders {
		if o.Group == k && o.at >= from && o.at < to {
			r = append(r, o)
		}
	}
	return r
}

// turns returns how often the target of any group was raised after it had been lowered, in a period.
func (m *model) turns(from, to time.Duration) int {
	n := 0
	last, lowered := make(map[Group]int), make(map[Group]bool)
	for _, o := range m.orders {
		k, before := o.Group, last[o.Group]
		if o.Servers > before && lowered[k] && o.at >= from && o.at < to {
			n++
		}
		if o.Servers != before {
			lowered[k] = o.Servers < before
		}
		last[k] = o.Servers
	}
	return n
}

// report logs what a run has cost and how long samples have waited since a time.
func (m *model) report(t *testing.T, since time.Duration) {
	t.Logf("%d servers, %d of them reclaimable; price %.0f; samples waited %v in all; %d orders", m.ready(false)+m.ready(true),
		m.ready(true), m.cost, m.waitedBetween(since, m.now), len(m.orders))
}
