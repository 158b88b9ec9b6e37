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
	// maxResumes is the maximum number of consecutive resumptions without progress
	// of a stream that became silent or lost its connection.
	maxResumes = 3
	// resumeDelay is the time before a stream is resumed.
	resumeDelay = 200 * time.Millisecond
)

var streamChart = chart.Load("stream")

// stream is a rollout stream that this host drives.
type stream struct {
	rollout.Work
	// state is only accessed by the goroutine that drives the stream.
	state chart.State
	// adopted is set if another host drove the stream before.
	adopted bool
	sample  rollout.Sample
	text    strings.Builder
	tokens  atomic.Int64
	stop    context.CancelFunc
	// started is when this host began to drive the stream.
	started time.Time
	// unwanted is set if the result is no longer needed, so that the coordinator
	// need not be told how the stream ended.
	unwanted atomic.Bool
}

// parseStream parses an ID returned by rollout.Stream.ID.
func parseStream(id string) (rollout.Stream, bool) {
	p := strings.Split(id, "/")
	if len(p) != 4 {
		return rollout.Stream{}, false
	}
	step, err1 := strconv.ParseInt(p[1], 10, 64)
	slot, err2 := strconv.Atoi(p[2])
	attempt, err3 := strconv.Atoi(p[3])
	if err1 != nil || err2 != nil || err3 != nil {
		return rollout.Stream{}, false
	}
	return rollout.Stream{
		Key:     rollout.StepKey{Trainer: p[0], Step: step},
		Slot:    rollout.Slot(slot),
		Attempt: attempt,
	}, true
}

// adoptStream takes over a stream whose driver is gone but which still runs on a
// server.
func (o *owners) adoptStream(server string, t rollout.Stream, prompt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := t.ID()
	if o.streams[id] != nil || o.held[id] != nil {
		return
	}
	o.table.Adopt(server, id)
	o.log.Info("took over a stream whose driver is gone",
		zap.String("stream", id), zap.String("server", server))
	o.startStream(&rollout.Work{Stream: t, Server: server, Prompt: prompt}, true)
	// Report the stream to the coordinator with the next offer, before the
	// coordinator drops it as lost.
	if a := o.offerState[t.Key.Trainer]; a != nil {
		a.lastProgress = time.Time{}
	}
	o.triggerOffer()
}

// startStream starts the goroutine that drives an admitted stream. o.mu must be
// held.
func (o *owners) startStream(w *rollout.Work, adopted bool) {
	ctx, stop := context.WithCancel(o.d.ctx)
	s := &stream{Work: *w, state: streamChart.Initial(), adopted: adopted, stop: stop, started: time.Now()}
	o.streams[w.ID()] = s
	o.d.metrics.streams.Set(float64(len(o.streams)))
	o.d.wg.Add(1)
	go func() {
		defer o.d.wg.Done()
		defer stop()
		o.runStream(ctx, s)
	}()
}

// runStream reads a stream to its end, has the sample scored, holds it and sends it
// to the coordinator.
func (o *owners) runStream(ctx context.Context, s *stream) {
	s.sample = rollout.Sample{Stream: s.Stream, Server: s.Server}
	if r := s.Resume; r != nil {
		s.sample.Segments, s.sample.Tokens = slices.Clone(r.Segments), r.Tokens
		s.text.WriteString(r.Text)
	}
	err := o.generate(ctx, s)
	if err == nil {
		err = o.scoreSample(ctx, s)
	}
	o.mu.Lock()
	delete(o.streams, s.ID())
	o.table.End(s.Server, s.ID())
	o.d.metrics.streams.Set(float64(len(o.streams)))
	if err == nil {
		streamChart.Fire(&s.state, "scored")
		o.held[s.ID()] = &held{sample: &s.sample, heldSince: time.Now()}
		o.d.metrics.held.Set(float64(len(o.held)))
	}
	o.mu.Unlock()
	o.triggerOffer()
	switch {
	case err == nil:
		o.sendSamples(o.d.ctx, s.Key.Trainer, []*rollout.Sample{&s.sample})
	case s.state == "handed-over" || o.d.ctx.Err() != nil || outcome.HasReason(err, outcome.ReasonNotOwner):
	default:
		o.reportEnd(s, err)
	}
}

// reportEnd cancels a stream that ended without a sample on its engine and reports
// it to the coordinator.
func (o *owners) reportEnd(s *stream, err error) {
	bug.Assert(streamChart.Final(s.state), bug.ChartTransition,
		"stream ended in state %s, which is not final", s.state)
	o.d.metrics.retry("stream", err)
	o.d.metrics.discarded.Add(float64(s.sample.Tokens))
	o.cancelOnServer(s.Server, s.ID())
	if !s.unwanted.Load() {
		o.reportFailure(s.Stream, s.partialSample(err), s.sample.Tokens)
	}
}

// partialSample returns the tokens generated so far, from which another attempt can
// continue. It returns nil if the tokens themselves were at fault or the generation
// had finished.
func (s *stream) partialSample(err error) *rollout.Sample {
	switch outcome.AsError(err).Reason {
	case outcome.ReasonTokenGap, outcome.ReasonUnversioned, outcome.ReasonCrossedAnswer:
		return nil
	}
	if s.sample.Finish != "" && s.sample.Finish != "cancelled" || s.sample.Tokens == 0 {
		return nil
	}
	s.sample.Text, s.sample.Finish = s.text.String(), ""
	return &s.sample
}

// cancelOnServer cancels a stream on its server.
func (o *owners) cancelOnServer(server, id string) {
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

// generate reads the stream from the engine. It resumes on a new connection if the
// stream falls silent or the connection is lost.
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
	for attempts := 0; ; {
		streamChart.Fire(&s.state, "start")
		n := s.sample.Tokens
		err := o.d.engines.Complete(ctx, v.Address, &q, func(c *engine.Chunk) error { return o.handleChunk(s, c) })
		if err == nil && s.sample.Finish != "" {
			return o.checkFinish(s)
		}
		if s.sample.Tokens > n {
			attempts = 0
		}
		if attempts++; !o.canResume(ctx, s, err, attempts) {
			return err
		}
		o.d.metrics.retry("stream", err)
		backoff.Sleep(ctx, resumeDelay)
		q.Resume, q.Offset = true, s.sample.Tokens
	}
}

// canResume reports whether to resume reading after err and fires the matching
// event of the stream chart.
func (o *owners) canResume(ctx context.Context, s *stream, err error, attempts int) bool {
	switch {
	case ctx.Err() != nil:
		streamChart.Fire(&s.state, "cancel")
		return false
	case attempts > maxResumes, outcome.HasReason(err, outcome.ReasonUnknownName),
		outcome.HasReason(err, outcome.ReasonTokenGap), outcome.HasReason(err, outcome.ReasonUnversioned),
		outcome.HasReason(err, outcome.ReasonCrossedAnswer):
		streamChart.Fire(&s.state, "gone")
		return false
	}
	streamChart.Fire(&s.state, "silent")
	return true
}

// handleChunk processes one chunk of the engine's stream.
func (o *owners) handleChunk(s *stream, c *engine.Chunk) error {
	if c.End > c.First {
		if s.sample.Tokens == 0 && s.tokens.Load() == 0 {
			o.d.metrics.firstChunk.Observe(time.Since(s.started).Seconds())
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
		return outcome.Ambiguous(outcome.ReasonTokenGap, s.ID(), nil)
	}
	s.sample.Finish = c.Finish
	return nil
}

// checkFinish evaluates how the stream ended.
func (o *owners) checkFinish(s *stream) error {
	switch s.sample.Finish {
	case "taken":
		streamChart.Fire(&s.state, "taken")
		return outcome.Ambiguous(outcome.ReasonNotOwner, s.ID(), nil)
	case "cancelled":
		streamChart.Fire(&s.state, "cancel")
		return outcome.Ambiguous(outcome.ReasonCancelled, s.ID(), nil)
	}
	streamChart.Fire(&s.state, "finish")
	s.sample.Text = s.text.String()
	return nil
}

// scoreSample has the sample scored. A scorer that is not idempotent is called only
// once; if its answer is lost, so is the sample.
func (o *owners) scoreSample(ctx context.Context, s *stream) error {
	t, ok := o.d.notes.snapshot().Trainer(s.Key.Trainer)
	if !ok || !t.Scorer.IsValid() {
		return nil
	}
	attempts := 1
	if t.ScorerIdempotent {
		attempts = maxResumes
	} else if err := o.takeFromEngine(ctx, s); err != nil {
		return err
	}
	var last error
	for range attempts {
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

// takeFromEngine removes the finished stream from its engine. If two hosts have
// read the same stream, the engine lets only one of them remove it, and only that
// host may call a scorer that is not idempotent.
func (o *owners) takeFromEngine(ctx context.Context, s *stream) error {
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

// reportFailure tells the coordinator that a stream ended without a sample.
func (o *owners) reportFailure(t rollout.Stream, partial *rollout.Sample, tokens int) {
	id, err := o.d.steps.coordinatorFor(t.Key.Trainer)
	if err == nil {
		ctx, cancel := context.WithTimeout(o.d.ctx, coordinatorTimeout)
		defer cancel()
		q := &entryhost.StreamFailedRequest{Stream: t, Partial: partial, Tokens: tokens}
		err = o.d.call(ctx, id, entryhost.StreamFailed, q, nil)
	}
	if err != nil {
		o.d.metrics.retry("fail", err)
	}
	o.triggerOffer()
}

// cancelStream stops a stream that is no longer needed or has to move. A finished
// sample stays held until it is released.
func (o *owners) cancelStream(q *entryhost.CancelStreamRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.streams[q.Stream.ID()]; s != nil {
		s.unwanted.Store(!q.Move)
		s.stop()
	}
	return nil
}
