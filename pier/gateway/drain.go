package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/grace"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

const (
	// unhealthyDetectionTime is how long the balancer may take to notice a failing health
	// check: it checks once a second and needs two failures.
	unhealthyDetectionTime = 2300 * time.Millisecond
	// connectionSetupTime is how long the first request may take to arrive on a connection that the balancer
	// has given to this host.
	connectionSetupTime = 500 * time.Millisecond
	// drainPollInterval is the time between two checks for unfinished work.
	drainPollInterval = 50 * time.Millisecond
	// releaseReserve is the part of the grace period that is kept for releasing steps.
	releaseReserve = 900 * time.Millisecond
	// answerReserve is the part of the grace period that is kept for closing connections, after
	// the last answers.
	answerReserve = 400 * time.Millisecond
	// waitCheckInterval is the time between two looks at whether a request may still wait.
	waitCheckInterval = 100 * time.Millisecond
	// maxHistories bounds the routes of which the times of requests are kept.
	maxHistories = 1000
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
	// ctx is the base of the contexts of all requests. It ends when they have to be answered.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// window is nil until the drain starts.
	window atomic.Pointer[grace.Window]

	mu sync.Mutex
	// histories hold the times of callers' requests by route.
	histories map[string]*grace.History
}

func newDrainer(g *Gateway) *drainer {
	r := &drainer{
		g: g, state: chart.NewMachine(drainChart), startedCh: make(chan struct{}), histories: make(map[string]*grace.History),
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
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

// history returns the times of the requests of a route.
func (r *drainer) history(route string) *grace.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histories[route]
	if h == nil {
		if len(r.histories) >= maxHistories {
			clear(r.histories)
		}
		h = grace.NewHistory()
		r.histories[route] = h
	}
	return h
}

// admit lets a caller's request begin, unless the host shuts down and the answer might not be
// complete before its process ends. The request's deadline is not later than that then. A request that
// has to wait before it is sent is decided on again right before.
func (r *drainer) admit(c *Call) (*admittedRequest, error) {
	h, deadline, idempotent := r.history(c.Route.Name), c.Deadline, c.Route.Kind == routetable.KindIdempotent
	d, err := r.decide(h, deadline, idempotent)
	if err != nil {
		return nil, err
	}
	c.inTime = func() error {
		_, err := r.decide(h, deadline, idempotent)
		return err
	}
	if w := r.announced(); w != nil && c.Deadline.After(w.End) {
		c.Deadline = w.End
	}
	return &admittedRequest{Request: h.Begin(time.Now()), whole: d == grace.TakeWhole}, nil
}

// announced returns the window once the host has told everybody that it leaves, nil before.
func (r *drainer) announced() *grace.Window {
	w := r.window.Load()
	if w == nil || time.Now().Before(w.Announced) {
		return nil
	}
	return w
}

// decide decides whether a request, of a kind that h knows, may be sent now. Its error is a refusal.
func (r *drainer) decide(h *grace.History, deadline time.Time, idempotent bool) (grace.Decision, error) {
	w := r.announced()
	if w == nil {
		return grace.Take, nil
	}
	now := time.Now()
	usual := h.Usual(now)
	d := w.Decide(now, grace.Candidate{Deadline: deadline, Usual: usual, Idempotent: idempotent})
	if d != grace.Refuse {
		return d, nil
	}
	return d, outcome.Refuse(outcome.ReasonDraining, fmt.Sprintf("%v left, the request may take %v, others took up to %v",
		inMilliseconds(w.End.Sub(now)), inMilliseconds(deadline.Sub(now)), inMilliseconds(usual.Longest)))
}

func inMilliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// waitToSend waits before a request is sent. It returns an error as soon as it shows that the request
// must not be sent: its context has ended, it would come too late in a shutdown, or its own check fails.
func (r *drainer) waitToSend(ctx context.Context, d time.Duration, q *backend.Request) error {
	for at := time.Now().Add(d); ; {
		left := time.Until(at)
		if left <= 0 {
			return nil
		}
		if w := r.window.Load(); w != nil && at.After(w.End) {
			return outcome.Refuse(outcome.ReasonDraining, q.Server)
		}
		if q.Check != nil {
			if err := q.Check(); err != nil {
				return err
			}
		}
		if !backoff.Sleep(ctx, min(left, waitCheckInterval)) {
			return outcome.Refuse(outcome.ReasonOf(ctx), q.Server)
		}
	}
}

// Drain shuts the host down gracefully and returns when the process may exit.
func (g *Gateway) Drain() {
	r := g.drain
	start, period := time.Now(), g.s.Timing.Grace.D()
	announced := start.Add(unhealthyDetectionTime)
	r.window.Store(&grace.Window{
		Announced: announced, Settled: announced.Add(connectionSetupTime), End: start.Add(period - answerReserve),
	})
	ctx, cancel := context.WithDeadline(g.ctx, start.Add(period-releaseReserve))
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
	g.endRequests()
	g.flushUsage()
	g.closeConnections()
}

// stopListening accepts no further connections. Those that are open stay open.
func (g *Gateway) stopListening() {
	for _, l := range g.listeners {
		if err := l.Close(); err != nil {
			g.log.Warn("drain: listener cannot be closed", zap.Error(err))
		}
	}
}

// hasUnfinishedWork reports whether a step runs here, a record is not in the log yet or a peer waits for
// a call to the log that this host carries.
func (g *Gateway) hasUnfinishedWork() bool {
	return g.steps.count() > 0 || g.journal.hasPending() || g.streams.hasPending() || g.peerLog.isCarrying()
}

// releaseSteps releases the incomplete steps, so that other hosts take them over, and waits
// until the pending records are in the log, but not longer than callers wait for their answers.
func (g *Gateway) releaseSteps() {
	g.steps.release()
	ctx, cancel := context.WithDeadline(g.ctx, g.drain.window.Load().End)
	defer cancel()
	for g.journal.hasPending() && backoff.Sleep(ctx, drainPollInterval/2) {
	}
}

// endRequests waits for the requests in progress and lets no further one begin. Those that are not
// answered at the end of the window are given up, which answers them.
func (g *Gateway) endRequests() {
	ctx, cancel := context.WithDeadline(context.Background(), g.drain.window.Load().End)
	defer cancel()
	for !g.drain.requests.closeIfNone() && backoff.Sleep(ctx, drainPollInterval/2) {
	}
	g.drain.cancel(outcome.Refuse(outcome.ReasonDraining, "end of the grace period"))
	ctx, cancel = context.WithTimeout(context.Background(), answerReserve/2)
	defer cancel()
	for (!g.drain.requests.close() || g.streams.hasPending()) && backoff.Sleep(ctx, drainPollInterval/5) {
	}
}

// flushUsage tells other hosts what this one has counted, in the time that the last answers have left.
func (g *Gateway) flushUsage() {
	left := min(time.Until(g.drain.window.Load().End), usageTimeout)
	ctx, cancel := context.WithTimeout(g.ctx, max(left, answerReserve/4))
	defer cancel()
	g.usage.flush(ctx)
}

// closeConnections closes all connections.
func (g *Gateway) closeConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), answerReserve/4)
	defer cancel()
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
