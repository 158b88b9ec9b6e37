package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

const (
	// stepTickInterval is the time between two checks of the steps' timers.
	stepTickInterval = 250 * time.Millisecond
	// finishedStepRetention is how long a complete step is kept to answer repeated
	// pulls.
	finishedStepRetention = 30 * time.Second
	// stepIdleTimeout is how long a step is kept without being pulled or having groups
	// added.
	stepIdleTimeout = 2 * time.Hour
	// listHeldTimeout is how long a new coordinator waits for the owners' answers.
	listHeldTimeout = time.Second
	// lossWindow is how long after the loss of a member its streams may still be
	// adopted. adoptionDelay is how long, beyond two report intervals, a new
	// coordinator waits for that.
	lossWindow    = 10 * time.Second
	adoptionDelay = 500 * time.Millisecond
	// maxStepsPerTrainer is the maximum number of open steps of one trainer.
	maxStepsPerTrainer = 16
)

// attemptEpoch is the time from which a coordinator's first attempt number is
// counted, in milliseconds.
var attemptEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is a step that this host coordinates.
type step struct {
	c        *rollout.Coordinator
	epoch    string
	opened   time.Time
	lastUsed time.Time
	// ready is closed once the owners have been asked what they hold of the step.
	// No work is assigned before.
	ready chan struct{}
	// heldAnswers keeps the owners' answers, by host, for groups that are opened
	// later.
	heldAnswers map[string]*entryhost.ListHeldAnswer
	// sealedBy maps each sealed slot to the host that holds its sample.
	sealedBy map[rollout.Slot]string
	complete bool
}

// trainerSteps holds the steps of one trainer.
type trainerSteps struct {
	mu    sync.Mutex
	steps map[int64]*step
	// version is the newest version that the trainer has published or pulled at; 0 if
	// none is known.
	version rollout.Version
	// changed is closed and replaced whenever a waiting pull should check again.
	changed chan struct{}
}

// steps is the role that coordinates the steps of the trainers whose rendezvous
// hash selects this host. It runs one rollout.Coordinator per step.
type steps struct {
	d        *Daemon
	log      *zap.Logger
	mu       sync.Mutex
	trainers map[string]*trainerSteps
	epochs   int
}

func newSteps(d *Daemon) *steps {
	return &steps{d: d, log: d.logger("steps"), trainers: make(map[string]*trainerSteps)}
}

// run checks the timers of all steps periodically.
func (s *steps) run(ctx context.Context) {
	k := time.NewTicker(stepTickInterval)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.C:
			for _, t := range s.all() {
				t.tick(s, n)
			}
		}
	}
}

// all returns the steps of all trainers.
func (s *steps) all() []*trainerSteps {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.trainers))
}

// trainer returns the steps of a trainer and creates the set if needed.
func (s *steps) trainer(name string) *trainerSteps {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trainers[name]
	if t == nil {
		t = &trainerSteps{steps: make(map[int64]*step), changed: make(chan struct{})}
		s.trainers[name] = t
	}
	return t
}

// tick drops streams that no owner reports any longer and removes steps that are
// complete or idle for too long.
func (t *trainerSteps) tick(s *steps, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, p := range t.steps {
		if l := p.c.Tick(now); l > 0 {
			s.log.Warn("dropped streams that no owner reported within the grace period",
				zap.Int64("step", n), zap.Int("streams", l))
		}
		idle := now.Sub(p.lastUsed)
		if p.complete && idle >= finishedStepRetention || idle >= stepIdleTimeout {
			delete(t.steps, n)
		}
	}
}

// expected returns the version that the trainer is expected to have when it trains
// the step: its current one plus one for each earlier step that is not complete. It
// returns 0 if the trainer has not announced a version yet. t.mu must be held.
func (t *trainerSteps) expected(step int64) rollout.Version {
	if t.version == 0 {
		return 0
	}
	v := t.version
	for n, p := range t.steps {
		if n < step && !p.complete {
			v++
		}
	}
	return v
}

// notifyPulls wakes the waiting pulls. t.mu must be held.
func (t *trainerSteps) notifyPulls() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// coordinatorFor returns the ID of the host that coordinates a trainer's steps.
func (s *steps) coordinatorFor(trainer string) (string, error) {
	t, ok := s.d.notes.snapshot().Trainer(trainer)
	if !ok {
		return "", outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+trainer)
	}
	return s.d.members.holder("steps:"+trainer, t.Region)
}

// open adds groups to a step and creates the step if needed.
func (s *steps) open(q *entryhost.StepOpenRequest) (*entryhost.StepAnswer, error) {
	tr, ok := s.d.notes.snapshot().Trainer(q.Key.Trainer)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+q.Key.Trainer)
	}
	t := s.trainer(q.Key.Trainer)
	t.mu.Lock()
	p := t.steps[q.Key.Step]
	if p == nil {
		if len(t.steps) >= maxStepsPerTrainer && !t.dropOldestComplete() {
			t.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonTooManyRequests, "trainer has too many open steps")
		}
		p = s.newStep(q.Key)
		t.steps[q.Key.Step] = p
		go s.recoverState(t, q.Key, p)
	}
	p.lastUsed = time.Now()
	err := p.c.Open(q.Groups)
	if err == nil && q.Close {
		p.c.Close()
	}
	p.c.SetVersion(t.version)
	p.c.SetExpectedVersion(t.expected(q.Key.Step))
	s.applyHeldAnswers(p)
	a := &entryhost.StepAnswer{Epoch: p.epoch, CoordinatorID: s.d.id, Counts: p.c.Counts()}
	t.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s.notifyHosts(&tr, 0)
	return a, nil
}

// dropOldestComplete removes the oldest complete step and reports whether there was
// one. t.mu must be held.
func (t *trainerSteps) dropOldestComplete() bool {
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		if t.steps[n].complete {
			delete(t.steps, n)
			return true
		}
	}
	return false
}

// newStep returns a step with a new epoch and the policy of the settings.
func (s *steps) newStep(k rollout.StepKey) *step {
	s.mu.Lock()
	s.epochs++
	epoch := fmt.Sprintf("%s/%d", s.d.id, s.epochs)
	s.mu.Unlock()
	f := s.d.s.Policy
	return &step{
		epoch:       epoch,
		opened:      time.Now(),
		lastUsed:    time.Now(),
		ready:       make(chan struct{}),
		heldAnswers: make(map[string]*entryhost.ListHeldAnswer),
		sealedBy:    make(map[rollout.Slot]string),
		c: rollout.NewCoordinator(rollout.Config{
			Key:   k,
			Epoch: epoch,
			Grace: s.d.s.Timing.Adoption.D(),
			// A coordinator makes fewer attempts for a slot than it lives
			// milliseconds, so the attempts of its successor are numbered higher
			// than its own.
			FirstAttempt: int(time.Since(attemptEpoch) / time.Millisecond),
			Policy: rollout.Policy{
				Order:             rollout.Order(f.Order),
				Siblings:          !f.NoSiblings,
				StragglerPriority: f.StragglerPriority,
				Spares:            f.Spares,
				SpareAfter:        f.SpareAfter.D(),
				Move:              f.Move,
				Straggler:         f.Straggler,
				Tail:              f.Tail,
				StaleShare:        s.idleWeight(k.Trainer),
				CancelLate:        true,
			},
		}),
	}
}

// idleWeight returns the weight that the trainer's deployment gives to trainer idle
// time against staleness.
func (s *steps) idleWeight(trainer string) float64 {
	c := s.d.notes.snapshot()
	t, _ := c.Trainer(trainer)
	d, _ := c.Deployment(t.Deployment)
	return d.IdleWeight
}

// recoverState asks all hosts what they hold of a step that this host has started
// to coordinate, since another host may have coordinated it before.
func (s *steps) recoverState(t *trainerSteps, k rollout.StepKey, p *step) {
	defer close(p.ready)
	s.queryHeld(t, k, p)
	if s.d.members.sinceLoss() > lossWindow {
		return
	}
	// Streams of a host that was just lost are adopted during the next report
	// intervals. Until then their samples must not be generated again.
	backoff.Sleep(s.d.ctx, adoptionDelay+2*s.d.s.Timing.Report.D())
	s.queryHeld(t, k, p)
}

// queryHeld asks all live hosts what they hold of a step.
func (s *steps) queryHeld(t *trainerSteps, k rollout.StepKey, p *step) {
	ctx, cancel := context.WithTimeout(s.d.ctx, listHeldTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.d.members.live() {
		wg.Go(func() {
			var a entryhost.ListHeldAnswer
			if err := s.d.call(ctx, m.ID, entryhost.ListHeld, &entryhost.StepRequest{Key: k}, &a); err != nil {
				s.d.metrics.retry("hold", err)
				return
			}
			t.mu.Lock()
			p.heldAnswers[m.ID] = &a
			t.mu.Unlock()
		})
	}
	wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.applyHeldAnswers(p)
	t.notifyPulls()
}

// applyHeldAnswers passes the owners' answers to the coordinator. t.mu must be
// held.
func (s *steps) applyHeldAnswers(p *step) {
	for _, id := range slices.Sorted(maps.Keys(p.heldAnswers)) {
		h := p.heldAnswers[id]
		for _, x := range h.Finished {
			p.sealedBy[x.Slot] = id
		}
		s.cancelAll(p.c.AddHeld(time.Now(), id, h.Running, h.Finished))
	}
}

// notifyHosts notifies all live hosts that a trainer has work and, unless v is 0,
// a new version.
func (s *steps) notifyHosts(t *release.Trainer, v rollout.Version) {
	for _, m := range s.d.members.live() {
		go func() {
			ctx, cancel := context.WithTimeout(s.d.ctx, time.Second)
			defer cancel()
			if err := s.d.call(ctx, m.ID, entryhost.Wake, &entryhost.WakeRequest{Trainer: t.Name, Version: v}, nil); err != nil {
				s.d.metrics.retry("wake", err)
			}
		}()
	}
}

// publish announces a new version of a trainer's weights to all hosts.
func (s *steps) publish(name string, v rollout.Version) error {
	tr, ok := s.d.notes.snapshot().Trainer(name)
	if !ok {
		return outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+name)
	}
	if v <= 0 {
		return outcome.Refuse(outcome.ReasonBadRequest, "version: must be positive")
	}
	s.notifyHosts(&tr, v)
	return nil
}

// updateVersion records a version that a trainer published or trains at, and
// cancels the streams that can no longer finish within the staleness bound.
func (s *steps) updateVersion(name string, v rollout.Version, bound int64) {
	t := s.trainer(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if v <= t.version {
		return
	}
	t.version = v
	for _, p := range t.steps {
		p.c.SetVersion(v)
		s.cancelAll(p.c.CancelOverdue(bound))
	}
}

// pull serves a trainer's pull. It waits up to q.Pull.Wait if there is nothing to
// return.
func (s *steps) pull(ctx context.Context, q *entryhost.StepPullRequest) (*entryhost.StepPullAnswer, error) {
	tr, ok := s.d.notes.snapshot().Trainer(q.Key.Trainer)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+q.Key.Trainer)
	}
	s.updateVersion(q.Key.Trainer, q.Pull.Version, tr.StalenessBound)
	t := s.trainer(q.Key.Trainer)
	start := time.Now()
	end := start.Add(q.Pull.Wait)
	for {
		t.mu.Lock()
		p := t.steps[q.Key.Step]
		if p == nil {
			t.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonUnknownStep, q.Key.String())
		}
		b, err := s.pullOnce(t, p, &q.Pull, &tr)
		// What the trainer stated and acknowledged must not be applied again in the
		// next iteration.
		q.Pull.HaveStated, q.Pull.Have = false, nil
		q.Pull.Epoch, q.Pull.Ack = p.epoch, p.c.Seq()
		w := t.changed
		t.mu.Unlock()
		if err != nil || b != nil {
			s.recordPullMetrics(&tr, b, start)
			return &entryhost.StepPullAnswer{Batch: b}, err
		}
		if !waitChange(ctx, w, end) {
			return &entryhost.StepPullAnswer{}, nil
		}
	}
}

// waitChange waits until w is closed. It returns false if end or the end of ctx
// comes first.
func waitChange(ctx context.Context, w <-chan struct{}, end time.Time) bool {
	k := time.NewTimer(max(0, time.Until(end)))
	defer k.Stop()
	select {
	case <-w:
		return true
	case <-k.C:
	case <-ctx.Done():
	}
	return false
}

// pullOnce makes one attempt to serve a pull. t.mu must be held.
func (s *steps) pullOnce(t *trainerSteps, p *step, q *rollout.Pull, tr *release.Trainer) (*rollout.Batch, error) {
	p.lastUsed = time.Now()
	p.c.SetVersion(t.version)
	before := p.c.Counts()
	b, err := p.c.Pull(q, tr.StalenessBound)
	after := p.c.Counts()
	if n := after.Dropped - before.Dropped; n > 0 {
		s.d.metrics.dropped.Add(float64(n))
		s.notifyHosts(tr, 0)
	}
	if after.Acked > before.Acked || after.Dropped > before.Dropped {
		s.releaseAcked(p)
	}
	if p.c.Done() && !p.complete {
		p.complete = true
		s.d.metrics.step.WithLabelValues(tr.Name).Observe(time.Since(p.opened).Seconds())
		s.log.Info("step complete", zap.String("step", p.c.Key().String()), zap.Int("slots", after.Slots),
			zap.Int64("tokens", after.Tokens), zap.Int64("thrown", after.Discarded),
			zap.Duration("took", time.Since(p.opened)))
		s.releaseAll(p.c.Key())
	}
	return b, err
}

// recordPullMetrics records how long a pull waited and how stale its samples are.
func (s *steps) recordPullMetrics(tr *release.Trainer, b *rollout.Batch, start time.Time) {
	if b == nil {
		return
	}
	s.d.metrics.pullWait.WithLabelValues(tr.Name).Observe(time.Since(start).Seconds())
	s.d.metrics.samples.Add(float64(len(b.Samples)))
	t := s.trainer(tr.Name)
	t.mu.Lock()
	v := t.version
	t.mu.Unlock()
	for _, x := range b.Samples {
		s.d.metrics.staleness.WithLabelValues(tr.Name).Observe(float64(v - x.Oldest()))
	}
}

// releaseAcked tells the owners which samples have been acknowledged or dropped.
// t.mu must be held.
func (s *steps) releaseAcked(p *step) {
	byHost := make(map[string][]rollout.Slot)
	for n, id := range p.sealedBy {
		if !p.c.HasUnacknowledged(n) {
			byHost[id] = append(byHost[id], n)
			delete(p.sealedBy, n)
		}
	}
	for id, l := range byHost {
		go s.sendRelease(id, &entryhost.ReleaseSamplesRequest{Key: p.c.Key(), Slots: l})
	}
}

// releaseAll tells all live hosts that a step has ended.
func (s *steps) releaseAll(k rollout.StepKey) {
	for _, m := range s.d.members.live() {
		go s.sendRelease(m.ID, &entryhost.ReleaseSamplesRequest{Key: k, All: true})
	}
}

// sendRelease asks one host to drop samples of a step. A failure is only counted.
func (s *steps) sendRelease(id string, q *entryhost.ReleaseSamplesRequest) {
	ctx, cancel := context.WithTimeout(s.d.ctx, 2*time.Second)
	defer cancel()
	if err := s.d.call(ctx, id, entryhost.ReleaseSamples, q, nil); err != nil {
		s.d.metrics.retry("release", err)
	}
}

// cancelAll asks the owners to cancel streams that are no longer needed or have to
// move.
func (s *steps) cancelAll(l []rollout.Cancel) {
	for _, c := range l {
		go func() {
			ctx, cancel := context.WithTimeout(s.d.ctx, 2*time.Second)
			defer cancel()
			q := &entryhost.CancelStreamRequest{Server: c.Server, Stream: c.Stream, Move: c.Move}
			if err := s.d.call(ctx, c.Host, entryhost.CancelStream, q, nil); err != nil {
				s.d.metrics.retry("cancel", err)
			}
		}()
	}
}

// cancel ends a step and releases what the hosts hold of it.
func (s *steps) cancel(k rollout.StepKey) (*entryhost.StepAnswer, error) {
	t := s.trainer(k.Trainer)
	t.mu.Lock()
	p := t.steps[k.Step]
	delete(t.steps, k.Step)
	t.notifyPulls()
	t.mu.Unlock()
	s.releaseAll(k)
	if p == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, k.String())
	}
	return &entryhost.StepAnswer{Epoch: p.epoch, CoordinatorID: s.d.id, Counts: p.c.Counts()}, nil
}

// status returns the counts of a step.
func (s *steps) status(k rollout.StepKey) (*entryhost.StepAnswer, error) {
	t := s.trainer(k.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[k.Step]
	if p == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, k.String())
	}
	return &entryhost.StepAnswer{Epoch: p.epoch, CoordinatorID: s.d.id, Counts: p.c.Counts()}, nil
}

// assign assigns work of a trainer's steps to the offered servers, oldest step
// first.
func (s *steps) assign(q *entryhost.OfferRequest) *entryhost.OfferAnswer {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &entryhost.OfferAnswer{Version: t.version}
	now := time.Now()
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		p := t.steps[n]
		s.recordProgress(now, q, n, p)
		if !isClosed(p.ready) {
			continue
		}
		w := p.c.Assign(now, q.Host, q.Offers)
		for i := range w {
			useSlot(q.Offers, w[i].Server)
		}
		a.Work = append(a.Work, w...)
		s.cancelAll(p.c.Moves(now, q.Offers))
		c := p.c.Counts()
		a.Pending += c.Pending
		if l := c.Pending + c.Running; l > 0 && a.Unsealed == 0 {
			a.Unsealed = l
		}
		if c.Pending > 0 && a.PendingSince.IsZero() {
			a.PendingSince = p.opened
		}
	}
	return a
}

// recordProgress applies the reported progress of the host's streams of step n.
// Streams whose result is no longer wanted are cancelled.
func (s *steps) recordProgress(now time.Time, q *entryhost.OfferRequest, n int64, p *step) {
	for i := range q.Progress {
		g := &q.Progress[i]
		if g.Step != n || !g.Consistent() {
			continue
		}
		for j := range g.Slots {
			t := rollout.Stream{Key: p.c.Key(), Slot: g.Slots[j], Attempt: g.Attempts[j]}
			if !p.c.Adopt(now, q.Host, g.Server, t) && p.c.Opened(t.Slot) {
				s.cancelAll([]rollout.Cancel{{Stream: t, Host: q.Host, Server: g.Server}})
				continue
			}
			p.c.Progress(t, g.Tokens[j])
		}
	}
}

// useSlot subtracts one free slot of a server from the offers.
func useSlot(o []rollout.Offer, server string) {
	for i := range o {
		if o[i].Server == server {
			o[i].FreeSlots--
		}
	}
}

// isClosed reports whether c is closed. Nothing must be sent on c.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// seal accepts finished samples. It fails with the *outcome.Error unknown-step if
// this host does not coordinate the step, in which case the owner keeps the
// samples.
func (s *steps) seal(q *entryhost.DeliverSamplesRequest) error {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range q.Samples {
		p := t.steps[x.Key.Step]
		if p == nil || !p.c.Opened(x.Slot) {
			return outcome.Refuse(outcome.ReasonUnknownStep, x.Key.String())
		}
		s.cancelAll(p.c.Seal(time.Now(), x))
		if !p.c.HasUnacknowledged(x.Slot) {
			go s.sendRelease(q.Host, &entryhost.ReleaseSamplesRequest{
				Key:   x.Key,
				Slots: []rollout.Slot{x.Slot},
			})
			continue
		}
		p.sealedBy[x.Slot] = q.Host
	}
	t.notifyPulls()
	return nil
}

// streamFailed processes the report of a stream that ended without a sample.
func (s *steps) streamFailed(q *entryhost.StreamFailedRequest) error {
	t := s.trainer(q.Stream.Key.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[q.Stream.Key.Step]
	if p == nil {
		return outcome.Refuse(outcome.ReasonUnknownStep, q.Stream.Key.String())
	}
	p.c.StreamFailed(q.Stream, q.Tokens, q.Partial)
	return nil
}

// summaries returns a summary of each step.
func (s *steps) summaries() []entryhost.StepSummary {
	var l []entryhost.StepSummary
	for _, t := range s.all() {
		t.mu.Lock()
		for _, n := range slices.Sorted(maps.Keys(t.steps)) {
			c := t.steps[n].c
			l = append(l, entryhost.StepSummary{Key: c.Key(), Counts: c.Counts(), Waits: c.Waits()})
		}
		t.mu.Unlock()
	}
	return l
}
