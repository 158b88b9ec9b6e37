package gateway

import (
	"context"
	"sync"
	"time"
)

// stepReading reads a step at a host that does not follow its partition, in two ways: from the hosts
// that know the step, and from the log if none says soon that it does, or is late with its answer.
// The first answer counts.
type stepReading struct {
	g *Gateway
	q stepQuery
	// found is closed once a host says that it knows the step.
	found chan struct{}
	// byPeers yields the answer of such a host, nil if there is none. byLog yields that of the log.
	// Both are nil once they have, or before they are asked.
	byPeers chan *stepAnswer
	byLog   chan logReading
	// logError is the error of the log, nil if it has not answered.
	logError error
}

// logReading is the outcome of a reading of the log.
type logReading struct {
	answer *stepAnswer
	err    error
}

// readStep reads a step.
func (g *Gateway) readStep(ctx context.Context, q stepQuery) (*stepAnswer, error) {
	if v, ok := g.journal.following(q.Step); ok {
		a, err := v.answer(ctx, &q)
		return g.countAnswer("followed", a, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &stepReading{g: g, q: q, found: make(chan struct{}), byPeers: make(chan *stepAnswer, 1)}
	return r.run(ctx)
}

// countAnswer counts an answer by where it came from, and returns it.
func (g *Gateway) countAnswer(source string, a *stepAnswer, err error) (*stepAnswer, error) {
	if err == nil {
		g.metrics.stepAnswers.WithLabelValues(source).Inc()
	}
	return a, err
}

func (r *stepReading) run(ctx context.Context) (*stepAnswer, error) {
	began := time.Now()
	leave := sync.OnceFunc(enterStage(ctx, stageDrivers))
	defer leave()
	go func() { r.byPeers <- r.g.askPeers(withoutStages(ctx), r.q, func() { close(r.found) }) }()
	log := time.NewTimer(knowsStepTimeout)
	defer log.Stop()
	found := r.found
	for {
		select {
		case <-found:
			found = nil
			log.Reset(time.Until(began.Add(r.q.Wait + stepQuerySlack)))
		case <-log.C:
			leave()
			r.readLog(ctx, began)
		case a := <-r.byPeers:
			r.byPeers = nil
			if a != nil {
				return r.g.countAnswer("peer", a, nil)
			}
			if r.logError != nil {
				return nil, r.logError
			}
			leave()
			r.readLog(ctx, began)
		case x := <-r.byLog:
			r.byLog, r.logError = nil, x.err
			if x.err == nil || r.byPeers == nil || found != nil {
				return r.g.countAnswer("log", x.answer, x.err)
			}
		}
	}
}

// readLog begins to read the log, unless it was read already.
func (r *stepReading) readLog(ctx context.Context, began time.Time) {
	if r.byLog != nil || r.logError != nil {
		return
	}
	q := r.q
	q.Wait = max(q.Wait-time.Since(began), 0)
	c := make(chan logReading, 1)
	r.byLog = c
	v := r.g.journal.follow(q.Step)
	go func() {
		a, err := v.answer(ctx, &q)
		c <- logReading{a, err}
	}()
}
