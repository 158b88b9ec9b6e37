package experiment

import (
	"time"

	"mulberrypier.example/pier/rollout"
)

// openStep is an open step of a trainer with its coordinator.
type openStep struct {
	*rollout.Coordinator
	r      *run
	opened time.Time
	// idle is how long the trainer has waited for samples of this step.
	idle time.Duration
	// ack and epoch identify the last batch, which the next pull acknowledges.
	ack   int64
	epoch string
	// remaining is the number of samples that the trainer has not received.
	remaining int
}

// reportProgress reports to the coordinator the running streams of the step and their
// numbers of tokens, as the owners do.
func (p *openStep) reportProgress() {
	for id, w := range p.r.assigned {
		if w.Key != p.Key() {
			continue
		}
		s := p.r.byName[w.Server]
		if x := s.sim.Stream(id); x != nil {
			p.Adopt(p.r.now, "host", w.Server, w.Stream)
			p.Progress(w.Stream, s.sim.Tokens(x))
		}
	}
}

// trainerState is the state of one trainer of a run. The trainer trains on the samples of
// its oldest step as they arrive, updates its weights when the step is complete, and
// publishes them as a new version.
type trainerState struct {
	r       *run
	c       *Trainer
	version rollout.Version
	// steps holds the open steps, oldest first; nextStep is the number of the step to
	// open next, and publishedSteps the number of steps whose version is published.
	steps          []*openStep
	nextStep       int64
	publishedSteps int
	// canPull is set if a sample may have become available since the last pull.
	canPull bool
	// trainsUntil is when the trainer will have trained on all samples it received.
	trainsUntil time.Time
	// waitingSince is when the trainer started to wait for samples, or zero if it does not
	// wait.
	waitingSince time.Time
	// lastComplete is when the last sample of the last step arrived.
	lastComplete time.Time
	// updating is set from the completion of a step to the publication of its
	// version.
	updating bool
}

func newTrainerState(r *run, c *Trainer) *trainerState {
	return &trainerState{r: r, c: c, version: 1, lastComplete: r.now}
}

// share returns the configured share, or 1 by default.
func (t *trainerState) share() float64 {
	if t.c.Share > 0 {
		return t.c.Share
	}
	return 1
}

// unfinished returns the number of pending and running samples of the oldest step that
// has any.
func (t *trainerState) unfinished() int {
	for _, p := range t.steps {
		if c := p.Counts(); c.Pending+c.Running > 0 {
			return c.Pending + c.Running
		}
	}
	return 0
}

// pendingSince returns when the oldest step with pending samples was opened, or zero.
func (t *trainerState) pendingSince() time.Time {
	for _, p := range t.steps {
		if p.Counts().Pending > 0 {
			return p.opened
		}
	}
	return time.Time{}
}

// openFirst opens the first step and the steps ahead of it.
func (t *trainerState) openFirst() {
	for range 1 + t.c.StepsAhead {
		t.openNext()
	}
	t.waitingSince = t.r.now
}

// openNext opens the next step, if there is one.
func (t *trainerState) openNext() {
	if int(t.nextStep) >= t.r.c.Steps {
		return
	}
	k := rollout.StepKey{Trainer: t.c.Name, Step: t.nextStep}
	p := &openStep{r: t.r, opened: t.r.now, remaining: t.c.Groups * t.c.Samples}
	p.Coordinator = rollout.NewCoordinator(rollout.Config{Key: k, Epoch: "e", Grace: time.Hour, Policy: t.r.p.Policy})
	var g []rollout.Group
	for i := range t.c.Groups {
		g = append(g, rollout.Group{First: rollout.Slot(i * t.c.Samples), Samples: t.c.Samples, Prompt: "p", MaxTokens: t.r.c.MaxTokens})
	}
	if err := p.Open(g); err != nil {
		panic(err)
	}
	p.Close()
	p.SetVersion(t.version)
	p.SetExpectedVersion(t.version + rollout.Version(len(t.steps)))
	t.nextStep++
	t.steps = append(t.steps, p)
	t.r.scheduleAssign()
}

// findStep returns the open step with number n, or nil.
func (t *trainerState) findStep(n int64) *openStep {
	for _, p := range t.steps {
		if p.Key().Step == n {
			return p
		}
	}
	return nil
}

// pullSamples pulls and trains on the available samples of the oldest step, unless the
// trainer is training or updating.
func (t *trainerState) pullSamples() {
	if len(t.steps) == 0 || t.updating || t.r.now.Before(t.trainsUntil) || !t.canPull {
		return
	}
	p := t.steps[0]
	t.canPull = false
	for {
		b, err := p.Pull(&rollout.Pull{
			Epoch: p.epoch, Ack: p.ack, Version: t.version, Max: 1 << 20, WholeGroups: t.c.WholeGroups,
		}, t.c.StalenessBound)
		if err != nil {
			panic(err)
		}
		if b == nil {
			return
		}
		p.epoch, p.ack = b.Epoch, b.Seq
		t.trainOn(p, b)
		if p.remaining == 0 {
			t.completeStep(p)
			return
		}
	}
}

// trainOn records the samples of a batch and trains on them. When the training ends and
// the step still lacks samples, the trainer starts to wait.
func (t *trainerState) trainOn(p *openStep, b *rollout.Batch) {
	for _, m := range b.Samples {
		d := int64(t.version - m.Oldest())
		t.r.res.Staleness = append(t.r.res.Staleness, d)
		t.r.res.Tokens += int64(m.Tokens)
		if d > t.c.StalenessBound {
			t.r.res.OverBound++
		}
	}
	if len(b.Samples) == 0 {
		return
	}
	if !t.waitingSince.IsZero() {
		p.idle += t.r.now.Sub(t.waitingSince)
		t.waitingSince = time.Time{}
	}
	p.remaining -= len(b.Samples)
	share := float64(len(b.Samples)) / float64(t.c.Groups*t.c.Samples)
	from := t.r.now
	if t.trainsUntil.After(from) {
		from = t.trainsUntil
	}
	t.trainsUntil = from.Add(time.Duration(share * float64(t.c.TrainTime.D())))
	at := t.trainsUntil
	t.r.after(at.Sub(t.r.now), func() {
		if t.trainsUntil.Equal(at) && p.remaining > 0 && t.waitingSince.IsZero() {
			t.waitingSince = t.r.now
			t.canPull = true
		}
	})
}

// completeStep records the result of a step whose samples have all arrived, and schedules
// the publication of the next version after the remaining training and the update.
func (t *trainerState) completeStep(p *openStep) {
	from := p.opened
	if t.lastComplete.After(from) {
		from = t.lastComplete
	}
	t.lastComplete = t.r.now
	t.r.res.Steps = append(t.r.res.Steps, StepResult{
		Trainer: t.c.Name, Step: p.Key().Step, Took: t.r.now.Sub(from), MinTime: t.r.minStepTime(t, p), IdleTime: p.idle,
	})
	c := p.Counts()
	t.r.res.Discarded += c.Discarded
	t.updating = true
	t.steps = t.steps[1:]
	wait := max(0, t.trainsUntil.Sub(t.r.now)) + t.c.UpdateTime.D()
	t.r.after(wait, func() { t.publish() })
}

// publish makes the next version current, cancels the streams of the open steps that are
// now too old for the staleness bound, and opens the next step. The run ends when all
// trainers have published their last version.
func (t *trainerState) publish() {
	t.updating = false
	t.version++
	t.publishedSteps++
	for _, p := range t.steps {
		p.SetVersion(t.version)
		t.r.executeCancels(p.CancelOverdue(t.c.StalenessBound))
	}
	t.r.orderLoads()
	t.openNext()
	t.waitingSince = t.r.now
	t.canPull = true
	all := true
	for _, x := range t.r.trainers {
		all = all && x.publishedSteps >= t.r.c.Steps
	}
	t.r.finishedAll = all
}
