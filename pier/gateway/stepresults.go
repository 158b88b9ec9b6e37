package gateway

import (
	"context"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// resultsSlack is by how much a read of results may outlast its wait. Beyond it the caller is
	// told to ask again, which it may do at another host.
	resultsSlack = 1200 * time.Millisecond
	// bodyTimeout and endTimeout bound the time to read a body and to end a step, of which
	// knowTimeout may pass until it is known that there is such a step.
	bodyTimeout = resultsSlack
	endTimeout  = 2200 * time.Millisecond
	knowTimeout = 1200 * time.Millisecond
	// listTime bounds the time to read further results once there is one to answer with.
	listTime = 500 * time.Millisecond
	// maxListTextBytes bounds the total size of the texts in one answer to a trainer, maxListBytes that
	// of the results as they are encoded there.
	maxListTextBytes = 480 << 10
	maxListBytes     = 960 << 10
	// resultBytes is the size of a result in an answer without what its fields hold, versionTextBytes
	// that of a version at most, escapeBytes that of a character that is escaped by its number.
	resultBytes      = 128
	versionTextBytes = 21
	escapeBytes      = 6
)

// ResultPage is a contiguous part of a step's results.
type ResultPage struct {
	// Total is the number of results that the step will have.
	Total int
	// Results are the results from the requested position on.
	Results []*stepjournal.Result
}

// Results returns the results of a step from a position on. If there are none yet, it waits
// for up to wait. Errors are of type *outcome.Error; unknown-step means that there is no
// such step, or none that p may read. It returns within wait and resultsSlack.
func (g *Gateway) Results(ctx context.Context, p Principal, id string, after int, wait time.Duration) (*ResultPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+resultsSlack)
	defer cancel()
	ctx, r := g.stepReads.begin(ctx, "results", id, wait)
	a, err := g.readStep(ctx, stepQuery{Step: id, After: after, Wait: wait, Organisation: p.Organisation, Restricted: p.Restricted})
	r.end(err)
	if err != nil {
		return nil, err
	}
	return &ResultPage{Total: a.Total, Results: a.Results}, nil
}

// results is Results for a step that the view knows.
func (v *view) results(ctx context.Context, id string, after int, wait time.Duration) (*ResultPage, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for waiting := true; ; {
		e, changed, ok := v.entry(id)
		if !ok {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		if after < len(e.Results) {
			return v.readList(ctx, &e, after)
		}
		if len(e.Results) == e.Total || !waiting {
			return &ResultPage{Total: e.Total}, nil
		}
		if v.waitForChange(ctx, changed, t.C) {
			continue
		}
		// Another host may have listed more. Only a view synced after the call may answer
		// with an empty list.
		if err := v.sync(ctx); err != nil {
			return nil, outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
		}
		waiting = false
	}
}

// waitForChange waits until changed is closed. It returns false if the time is up, the context
// has ended, or the host drains before that.
func (v *view) waitForChange(ctx context.Context, changed <-chan struct{}, timeUp <-chan time.Time) bool {
	defer enterStage(ctx, stageWait)()
	select {
	case <-changed:
		return true
	case <-timeUp:
	case <-ctx.Done():
	case <-v.j.g.drain.started():
	}
	return false
}

// ensureKnown returns nil if the view knows a step, if need be after a sync. Its error is
// unknown-step if there is no such step, and log-down if the log does not answer or the step's
// records have expired in part before the view read them.
func (v *view) ensureKnown(ctx context.Context, id string) error {
	known := func() bool {
		_, _, ok := v.entry(id)
		return ok
	}
	if known() {
		return nil
	}
	if err := v.syncUntil(ctx, known); err != nil {
		return outcome.Refuse(outcome.ReasonLogDown, id).After(unavailableRetryAfter)
	}
	if known() {
		return nil
	}
	if v.cutOff(id) {
		return v.refuseCutOff(id)
	}
	return outcome.Refuse(outcome.ReasonUnknownStep, id)
}

// readList reads a step's results from a position on, up to maxListTextBytes and maxListBytes but at
// least one, and no further after listTime. Beyond the first result it begins no page for which too
// little time is left, going by the last one: what of it does not arrive in time is read for nothing.
func (v *view) readList(ctx context.Context, e *stepjournal.Entry, after int) (*ResultPage, error) {
	defer enterStage(ctx, stageRecords)()
	more, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	l := &ResultPage{Total: e.Total}
	textSize, size := 0, 0
	var lastPage time.Duration
	for _, at := range e.Results[after:] {
		cached := v.cached(at)
		if len(l.Results) > 0 {
			if more.Err() != nil || !cached && !hasTime(more, lastPage) {
				break
			}
			ctx = more
		}
		began := time.Now()
		b, err := v.records(ctx, at, 1)
		if !cached {
			lastPage = time.Since(began)
		}
		if err != nil {
			if len(l.Results) > 0 {
				break
			}
			return nil, outcome.Refuse(outcome.ReasonLogDown, e.ID).After(unavailableRetryAfter)
		}
		r, err := stepjournal.DecodeResult(b[0])
		if err != nil {
			return nil, outcome.Ambiguous(outcome.ReasonLogDown, e.ID, err)
		}
		textSize += len(r.Text)
		size += listedSize(r)
		if len(l.Results) > 0 && (textSize > maxListTextBytes || size > maxListBytes) {
			break
		}
		l.Results = append(l.Results, r)
	}
	return l, nil
}

// hasTime reports whether a context's deadline leaves more time than d.
func hasTime(ctx context.Context, d time.Duration) bool {
	t, ok := ctx.Deadline()
	return !ok || time.Until(t) > d
}

// Body returns the body of one of a step's items to p, within bodyTimeout.
func (g *Gateway) Body(ctx context.Context, p Principal, id, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, bodyTimeout)
	defer cancel()
	ctx, r := g.stepReads.begin(ctx, "body", id, 0)
	a, err := g.readStep(ctx, stepQuery{Step: id, Item: item, Organisation: p.Organisation, Restricted: p.Restricted})
	r.end(err)
	if err != nil {
		return nil, err
	}
	return a.Body, nil
}

// body reads the body of an item from the log.
func (v *view) body(ctx context.Context, id, item string) ([]byte, error) {
	s, err := v.loadStep(ctx, id)
	if err != nil {
		return nil, err
	}
	for _, i := range s.Items {
		if i.ID == item {
			return i.Body, nil
		}
	}
	return nil, outcome.Refuse(outcome.ReasonUnknownName, item)
}

// End ends a step for good, if p may do so. A nil error means that the end is stored in the log. Ending a
// step again is no error. It returns within endTimeout.
func (g *Gateway) End(ctx context.Context, p Principal, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	ctx, r := g.stepReads.begin(ctx, "end", id, 0)
	err := g.end(ctx, p, id)
	r.end(err)
	return err
}

func (g *Gateway) end(ctx context.Context, p Principal, id string) error {
	v, err := g.viewToEnd(ctx, p, id)
	if err != nil {
		return err
	}
	if e, _, _ := v.entry(id); e.Ended {
		return nil
	}
	b, err := stepjournal.Ended(id, time.Now())
	if err != nil {
		return err
	}
	if _, err := v.append(ctx, [][]byte{b}); err != nil {
		return outcome.AsError(err).After(unavailableRetryAfter)
	}
	g.log.Info("step: ended", zap.String("id", id))
	g.steps.stop(id)
	return nil
}

// viewToEnd returns the view of the partition of a step that exists and that p may end.
func (g *Gateway) viewToEnd(ctx context.Context, p Principal, id string) (*view, error) {
	ctx, cancel := context.WithTimeout(ctx, knowTimeout)
	defer cancel()
	_, err := g.readStep(ctx, stepQuery{Step: id, Knows: true, Organisation: p.Organisation, Restricted: p.Restricted})
	return g.journal.get(id), err
}

// listedSize returns the size that a result takes at most in an answer to a trainer.
func listedSize(r *stepjournal.Result) int {
	return resultBytes + escapedSize(r.ID) + escapedSize(r.Text) + escapedSize(r.Score) + versionTextBytes*len(r.Versions)
}

// escapedSize returns the length of a string in JSON at most, without its quotes.
func escapedSize(s string) int {
	n := 0
	for _, c := range s {
		switch {
		case c == utf8.RuneError || c == '\u2028' || c == '\u2029':
			n += escapeBytes
		case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t':
			n += 2
		case c < ' ' || c == '<' || c == '>' || c == '&':
			n += escapeBytes
		default:
			n += utf8.RuneLen(c)
		}
	}
	return n
}
