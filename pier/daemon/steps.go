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
	// stepTick is the time between two looks at the steps' timers.
	stepTick = 250 * time.Millisecond
	// stepLinger is how long a finished step is kept for repeated pulls.
	stepLinger = 30 * time.Second
	// stepIdleLimit is how long a step without pulls is kept.
	stepIdleLimit = 2 * time.Hour
	// holdLimit is how long a new coordinator waits for the owners' answers.
	holdLimit = time.Second
	// lossWindow is how long after a loss streams may still be adopted, adoptWait
	// how long a new coordinator waits for it beyond two reports.
	lossWindow = 10 * time.Second
	adoptWait  = 500 * time.Millisecond
	// stepsPerTrainer is the greatest number of open steps of one trainer.
	stepsPerTrainer = 16
)

// attemptEpoch is the time from which attempts are numbered, in milliseconds.
var attemptEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one step that this host coordinates.
type step struct {
	c      *rollout.Coordinator
	epoch  string
	opened time.Time
	used   time.Time
	// ready is closed once the owners were asked what they hold; no work is
	// assigned before.
	ready chan struct{}
	// holds keeps the owners' answers for groups that are opened later.
	holds map[string]*entryhost.HoldAnswer
	// sealedBy maps each sealed slot to the host that holds its sample.
	sealedBy map[rollout.Slot]string
	whole    bool
}

// trainerSteps holds the steps of one trainer.
type trainerSteps struct {
	mu      sync.Mutex
	steps   map[int64]*step
	version rollout.Version
	// changed is closed and replaced when a sample was sealed.
	changed chan struct{}
}

// steps is the shell of rollout.Coordinator: the role that holds the steps of
// the trainers whose rendezvous hash names this host.
type steps struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	m   map[string]*trainerSteps
	n   int
}

func newSteps(d *Daemon) *steps {
	return &steps{d: d, log: d.logger("steps"), m: make(map[string]*trainerSteps)}
}

func (s *steps) run(ctx context.Context) {
	k := time.NewTicker(stepTick)
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

// all returns the trainers' steps.
func (s *steps) all() []*trainerSteps {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.m))
}

// trainer returns the steps of a trainer, making them when there are none.
func (s *steps) trainer(name string) *trainerSteps {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.m[name]
	if t == nil {
		t = &trainerSteps{steps: make(map[int64]*step), changed: make(chan struct{})}
		s.m[name] = t
	}
	return t
}

// tick gives up orphaned streams and forgets steps that are over.
func (t *trainerSteps) tick(s *steps, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, p := range t.steps {
		if l := p.c.Tick(now); l > 0 {
			s.log.Warn("streams given up", zap.Int64("step", n), zap.Int("streams", l))
		}
		idle := now.Sub(p.used)
		if p.whole && idle >= stepLinger || idle >= stepIdleLimit {
			delete(t.steps, n)
		}
	}
}

// expected returns the version that the trainer will train a step at: one more
// than it has for each earlier step that is not whole; t.mu is held. A trainer
// that has told no version yet expects none.
func (t *trainerSteps) expected(step int64) rollout.Version {
	if t.version == 0 {
		return 0
	}
	v := t.version
	for n, p := range t.steps {
		if n < step && !p.whole {
			v++
		}
	}
	return v
}

// notify wakes the pulls that wait; t.mu is held.
func (t *trainerSteps) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// holderOf returns the host that coordinates a trainer's steps.
func (s *steps) holderOf(trainer string) (string, error) {
	t, ok := s.d.notes.snapshot().Trainer(trainer)
	if !ok {
		return "", outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+trainer)
	}
	return s.d.members.holder("steps:"+trainer, t.Region)
}

// open adds groups to a step, making the step when there is none.
func (s *steps) open(q *entryhost.StepOpenRequest) (*entryhost.StepAnswer, error) {
	tr, ok := s.d.notes.snapshot().Trainer(q.Key.Trainer)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+q.Key.Trainer)
	}
	t := s.trainer(q.Key.Trainer)
	t.mu.Lock()
	p := t.steps[q.Key.Step]
	if p == nil {
		if len(t.steps) >= stepsPerTrainer && !t.forgetOldest() {
			t.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonTooManyRequests, "trainer has too many open steps")
		}
		p = s.newStep(q.Key)
		t.steps[q.Key.Step] = p
		go s.recover(t, q.Key, p)
	}
	p.used = time.Now()
	err := p.c.Open(q.Groups)
	if err == nil && q.Close {
		p.c.Close()
	}
	p.c.SetVersion(t.version)
	p.c.Expect(t.expected(q.Key.Step))
	s.applyHolds(p)
	a := &entryhost.StepAnswer{Epoch: p.epoch, Holder: s.d.id, Counts: p.c.Counts()}
	t.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s.wakeOwners(&tr, 0)
	return a, nil
}

// forgetOldest drops the oldest step that is whole; t.mu is held.
func (t *trainerSteps) forgetOldest() bool {
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		if t.steps[n].whole {
			delete(t.steps, n)
			return true
		}
	}
	return false
}

func (s *steps) newStep(k rollout.StepKey) *step {
	s.mu.Lock()
	s.n++
	epoch := fmt.Sprintf("%s/%d", s.d.id, s.n)
	s.mu.Unlock()
	f := s.d.s.Policy
	return &step{
		epoch:    epoch,
		opened:   time.Now(),
		used:     time.Now(),
		ready:    make(chan struct{}),
		holds:    make(map[string]*entryhost.HoldAnswer),
		sealedBy: make(map[rollout.Slot]string),
		c: rollout.NewCoordinator(rollout.Config{
			Key:   k,
			Epoch: epoch,
			Grace: s.d.s.Timing.Adoption.D(),
			// A coordinator gives a slot fewer attempts than it lives milliseconds, so
			// the next one's numbers are above its own.
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

// idleWeight returns how much the trainer's deployment weighs idle time.
func (s *steps) idleWeight(trainer string) float64 {
	c := s.d.notes.snapshot()
	t, _ := c.Trainer(trainer)
	d, _ := c.Deployment(t.Deployment)
	return d.IdleWeight
}

// recover asks all hosts what they hold for a step that this host has just
// begun to coordinate, as it may have been another's before.
func (s *steps) recover(t *trainerSteps, k rollout.StepKey, p *step) {
	defer close(p.ready)
	s.askHolds(t, k, p)
	if s.d.members.sinceLoss() > lossWindow {
		return
	}
	// Streams of a host that was just lost are adopted within the next reports;
	// until then they must not be generated again.
	backoff.For(s.d.ctx, adoptWait+2*s.d.s.Timing.Report.D())
	s.askHolds(t, k, p)
}

// askHolds asks all hosts what they hold for a step.
func (s *steps) askHolds(t *trainerSteps, k rollout.StepKey, p *step) {
	ctx, cancel := context.WithTimeout(s.d.ctx, holdLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range s.d.members.live() {
		wg.Go(func() {
			var a entryhost.HoldAnswer
			if err := s.d.call(ctx, m.ID, entryhost.Hold, &entryhost.StepRequest{Key: k}, &a); err != nil {
				s.d.metrics.retry("hold", err)
				return
			}
			t.mu.Lock()
			p.holds[m.ID] = &a
			t.mu.Unlock()
		})
	}
	wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	s.applyHolds(p)
	t.notify()
}

// applyHolds gives the owners' answers to the core; t.mu is held.
func (s *steps) applyHolds(p *step) {
	for _, id := range slices.Sorted(maps.Keys(p.holds)) {
		h := p.holds[id]
		for _, x := range h.Done {
			p.sealedBy[x.Slot] = id
		}
		s.cancelAll(p.c.Holding(time.Now(), id, h.Running, h.Done))
	}
}

// wakeOwners tells all hosts that a trainer has work or a new version.
func (s *steps) wakeOwners(t *release.Trainer, v rollout.Version) {
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

// publish takes a new version of a trainer's weights and tells all hosts.
func (s *steps) publish(name string, v rollout.Version) error {
	tr, ok := s.d.notes.snapshot().Trainer(name)
	if !ok {
		return outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+name)
	}
	if v <= 0 {
		return outcome.Refuse(outcome.ReasonBadRequest, "version: must be positive")
	}
	s.wakeOwners(&tr, v)
	return nil
}

// learn takes a version that a trainer published or trains at.
func (s *steps) learn(name string, v rollout.Version, bound int64) {
	t := s.trainer(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if v <= t.version {
		return
	}
	t.version = v
	for _, p := range t.steps {
		p.c.SetVersion(v)
		s.cancelAll(p.c.Late(bound))
	}
}

// pull serves a trainer's pull; it waits when there is nothing to hand over.
func (s *steps) pull(ctx context.Context, q *entryhost.StepPullRequest) (*entryhost.StepPullAnswer, error) {
	tr, ok := s.d.notes.snapshot().Trainer(q.Key.Trainer)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "trainer/"+q.Key.Trainer)
	}
	s.learn(q.Key.Trainer, q.Pull.Version, tr.StalenessBound)
	t := s.trainer(q.Key.Trainer)
	began := time.Now()
	end := began.Add(q.Pull.Wait)
	for {
		t.mu.Lock()
		p := t.steps[q.Key.Step]
		if p == nil {
			t.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonUnknownStep, q.Key.String())
		}
		b, err := s.pullOnce(t, p, &q.Pull, &tr)
		// What was stated and acknowledged must not be repeated on the next turn.
		q.Pull.Stated, q.Pull.Have = false, nil
		q.Pull.Epoch, q.Pull.Ack = p.epoch, p.c.Seq()
		w := t.changed
		t.mu.Unlock()
		if err != nil || b != nil {
			s.observe(&tr, b, began)
			return &entryhost.StepPullAnswer{Batch: b}, err
		}
		if !waitChange(ctx, w, end) {
			return &entryhost.StepPullAnswer{}, nil
		}
	}
}

// waitChange waits for a change and returns false when the time is over.
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

// pullOnce runs one turn of a pull; t.mu is held.
func (s *steps) pullOnce(t *trainerSteps, p *step, q *rollout.Pull, tr *release.Trainer) (*rollout.Batch, error) {
	p.used = time.Now()
	p.c.SetVersion(t.version)
	before := p.c.Counts()
	b, err := p.c.Pull(q, tr.StalenessBound)
	after := p.c.Counts()
	if n := after.Dropped - before.Dropped; n > 0 {
		s.d.metrics.dropped.Add(float64(n))
		s.wakeOwners(tr, 0)
	}
	if after.Acked > before.Acked || after.Dropped > before.Dropped {
		s.releaseAcked(p)
	}
	if p.c.Done() && !p.whole {
		p.whole = true
		s.d.metrics.step.WithLabelValues(tr.Name).Observe(time.Since(p.opened).Seconds())
		s.log.Info("step whole", zap.String("step", p.c.Key().String()), zap.Int("slots", after.Slots),
			zap.Int64("tokens", after.Tokens), zap.Int64("thrown", after.Thrown), zap.Duration("took", time.Since(p.opened)))
		s.releaseAll(p.c.Key())
	}
	return b, err
}

// observe notes how long a pull waited and how stale its samples are.
func (s *steps) observe(tr *release.Trainer, b *rollout.Batch, began time.Time) {
	if b == nil {
		return
	}
	s.d.metrics.idle.WithLabelValues(tr.Name).Observe(time.Since(began).Seconds())
	s.d.metrics.samples.Add(float64(len(b.Samples)))
	t := s.trainer(tr.Name)
	t.mu.Lock()
	v := t.version
	t.mu.Unlock()
	for _, x := range b.Samples {
		s.d.metrics.staleness.WithLabelValues(tr.Name).Observe(float64(v - x.Oldest()))
	}
}

// releaseAcked tells the owners which samples were acknowledged or dropped; t.mu
// is held.
func (s *steps) releaseAcked(p *step) {
	by := make(map[string][]rollout.Slot)
	for n, id := range p.sealedBy {
		if !p.c.Keeps(n) {
			by[id] = append(by[id], n)
			delete(p.sealedBy, n)
		}
	}
	for id, l := range by {
		go s.sendRelease(id, &entryhost.ReleaseRequest{Key: p.c.Key(), Slots: l})
	}
}

// releaseAll tells all hosts that a step is over.
func (s *steps) releaseAll(k rollout.StepKey) {
	for _, m := range s.d.members.live() {
		go s.sendRelease(m.ID, &entryhost.ReleaseRequest{Key: k, All: true})
	}
}

func (s *steps) sendRelease(id string, q *entryhost.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(s.d.ctx, 2*time.Second)
	defer cancel()
	if err := s.d.call(ctx, id, entryhost.Release, q, nil); err != nil {
		s.d.metrics.retry("release", err)
	}
}

// cancelAll asks the owners to cancel streams that are not wanted any longer.
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

// cancel ends a step.
func (s *steps) cancel(k rollout.StepKey) (*entryhost.StepAnswer, error) {
	t := s.trainer(k.Trainer)
	t.mu.Lock()
	p := t.steps[k.Step]
	delete(t.steps, k.Step)
	t.notify()
	t.mu.Unlock()
	s.releaseAll(k)
	if p == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, k.String())
	}
	return &entryhost.StepAnswer{Epoch: p.epoch, Holder: s.d.id, Counts: p.c.Counts()}, nil
}

// status returns a step's counts.
func (s *steps) status(k rollout.StepKey) (*entryhost.StepAnswer, error) {
	t := s.trainer(k.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[k.Step]
	if p == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, k.String())
	}
	return &entryhost.StepAnswer{Epoch: p.epoch, Holder: s.d.id, Counts: p.c.Counts()}, nil
}

// ask assigns work of a trainer's steps, the oldest first, to offered servers.
func (s *steps) ask(q *entryhost.AskRequest) *entryhost.AskAnswer {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &entryhost.AskAnswer{Version: t.version}
	now := time.Now()
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		p := t.steps[n]
		s.progress(now, q, n, p)
		if !isClosed(p.ready) {
			continue
		}
		w := p.c.Ask(now, q.Host, q.Offers)
		for i := range w {
			takeRoom(q.Offers, w[i].Server)
		}
		a.Work = append(a.Work, w...)
		s.cancelAll(p.c.Moves(now, q.Offers))
		c := p.c.Counts()
		a.Pending += c.Pending
		if l := c.Pending + c.Running; l > 0 && a.Left == 0 {
			a.Left = l
		}
		if c.Pending > 0 && a.Since.IsZero() {
			a.Since = p.opened
		}
	}
	return a
}

// progress takes how far the host's streams of step n are.
func (s *steps) progress(now time.Time, q *entryhost.AskRequest, n int64, p *step) {
	for i := range q.Progress {
		g := &q.Progress[i]
		if g.Step != n || !g.Whole() {
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

func takeRoom(o []rollout.Offer, server string) {
	for i := range o {
		if o[i].Server == server {
			o[i].Room--
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// seal takes finished samples. Errors are *outcome.Error: unknown-step when this
// host does not coordinate the step, so that the owner keeps the samples.
func (s *steps) seal(q *entryhost.SealedRequest) error {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range q.Samples {
		p := t.steps[x.Key.Step]
		if p == nil || !p.c.Opened(x.Slot) {
			return outcome.Refuse(outcome.ReasonUnknownStep, x.Key.String())
		}
		s.cancelAll(p.c.Seal(time.Now(), x))
		if !p.c.Keeps(x.Slot) {
			go s.sendRelease(q.Host, &entryhost.ReleaseRequest{Key: x.Key, Slots: []rollout.Slot{x.Slot}})
			continue
		}
		p.sealedBy[x.Slot] = q.Host
	}
	t.notify()
	return nil
}

// failed takes the end of a stream without a sample.
func (s *steps) failed(q *entryhost.FailedRequest) error {
	t := s.trainer(q.Stream.Key.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[q.Stream.Key.Step]
	if p == nil {
		return outcome.Refuse(outcome.ReasonUnknownStep, q.Stream.Key.String())
	}
	p.c.Failed(q.Stream, q.Tokens, q.Partial)
	return nil
}

// lines returns the steps at a glance.
func (s *steps) lines() []entryhost.StepStatusLine {
	var l []entryhost.StepStatusLine
	for _, t := range s.all() {
		t.mu.Lock()
		for _, n := range slices.Sorted(maps.Keys(t.steps)) {
			c := t.steps[n].c
			l = append(l, entryhost.StepStatusLine{Key: c.Key(), Counts: c.Counts(), Waits: c.Waits()})
		}
		t.mu.Unlock()
	}
	return l
}
