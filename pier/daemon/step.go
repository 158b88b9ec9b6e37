package daemon

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
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
