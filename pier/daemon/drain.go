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
	// drainPollInterval is the time between two checks for work in flight.
	drainPollInterval = 50 * time.Millisecond
	// leaveGrace is how long a host that has left keeps running, so that the other
	// members receive its last heartbeats.
	leaveGrace = 200 * time.Millisecond
)

var drainChart = chart.Load("drain")

// drainer carries out the graceful shutdown of this host. It first fails the load
// balancer's health check while the host still serves, then refuses new work, hands
// over the host's roles and waits for the work in flight.
type drainer struct {
	d     *Daemon
	log   *zap.Logger
	state *chart.Machine
	// inFlight counts the requests of callers, trainers and operators in progress.
	inFlight atomic.Int64
	once     sync.Once
	done     chan struct{}
}

func newDrainer(d *Daemon) *drainer {
	return &drainer{d: d, log: d.logger("drain"), state: chart.NewMachine(drainChart), done: make(chan struct{})}
}

// fire advances the drain chart and logs the new state.
func (r *drainer) fire(e chart.Event) {
	s := r.state.Fire(e)
	r.log.Info("state changed to " + string(s))
}

// healthy reports whether the load balancer's health check succeeds.
func (r *drainer) healthy() bool { return r.state.Initial() }

// stopping reports whether new work is refused.
func (r *drainer) stopping() bool {
	s := r.state.State()
	return s == "draining" || s == "left"
}

// run drains the host. It is carried out once; later calls wait for the first to
// finish.
func (r *drainer) run(ctx context.Context) {
	r.once.Do(func() { go r.shutdown(ctx) })
	<-r.done
}

// shutdown announces that the host is leaving, keeps serving for Timing.Announce
// while the health check fails, waits for the work in flight and hands over the held
// samples. It is bounded by Timing.Drain; past that it gives up waiting and hands
// nothing over.
func (r *drainer) shutdown(ctx context.Context) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, r.d.s.Timing.Drain.D())
	defer cancel()
	r.fire("stop")
	r.d.members.leave(member.Leaving)
	backoff.Sleep(ctx, r.d.s.Timing.Announce.D())
	if ctx.Err() != nil {
		r.fire("limit")
		return
	}
	r.fire("announced")
	for r.busy() {
		backoff.Sleep(ctx, drainPollInterval)
		if ctx.Err() != nil {
			r.fire("limit")
			return
		}
	}
	r.d.owners.handOver(ctx)
	r.fire("idle")
	r.d.members.leave(member.Left)
	backoff.Sleep(ctx, leaveGrace)
}

// busy reports whether work is in flight on this host. Steps are not waited for:
// their next coordinator recovers their state from the owners and the trainers.
func (r *drainer) busy() bool {
	if r.inFlight.Load() > 0 || r.d.claims.busy() {
		return true
	}
	return r.d.owners.busy()
}

// Drained returns a channel that is closed when the graceful shutdown is complete.
func (d *Daemon) Drained() <-chan struct{} { return d.drain.done }
