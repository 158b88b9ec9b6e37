package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/capacityplan"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/routetable"
)

// The holder of the order lease orders servers for the services whose configuration bounds their number.
// Package capacityplan decides how many. All hosts read the decisions in the orders' topic, so that the next
// holder knows the targets in force and repeats those whose calls may not have been made.

const (
	// planInterval is the least time between two plans of the targets. The holder's loop comes round each quarter
	// of renewInterval, so that it plans every 450 ms.
	planInterval = 400 * time.Millisecond
	// targetRecordShare is the part of the log's retention, as its divisor, after which the record of a target
	// is renewed.
	targetRecordShare = 3
	// maxScaledServices bounds the services whose targets are kept, maxLoggedDecisions the decisions of a plan
	// that are logged.
	maxScaledServices  = 1000
	maxLoggedDecisions = 20
)

// scaling orders servers from the infrastructure provider. Its methods are called by the goroutine of orders,
// except where they say otherwise.
type scaling struct {
	g       *Gateway
	reports *openReports
	metrics *scalingMetrics
	// planners holds the planner of each service, fence the term for which they plan, plannedAt when they last did,
	// and departing the number of servers that were being taken away then.
	planners  map[string]*capacityplan.Planner
	fence     int64
	plannedAt time.Duration
	departing int
	// pending holds the decisions that have no answer.
	pending map[dutySubject]provider.Target
}

func newScaling(g *Gateway) *scaling {
	s := &scaling{
		g: g, reports: newOpenReports(g), metrics: newScalingMetrics(g.metrics.registry),
		planners: make(map[string]*capacityplan.Planner), pending: make(map[dutySubject]provider.Target),
	}
	d := g.orders.duties
	d.planners = append(d.planners, s.calls)
	d.targetRecorded, d.targetAnswered = s.recorded, s.answered
	return s
}

// enabled reports whether hosts of this deployment order servers. It may be called by any goroutine.
func (s *scaling) enabled() bool { return s.g.c.Provider.SetTarget != nil }

// scaledServices returns the services whose servers are ordered, sorted by name.
func scaledServices(t *routetable.Table) []*routetable.Service {
	var l []*routetable.Service
	for _, s := range t.Services {
		if s.Scaling != nil {
			l = append(l, s)
		}
	}
	slices.SortFunc(l, func(a, b *routetable.Service) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// calls returns the orders that have no answer, after a new plan if one is due. Orders that were made already, or
// have to wait, are known to the caller.
func (s *scaling) calls(now time.Duration) []dutyCall {
	t := s.g.Table()
	if !s.enabled() || t == nil {
		return nil
	}
	if f := s.g.orders.lease.Fence(); f != s.fence {
		s.startTerm(f, now)
	}
	if s.planDue(now) && s.g.fleet.isCurrent(time.Now()) {
		s.plannedAt = now
		s.plan(t, now)
	}
	return s.pendingCalls(t)
}

// planDue reports whether a plan is due: some time after the last one, and at once when servers are taken away,
// as their replacements take longer to start than those have left.
func (s *scaling) planDue(now time.Duration) bool {
	n := len(s.g.fleet.departures())
	more := n > s.departing
	s.departing = n
	return more || now-s.plannedAt >= planInterval
}

// startTerm has this host decide from now on.
func (s *scaling) startTerm(fence int64, now time.Duration) {
	s.fence = fence
	clear(s.pending)
	for _, p := range s.planners {
		p.StartTerm(now)
	}
}

// pendingCalls returns the orders that have no answer. Those of services that are not scaled any more are
// dropped.
func (s *scaling) pendingCalls(t *routetable.Table) []dutyCall {
	maps.DeleteFunc(s.pending, func(k dutySubject, _ provider.Target) bool {
		x := t.Services[k.service]
		return x == nil || x.Scaling == nil
	})
	var r []dutyCall
	for _, p := range s.pending {
		r = append(r, dutyCall{Target: &p})
	}
	slices.SortFunc(r, func(a, b dutyCall) int {
		return cmp.Or(cmp.Compare(a.Target.Service, b.Target.Service), cmp.Compare(a.Target.Domain, b.Target.Domain))
	})
	return r
}

// plan plans the targets of all services.
func (s *scaling) plan(t *routetable.Table, now time.Duration) {
	demands := s.reports.byService(now)
	var seen []scalingState
	for _, x := range scaledServices(t) {
		p := s.planner(x.Name)
		if p == nil {
			continue
		}
		in := s.input(t, x, demands[x.Name], now)
		s.decide(x.Name, p, p.Plan(in))
		seen = append(seen, scalingState{service: x.Name, summary: p.Summary(), targets: p.Targets(), servers: in.Servers})
	}
	s.metrics.show(seen, now)
}

// input returns what is known of a service.
func (s *scaling) input(t *routetable.Table, x *routetable.Service, d openDemand, now time.Duration) capacityplan.Input {
	l := s.g.fleet.registered(x.Name)
	in := capacityplan.Input{
		Now: now, Scaling: *x.Scaling, Slots: slotsOf(l, t.Slots(x.Name)), Open: d.open, LargestStep: d.largestStep,
		Servers: capacityplan.CountServers(l),
	}
	for k, n := range d.running {
		c := in.Servers[k]
		c.Running = n
		in.Servers[k] = c
	}
	return in
}

// slotsOf returns the mean number of slots of a service's servers, rounded down, or preset if none states any.
func slotsOf(l []directory.Server, preset int) int {
	slots, servers := 0, 0
	for _, s := range l {
		if s.Slots > 0 && !s.Leaving {
			slots += s.Slots
			servers++
		}
	}
	if servers == 0 {
		return preset
	}
	return slots / servers
}

// decide has decisions recorded and ordered.
func (s *scaling) decide(service string, p *capacityplan.Planner, l []capacityplan.Decision) {
	x := p.Summary()
	for i, d := range l {
		t := provider.Target{Service: service, Domain: d.Group.Domain, Servers: d.Servers, Reclaimable: d.Group.Reclaimable}
		s.pending[dutyCall{Target: &t}.subject()] = t
		s.metrics.orders.WithLabelValues(string(d.Reason)).Inc()
		if i >= maxLoggedDecisions {
			continue
		}
		s.g.log.Info("scaling: servers to order", zap.String("service", service), zap.String("domain", t.Domain),
			zap.Bool("reclaimable", t.Reclaimable), zap.Int("servers", t.Servers), zap.String("reason", string(d.Reason)),
			zap.Int("open", x.Open), zap.Int("peak", x.Peak), zap.Int("headroom", x.Headroom), zap.Int("needed", x.Needed),
			zap.Int("steady", x.Steady), zap.Int("expected", x.Expected), zap.Int("decisions", len(l)))
	}
}

// planner returns the planner of a service, nil if there are too many.
func (s *scaling) planner(service string) *capacityplan.Planner {
	p := s.planners[service]
	if p == nil && len(s.planners) < maxScaledServices {
		p = capacityplan.New(capacityplan.Config{RecordLifetime: s.g.s.Log.Retention.D() / targetRecordShare})
		s.planners[service] = p
	}
	return p
}

// recorded processes a decision in the topic, of this host or another.
func (s *scaling) recorded(t provider.Target, at time.Duration) {
	if p := s.planner(t.Service); p != nil && t.Servers >= 0 {
		p.Recorded(groupOf(t), t.Servers, at)
	}
}

// answered processes the answer to an order. An order that was not made for a reason that has nothing to do
// with its failure domain stays pending.
func (s *scaling) answered(t provider.Target, err error) {
	k := dutyCall{Target: &t}.subject()
	r, ok := orderResult(err)
	if !ok || s.pending[k] != t {
		return
	}
	delete(s.pending, k)
	s.planner(t.Service).Answered(groupOf(t), t.Servers, r, boottime.Now())
}

// orderResult returns what an error says of an order. ok is false if the order was not made: the provider limits
// the rate or cannot be reached, or this host was late.
func orderResult(err error) (r capacityplan.Result, ok bool) {
	if err == nil {
		return capacityplan.Accepted, true
	}
	e := outcome.AsError(err)
	if e.Outcome != outcome.NotRun {
		return capacityplan.Unanswered, true
	}
	switch e.Reason {
	case outcome.ReasonTooManyRequests, outcome.ReasonUnreachable, outcome.ReasonStaleFence:
		return 0, false
	}
	return capacityplan.Refused, true
}

func groupOf(t provider.Target) capacityplan.Group {
	return capacityplan.Group{Domain: t.Domain, Reclaimable: t.Reclaimable}
}
