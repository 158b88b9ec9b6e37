// Package weights brings backend servers to the newest version of each model.
//
// Orders is the pure core of a server's owner: it tells which order to give
// next. Orders are absolute ("have at least version v"), so a late or repeated
// one does no harm, and an order counts as done only when the server reports the
// version. Permits is the pure core of a deployment's publisher: it limits how
// many servers load at the same time, as the weight store is rate-limited.
package weights

import (
	"cmp"
	"slices"
	"time"

	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/rollout"
)

// The events of the order chart.
const (
	eventBehind    chart.Event = "behind"
	eventPermitted chart.Event = "permitted"
	eventAccepted  chart.Event = "accepted"
	eventFailed    chart.Event = "failed"
	eventReached   chart.Event = "reached"
)

// The states of the order chart.
const (
	Settled  chart.State = "settled"
	Waiting  chart.State = "waiting"
	Ordering chart.State = "ordering"
	Loading  chart.State = "loading"
)

var orderChart = chart.Load("order")

// Target names a model on a server.
type Target struct {
	Server string
	Model  string
}

// Config constructs an Orders.
type Config struct {
	// LoadLimit is how long a load may take before it counts as failed.
	LoadLimit time.Duration
	// Retry is how long to wait after a failure.
	Retry time.Duration
}

// Step is what the shell has to do for a target.
type Step struct {
	Target
	Version rollout.Version
	// Permit asks the publisher; otherwise the order is to be given.
	Permit bool
}

type order struct {
	state chart.State
	want  rollout.Version
	have  rollout.Version
	// ordered is the version of the order that was given last.
	ordered rollout.Version
	// due is when the next try may be made.
	due time.Time
	// busy is set while the shell carries out a step.
	busy bool
	// since is when the state was taken.
	since time.Time
	fails int
}

// Orders drives the loads on the servers of one owner. Not safe for concurrent use.
type Orders struct {
	c Config
	m map[Target]*order
}

// NewOrders returns an Orders without targets.
func NewOrders(c Config) *Orders { return &Orders{c: c, m: make(map[Target]*order)} }

// Want states the version that a target should have at least. It never lowers it.
func (o *Orders) Want(t Target, v rollout.Version) {
	x := o.m[t]
	if x == nil {
		x = &order{state: orderChart.Initial()}
		o.m[t] = x
	}
	x.want = max(x.want, v)
}

// Keep drops the targets for which f returns false.
func (o *Orders) Keep(f func(Target) bool) {
	for t := range o.m {
		if !f(t) {
			delete(o.m, t)
		}
	}
}

// Report takes the version that a server reported.
func (o *Orders) Report(now time.Time, t Target, have rollout.Version, failed bool) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.have = have
	switch {
	case have >= x.want && x.state != Settled:
		orderChart.Fire(&x.state, eventReached)
		x.since, x.fails = now, 0
	case have >= x.ordered && x.state == Loading && have < x.want:
		x.retry(now, 0)
	case failed && x.state == Loading:
		x.fails++
		x.retry(now, o.c.Retry)
	}
}

// retry goes back to waiting for a permit.
func (x *order) retry(now time.Time, after time.Duration) {
	orderChart.Fire(&x.state, eventFailed)
	x.since, x.due = now, now.Add(after)
}

// Next returns the steps that are due, in a fixed order, and marks them as busy.
func (o *Orders) Next(now time.Time) []Step {
	var l []Step
	for t, x := range o.m {
		if x.have < x.want && x.state == Settled {
			orderChart.Fire(&x.state, eventBehind)
			x.since, x.due = now, now
		}
		if x.state == Loading && now.Sub(x.since) >= o.c.LoadLimit {
			x.fails++
			x.retry(now, 0)
		}
		if x.busy || now.Before(x.due) || x.state != Waiting && x.state != Ordering {
			continue
		}
		x.busy = true
		l = append(l, Step{Target: t, Version: x.want, Permit: x.state == Waiting})
	}
	slices.SortFunc(l, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return l
}

// Permitted takes the publisher's answer: a permit, or when to ask again.
func (o *Orders) Permitted(now time.Time, t Target, granted bool, after time.Duration) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.busy = false
	if x.state != Waiting {
		return
	}
	if !granted {
		x.due = now.Add(after)
		return
	}
	orderChart.Fire(&x.state, eventPermitted)
	x.since = now
}

// Ordered takes the server's answer to an order of a version.
func (o *Orders) Ordered(now time.Time, t Target, v rollout.Version, ok bool) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.busy = false
	if x.state != Ordering {
		return
	}
	if !ok {
		x.fails++
		x.retry(now, o.c.Retry)
		return
	}
	x.ordered = v
	orderChart.Fire(&x.state, eventAccepted)
	x.since = now
}

// State returns the state of a target and how often it failed in a row.
func (o *Orders) State(t Target) (chart.State, int) {
	x := o.m[t]
	if x == nil {
		return Settled, 0
	}
	return x.state, x.fails
}

// PermitConfig constructs a Permits.
type PermitConfig struct {
	// AtOnce is the greatest number of loads at the same time; 0 means no limit.
	AtOnce int
	// Lease is how long a permit holds when it is not given back.
	Lease time.Duration
	// Retry is what a refused owner is told to wait.
	Retry time.Duration
}

// Permits limits the loads of one deployment. Not safe for concurrent use.
type Permits struct {
	c PermitConfig
	// held maps each target with a permit to when it ends.
	held map[Target]time.Time
}

// NewPermits returns a Permits with none held.
func NewPermits(c PermitConfig) *Permits { return &Permits{c: c, held: make(map[Target]time.Time)} }

// SetAtOnce changes the limit; permits held stay valid.
func (p *Permits) SetAtOnce(n int) { p.c.AtOnce = n }

// Ask grants a permit, or returns after how long to ask again.
func (p *Permits) Ask(now time.Time, t Target) (bool, time.Duration) {
	for k, e := range p.held {
		if !now.Before(e) {
			delete(p.held, k)
		}
	}
	_, again := p.held[t]
	if !again && p.c.AtOnce > 0 && len(p.held) >= p.c.AtOnce {
		return false, p.c.Retry
	}
	p.held[t] = now.Add(p.c.Lease)
	return true, 0
}

// Done gives a permit back.
func (p *Permits) Done(t Target) { delete(p.held, t) }

// Held returns the number of permits held.
func (p *Permits) Held() int { return len(p.held) }
