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
func (o *owners) ask(ctx context.Context) {
	if !o.asking.TryLock() {
		o.poke()
		return
	}
	defer o.asking.Unlock()
	if o.d.drain.stopping() {
		return
	}
	for _, t := range o.turns() {
		o.askFor(ctx, &t)
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

// asked is what this host offered to one trainer's coordinator last.
type asked struct {
	at time.Time
	// told is when the streams' progress was told.
	told time.Time
	// idle tells that the coordinator had nothing pending.
	idle bool
}

// askFor offers room to one trainer's coordinator and starts what it assigns.
func (o *owners) askFor(ctx context.Context, t *release.Trainer) {
	q := o.question(t)
	if q == nil {
		return
	}
	id, err := o.d.steps.holderOf(t.Name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var a entryhost.AskAnswer
	if err := o.d.call(ctx, id, entryhost.Ask, q, &a); err != nil {
		o.d.metrics.retry("ask", err)
		return
	}
	o.learn(t.Name, a.Version)
	o.mu.Lock()
	o.left[t.Name], o.since[t.Name] = a.Left, a.Since
	o.asked[t.Name].idle = a.Pending == 0
	o.mu.Unlock()
	for i := range a.Work {
		o.begin(&a.Work[i])
	}
}

// question returns what to ask a trainer's coordinator now, or nil. With nothing
// pending there the room is offered again after the idle time, or when the
// coordinator wakes this host.
func (o *owners) question(t *release.Trainer) *entryhost.AskRequest {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.asked[t.Name]
	if a == nil {
		a = &asked{}
		o.asked[t.Name] = a
	}
	q := &entryhost.AskRequest{Host: o.d.id, Trainer: t.Name}
	if !a.idle || now.Sub(a.at) >= o.d.s.Timing.IdleAsk.D() {
		q.Offers = o.table.Offers(now, t.Deployment, t.Name)
		q.Offers = q.Offers[:min(len(q.Offers), offersMax)]
	}
	if now.Sub(a.told) >= o.d.s.Timing.Progress.D() {
		a.told = now
		q.Progress = o.progress(t.Name)
	}
	if len(q.Offers) == 0 && len(q.Progress) == 0 {
		return nil
	}
	if len(q.Offers) > 0 {
		a.at = now
	}
	return q
}

// progress returns how far the trainer's streams are, and which of its samples
// are on their way to the coordinator; o.mu is held.
func (o *owners) progress(trainer string) []entryhost.Progress {
	type place struct {
		step   int64
		server string
	}
	m := make(map[place]*entryhost.Progress)
	add := func(s rollout.Stream, server string, tokens int) {
		k := place{s.Key.Step, server}
		if m[k] == nil {
			m[k] = &entryhost.Progress{Step: k.step, Server: k.server}
		}
		m[k].Add(s, tokens)
	}
	for _, s := range o.streams {
		if s.Key.Trainer == trainer {
			add(s.Stream, s.Server, int(s.tokens.Load()))
		}
	}
	for _, h := range o.held {
		if h.sample.Key.Trainer == trainer && !h.sent {
			add(h.sample.Stream, h.sample.Server, h.sample.Tokens)
		}
	}
	l := make([]entryhost.Progress, 0, len(m))
	for _, p := range m {
		l = append(l, *p)
	}
	return l
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
