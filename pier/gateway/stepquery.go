package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

// A trainer reads from a different host each time. A host that does not follow the step's
// partition first queries the preferred drivers, one of which usually drives the step and
// has its results at hand: replaying a partition from its start takes most of a second on a
// small host. The preferred drivers answer from the log as any host would, so their answers
// are equally valid.

const (
	// stepQuerySlack is how long a preferred driver may take to answer beyond the wait
	// asked for.
	stepQuerySlack = 300 * time.Millisecond
	// listMaxLogSilence is the time without an answer from the log after which a preferred
	// driver does not wait for further results.
	listMaxLogSilence = 1200 * time.Millisecond
	// cutOffAnswerTimeout bounds the answer of a preferred driver that cannot reach the
	// log.
	cutOffAnswerTimeout = 50 * time.Millisecond
)

// kindStepQuery is the kind of a message that queries a step.
const kindStepQuery = kindHandOff + 1

// stepQuery asks for a step's results from a position on, or for the body of an item.
type stepQuery struct {
	Step  string        `msgpack:"s"`
	After int           `msgpack:"a"`
	Wait  time.Duration `msgpack:"w"`
	// Item is the ID of the item whose body is wanted. It is empty in a query for results.
	Item string `msgpack:"i"`
}

// stepAnswer is the answer of a host that knows the step.
type stepAnswer struct {
	Total   int                   `msgpack:"t"`
	Results []*stepjournal.Result `msgpack:"r"`
	Body    []byte                `msgpack:"b"`
}

// answerStep answers a stepQuery of another host. It fails with unknown-step if this host
// does not follow the step's partition or does not know the step.
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
		// Results count only once they are in the log, where the caller may have read
		// further than this host. So don't hold the caller up.
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

// queryStep queries all preferred drivers and returns the first answer. ok is false if none
// knows the step or answers in time.
func (p *preferred) queryStep(ctx context.Context, q stepQuery) (*stepAnswer, bool) {
	leave := enterStage(ctx, stageLookup)
	p.refresh(ctx)
	leave()
	defer enterStage(ctx, stageDrivers)()
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
				if !outcome.HasReason(err, outcome.ReasonUnknownStep) && ctx.Err() == nil {
					p.g.log.Info("preferred drivers: one did not answer a query about a step",
						zap.String("driver", d.Host), zap.String("id", q.Step), zap.Error(err))
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
