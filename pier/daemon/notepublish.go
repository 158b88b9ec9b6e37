package daemon

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// publishTimeout bounds how long publish waits for its note to be folded and to
	// be in force on all hosts.
	publishTimeout = 10 * time.Second
	// revisionPollInterval is the time between two polls of the hosts' revisions.
	revisionPollInterval = 50 * time.Millisecond
)

var noteChart = chart.Load("note")

// PublishResult is the result of publishing a release note.
type PublishResult struct {
	// State is the final state of the note chart.
	State    chart.State     `json:"state"`
	Decision config.Decision `json:"verdict"`
	Hosts    int             `json:"hosts"`
	InForce  int             `json:"in-force"`
	Behind   []string        `json:"behind,omitempty"`
	Duration time.Duration   `json:"duration-ns"`
}

// publish appends a note and waits until it is in force on all live hosts. It fails
// with an *outcome.Error: not-run if the note is certainly not in the log, unknown
// if it may be. A note that is rejected by the configuration is not an error.
func (n *notes) publish(ctx context.Context, note *release.Note) (*PublishResult, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	p := &PublishResult{State: noteChart.Initial()}
	b, err := msgpack.Marshal(note)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	if err := n.append(ctx, p, b); err != nil {
		return nil, err
	}
	v, err := n.waitDecision(ctx, note.ID)
	if err != nil {
		noteChart.Fire(&p.State, "limit")
		return nil, err
	}
	p.Decision = v
	if v.Err != nil {
		noteChart.Fire(&p.State, "rejected")
		return p, nil
	}
	noteChart.Fire(&p.State, "folded")
	if n.waitInForce(ctx, v.Revision, p) {
		noteChart.Fire(&p.State, "everywhere")
	} else {
		noteChart.Fire(&p.State, "limit")
	}
	p.Duration = time.Since(start)
	return p, nil
}

// append appends a note to the log. If the answer is lost, the note may or may not
// be in the log; the caller finds out by reading the stream.
func (n *notes) append(ctx context.Context, p *PublishResult, b []byte) error {
	_, err := n.d.log.Append(ctx, StreamRelease, b)
	switch {
	case err == nil:
		noteChart.Fire(&p.State, "appended")
		return nil
	case outcome.AsError(err).Outcome == outcome.NotRun:
		noteChart.Fire(&p.State, "refused")
		return n.d.metrics.refuse("note", err)
	}
	n.d.metrics.retry("log-append", err)
	noteChart.Fire(&p.State, "lost")
	return nil
}

// waitDecision waits until the note with the given ID has been folded.
func (n *notes) waitDecision(ctx context.Context, id string) (config.Decision, error) {
	for {
		w := n.nextChange()
		if v, ok := n.snapshot().Decision(id); ok {
			return v, nil
		}
		select {
		case <-w:
		case <-ctx.Done():
			return config.Decision{}, outcome.Ambiguous(outcome.ReasonLogDown, "note "+id+" was not read back", ctx.Err())
		}
	}
}

// waitInForce waits until all live hosts have revision r in force and records the
// hosts that do not in p. It returns false if ctx ends first.
func (n *notes) waitInForce(ctx context.Context, r int64, p *PublishResult) bool {
	done := make(map[string]bool)
	for {
		p.Behind, p.Hosts = nil, 0
		for _, m := range n.d.members.live() {
			p.Hosts++
			if !done[m.ID] && !n.hasRevision(ctx, m.ID, r) {
				p.Behind = append(p.Behind, m.ID)
				continue
			}
			done[m.ID] = true
		}
		p.InForce = p.Hosts - len(p.Behind)
		if len(p.Behind) == 0 {
			return true
		}
		if backoff.Sleep(ctx, revisionPollInterval); ctx.Err() != nil {
			return false
		}
	}
}

// hasRevision reports whether the given host has revision r in force.
func (n *notes) hasRevision(ctx context.Context, id string, r int64) bool {
	if id == n.d.id {
		return n.snapshot().Revision() >= r
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var a entryhost.RevisionAnswer
	if err := n.d.call(ctx, id, entryhost.Revision, struct{}{}, &a); err != nil {
		n.d.metrics.retry("note-revision", err)
		return false
	}
	return a.Revision >= r
}
