package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// acceptTries and acceptPause bound the tries to append a step while the log
	// refuses; the caller can do as well at another host.
	acceptAttempts   = 3
	acceptRetryDelay = 100 * time.Millisecond
	// listBytes bounds the texts of one answer to a trainer.
	maxListBytes = 480 << 10
)

// steps takes the steps of trainers and lists their results.
type steps struct {
	g  *Gateway
	mu sync.Mutex
	// drives holds the steps that this host runs.
	running map[string]*stepDriver
}

func newSteps(g *Gateway) *steps { return &steps{g: g, running: make(map[string]*stepDriver)} }

// Accept takes a step. A nil error means that it is kept from now on. An error is
// an *outcome.Error; not-run means that no part of the step runs.
func (g *Gateway) Accept(ctx context.Context, r *routetable.Route, s *stepjournal.Step) error {
	began := time.Now()
	err := g.steps.accept(ctx, r, s)
	if err == nil {
		g.metrics.accept.Observe(time.Since(began).Seconds())
		return nil
	}
	e := outcome.From(err)
	g.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
	g.log.Info("step: not accepted", zap.String("id", s.ID), zap.String("reason", string(e.Reason)),
		zap.String("outcome", string(e.Outcome)), zap.String("at", e.Detail))
	return e
}

func (p *steps) accept(ctx context.Context, r *routetable.Route, s *stepjournal.Step) error {
	if err := s.Check(); err != nil {
		return err
	}
	if p.g.drain.stopping() {
		return outcome.Refuse(outcome.ReasonDraining, "").After(busyRetryAfter)
	}
	v, known := p.g.journal.following(s.ID)
	if known {
		return nil
	}
	s.Submitted = time.Now()
	driver, claim := p.g.preferred.choose(ctx, s.Model)
	b, err := stepjournal.Accepted(s, driver, p.g.s.Log.RecordBytes)
	if err != nil {
		return err
	}
	if encodedSize(b) > p.g.s.Log.CallBytes {
		return outcome.Refuse(outcome.ReasonTooLarge, s.ID)
	}
	for n := 1; ; n++ {
		a, err := v.append(ctx, b)
		if err == nil {
			p.g.log.Info("step: accepted", zap.String("id", s.ID), zap.String("model", s.Model), zap.Int64("step", s.Number),
				zap.Int64("min-version", s.MinVersion), zap.Int("items", len(s.Items)), zap.Int64("offset", a.First), zap.String("driver", driver.Host))
			p.g.metrics.steps.WithLabelValues("accepted").Inc()
			p.begin(r, s, v, driver, claim)
			return nil
		}
		e := outcome.From(err)
		if e.Outcome != outcome.NotRun || n == acceptAttempts || !backoff.For(ctx, acceptRetryDelay) {
			return e.After(unavailableRetryAfter)
		}
	}
}

// begin has an accepted step driven, here or at its model's home.
func (p *steps) begin(r *routetable.Route, s *stepjournal.Step, v *view, driver stepjournal.Driver, claim bool) {
	if driver.Host != p.g.self.Host {
		p.g.wg.Go(func() { p.handOff(r, s, v, driver) })
		return
	}
	p.startDriving(r, s, v)
	if claim {
		p.g.wg.Go(func() { p.g.preferred.claim(s.Model) })
	}
}

func encodedSize(b [][]byte) int {
	n := 0
	for _, r := range b {
		n += len(r) + 4
	}
	return n
}

// List is a run of a step's results.
type List struct {
	Total int
	// Results have the positions from the one asked for on.
	Results []*stepjournal.Result
}

// Results returns the results of a step from a position on. With none there it
// waits up to wait. An error is an *outcome.Error; unknown-step means that there
// is no such step.
func (g *Gateway) Results(ctx context.Context, id string, after int, wait time.Duration) (*List, error) {
	if _, ok := g.journal.following(id); !ok {
		if a, ok := g.preferred.queryStep(ctx, stepQuery{Step: id, After: after, Wait: wait}); ok {
			return &List{Total: a.Total, Results: a.Results}, nil
		}
	}
	v := g.journal.follow(id)
	if err := v.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	return v.results(ctx, id, after, wait)
}

// results is Results for a step that the view knows.
func (v *view) results(ctx context.Context, id string, after int, wait time.Duration) (*List, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for waiting := true; ; {
		e, changed, ok := v.entry(id)
		if !ok {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		if after < len(e.Results) {
			return v.readList(ctx, &e, after)
		}
		if len(e.Results) == e.Total || !waiting {
			return &List{Total: e.Total}, nil
		}
		select {
		case <-changed:
			continue
		case <-t.C:
		case <-ctx.Done():
		case <-v.j.g.drain.begun():
		}
		// Another host may have shown more: an empty list needs a view of just now.
		if err := v.sync(ctx); err != nil {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		waiting = false
	}
}

// find makes sure that the view knows a step, or that there is none.
func (v *view) ensureKnown(ctx context.Context, id string) error {
	if _, _, ok := v.entry(id); ok {
		return nil
	}
	if err := v.sync(ctx); err != nil {
		return outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
	if _, _, ok := v.entry(id); !ok {
		return outcome.Refuse(outcome.ReasonUnknownStep, id)
	}
	return nil
}

// list reads results from a position on, up to listBytes.
func (v *view) readList(ctx context.Context, e *stepjournal.Entry, after int) (*List, error) {
	l := &List{Total: e.Total}
	n := 0
	for _, at := range e.Results[after:] {
		b, err := v.records(ctx, at, 1)
		if err != nil {
			if len(l.Results) > 0 {
				break
			}
			return nil, outcome.Refuse(outcome.ReasonLogDown, e.ID).After(unavailableRetryAfter)
		}
		r, err := stepjournal.DecodeResult(b[0])
		if err != nil {
			return nil, outcome.Lost(outcome.ReasonLogDown, e.ID, err)
		}
		if n += len(r.Text); n > maxListBytes && len(l.Results) > 0 {
			break
		}
		l.Results = append(l.Results, r)
	}
	return l, nil
}

// Body returns the body of one of a step's items.
func (g *Gateway) Body(ctx context.Context, id, item string) ([]byte, error) {
	if _, ok := g.journal.following(id); !ok {
		if a, ok := g.preferred.queryStep(ctx, stepQuery{Step: id, Item: item}); ok {
			return a.Body, nil
		}
	}
	return g.journal.follow(id).body(ctx, id, item)
}

// body returns the body of an item out of the log.
func (v *view) body(ctx context.Context, id, item string) ([]byte, error) {
	s, err := v.loadStep(ctx, id)
	if err != nil {
		return nil, err
	}
	for _, i := range s.Items {
		if i.ID == item {
			return i.Body, nil
		}
	}
	return nil, outcome.Refuse(outcome.ReasonUnknownName, item)
}

// load reads a step back from the log.
func (v *view) loadStep(ctx context.Context, id string) (*stepjournal.Step, error) {
	if err := v.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	e, _, _ := v.entry(id)
	var b [][]byte
	for at := e.From; at < e.To; {
		r, err := v.records(ctx, at, int(e.To-at))
		if err != nil {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		b = append(b, r...)
		at += int64(len(r))
	}
	s, err := stepjournal.DecodeStep(b)
	if err != nil {
		return nil, outcome.Lost(outcome.ReasonLogDown, id, err)
	}
	return s, nil
}

// End ends a step for good. A nil error means that the end is kept.
func (g *Gateway) End(ctx context.Context, id string) error {
	v, ok := g.journal.following(id)
	if !ok {
		_, ok = g.preferred.queryStep(ctx, stepQuery{Step: id, After: math.MaxInt32})
	}
	if !ok {
		v.use()
		if err := v.ensureKnown(ctx, id); err != nil {
			return err
		}
	}
	if e, _, _ := v.entry(id); e.Ended {
		return nil
	}
	b, err := stepjournal.Ended(id, time.Now())
	if err != nil {
		return err
	}
	if _, err := v.append(ctx, [][]byte{b}); err != nil {
		return outcome.From(err).After(unavailableRetryAfter)
	}
	g.log.Info("step: ended", zap.String("id", id))
	g.steps.stop(id)
	return nil
}

// follow records that this host follows prior as a step's driver; false means that
// the record may not be there.
func (p *steps) appendTakeover(v *view, id, previous string) bool {
	b, err := stepjournal.TakenOver(id, previous, p.g.self)
	if err != nil {
		p.g.log.Error("step: record cannot be made", zap.String("id", id), zap.Error(err))
		return false
	}
	if _, err := v.append(p.g.ctx, [][]byte{b}); err != nil {
		p.g.log.Warn("step: takeover failed", zap.String("id", id), zap.Error(err))
		return false
	}
	return true
}

// own reads the journal to its end and reports whether this host drives a step.
func (p *steps) confirmDriver(v *view, id string) (stepjournal.Entry, bool) {
	if err := v.sync(p.g.ctx); err != nil {
		p.g.log.Warn("step: takeover cannot be read back", zap.String("id", id), zap.Error(err))
		return stepjournal.Entry{}, false
	}
	e, _, ok := v.entry(id)
	return e, ok && e.Driver.Host == p.g.self.Host
}

// drive begins to run a step on this host, unless it does already.
func (p *steps) startDriving(r *routetable.Route, s *stepjournal.Step, v *view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[s.ID] != nil {
		return
	}
	d := newStepDriver(p.g, r, s, v)
	p.running[s.ID] = d
	p.g.wg.Go(func() {
		d.run()
		p.mu.Lock()
		delete(p.running, s.ID)
		p.mu.Unlock()
	})
}

// stop ends a step on this host.
func (p *steps) stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.running[id]; d != nil {
		d.stop()
	}
}

// release leaves all steps to other hosts.
func (p *steps) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.running {
		d.release()
	}
}

// driving reports whether this host runs a step.
func (p *steps) isDriving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[id] != nil
}

// watched is driving for a host that watches over the step.
func (p *steps) watched(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.running[id]
	if d == nil {
		return false
	}
	d.watched.Store(int64(boottime.Now()))
	return true
}

// count returns the number of steps that this host runs.
func (p *steps) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running)
}
