// Package admission bounds what the system takes on: retries by a budget, and
// requests in progress by a gate. Both are pure cores.
package admission

import (
	"time"

	"mulberrypier.example/pier/outcome"
)

// BudgetConfig constructs a Budget.
type BudgetConfig struct {
	// Ratio is how many retries each request earns.
	Ratio float64
	// Burst is the greatest number of retries saved up.
	Burst float64
}

// Budget limits retries to a part of the requests, so that a failing peer is not
// met with more load than it had. Not safe for concurrent use.
type Budget struct {
	c BudgetConfig
	// saved is the number of retries allowed now; 0 <= saved <= Burst.
	saved float64
}

// NewBudget returns a budget that is full.
func NewBudget(c BudgetConfig) *Budget { return &Budget{c: c, saved: c.Burst} }

// Request notes a first attempt.
func (b *Budget) Request() { b.saved = min(b.c.Burst, b.saved+b.c.Ratio) }

// Retry reports whether another attempt may be made, and spends it.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// GateConfig constructs a Gate.
type GateConfig struct {
	// Running is the greatest number of requests in progress.
	Running int
	// Waiting is the greatest number of requests in the queue.
	Waiting int
}

// Ticket is a request's place at a gate.
type Ticket struct {
	// Ready is closed when the request may go on.
	Ready chan struct{}
	// Late is closed when the request can no longer be done before its deadline;
	// its final answer need not wait for the deadline.
	Late chan struct{}
	// Deadline is when the request is of no use any longer.
	Deadline time.Time
	done     bool
}

// Gate lets a bounded number of requests in and keeps a bounded queue. It refuses
// early: a request that the queue would hold beyond its deadline is not taken.
// Not safe for concurrent use.
type Gate struct {
	c GateConfig
	// running <= c.Running; len(queue) <= c.Waiting.
	running int
	queue   []*Ticket
	// took is a smoothed time that a request holds its place.
	took time.Duration
}

// NewGate returns a gate with nothing in progress.
func NewGate(c GateConfig) *Gate { return &Gate{c: c} }

// Enter takes a place or a place in the queue. Errors are *outcome.Error:
// queue-full, or deadline-exceeded when the queue is too long for the deadline.
func (g *Gate) Enter(now, deadline time.Time) (*Ticket, error) {
	t := &Ticket{Ready: make(chan struct{}), Late: make(chan struct{}), Deadline: deadline}
	if g.running < g.c.Running {
		g.running++
		close(t.Ready)
		return t, nil
	}
	if len(g.queue) >= g.c.Waiting {
		return nil, outcome.Refuse(outcome.ReasonQueueFull, "").After(max(g.took, time.Second))
	}
	w := g.wait()
	if now.Add(w + g.took).After(deadline) {
		return nil, outcome.Refuse(outcome.ReasonDeadline, "queue is longer than the deadline").After(w)
	}
	g.queue = append(g.queue, t)
	return t, nil
}

// wait returns how long the queue takes to pass.
func (g *Gate) wait() time.Duration {
	return g.took * time.Duration(len(g.queue)+1) / time.Duration(max(1, g.c.Running))
}

// Leave gives a ticket back after the request took d, and lets the next one in.
// A ticket whose request gave up in the queue is given back with d = 0.
func (g *Gate) Leave(now time.Time, t *Ticket, d time.Duration) {
	if t.done {
		return
	}
	t.done = true
	select {
	case <-t.Ready:
	default:
		g.drop(t)
		return
	}
	if d > 0 {
		g.took += (d - g.took) / 8
	}
	g.running--
	g.admit(now)
}

// admit lets waiting requests in. One that could not be done before its deadline
// any more is passed over and told so, as running it would only hold up others.
func (g *Gate) admit(now time.Time) {
	for len(g.queue) > 0 && g.running < g.c.Running {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if now.Add(g.took).After(t.Deadline) {
			t.done = true
			close(t.Late)
			continue
		}
		g.running++
		close(t.Ready)
	}
}

func (g *Gate) drop(t *Ticket) {
	for i, x := range g.queue {
		if x == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// Running returns the number of requests in progress and in the queue.
func (g *Gate) Running() (running, waiting int) { return g.running, len(g.queue) }
