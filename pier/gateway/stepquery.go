package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

// A trainer reads at another host each time. A host that does not follow the
// step's partition asks the homes first, one of which drives the step and has its
// list: folding a partition from its start takes a small host most of a second.
// The homes answer from the log as any host would, so the answer is as good.

const (
	// askSlack is how long a home may take to answer beyond the wait asked for.
	stepQuerySlack = 300 * time.Millisecond
	// listSilent is how long the log may be silent for a home to wait for results.
	listMaxLogSilence = 1200 * time.Millisecond
	// listSilentLimit bounds the answer of a home that is cut off from the log.
	cutOffAnswerTimeout = 50 * time.Millisecond
)

// kindStep is the message that asks a host about a step.
const kindStepQuery = kindHandOff + 1

// stepQuery asks for a step's results from a position on, or for an item's body.
type stepQuery struct {
	Step  string        `msgpack:"s"`
	After int           `msgpack:"a"`
	Wait  time.Duration `msgpack:"w"`
	// Item is the item whose body is wanted; empty for results.
	Item string `msgpack:"i"`
}

// stepAnswer is the answer of a host that knows the step.
type stepAnswer struct {
	Total   int                   `msgpack:"t"`
	Results []*stepjournal.Result `msgpack:"r"`
	Body    []byte                `msgpack:"b"`
}

// answerStep answers another host about a step that this one follows.
func (g *Gateway) answerStep(ctx context.Context, q *peer.Request) (any, error) {
	var m stepQuery
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	v, ok := g.journal.following(m.Step)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, m.Step)
	}
	if g.logHealth.silence() > listMaxLogSilence {
		// A result that is not in the log is no result yet: the caller may know more.
		m.Wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cutOffAnswerTimeout)
		defer cancel()
	}
	if m.Item != "" {
		b, err := v.body(ctx, m.Step, m.Item)
		return &stepAnswer{Body: b}, err
	}
	l, err := v.results(ctx, m.Step, m.After, m.Wait)
	if err != nil {
		return nil, err
	}
	return &stepAnswer{Total: l.Total, Results: l.Results}, nil
}

// ask asks all homes and returns the first answer; ok is false when none knows the
// step or answers in time.
func (p *preferred) queryStep(ctx context.Context, q stepQuery) (*stepAnswer, bool) {
	p.refresh(ctx)
	p.mu.Lock()
	drivers := make(map[string]stepjournal.Driver)
	for _, r := range p.all {
		if r.Driver.Host != p.g.self.Host {
			drivers[r.Driver.Host] = r.Driver
		}
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, q.Wait+stepQuerySlack)
	defer cancel()
	answers := make(chan *stepAnswer, len(drivers))
	for _, d := range drivers {
		go func() {
			var a stepAnswer
			if err := p.g.peers.Probe(ctx, d.Peers, kindStepQuery, &q, &a); err != nil {
				if !outcome.Is(err, outcome.ReasonUnknownStep) && ctx.Err() == nil {
					p.g.log.Info("homes: no answer", zap.String("home", d.Host), zap.String("id", q.Step), zap.Error(err))
				}
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	for range drivers {
		if a := <-answers; a != nil {
			return a, true
		}
	}
	return nil, false
}
