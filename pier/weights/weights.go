// Package weights brings backend servers to the newest version of each model.
//
// Orders is the state machine of a server's owner: it returns the orders to send next.
// Orders are absolute ("have at least version v"), so that late and repeated ones do no
// harm, and an order counts as done only when the server reports the version. Permits is
// the state machine of a deployment's publisher: it limits how many servers load at the
// same time, since the weight store is rate-limited. Neither does any I/O.
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

// Target is a model on a server.
type Target struct {
	Server string
	Model  string
}

// Config holds the parameters of Orders.
type Config struct {
	// LoadLimit is how long a load may take before it counts as failed.
	LoadLimit time.Duration
	// Retry is how long to wait after a failure before the next attempt.
	Retry time.Duration
}

// Action is what the caller has to carry out for a target: request a permit from the publisher
// or send an order to the server.
type Action struct {
	Target
	Version rollout.Version
	// NeedsPermit is set when a permit is to be requested, and unset when the order is to be sent.
	NeedsPermit bool
}

// order is the state of a target. want is the version that it should have, have the one
// that the server reported last.
type order struct {
	state chart.State
	want  rollout.Version
	have  rollout.Version
	// ordered is the version of the last order that the server accepted.
	ordered rollout.Version
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// inProgress is set while the caller carries out an action.
	inProgress bool
	// stateSince is when the current state was entered.
	stateSince time.Time
	// failures counts the failures since the target last reached the wanted version.
	failures int
}

// Orders drives the weight loads on the servers of one owner. It is not safe for concurrent
// use.
type Orders struct {
	c Config
	m map[Target]*order
}

// NewOrders returns an Orders without targets.
func NewOrders(c Config) *Orders { return &Orders{c: c, m: make(map[Target]*order)} }

// SetWanted sets the minimum version of a target. It never lowers it.
func (o *Orders) SetWanted(t Target, v rollout.Version) {
	x := o.m[t]
	if x == nil {
		x = &order{state: orderChart.Initial()}
		o.m[t] = x
	}
	x.want = max(x.want, v)
}

// Retain removes the targets for which f returns false.
func (o *Orders) Retain(f func(Target) bool) {
	for t := range o.m {
		if !f(t) {
			delete(o.m, t)
		}
	}
}

// Report records the version that a server has, and whether it says that a load failed.
func (o *Orders) Report(now time.Time, t Target, have rollout.Version, failed bool) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.have = have
	switch {
	case have >= x.want && x.state != Settled:
		orderChart.Fire(&x.state, eventReached)
		x.stateSince, x.failures = now, 0
	case have >= x.ordered && x.state == Loading && have < x.want:
		// The order was carried out, but a newer version has become wanted meanwhile.
		x.backToWaiting(now, 0)
	case failed && x.state == Loading:
		x.failures++
		x.backToWaiting(now, o.c.Retry)
	}
}

// backToWaiting returns to the waiting state, in which a permit is requested again.
func (x *order) backToWaiting(now time.Time, after time.Duration) {
	orderChart.Fire(&x.state, eventFailed)
	x.stateSince, x.notBefore = now, now.Add(after)
}

// Next returns the actions that are due, sorted by server and model, and marks them as in
// progress until Permitted or Ordered is called. Loads over LoadLimit are retried.
func (o *Orders) Next(now time.Time) []Action {
	var l []Action
	for t, x := range o.m {
		if x.have < x.want && x.state == Settled {
			orderChart.Fire(&x.state, eventBehind)
			x.stateSince, x.notBefore = now, now
		}
		if x.state == Loading && now.Sub(x.stateSince) >= o.c.LoadLimit {
			x.failures++
			x.backToWaiting(now, 0)
		}
		if x.inProgress || now.Before(x.notBefore) || x.state != Waiting && x.state != Ordering {
			continue
		}
		x.inProgress = true
		l = append(l, Action{Target: t, Version: x.want, NeedsPermit: x.state == Waiting})
	}
	slices.SortFunc(l, func(a, b Action) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return l
}

// Permitted records the publisher's answer: a permit, or how long to wait before the next
// request.
func (o *Orders) Permitted(now time.Time, t Target, granted bool, after time.Duration) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.inProgress = false
	if x.state != Waiting {
		return
	}
	if !granted {
		x.notBefore = now.Add(after)
		return
	}
	orderChart.Fire(&x.state, eventPermitted)
	x.stateSince = now
}

// Ordered records whether the server accepted an order of version v.
func (o *Orders) Ordered(now time.Time, t Target, v rollout.Version, ok bool) {
	x := o.m[t]
	if x == nil {
		return
	}
	x.inProgress = false
	if x.state != Ordering {
		return
	}
	if !ok {
		x.failures++
		x.backToWaiting(now, o.c.Retry)
		return
	}
	x.ordered = v
	orderChart.Fire(&x.state, eventAccepted)
	x.stateSince = now
}

// State returns the state of a target and the number of failures since it last reached the
// wanted version.
func (o *Orders) State(t Target) (chart.State, int) {
	x := o.m[t]
	if x == nil {
		return Settled, 0
	}
	return x.state, x.failures
}

// PermitConfig holds the parameters of Permits.
type PermitConfig struct {
	// MaxLoads is the maximum number of concurrent loads; 0 means no limit.
	MaxLoads int
	// Lease is how long a permit is valid unless it is released earlier.
	Lease time.Duration
	// Retry is how long a refused owner is told to wait.
	Retry time.Duration
}

// Permits limits the concurrent loads of one deployment. It is not safe for concurrent use.
type Permits struct {
	c PermitConfig
	// held maps each target with a permit to the time when the permit expires.
	held map[Target]time.Time
}

// NewPermits returns a Permits with no permit granted.
func NewPermits(c PermitConfig) *Permits { return &Permits{c: c, held: make(map[Target]time.Time)} }

// SetMaxLoads changes the limit. Permits granted before stay valid.
func (p *Permits) SetMaxLoads(n int) { p.c.MaxLoads = n }

// Acquire grants a permit, or refuses it and returns how long to wait before the next request.
// A target that holds a permit has it renewed, regardless of the limit.
func (p *Permits) Acquire(now time.Time, t Target) (bool, time.Duration) {
	for k, e := range p.held {
		if !now.Before(e) {
			delete(p.held, k)
		}
	}
	_, renewal := p.held[t]
	if !renewal && p.c.MaxLoads > 0 && len(p.held) >= p.c.MaxLoads {
		return false, p.c.Retry
	}
	p.held[t] = now.Add(p.c.Lease)
	return true, 0
}

// Done releases a target's permit.
func (p *Permits) Done(t Target) { delete(p.held, t) }

// Held returns the number of permits held, expired ones included until the next Acquire.
func (p *Permits) Held() int { return len(p.held) }
