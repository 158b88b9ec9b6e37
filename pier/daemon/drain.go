package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/member"
)

const (
	// drainPoll is the time between two looks at what is still in flight.
	drainPoll = 50 * time.Millisecond
	// leaveNotice is how long a host waits for its farewell to go out.
	leaveNotice = 200 * time.Millisecond
)

var drainChart = chart.Load("drain")

// drainer is the planned stop of this host. It first fails the balancer's health
// check while it still serves, then refuses new work, hands its roles over, and
// waits for what is in flight.
type drainer struct {
	d     *Daemon
	log   *zap.Logger
	state *chart.Machine
	// inflight counts the requests of callers, trainers and operators.
	inflight atomic.Int64
	once     sync.Once
	done     chan struct{}
}

func newDrainer(d *Daemon) *drainer {
	return &drainer{d: d, log: d.logger("drain"), state: chart.NewMachine(drainChart), done: make(chan struct{})}
}

func (r *drainer) fire(e chart.Event) {
	s := r.state.Fire(e)
	r.log.Info("drain is " + string(s))
}

// healthy reports what the balancer's health check answers.
func (r *drainer) healthy() bool { return r.state.Initial() }

// stopping reports whether new work is refused.
func (r *drainer) stopping() bool {
	s := r.state.State()
	return s == "draining" || s == "left"
}

// run carries out the planned stop once; later calls wait for the first.
func (r *drainer) run(ctx context.Context) {
	r.once.Do(func() { go r.steps(ctx) })
	<-r.done
}

func (r *drainer) steps(ctx context.Context) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, r.d.s.Timing.Drain.D())
	defer cancel()
	r.fire("stop")
	r.d.members.leave(member.Leaving)
	backoff.For(ctx, r.d.s.Timing.Announce.D())
	if ctx.Err() != nil {
		r.fire("limit")
		return
	}
	r.fire("announced")
	for r.busy() {
		backoff.For(ctx, drainPoll)
		if ctx.Err() != nil {
			r.fire("limit")
			return
		}
	}
	r.d.owners.handOver(ctx)
	r.fire("idle")
	r.d.members.leave(member.Left)
	backoff.For(ctx, leaveNotice)
}

// busy reports whether anything is in flight on this host. Steps need not be
// waited for: their next coordinator finds out from the owners and the trainers.
func (r *drainer) busy() bool {
	if r.inflight.Load() > 0 || r.d.claims.busy() {
		return true
	}
	return r.d.owners.busy()
}

// Drained returns a channel that is closed when a planned stop is over.
func (d *Daemon) Drained() <-chan struct{} { return d.drain.done }
