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
	// acceptAttempts and acceptRetryDelay bound the attempts to append a step while the log
	// refuses it. There are few, since the caller can turn to another host.
	acceptAttempts   = 3
	acceptRetryDelay = 100 * time.Millisecond
	// maxListBytes bounds the total size of the texts in one answer to a trainer.
	maxListBytes = 480 << 10
)

// steps accepts the steps of trainers and keeps track of those that this host runs.
type steps struct {
	g  *Gateway
	mu sync.Mutex
	// running holds the drivers of the steps that this host runs, by step ID.
	running map[string]*stepDriver
}

func newSteps(g *Gateway) *steps { return &steps{g: g, running: make(map[string]*stepDriver)} }

// Accept accepts a step. A nil error means that the step is stored in the log. Errors are
// of type *outcome.Error; the outcome not-run means that no part of the step will run.
func (g *Gateway) Accept(ctx context.Context, r *routetable.Route, s *stepjournal.Step) error {
	start := time.Now()
	err := g.steps.accept(ctx, r, s)
	if err == nil {
		g.metrics.accept.Observe(time.Since(start).Seconds())
		return nil
	}
	e := outcome.AsError(err)
	g.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
	g.log.Info("step: not accepted", zap.String("id", s.ID), zap.String("reason", string(e.Reason)),
		zap.String("outcome", string(e.Outcome)), zap.String("at", e.Detail))
	return e
}

func (p *steps) accept(ctx context.Context, r *routetable.Route, s *stepjournal.Step) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if p.g.drain.stopping() {
		return outcome.Refuse(outcome.ReasonDraining, "").After(busyRetryAfter)
	}
	v, known := p.g.journal.following(s.ID)
	if known {
		return nil
	}
	if v.cutOff(s.ID) {
		return outcome.Refuse(outcome.ReasonLogDown, s.ID).After(unavailableRetryAfter)
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
			p.g.log.Info("step: accepted", zap.String("id", s.ID), zap.String("model", s.Model),
				zap.Int64("step", s.Number), zap.Int64("min-version", s.MinVersion),
				zap.Int("items", len(s.Items)), zap.Int64("offset", a.First),
				zap.String("driver", driver.Host))
			p.g.metrics.steps.WithLabelValues("accepted").Inc()
			p.g.wg.Go(func() { p.dispatch(r, s, v, driver, claim) })
			return nil
		}
		e := outcome.AsError(err)
		if e.Outcome != outcome.NotRun || n == acceptAttempts || !backoff.Sleep(ctx, acceptRetryDelay) {
			return e.After(unavailableRetryAfter)
		}
	}
}

// dispatch starts driving a step on this host, or hands it off to the driver that its record
// names.
//
// A trainer submits a step again, to another host, when an answer is late. Only the first
// record of a step counts: if this one is not it, another host drives the step already.
func (p *steps) dispatch(r *routetable.Route, s *stepjournal.Step, v *view, driver stepjournal.Driver, claim bool) {
	if driver.Host != p.g.self.Host {
		p.handOff(r, s, v, driver)
		return
	}
	if e, known := p.synced(v, s.ID); known && e.Driver.Host != p.g.self.Host {
		p.g.log.Info("step: submitted again; another record came first", zap.String("id", s.ID),
			zap.String("driver", e.Driver.Host))
		return
	}
	p.startDriving(r, s, v)
	if claim {
		p.g.preferred.claim(s.Model)
	}
}

// synced syncs the view with the log and returns a step's entry. known is false if the log
// cannot be read or does not hold the step.
func (p *steps) synced(v *view, id string) (e stepjournal.Entry, known bool) {
	if err := v.sync(p.g.ctx); err != nil {
		p.g.log.Warn("step: journal cannot be read", zap.String("id", id), zap.Error(err))
		return stepjournal.Entry{}, false
	}
	e, _, known = v.entry(id)
	return e, known
}

// encodedSize returns the size of records in an append, with 4 bytes of overhead for each.
func encodedSize(b [][]byte) int {
	n := 0
	for _, r := range b {
		n += len(r) + 4
	}
	return n
}

// ResultPage is a contiguous part of a step's results.
type ResultPage struct {
	// Total is the number of results that the step will have.
	Total int
	// Results are the results from the requested position on.
	Results []*stepjournal.Result
}

// Results returns the results of a step from a position on. If there are none yet, it waits
// for up to wait. Errors are of type *outcome.Error; unknown-step means that there is no
// such step.
func (g *Gateway) Results(ctx context.Context, id string, after int, wait time.Duration) (*ResultPage, error) {
	if _, ok := g.journal.following(id); !ok {
		if a, ok := g.preferred.queryStep(ctx, stepQuery{Step: id, After: after, Wait: wait}); ok {
			return &ResultPage{Total: a.Total, Results: a.Results}, nil
		}
	}
	v := g.journal.follow(id)
	if err := v.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	return v.results(ctx, id, after, wait)
}

// results is Results for a step that the view knows.
func (v *view) results(ctx context.Context, id string, after int, wait time.Duration) (*ResultPage, error) {
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
			return &ResultPage{Total: e.Total}, nil
		}
		select {
		case <-changed:
			continue
		case <-t.C:
		case <-ctx.Done():
		case <-v.j.g.drain.started():
		}
		// Another host may have listed more. Only a view synced after the call may answer
		// with an empty list.
		if err := v.sync(ctx); err != nil {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		waiting = false
	}
}

// ensureKnown returns nil if the view knows a step, if need be after a sync. Its error is
// unknown-step if there is no such step, and log-down if the log does not answer or the step's
// records have expired in part before the view read them.
func (v *view) ensureKnown(ctx context.Context, id string) error {
	if _, _, ok := v.entry(id); ok {
		return nil
	}
	if err := v.sync(ctx); err != nil {
		return outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
	if _, _, ok := v.entry(id); ok {
		return nil
	}
	if v.cutOff(id) {
		return outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
	return outcome.Refuse(outcome.ReasonUnknownStep, id)
}

// readList reads a step's results from a position on, up to maxListBytes but at least one.
func (v *view) readList(ctx context.Context, e *stepjournal.Entry, after int) (*ResultPage, error) {
	l := &ResultPage{Total: e.Total}
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
			return nil, outcome.Ambiguous(outcome.ReasonLogDown, e.ID, err)
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

// body reads the body of an item from the log.
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

// loadStep reads an accepted step from the log.
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
		return nil, outcome.Ambiguous(outcome.ReasonLogDown, id, err)
	}
	return s, nil
}

// End ends a step for good. A nil error means that the end is stored in the log. Ending a
// step again is no error.
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
		return outcome.AsError(err).After(unavailableRetryAfter)
	}
	g.log.Info("step: ended", zap.String("id", id))
	g.steps.stop(id)
	return nil
}

// startDriving runs a step on this host, unless it is running here already.
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

// stop stops running a step on this host.
func (p *steps) stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.running[id]; d != nil {
		d.stop()
	}
}

// release records for all running steps that they have no driver.
func (p *steps) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.running {
		d.release()
	}
}

// isDriving reports whether this host runs a step.
func (p *steps) isDriving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[id] != nil
}

// watched is isDriving for a query of a host that watches the step, the time of which it
// records.
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
