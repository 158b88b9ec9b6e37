package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

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
