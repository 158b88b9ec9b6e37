package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
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
	// maxStepsPerTrainer is the maximum number of open steps of one trainer.
	maxStepsPerTrainer = 16
)

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
	every(ctx, stepTickInterval, func(now time.Time) {
		for _, t := range s.all() {
			t.tick(s, now)
		}
	})
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
	a := s.answer(p)
	t.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s.notifyHosts(&tr, 0)
	return a, nil
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

// cancel ends a step and releases what the hosts hold of it.
func (s *steps) cancel(k rollout.StepKey) (*entryhost.StepAnswer, error) {
	a := s.drop(k)
	s.releaseAll(k)
	if a == nil {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, k.String())
	}
	return a, nil
}

// drop removes a step and returns its last state, or nil if there is no such step.
func (s *steps) drop(k rollout.StepKey) *entryhost.StepAnswer {
	t := s.trainer(k.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[k.Step]
	delete(t.steps, k.Step)
	t.notifyPulls()
	if p == nil {
		return nil
	}
	return s.answer(p)
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
	return s.answer(p), nil
}

// answer returns the state of a step. The lock of its trainer must be held.
func (s *steps) answer(p *step) *entryhost.StepAnswer {
	return &entryhost.StepAnswer{Epoch: p.epoch, CoordinatorID: s.d.id, Counts: p.c.Counts()}
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
