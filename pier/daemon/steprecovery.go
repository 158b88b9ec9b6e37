package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
)

const (
	// listHeldTimeout is how long a new coordinator waits for the owners' answers.
	listHeldTimeout = time.Second
	// lossWindow is how long after the loss of a member its streams may still be
	// adopted. adoptionDelay is how long, beyond two report intervals, a new
	// coordinator waits for that.
	lossWindow    = 10 * time.Second
	adoptionDelay = 500 * time.Millisecond
)

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
