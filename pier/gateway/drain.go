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
	// unhealthyDetectionTime is how long the balancer may take to notice a failing health
	// check: it checks once a second and needs two failures.
	unhealthyDetectionTime = 2300 * time.Millisecond
	// drainPollInterval is the time between two checks for unfinished work.
	drainPollInterval = 50 * time.Millisecond
	// drainReserve is the part of the grace period that is kept for releasing steps and
	// closing the listeners.
	drainReserve = 900 * time.Millisecond
)

var drainChart = chart.Load("drain")

// drainer carries out the graceful shutdown of a host. The host first fails its health
// check while it still serves requests, then waits for unfinished work. Its steps continue
// to run here; those that are not complete in time are taken over by other hosts.
type drainer struct {
	g         *Gateway
	state     *chart.Machine
	startedCh chan struct{}
	requests  inProgress
}

func newDrainer(g *Gateway) *drainer {
	return &drainer{g: g, state: chart.NewMachine(drainChart), startedCh: make(chan struct{})}
}

func (r *drainer) fire(e chart.Event) {
	s := r.state.Fire(e)
	r.g.log.Info("drain: state changed", zap.String("state", string(s)),
		zap.Int("steps", r.g.steps.count()))
}

// healthy reports whether the balancer may send new connections.
func (r *drainer) healthy() bool { return r.state.Initial() }

// started returns a channel that is closed when the drain starts.
func (r *drainer) started() <-chan struct{} { return r.startedCh }

// stopping reports whether new steps are refused.
func (r *drainer) stopping() bool {
	s := r.state.State()
	return s == "draining" || s == "left"
}

// leaving reports whether a drain has started, after which this host takes on no duties,
// such as a takeover or the order lease.
func (r *drainer) leaving() bool { return !r.healthy() }

// Drain shuts the host down gracefully and returns when the process may exit.
func (g *Gateway) Drain() {
	r := g.drain
	end := time.Now().Add(g.s.Timing.Grace.D() - drainReserve)
	ctx, cancel := context.WithDeadline(g.ctx, end)
	defer cancel()
	r.fire("stop")
	close(r.startedCh)
	g.watch.leave()
	backoff.Sleep(ctx, unhealthyDetectionTime)
	r.fire("announced")
	for ctx.Err() == nil && g.hasUnfinishedWork() {
		backoff.Sleep(ctx, drainPollInterval)
	}
	g.stopListening()
	for ctx.Err() == nil && !r.requests.closeIfNone() {
		backoff.Sleep(ctx, drainPollInterval)
	}
	if ctx.Err() != nil {
		r.fire("limit")
		g.releaseSteps()
	} else {
		r.fire("idle")
	}
	g.shutDown()
}

// stopListening accepts no further connections. Those that are open stay open.
func (g *Gateway) stopListening() {
	for _, l := range g.listeners {
		if err := l.Close(); err != nil {
			g.log.Warn("drain: listener cannot be closed", zap.Error(err))
		}
	}
}

// hasUnfinishedWork reports whether a step runs here or a record is not in the log yet.
func (g *Gateway) hasUnfinishedWork() bool {
	return g.steps.count() > 0 || g.journal.hasPending() || g.streams.hasPending()
}

// releaseSteps releases the incomplete steps, so that other hosts take them over, and waits
// until the pending records are in the log, for at most half of drainReserve.
func (g *Gateway) releaseSteps() {
	g.steps.release()
	ctx, cancel := context.WithTimeout(g.ctx, drainReserve/2)
	defer cancel()
	for g.journal.hasPending() && backoff.Sleep(ctx, drainPollInterval/2) {
	}
}

// shutDown lets no further request begin, waits for those in progress and closes all
// connections, for at most half of drainReserve.
func (g *Gateway) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), drainReserve/2)
	defer cancel()
	for !g.drain.requests.close() && backoff.Sleep(ctx, drainPollInterval/2) {
	}
	var w sync.WaitGroup
	for _, s := range g.servers {
		w.Go(func() {
			if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
				g.log.Warn("drain: requests did not finish in time and are aborted", zap.Error(err))
			}
		})
	}
	w.Wait()
}
