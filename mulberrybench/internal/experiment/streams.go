package experiment

import (
	"slices"
	"strconv"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/rollout"
)

// startStream starts an assigned stream on its engine. If the engine is down or the owner
// table refuses the stream, the coordinator is told that it is lost.
func (r *run) startStream(w rollout.Work) {
	s := r.byName[w.Server]
	id := w.ID()
	if s.down {
		r.streamLost(w, nil)
		return
	}
	if r.p.Placement == LateBinding {
		if err := r.table.Start(w.Server, id, owner.Rollout); err != nil {
			r.streamLost(w, nil)
			return
		}
	}
	r.res.Assignments++
	r.assigned[id] = w
	g := w.Key.String() + "/" + strconv.Itoa(int(w.Group))
	x := &model.Stream{ID: id, Model: w.Key.Trainer, Prefix: g, Priority: w.Priority}
	// A stream that is resumed keeps the length of its first attempt, as it continues the
	// same sample. A new attempt draws a new length.
	name := id
	if w.Resume != nil {
		name = w.Resume.ID()
		if n, ok := r.lengthKeys[w.Resume.Stream]; ok {
			name = n
		}
		x.PriorTokens = w.Resume.Tokens
	}
	r.lengthKeys[w.Stream] = name
	l := r.c.Lengths
	l.Seed += r.seed
	x.Length = max(x.PriorTokens+1, l.Draw(g, name, r.c.MaxTokens))
	s.sim.Add(r.now, x)
}

// streamFinished removes a stream that has all its tokens and passes its sample on to the
// coordinator one hop later.
func (r *run) streamFinished(s *server, x *model.Stream) {
	if t, ok := r.chatStarts[x.ID]; ok {
		delete(r.chatStarts, x.ID)
		r.res.ChatTimes = append(r.res.ChatTimes, seconds(r.now.Sub(t)))
		r.table.End(s.name, x.ID)
		s.sim.Remove(r.now, x.ID)
		return
	}
	w, ok := r.assigned[x.ID]
	if !ok {
		return
	}
	m := r.sample(s, x, &w)
	r.removeStream(s, x.ID)
	t := r.trainer(w.Key.Trainer)
	r.after(r.c.HopLatency.D(), func() {
		if p := t.findStep(w.Key.Step); p != nil {
			r.executeCancels(p.Seal(m))
			t.canPull = true
		}
	})
	r.scheduleAssign()
}

// sample returns the sample of a stream with the tokens so far, including those of the
// attempt that it resumes.
func (r *run) sample(s *server, x *model.Stream, w *rollout.Work) *rollout.Sample {
	m := &rollout.Sample{Stream: w.Stream, Server: s.name, Finish: "stop"}
	if w.Resume != nil {
		m.Segments, m.Tokens = slices.Clone(w.Resume.Segments), w.Resume.Tokens
	}
	for _, g := range s.sim.RecordSegments(x) {
		if err := m.Extend(g.First, g.End, rollout.Version(g.Version)); err != nil {
			panic(err)
		}
	}
	return m
}

// removeStream removes a stream from its engine and from the owner table.
func (r *run) removeStream(s *server, id string) {
	s.sim.Remove(r.now, id)
	delete(r.assigned, id)
	r.table.End(s.name, id)
}

// streamLost reports a stream that ended without a complete sample to its coordinator one
// hop later. m is the partial sample to resume from, or nil.
func (r *run) streamLost(w rollout.Work, m *rollout.Sample) {
	r.after(r.c.HopLatency.D(), func() {
		if p := r.trainer(w.Key.Trainer).findStep(w.Key.Step); p != nil {
			n := 0
			if m != nil {
				n = m.Tokens
			}
			p.StreamFailed(w.Stream, n, m)
			r.scheduleAssign()
		}
	})
}

// executeCancels removes the streams that a coordinator cancels. A stream that is to move
// is then reported as lost, so that its tokens are continued on another engine.
func (r *run) executeCancels(l []rollout.Cancel) {
	for _, c := range l {
		id := c.Stream.ID()
		w, ok := r.assigned[id]
		if !ok {
			continue
		}
		s := r.byName[w.Server]
		m := r.sample(s, s.sim.Stream(id), &w)
		r.removeStream(s, id)
		if c.Move {
			if m.Tokens == 0 {
				m = nil
			}
			r.streamLost(w, m)
		}
	}
	if len(l) > 0 {
		r.scheduleAssign()
	}
}
