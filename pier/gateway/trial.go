package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberrypier.example/pier/access"
	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/quarantine"
	"mulberrypier.example/pier/routetable"
)

// trialMargin is how long a trial may last beyond the call's deadline, for its result to be
// read by all hosts.
const trialMargin = time.Second

// plainCall is a call with the key under which it is known when it comes again.
type plainCall struct {
	Call
	// writer is the software that must answer the call; its zero value allows any.
	writer directory.Software
	// order holds the route's services in the order in which the call uses them.
	order []string
	// promptTokens is the number of tokens of a stream's prompt, 0 if it is not known.
	promptTokens int
	// key returns the key, which is computed when it is first needed.
	key func() quarantine.Key
}

func newPlainCall(c Call) *plainCall {
	if c.Organisation != "" && !c.deferrable() {
		c.counted = new(atomic.Bool)
	}
	return &plainCall{Call: c, order: c.Route.ServicesFor(xxhash.Sum64String(c.ID)), key: sync.OnceValue(func() quarantine.Key {
		return quarantine.KeyOf(quarantine.Identity{
			Host: c.Host, Method: c.Method, Target: c.Target, Caller: c.Caller, Body: c.Body,
		})
	})}
}

// kind returns the kind of the call.
func (c *plainCall) kind() access.Kind {
	if c.deferrable() {
		return access.KindReward
	}
	return access.KindPlain
}

// check returns a refusal if the call must not be sent to a server any more: the caller's key was removed, this
// host shuts down too soon, or the server has left.
func (c *plainCall) check(u *reservation) error {
	if c.Allowed != nil {
		if err := c.Allowed(); err != nil {
			return err
		}
	}
	if err := c.checkTime(); err != nil {
		return err
	}
	return u.check()
}

// checkTime returns a refusal if this host shuts down too soon for the call to be sent to any server.
func (c *plainCall) checkTime() error {
	if c.inTime == nil {
		return nil
	}
	return c.inTime()
}

// services returns the services that the call may go to, in the order in which it uses them.
func (c *plainCall) services() []string {
	if c.writer.Known() {
		return []string{c.writer.Service}
	}
	return c.order
}

// choice returns what a server has to be to get the call, if it has not been tried.
func (c *plainCall) choice(tried map[string]bool) serverChoice {
	return serverChoice{
		services: c.services(), software: c.writer.Version, tried: tried, deferrable: c.deferrable(),
		prompt: promptload.Prompt{Tokens: c.promptTokens, NoWait: true},
	}
}

// attempts sends a call to servers.
func (g *Gateway) attempts(ctx context.Context, call Call) (*Answer, error) {
	c := newPlainCall(call)
	if c.Route.Kind == routetable.KindStream {
		return g.streams.sendStream(ctx, c)
	}
	return g.sendOrTry(ctx, c)
}

// sendOrTry sends a call to servers as far as what is known of it allows: at once, in a trial
// that no other host makes at the same time, or not at all.
func (g *Gateway) sendOrTry(ctx context.Context, c *plainCall) (*Answer, error) {
	if err := g.suspects.awaitStart(ctx, c); err != nil {
		return nil, err
	}
	tried := make(map[string]bool)
	for {
		if err := c.checkTime(); err != nil {
			return nil, err
		}
		d, changed := g.suspects.decide(c)
		switch d.Action {
		case quarantine.Refuse:
			if d.After > c.limitWait(time.Now()) || !waitForTrial(ctx, c, changed, d.After) {
				return nil, g.refuseSuspect(c, d, d.After)
			}
		case quarantine.Wait:
			if !waitForTrial(ctx, c, changed, d.After) {
				return nil, g.refuseSuspect(c, d, min(d.After, maxHeldRetryAfter))
			}
		case quarantine.Try:
			if a, done, err := g.try(ctx, c, d, tried); done {
				return a, err
			}
		default:
			return g.dispatch(ctx, c, d.Action == quarantine.SendCarefully)
		}
	}
}

// waitForTrial waits until something has become known of requests under which servers ended, or
// the given time is over. It returns false if the call has no time left then.
func waitForTrial(ctx context.Context, c *plainCall, changed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(min(most, c.limitWait(time.Now())))
	defer t.Stop()
	select {
	case <-changed:
		return c.limitWait(time.Now()) > 0
	case <-t.C:
		return c.limitWait(time.Now()) > 0
	case <-ctx.Done():
		return false
	}
}

func (g *Gateway) refuseSuspect(c *plainCall, d quarantine.Decision, retryAfter time.Duration) error {
	g.log.Info("request: refused, servers ended under it", zap.String("id", c.ID), zap.Stringer("request-key", c.key()),
		zap.String("action", string(d.Action)), zap.Int("ends", d.Ends), zap.Duration("age", d.Age),
		zap.Duration("retry-after", retryAfter))
	return outcome.Refuse(outcome.ReasonQuarantined, fmt.Sprintf("%d servers ended", d.Ends)).After(retryAfter)
}

// try makes a trial of a call: it sends it to one server, if this host gets the trial. done is
// false if what is known of the call has changed, or another server is to be tried.
func (g *Gateway) try(ctx context.Context, c *plainCall, d quarantine.Decision, tried map[string]bool) (a *Answer, done bool, err error) {
	choice := c.choice(tried)
	choice.deferrable = false
	u, ok := g.fleet.pickServer(choice)
	if !ok {
		return nil, true, choice.noServer()
	}
	e := quarantine.Event{
		Kind: quarantine.KindTrial, Key: c.key(), Service: u.s.Service, Server: u.s.Incarnation(), Claim: g.suspects.newClaim(),
		Trial: d.Trial, Lasts: time.Until(c.Deadline) + trialMargin,
	}
	has, err := g.suspects.claim(ctx, e)
	if !has {
		u.release()
		return nil, err != nil, err
	}
	tried[u.s.ID] = true
	a, err = g.runTrial(ctx, c, u, e, d)
	other := outcome.HasReason(err, outcome.ReasonUnreachable) || outcome.HasReason(err, outcome.ReasonQueueFull)
	return a, !other, err
}

// runTrial sends a call in the trial e and tells all hosts of the result.
func (g *Gateway) runTrial(ctx context.Context, c *plainCall, u *reservation, e quarantine.Event, d quarantine.Decision) (*Answer, error) {
	q := g.request(c, u)
	q.Purpose, q.LimitWait = backend.PurposeTrial, c.limitWait(time.Now())
	a, err := g.attempt(ctx, c.Call, q, u, false)
	if err == nil {
		g.watchAnswer(ctx, c, u, a, e, d.Ends)
		return a, nil
	}
	e.Kind = g.trialResult(c, u, err, d.Ends)
	g.suspects.tell(e)
	g.log.Info("request: trial failed", zap.String("id", c.ID), zap.Stringer("request-key", e.Key), zap.String("server", u.s.ID),
		zap.String("result", string(e.Kind)), zap.Int("trial", e.Trial), zap.Int("ends", d.Ends), zap.Duration("age", d.Age))
	return nil, err
}

// trialResult returns what a failed trial has shown. ends is the number of servers that ended
// before it.
func (g *Gateway) trialResult(c *plainCall, u *reservation, err error, ends int) quarantine.Kind {
	e := outcome.AsError(err)
	if e.Outcome == outcome.NotRun && (e.Reason != outcome.ReasonQueueFull || ends < quarantine.CountedEnds) {
		return quarantine.KindUnused
	}
	if !mayShowEnd(err) {
		g.ends.remember(c, u.s)
		return quarantine.KindUndecided
	}
	switch v := g.ends.check(c, u.s, err); {
	case v == evidenceRefused:
		return quarantine.KindEnded
	case v != evidenceUnclear && ends < quarantine.CountedEnds:
		return quarantine.KindUnused
	}
	g.ends.remember(c, u.s)
	return quarantine.KindUndecided
}

// observeEnd handles a call that failed at a server: it tells all hosts if the server has ended
// under it, and reports whether it did.
func (g *Gateway) observeEnd(c *plainCall, u *reservation, err error) bool {
	if err == nil || c.deferrable() || outcome.AsError(err).Outcome == outcome.NotRun {
		return false
	}
	if mayShowEnd(err) && g.ends.check(c, u.s, err) == evidenceRefused {
		g.suspects.tellEnd(c.key(), u.s)
		return true
	}
	if outcome.AsError(err).Reason != outcome.ReasonServerError {
		g.ends.remember(c, u.s)
	}
	return false
}

// watchAnswer tells all hosts once an answer is complete, if servers ended under the call before
// or the call was a trial. e holds the trial, if any.
func (g *Gateway) watchAnswer(ctx context.Context, c *plainCall, u *reservation, a *Answer, e quarantine.Event, ends int) {
	if c.deferrable() {
		return
	}
	w := &watchedBody{g: g, ctx: ctx, c: c, u: u, e: e, ends: ends, r: a.Rest}
	if a.Rest == nil {
		w.ended(nil)
		return
	}
	a.Rest = w
}

// watchedBody is the rest of an answer, whose end shows whether the server survived the call.
type watchedBody struct {
	g *Gateway
	// ctx is the context of the call, which also bounds the reading of its answer.
	ctx context.Context
	c   *plainCall
	u   *reservation
	e   quarantine.Event
	// ends is the number of servers that had ended before the trial e.
	ends int
	r    io.Reader
	// told is set once the end of the body was handled.
	told bool
}

// Read implements io.Reader.
func (w *watchedBody) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	if err != nil && !w.told {
		w.told = true
		w.ended(err)
	}
	return n, err
}

// ended handles the end of the answer: nil or io.EOF if it is complete.
func (w *watchedBody) ended(err error) {
	trial := w.e.Trial > 0
	switch {
	case err == nil || errors.Is(err, io.EOF):
		d, _ := w.g.suspects.decide(w.c)
		if !trial && d.Ends == 0 {
			return
		}
		w.tell(quarantine.KindAnswered)
	case w.ctx.Err() != nil, outcome.HasReason(err, outcome.ReasonSlowCaller):
		w.g.ends.remember(w.c, w.u.s)
		if trial {
			w.tell(quarantine.KindUndecided)
		}
	case trial:
		lost := bodyError(w.u.s.ID, err)
		w.tell(w.g.trialResult(w.c, w.u, lost, w.ends))
	default:
		w.g.observeEnd(w.c, w.u, bodyError(w.u.s.ID, err))
	}
}

func (w *watchedBody) tell(k quarantine.Kind) {
	w.e.Kind, w.e.Key, w.e.Service, w.e.Server = k, w.c.key(), w.u.s.Service, w.u.s.Incarnation()
	w.g.suspects.tell(w.e)
	w.g.log.Info("request: ran at a server after servers had ended under it", zap.String("id", w.c.ID),
		zap.Stringer("request-key", w.e.Key), zap.String("server", w.u.s.ID), zap.String("result", string(k)), zap.Int("trial", w.e.Trial))
}
