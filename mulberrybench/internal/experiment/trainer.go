package experiment

import (
	"time"

	"mulberrypier.example/pier/rollout"
)

// stepRun is one open step of a trainer.
type stepRun struct {
	*rollout.Coordinator
	r      *run
	opened time.Time
	idle   time.Duration
	ack    int64
	epoch  string
	// left is the number of samples that the trainer has not got.
	left int
}

// progress tells the coordinator how far the streams are.
func (p *stepRun) progress() {
	for id, w := range p.r.work {
		if w.Key != p.Key() {
			continue
		}
		s := p.r.byName[w.Server]
		if x := s.e.Stream(id); x != nil {
			p.Adopt(p.r.now, "host", w.Server, w.Stream)
			p.Progress(w.Stream, s.e.Tokens(x))
		}
	}
}

// trainerRun is one trainer of a run: it trains on the samples of its oldest step
// as they come, updates its weights when the step is done, and publishes them.
type trainerRun struct {
	r       *run
	c       *Trainer
	version rollout.Version
	steps   []*stepRun
	next    int64
	done    int
	// ready tells that a sample was sealed since the last pull.
	ready bool
	// busy is until when the trainer trains on what it has.
	busy time.Time
	// waiting is since when it waits for samples; zero when it does not.
	waiting time.Time
	// whole is when the last step was whole.
	whole    time.Time
	updating bool
}

func newTrainerRun(r *run, c *Trainer) *trainerRun {
	return &trainerRun{r: r, c: c, version: 1, whole: r.now}
}

func (t *trainerRun) share() float64 {
	if t.c.Share > 0 {
		return t.c.Share
	}
	return 1
}

// left returns how many samples the oldest step that has work still lacks.
func (t *trainerRun) left() int {
	for _, p := range t.steps {
		if c := p.Counts(); c.Pending+c.Running > 0 {
			return c.Pending + c.Running
		}
	}
	return 0
}

// since returns when the oldest step with pending samples was opened.
func (t *trainerRun) since() time.Time {
	for _, p := range t.steps {
		if p.Counts().Pending > 0 {
			return p.opened
		}
	}
	return time.Time{}
}

// begin opens the first steps.
func (t *trainerRun) begin() {
	for range 1 + t.c.Ahead {
		t.open()
	}
	t.waiting = t.r.now
}

// open opens the next step, if there is one left.
func (t *trainerRun) open() {
	if int(t.next) >= t.r.c.Steps {
		return
	}
	k := rollout.StepKey{Trainer: t.c.Name, Step: t.next}
	p := &stepRun{r: t.r, opened: t.r.now, left: t.c.Groups * t.c.Samples}
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
	p.Expect(t.version + rollout.Version(len(t.steps)))
	t.next++
	t.steps = append(t.steps, p)
	t.r.askSoon()
}

func (t *trainerRun) step(n int64) *stepRun {
	for _, p := range t.steps {
		if p.Key().Step == n {
			return p
		}
	}
	return nil
}

// turn lets the trainer take samples when it is free.
func (t *trainerRun) turn() {
	if len(t.steps) == 0 || t.updating || t.r.now.Before(t.busy) || !t.ready {
		return
	}
	p := t.steps[0]
	t.ready = false
	for {
		b, err := p.Pull(&rollout.Pull{
			Epoch: p.epoch, Ack: p.ack, Version: t.version, Max: 1 << 20, WholeGroups: t.c.WholeGroups,
		}, t.c.Bound)
		if err != nil {
			panic(err)
		}
		if b == nil {
			return
		}
		p.epoch, p.ack = b.Epoch, b.Seq
		t.take(p, b)
		if p.left == 0 {
			t.wholeStep(p)
			return
		}
	}
}

// take trains on a batch.
func (t *trainerRun) take(p *stepRun, b *rollout.Batch) {
	for _, m := range b.Samples {
		d := int64(t.version - m.Oldest())
		t.r.res.Stale = append(t.r.res.Stale, d)
		t.r.res.Tokens += int64(m.Tokens)
		if d > t.c.Bound {
			t.r.res.Over++
		}
	}
	if len(b.Samples) == 0 {
		return
	}
	if !t.waiting.IsZero() {
		p.idle += t.r.now.Sub(t.waiting)
		t.waiting = time.Time{}
	}
	p.left -= len(b.Samples)
	share := float64(len(b.Samples)) / float64(t.c.Groups*t.c.Samples)
	from := t.r.now
	if t.busy.After(from) {
		from = t.busy
	}
	t.busy = from.Add(time.Duration(share * float64(t.c.Train.D())))
	at := t.busy
	t.r.after(at.Sub(t.r.now), func() {
		if t.busy.Equal(at) && p.left > 0 && t.waiting.IsZero() {
			t.waiting = t.r.now
			t.ready = true
		}
	})
}

// wholeStep notes a step whose samples are all there; after the training on them
// and the update the next version is published.
func (t *trainerRun) wholeStep(p *stepRun) {
	from := p.opened
	if t.whole.After(from) {
		from = t.whole
	}
	t.whole = t.r.now
	t.r.res.Steps = append(t.r.res.Steps, StepResult{
		Trainer: t.c.Name, Step: p.Key().Step, Took: t.r.now.Sub(from), Limit: t.r.limit(t, p), Idle: p.idle,
	})
	c := p.Counts()
	t.r.res.Thrown += c.Thrown
	t.updating = true
	t.steps = t.steps[1:]
	wait := max(0, t.busy.Sub(t.r.now)) + t.c.Update.D()
	t.r.after(wait, func() { t.publish() })
}

func (t *trainerRun) publish() {
	t.updating = false
	t.version++
	t.done++
	for _, p := range t.steps {
		p.SetVersion(t.version)
		t.r.give(p.Late(t.c.Bound))
	}
	t.r.order()
	t.open()
	t.waiting = t.r.now
	t.ready = true
	all := true
	for _, x := range t.r.trainers {
		all = all && x.done >= t.r.c.Steps
	}
	t.r.over = all
}
