// Package admission limits the load that the system accepts: Budget limits retries, and Gate
// limits the requests in progress. Both are state machines without I/O.
package admission

import (
	"time"

	"mulberrypier.example/pier/outcome"
)

// BudgetConfig holds the parameters of a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
}

// Budget limits retries to a fraction of the requests, so that retries don't multiply the load
// on a failing peer. It is not safe for concurrent use.
type Budget struct {
	c BudgetConfig
	// tokens is the number of retries allowed now; 0 <= tokens <= Burst.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget { return &Budget{c: c, tokens: c.Burst} }

// Request records a first attempt, which adds Ratio retries to the budget.
func (b *Budget) Request() { b.tokens = min(b.c.Burst, b.tokens+b.c.Ratio) }

// AllowRetry reports whether a retry is allowed, and takes it out of the budget.
func (b *Budget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// GateConfig holds the parameters of a Gate.
type GateConfig struct {
	// Running is the maximum number of requests in progress.
	Running int
	// Waiting is the maximum number of requests in the queue.
	Waiting int
}

// Ticket is a request's place at a gate.
type Ticket struct {
	// Ready is closed when the request may start.
	Ready chan struct{}
	// Expired is closed when the request was removed from the queue because it could no
	// longer be finished before its deadline, so that it can be refused without waiting
	// until then.
	Expired chan struct{}
	// Deadline is the time after which the request's answer is no longer of use.
	Deadline time.Time
	done     bool
}

// Gate limits the number of requests in progress and keeps a bounded queue of others. It
// refuses a request at once if the queue is expected to hold it beyond its deadline. It is not
// safe for concurrent use.
type Gate struct {
	c GateConfig
	// running is the number of requests in progress, at most c.Running; len(queue) is at
	// most c.Waiting.
	running int
	queue   []*Ticket
	// meanDuration is the exponential moving average, with a weight of 1/8, of the time that a
	// request holds its place.
	meanDuration time.Duration
}

// NewGate returns a gate with no requests.
func NewGate(c GateConfig) *Gate { return &Gate{c: c} }

// Enter starts or queues a request. Errors are *outcome.Error: queue-full, or
// deadline-exceeded when the request could not be finished before the deadline.
func (g *Gate) Enter(now, deadline time.Time) (*Ticket, error) {
	t := &Ticket{Ready: make(chan struct{}), Expired: make(chan struct{}), Deadline: deadline}
	if g.running < g.c.Running {
		g.running++
		close(t.Ready)
		return t, nil
	}
	if len(g.queue) >= g.c.Waiting {
		return nil, outcome.Refuse(outcome.ReasonQueueFull, "").After(max(g.meanDuration, time.Second))
	}
	w := g.queueDelay()
	if now.Add(w + g.meanDuration).After(deadline) {
		return nil, outcome.Refuse(outcome.ReasonDeadline, "queue is longer than the deadline").After(w)
	}
	g.queue = append(g.queue, t)
	return t, nil
}

// queueDelay returns how long a request that joins the queue now is expected to wait.
func (g *Gate) queueDelay() time.Duration {
	return g.meanDuration * time.Duration(len(g.queue)+1) / time.Duration(max(1, g.c.Running))
}

// Leave gives up the place of a ticket's request, which was in progress for d, and starts the
// next ones in the queue. A request that gave up while it was queued leaves with d = 0.
// Further calls with the same ticket have no effect.
func (g *Gate) Leave(now time.Time, t *Ticket, d time.Duration) {
	if t.done {
		return
	}
	t.done = true
	select {
	case <-t.Ready:
	default:
		g.dequeue(t)
		return
	}
	if d > 0 {
		g.meanDuration += (d - g.meanDuration) / 8
	}
	g.running--
	g.admit(now)
}

// admit starts waiting requests while there is capacity. A request that could not be finished
// before its deadline is removed and its Expired channel closed, as running it would only
// delay the others.
func (g *Gate) admit(now time.Time) {
	for len(g.queue) > 0 && g.running < g.c.Running {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if now.Add(g.meanDuration).After(t.Deadline) {
			t.done = true
			close(t.Expired)
			continue
		}
		g.running++
		close(t.Ready)
	}
}

// dequeue removes a waiting request from the queue.
func (g *Gate) dequeue(t *Ticket) {
	for i, x := range g.queue {
		if x == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// Running returns the number of requests in progress and in the queue.
func (g *Gate) Running() (running, waiting int) { return g.running, len(g.queue) }
