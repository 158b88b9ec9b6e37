package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
)

const (
	// askLimit is how long a coordinator's answer to an offer may take.
	askLimit = 2 * time.Second
	// offersMax bounds the servers on one offer.
	offersMax = 512
)

// ask offers room to the trainers' coordinators, one trainer after the other, so
// that the same room is never offered twice.
func (o *owners) ask(x context.Context) {
	if !o.asking.TryLock() {
		o.poke()
		return
	}
	defer o.asking.Unlock()
	if o.d.drain.stopping() {
		return
	}
	for _, t := range o.turns() {
		o.askFor(x, &t)
	}
}

// turns returns the trainers in the order in which they are offered room.
func (o *owners) turns() []release.Trainer {
	s := o.d.notes.snapshot()
	var l []owner.Turn
	o.mu.Lock()
	n := make(map[string]int)
	for _, x := range o.streams {
		n[x.Key.Trainer]++
	}
	s.EachTrainer(func(t release.Trainer) {
		share := t.Share
		if share == 0 {
			share = 1
		}
		l = append(l, owner.Turn{Trainer: t.Name, Share: share, Running: n[t.Name], Left: o.left[t.Name], Since: o.since[t.Name]})
	})
	o.mu.Unlock()
	owner.Turns(l, owner.Rule(o.d.s.Policy.Rule))
	r := make([]release.Trainer, 0, len(l))
	for _, x := range l {
		if t, ok := s.Trainer(x.Trainer); ok {
			r = append(r, t)
		}
	}
	return r
}

// askFor offers room to one trainer's coordinator and starts what it assigns.
func (o *owners) askFor(x context.Context, t *release.Trainer) {
	o.mu.Lock()
	q := entryhost.AskRequest{Host: o.d.id, Trainer: t.Name}
	q.Offers = o.table.Offers(time.Now(), t.Deployment, t.Name)
	q.Offers = q.Offers[:min(len(q.Offers), offersMax)]
	for _, s := range o.streams {
		if s.Key.Trainer == t.Name {
			q.Progress = append(q.Progress, s.progress())
		}
	}
	for _, h := range o.held {
		if h.sample.Key.Trainer == t.Name && !h.sent {
			q.Progress = append(q.Progress, h.progress())
		}
	}
	o.mu.Unlock()
	if len(q.Offers) == 0 && len(q.Progress) == 0 {
		return
	}
	id, err := o.d.steps.holderOf(t.Name)
	if err != nil {
		return
	}
	x, stop := context.WithTimeout(x, askLimit)
	defer stop()
	var a entryhost.AskAnswer
	if err := o.d.call(x, id, entryhost.Ask, &q, &a); err != nil {
		o.d.metrics.retry("ask", err)
		return
	}
	o.learn(t.Name, a.Version)
	o.mu.Lock()
	o.left[t.Name], o.since[t.Name] = a.Left, a.Since
	o.mu.Unlock()
	for i := range a.Work {
		o.begin(&a.Work[i])
	}
}

// begin admits and starts one stream.
func (o *owners) begin(w *rollout.Work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := w.ID()
	if o.streams[id] != nil || o.held[id] != nil {
		return
	}
	if err := o.table.Start(w.Server, id, 0); err != nil {
		_ = o.d.metrics.refuse("stream", err)
		go o.fail(w.Stream, nil, 0)
		return
	}
	o.drive(w, false)
}
