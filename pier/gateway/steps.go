package gateway

import (
	"context"
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
	// syncAttempts is the number of attempts to read which record of a step of an organisation came first.
	syncAttempts = 5
	// startTimeout is how long a host that was given a step may read in a quick log whether it is the
	// driver before the step is taken over.
	startTimeout = time.Second
)

// steps accepts the steps of trainers and keeps track of those that this host runs.
type steps struct {
	g  *Gateway
	mu sync.Mutex
	// running holds the drivers of the steps that this host runs, by step ID.
	running map[string]*stepDriver
	// starting holds since when this host has read whether it is the driver of a step, to run it then,
	// by step ID. Times are since boot.
	starting map[string]time.Duration
}

func newSteps(g *Gateway) *steps {
	return &steps{g: g, running: make(map[string]*stepDriver), starting: make(map[string]time.Duration)}
}

// start notes that this host is about to run a step. The returned function ends that.
func (p *steps) start(id string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	p.starting[id] = now
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.starting[id] == now {
			delete(p.starting, id)
		}
	}
}

// isStarting reports whether this host is about to run a step. One that cannot read the journal leaves
// the step to others.
func (p *steps) isStarting(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.starting[id]
	return ok && boottime.Now()-since < p.g.peerLog.limit(startTimeout)
}

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
		if e, _, _ := v.entry(s.ID); p.g.restricted() {
			return checkSubmitter(s, e.Organisation)
		}
		return nil
	}
	if v.cutOff(s.ID) {
		return v.refuseCutOff(s.ID)
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
			return p.stored(ctx, s, a.First, driver, func() { p.dispatch(r, s, v, driver, claim) })
		}
		e := outcome.AsError(err)
		if e.Outcome != outcome.NotRun || n == acceptAttempts || !backoff.Sleep(ctx, acceptRetryDelay) {
			return e.After(unavailableRetryAfter)
		}
	}
}

// stored starts a step whose records were appended at an offset, unless another organisation submitted it first. If
// that cannot be determined before ctx ends, the outcome is unknown, and the driver checks again.
func (p *steps) stored(ctx context.Context, s *stepjournal.Step, offset int64, driver stepjournal.Driver, drive func()) error {
	end, n := p.start(s.ID), p.charge(s)
	err := p.confirmSubmitter(ctx, s)
	if outcome.HasReason(err, outcome.ReasonOtherOrganisation) {
		p.g.memory.Give(n)
		end()
		return err
	}
	p.g.log.Info("step: accepted", zap.String("id", s.ID), zap.String("model", s.Model),
		zap.Int64("step", s.Number), zap.Int64("min-version", s.MinVersion),
		zap.Int("items", len(s.Items)), zap.Int64("offset", offset),
		zap.String("driver", driver.Host), zap.String("organisation", s.Organisation))
	p.g.metrics.steps.WithLabelValues("accepted").Inc()
	p.g.wg.Go(func() {
		defer p.g.memory.Give(n)
		defer end()
		drive()
	})
	return err
}

// confirmSubmitter returns nil if the first record of a step in the log is one of its submitter. A host that
// knows the step has read that one, and none before it.
func (p *steps) confirmSubmitter(ctx context.Context, s *stepjournal.Step) error {
	if !p.g.restricted() {
		return nil
	}
	a, err := p.g.readStep(ctx, stepQuery{Step: s.ID, Knows: true})
	if err != nil {
		return outcome.Ambiguous(outcome.ReasonDeadline, s.ID, err)
	}
	return checkSubmitter(s, a.Organisation)
}

// checkSubmitter returns a refusal if a step was submitted before by an organisation other than that of s. One that
// was submitted before without any may be repeated with every valid key, as it may be read and ended.
func checkSubmitter(s *stepjournal.Step, organisation string) error {
	if organisation == "" || organisation == s.Organisation {
		return nil
	}
	return outcome.Refuse(outcome.ReasonOtherOrganisation, s.ID)
}

// drivenHere syncs the view with the log and reports whether this host drives a step as it was submitted in s. A
// record of another organisation may hold other items under the same ids. If the log cannot be read, the step is
// driven only without organisations, as whoever submits it again has the same items then. Else the holder of the
// partition has it driven later.
func (p *steps) drivenHere(v *view, s *stepjournal.Step) bool {
	free := s.Organisation == "" && !p.g.restricted()
	e, known := p.synced(v, s.ID)
	for n := 1; !known && !free && n < syncAttempts && backoff.Sleep(p.g.ctx, logRetryDelay); n++ {
		e, known = p.synced(v, s.ID)
	}
	if !known {
		return free
	}
	if e.Driver.Host == p.g.self.Host && e.Organisation == s.Organisation {
		return true
	}
	p.g.log.Info("step: not driven here, another record came first", zap.String("id", s.ID),
		zap.String("driver", e.Driver.Host), zap.Bool("other-organisation", e.Organisation != s.Organisation))
	return false
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
	if !p.drivenHere(v, s) {
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

// startDriving runs a step on this host, unless it is running here already.
func (p *steps) startDriving(r *routetable.Route, s *stepjournal.Step, v *view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[s.ID] != nil {
		return
	}
	d := newStepDriver(p.g, r, s, v)
	p.running[s.ID] = d
	n := p.charge(s)
	p.g.wg.Go(func() {
		defer p.g.memory.Give(n)
		d.run()
		p.mu.Lock()
		delete(p.running, s.ID)
		p.mu.Unlock()
		d.dropTexts()
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
