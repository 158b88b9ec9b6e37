package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/chart"
)

const (
	// announceTime is how long the balancer may take to see a failing health check:
	// it asks once a second and needs two misses.
	unhealthyDetectionTime = 2300 * time.Millisecond
	// drainPoll is the time between two looks at what is still under way.
	drainPollInterval = 50 * time.Millisecond
	// drainReserve is the part of the grace that is kept for ending.
	drainReserve = 900 * time.Millisecond
)

var drainChart = chart.Load("drain")

// drainer is the planned stop of a host. It first fails the health check while it
// still serves, then waits for what is under way: steps run on here, and those
// that are not whole in time are taken over by other hosts.
type drainer struct {
	g     *Gateway
	state *chart.Machine
	begin chan struct{}
}

func newDrainer(g *Gateway) *drainer {
	return &drainer{g: g, state: chart.NewMachine(drainChart), begin: make(chan struct{})}
}

func (r *drainer) fire(e chart.Event) {
	s := r.state.Fire(e)
	r.g.log.Info("drain: state changed", zap.String("state", string(s)), zap.Int("steps", r.g.steps.count()))
}

// healthy reports whether the balancer may send new connections.
func (r *drainer) healthy() bool { return r.state.Initial() }

// begun returns a channel that is closed when the stop begins.
func (r *drainer) begun() <-chan struct{} { return r.begin }

// stopping reports whether no new step is taken.
func (r *drainer) stopping() bool {
	s := r.state.State()
	return s == "draining" || s == "left"
}

// leaving reports whether this host takes no duties any more.
func (r *drainer) leaving() bool { return !r.healthy() }

// Drain carries out the planned stop and returns when the process may end.
func (g *Gateway) Drain() {
	r := g.drain
	end := time.Now().Add(g.s.Timing.Grace.D() - drainReserve)
	ctx, cancel := context.WithDeadline(g.ctx, end)
	defer cancel()
	r.fire("stop")
	close(r.begin)
	g.watch.leave()
	backoff.For(ctx, unhealthyDetectionTime)
	r.fire("announced")
	for _, s := range g.servers {
		s.SetKeepAlivesEnabled(false)
	}
	for ctx.Err() == nil && (g.steps.count() > 0 || g.journal.hasPending()) {
		backoff.For(ctx, drainPollInterval)
	}
	if ctx.Err() != nil {
		r.fire("limit")
		g.handOver()
	} else {
		r.fire("idle")
	}
	g.shutDown()
}

// handOver leaves the steps that are not whole to other hosts.
func (g *Gateway) handOver() {
	g.steps.release()
	ctx, cancel := context.WithTimeout(g.ctx, drainReserve/2)
	defer cancel()
	for g.journal.hasPending() && backoff.For(ctx, drainPollInterval/2) {
	}
}

// shutDown ends the listeners after the requests that are under way.
func (g *Gateway) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), drainReserve/2)
	defer cancel()
	var w sync.WaitGroup
	for _, s := range g.servers {
		w.Go(func() {
			if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
				g.log.Warn("drain: requests were cut", zap.Error(err))
			}
		})
	}
	w.Wait()
}
