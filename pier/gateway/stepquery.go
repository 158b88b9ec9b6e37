package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

// A trainer reads from a different host each time. A host that does not follow the step's
// partition first asks the preferred drivers which of them knows the step, and then that one
// for what is wanted. It usually drives the step and has its results at hand, which costs less
// than reading them from the log. The preferred drivers answer from the log as any host would,
// so their answers are equally valid. If none says soon that it knows the step, the host reads
// the log itself.

const (
	// knowsStepTimeout bounds the search for a preferred driver that knows the step.
	knowsStepTimeout = 300 * time.Millisecond
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
	// Knows asks only whether the host knows the step, and for its total. A host of an earlier
	// version answers it as any other query.
	Knows bool `msgpack:"k"`
}

// queryAction is what follows the search for a preferred driver that knows a step.
type queryAction int

const (
	// readLog is to read the log, as no preferred driver is known to know the step.
	readLog queryAction = iota
	// useAnswer is to use the answer, as nothing else is wanted.
	useAnswer
	// askDriver is to ask the driver that knows the step for what is wanted.
	askDriver
)

// next returns what follows the answer of the first host that knows the step, nil if there is none.
func (q *stepQuery) next(a *stepAnswer) queryAction {
	switch {
	case a == nil:
		return readLog
	case q.Item != "" && a.Body == nil:
		return askDriver
	case q.Item != "", len(a.Results) > 0, q.After >= a.Total:
		return useAnswer
	}
	return askDriver
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
	if m.Knows {
		e, _, _ := v.entry(m.Step)
		return &stepAnswer{Total: e.Total}, nil
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

// queryStep asks the preferred drivers about a step. ok is false if none answers in time that it
// knows the step.
func (p *preferred) queryStep(ctx context.Context, q stepQuery) (a *stepAnswer, ok bool) {
	began := time.Now()
	d, a := p.findKnowing(ctx, q)
	switch q.next(a) {
	case readLog:
		return nil, false
	case useAnswer:
		return a, true
	}
	defer enterStage(ctx, stageDrivers)()
	q.Wait = max(q.Wait-time.Since(began), 0)
	ctx, cancel := context.WithTimeout(ctx, q.Wait+stepQuerySlack)
	defer cancel()
	a = p.askDriver(ctx, d, &q)
	return a, a != nil
}

// findKnowing asks all preferred drivers at the same time whether they know a step, and returns
// the first that does with its answer, which is nil if there is none.
func (p *preferred) findKnowing(ctx context.Context, q stepQuery) (stepjournal.Driver, *stepAnswer) {
	ctx, cancel := context.WithTimeout(ctx, knowsStepTimeout)
	defer cancel()
	leave := enterStage(ctx, stageLookup)
	p.refresh(ctx)
	leave()
	defer enterStage(ctx, stageDrivers)()
	q.Wait, q.Knows = 0, true
	type knowing struct {
		d stepjournal.Driver
		a *stepAnswer
	}
	drivers := p.others()
	answers := make(chan knowing, len(drivers))
	for _, d := range drivers {
		go func() { answers <- knowing{d, p.askDriver(ctx, d, &q)} }()
	}
	for range drivers {
		if k := <-answers; k.a != nil {
			return k.d, k.a
		}
	}
	return stepjournal.Driver{}, nil
}

// others returns the preferred drivers but this host, by host.
func (p *preferred) others() map[string]stepjournal.Driver {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]stepjournal.Driver)
	for _, x := range p.all {
		if x.Driver.Host != p.g.self.Host {
			r[x.Driver.Host] = x.Driver
		}
	}
	return r
}

// askDriver asks a preferred driver about a step. It returns nil if that does not know the step or
// does not answer in time.
func (p *preferred) askDriver(ctx context.Context, d stepjournal.Driver, q *stepQuery) *stepAnswer {
	var a stepAnswer
	err := p.g.peers.Probe(ctx, d.Peers, kindStepQuery, q, &a)
	if err == nil {
		return &a
	}
	if !outcome.HasReason(err, outcome.ReasonUnknownStep) && !errors.Is(ctx.Err(), context.Canceled) {
		p.g.log.Info("preferred drivers: one did not answer a query about a step",
			zap.String("driver", d.Host), zap.String("id", q.Step), zap.Error(err))
	}
	return nil
}
