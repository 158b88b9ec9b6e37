package gateway

import (
	"context"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// stepLoadTimeout bounds the time to read an accepted step that its readers may have left, and
	// stepLoadMemory is how long it is kept after that for those that ask again.
	stepLoadTimeout = 10 * time.Second
	stepLoadMemory  = 2 * time.Second
)

// stepLoad is an accepted step that is being read from the log, or was a short time ago.
type stepLoad struct {
	// done is closed at the end. After it, step and err are the outcome.
	done chan struct{}
	step *stepjournal.Step
	err  error
}

// loadStep reads an accepted step from the log. With a deadline, it is read once for all that ask
// meanwhile, and read to its end also if ctx ends before that: the records of a large step take several
// calls, and are more than the cache holds.
func (v *view) loadStep(ctx context.Context, id string) (*stepjournal.Step, error) {
	if err := v.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	defer enterStage(ctx, stageRecords)()
	if _, limited := ctx.Deadline(); !limited {
		return v.readStep(ctx, id)
	}
	l := v.startLoad(id)
	select {
	case <-l.done:
		return l.step, l.err
	case <-ctx.Done():
		return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
}

// startLoad returns the reading of a step, which it begins if need be.
func (v *view) startLoad(id string) *stepLoad {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l := v.loads[id]; l != nil {
		return l
	}
	l := &stepLoad{done: make(chan struct{})}
	if v.j.g.ctx.Err() != nil {
		l.err = outcome.Refuse(outcome.ReasonCancelled, "journal")
		close(l.done)
		return l
	}
	v.loads[id] = l
	v.j.g.wg.Go(func() { v.finishLoad(id, l) })
	return l
}

// finishLoad reads a step.
func (v *view) finishLoad(id string, l *stepLoad) {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(v.j.g.ctx, stepLoadTimeout)
	defer cancel()
	l.step, l.err = v.readStep(ctx, id)
	if l.err != nil {
		v.forgetLoad(id)
		return
	}
	time.AfterFunc(stepLoadMemory, func() { v.forgetLoad(id) })
}

func (v *view) forgetLoad(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.loads, id)
}

// readStep reads the records of an accepted step that the view knows.
func (v *view) readStep(ctx context.Context, id string) (*stepjournal.Step, error) {
	e, _, ok := v.entry(id)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
	var b [][]byte
	for at := e.From; at < e.To; {
		r, err := v.records(ctx, at, int(e.To-at))
		if err != nil {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		b = append(b, r...)
		at += int64(len(r))
	}
	s, err := stepjournal.DecodeStep(b)
	if err != nil {
		return nil, outcome.Ambiguous(outcome.ReasonLogDown, id, err)
	}
	return s, nil
}
