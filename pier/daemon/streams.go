package daemon

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/scorer"
)

const (
	// resumeTries is how often a silent or lost stream is resumed in a row.
	resumeTries = 3
	// resumeWait is the time between two such tries.
	resumeWait = 200 * time.Millisecond
	// heldLimit is how long a sample is held for a step that nobody asks for.
	heldLimit = 15 * time.Minute
	// sealLimit is how long a coordinator's answer to samples may take.
	sealLimit = 5 * time.Second
)

var streamChart = chart.Load("stream")

// stream is one rollout stream that this host drives.
type stream struct {
	rollout.Work
	// state is only touched by the goroutine that drives the stream.
	state chart.State
	// adopted streams ran before this host drove them.
	adopted bool
	sample  rollout.Sample
	text    strings.Builder
	tokens  atomic.Int64
	stop    context.CancelFunc
	// began is when this host began to drive the stream.
	began time.Time
	// unwanted is set when the coordinator cancelled the stream.
	unwanted atomic.Bool
}

// parseStream reads the id that rollout.Stream.ID makes.
func parseStream(id string) (rollout.Stream, bool) {
	p := strings.Split(id, "/")
	if len(p) != 4 {
		return rollout.Stream{}, false
	}
	step, err1 := strconv.ParseInt(p[1], 10, 64)
	slot, err2 := strconv.Atoi(p[2])
	try, err3 := strconv.Atoi(p[3])
	if err1 != nil || err2 != nil || err3 != nil {
		return rollout.Stream{}, false
	}
	return rollout.Stream{
		Key:     rollout.StepKey{Trainer: p[0], Step: step},
		Slot:    rollout.Slot(slot),
		Attempt: try,
	}, true
}

// adopt drives a stream that a host which is gone has left on a server.
func (o *owners) adopt(server string, t rollout.Stream, prompt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := t.ID()
	if o.streams[id] != nil || o.held[id] != nil {
		return
	}
	o.table.Adopt(server, id)
	o.log.Info("stream adopted", zap.String("stream", id), zap.String("server", server))
	o.drive(&rollout.Work{Stream: t, Server: server, Prompt: prompt}, true)
	// The coordinator is told soon, before it gives the stream up.
	if a := o.asked[t.Key.Trainer]; a != nil {
		a.told = time.Time{}
	}
	o.poke()
}

// drive starts the goroutine of an admitted stream; o.mu is held.
func (o *owners) drive(w *rollout.Work, adopted bool) {
	ctx, stop := context.WithCancel(o.d.ctx)
	s := &stream{Work: *w, state: streamChart.Initial(), adopted: adopted, stop: stop, began: time.Now()}
	o.streams[w.ID()] = s
	o.d.metrics.streams.Set(float64(len(o.streams)))
	o.d.wg.Add(1)
	go func() {
		defer o.d.wg.Done()
		defer stop()
		o.follow(ctx, s)
	}()
}

// follow reads a stream to its end, has it scored and holds the sample.
func (o *owners) follow(ctx context.Context, s *stream) {
	s.sample = rollout.Sample{Stream: s.Stream, Server: s.Server}
	if r := s.Resume; r != nil {
		s.sample.Segments, s.sample.Tokens = slices.Clone(r.Segments), r.Tokens
		s.text.WriteString(r.Text)
	}
	err := o.generate(ctx, s)
	if err == nil {
		err = o.score(ctx, s)
	}
	o.mu.Lock()
	delete(o.streams, s.ID())
	o.table.End(s.Server, s.ID())
	o.d.metrics.streams.Set(float64(len(o.streams)))
	if err == nil {
		streamChart.Fire(&s.state, "scored")
		o.held[s.ID()] = &held{sample: &s.sample, at: time.Now()}
		o.d.metrics.held.Set(float64(len(o.held)))
	}
	o.mu.Unlock()
	o.poke()
	switch {
	case err == nil:
		o.send(o.d.ctx, s.Key.Trainer, []*rollout.Sample{&s.sample})
	case s.state == "handed-over" || o.d.ctx.Err() != nil || outcome.Is(err, outcome.ReasonNotOwner):
	default:
		o.end(s, err)
	}
}

// end reports a stream that ended without a sample, and frees the engine of it.
func (o *owners) end(s *stream, err error) {
	bug.Assert(streamChart.Final(s.state), bug.ChartTransition, "stream ended in %s", s.state)
	o.d.metrics.retry("stream", err)
	o.d.metrics.thrown.Add(float64(s.sample.Tokens))
	o.cancelAt(s.Server, s.ID())
	if !s.unwanted.Load() {
		o.fail(s.Stream, s.partial(err), s.sample.Tokens)
	}
}

// partial returns the tokens so far for another attempt to go on from, unless
// they themselves were what was wrong.
func (s *stream) partial(err error) *rollout.Sample {
	switch outcome.From(err).Reason {
	case outcome.ReasonTokenGap, outcome.ReasonUnversioned, outcome.ReasonCrossedAnswer:
		return nil
	}
	if s.sample.Finish != "" && s.sample.Finish != "cancelled" || s.sample.Tokens == 0 {
		return nil
	}
	s.sample.Text, s.sample.Finish = s.text.String(), ""
	return &s.sample
}

// cancelAt ends a stream on its server.
func (o *owners) cancelAt(server, id string) {
	v, ok := o.d.notes.snapshot().Server(server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(o.d.ctx, 2*time.Second)
	defer cancel()
	if err := o.d.engines.Cancel(ctx, v.Address, id); err != nil {
		o.d.metrics.retry("cancel", err)
	}
}

// generate reads the stream from the engine, resuming it on a new connection
// when it falls silent or its connection is lost.
func (o *owners) generate(ctx context.Context, s *stream) error {
	v, ok := o.d.notes.snapshot().Server(s.Server)
	if !ok {
		streamChart.Fire(&s.state, "cancel")
		return outcome.Refuse(outcome.ReasonUnknownName, "server/"+s.Server)
	}
	q := engine.Completion{
		Stream: s.ID(), Driver: o.d.id, Model: s.Key.Trainer, Prompt: s.Prompt, MaxTokens: s.MaxTokens,
		Prefix: s.Key.String() + "/" + strconv.Itoa(int(s.Group)), Priority: s.Priority, Resume: s.adopted,
	}
	if r := s.Resume; r != nil {
		q.Given, q.GivenTokens, q.Offset = r.Text, r.Tokens, r.Tokens
	}
	for tries := 0; ; {
		streamChart.Fire(&s.state, "start")
		n := s.sample.Tokens
		err := o.d.engines.Complete(ctx, v.Address, &q, func(c *engine.Chunk) error { return o.chunk(s, c) })
		if err == nil && s.sample.Finish != "" {
			return o.finish(s)
		}
		if s.sample.Tokens > n {
			tries = 0
		}
		if tries++; !o.resumable(ctx, s, err, tries) {
			return err
		}
		o.d.metrics.retry("stream", err)
		backoff.For(ctx, resumeWait)
		q.Resume, q.Offset = true, s.sample.Tokens
	}
}

// resumable decides whether to read the stream on after an error, and moves the
// state chart accordingly.
func (o *owners) resumable(ctx context.Context, s *stream, err error, tries int) bool {
	switch {
	case ctx.Err() != nil:
		streamChart.Fire(&s.state, "cancel")
		return false
	case tries > resumeTries, outcome.Is(err, outcome.ReasonUnknownName),
		outcome.Is(err, outcome.ReasonTokenGap), outcome.Is(err, outcome.ReasonUnversioned),
		outcome.Is(err, outcome.ReasonCrossedAnswer):
		streamChart.Fire(&s.state, "gone")
		return false
	}
	streamChart.Fire(&s.state, "silent")
	return true
}

// chunk takes one event of the engine's stream.
func (o *owners) chunk(s *stream, c *engine.Chunk) error {
	if c.End > c.First {
		if s.sample.Tokens == 0 && s.tokens.Load() == 0 {
			o.d.metrics.first.Observe(time.Since(s.began).Seconds())
		}
		if err := s.sample.Extend(c.First, c.End, rollout.Version(c.Version)); err != nil {
			return err
		}
		s.text.WriteString(c.Text)
		s.tokens.Store(int64(c.End))
		o.d.metrics.chunks.Inc()
		o.d.metrics.tokens.Add(float64(c.End - c.First))
	}
	if c.Finish != "" && c.Finish != "taken" && c.Finish != "cancelled" && c.Total != s.sample.Tokens {
		return outcome.Lost(outcome.ReasonTokenGap, s.ID(), nil)
	}
	s.sample.Finish = c.Finish
	return nil
}

// finish judges how the stream ended.
func (o *owners) finish(s *stream) error {
	switch s.sample.Finish {
	case "taken":
		streamChart.Fire(&s.state, "taken")
		return outcome.Lost(outcome.ReasonNotOwner, s.ID(), nil)
	case "cancelled":
		streamChart.Fire(&s.state, "cancel")
		return outcome.Lost(outcome.ReasonCancelled, s.ID(), nil)
	}
	streamChart.Fire(&s.state, "finish")
	s.sample.Text = s.text.String()
	return nil
}

// score has the sample scored. A call that may not be repeated is made once; its
// lost answer costs the sample.
func (o *owners) score(ctx context.Context, s *stream) error {
	t, ok := o.d.notes.snapshot().Trainer(s.Key.Trainer)
	if !ok || !t.Scorer.IsValid() {
		return nil
	}
	tries := 1
	if t.ScorerIdempotent {
		tries = resumeTries
	} else if err := o.take(ctx, s); err != nil {
		return err
	}
	var last error
	for range tries {
		k, err := o.d.scorers.Score(ctx, t.Scorer, &scorer.Request{ID: s.ID(), Prompt: s.Prompt, Text: s.sample.Text})
		if err == nil {
			s.sample.Score = &k
			return nil
		}
		last = err
		o.d.metrics.retry("scorer", err)
		if ctx.Err() != nil {
			break
		}
	}
	streamChart.Fire(&s.state, "unscored")
	return last
}

// take removes the finished stream from its engine. Of two hosts that have read
// the same stream, the engine lets one remove it, and only that one may make a
// scorer's call that may not be repeated.
func (o *owners) take(ctx context.Context, s *stream) error {
	v, ok := o.d.notes.snapshot().Server(s.Server)
	if !ok {
		streamChart.Fire(&s.state, "unscored")
		return outcome.Refuse(outcome.ReasonUnknownName, "server/"+s.Server)
	}
	err := o.d.engines.Take(ctx, v.Address, s.ID())
	if err != nil {
		streamChart.Fire(&s.state, "unscored")
	}
	return err
}

// send brings finished samples to the trainer's coordinator. Those that it does
// not take stay held and are sent again.
func (o *owners) send(ctx context.Context, trainer string, l []*rollout.Sample) {
	id, err := o.d.steps.holderOf(trainer)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, sealLimit)
		defer cancel()
		q := &entryhost.SealedRequest{Host: o.d.id, Trainer: trainer, Samples: l}
		err = o.d.call(ctx, id, entryhost.Sealed, q, nil)
	}
	if err != nil {
		o.d.metrics.retry("seal", err)
		return
	}
	o.mu.Lock()
	for _, s := range l {
		if h := o.held[s.ID()]; h != nil {
			h.sent = true
		}
	}
	o.mu.Unlock()
	for _, s := range l {
		o.cancelAt(s.Server, s.ID())
	}
}

// resend brings samples that no coordinator has taken, and drops old ones.
func (o *owners) resend(ctx context.Context) {
	by := make(map[string][]*rollout.Sample)
	o.mu.Lock()
	for id, h := range o.held {
		age := time.Since(h.at)
		if age > heldLimit {
			delete(o.held, id)
			o.d.metrics.thrown.Add(float64(h.sample.Tokens))
			continue
		}
		if !h.sent && age > time.Second {
			t := h.sample.Key.Trainer
			by[t] = append(by[t], h.sample)
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	o.mu.Unlock()
	for t, l := range by {
		for _, s := range l {
			o.send(ctx, t, []*rollout.Sample{s})
		}
	}
}

// fail tells the coordinator of a stream that ended without a sample.
func (o *owners) fail(t rollout.Stream, partial *rollout.Sample, tokens int) {
	id, err := o.d.steps.holderOf(t.Key.Trainer)
	if err == nil {
		ctx, cancel := context.WithTimeout(o.d.ctx, sealLimit)
		defer cancel()
		q := &entryhost.FailedRequest{Stream: t, Partial: partial, Tokens: tokens}
		err = o.d.call(ctx, id, entryhost.Failed, q, nil)
	}
	if err != nil {
		o.d.metrics.retry("fail", err)
	}
	o.poke()
}

// hold returns what this host holds for a step.
func (o *owners) hold(k rollout.StepKey) *entryhost.HoldAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &entryhost.HoldAnswer{}
	for _, s := range o.streams {
		if s.Key == k {
			w := s.Work
			w.Prompt = ""
			a.Running = append(a.Running, w)
		}
	}
	for _, h := range o.held {
		if h.sample.Key == k {
			a.Done = append(a.Done, h.sample)
		}
	}
	return a
}

// release drops samples that were acknowledged, or all of a step that is over.
func (o *owners) release(q *entryhost.ReleaseRequest) error {
	want := make(map[rollout.Slot]bool, len(q.Slots))
	for _, n := range q.Slots {
		want[n] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, h := range o.held {
		if h.sample.Key == q.Key && (q.All || want[h.sample.Slot]) {
			delete(o.held, id)
		}
	}
	if q.All {
		for _, s := range o.streams {
			if s.Key == q.Key {
				s.unwanted.Store(true)
				s.stop()
			}
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	return nil
}

// cancel ends a stream that is not wanted any longer; a sample that is finished
// stays held until it is released.
func (o *owners) cancel(q *entryhost.CancelStreamRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.streams[q.Stream.ID()]; s != nil {
		s.unwanted.Store(!q.Move)
		s.stop()
	}
	return nil
}
