package gateway

import (
	"context"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
)

// stepReading reads a step in two ways: from other hosts that know it, and from the log. A host that
// follows the step's partition reads the log first, any other asks the others first. The second way is
// taken as well once the first one is late or has failed, and the first answer counts.
type stepReading struct {
	g *Gateway
	q stepQuery
	// began is when the reading began.
	began time.Time
	// found is closed once another host says that it knows the step.
	found chan struct{}
	// byPeers and byLog yield the outcomes of the two ways. Both are nil before the way is taken, and
	// once it has ended. Other hosts that have no answer yield neither an answer nor an error.
	byPeers, byLog chan stepOutcome
	// peersAsked and logAsked are set once the way was taken.
	peersAsked, logAsked bool
	// logError is the error of the log, nil if it has not answered.
	logError error
}

// stepOutcome is the outcome of one way to read a step.
type stepOutcome struct {
	answer *stepAnswer
	err    error
}

// Where the answer to a read of a step came from, as label values of metrics.
const (
	answerFollowed = "followed"
	answerPeer     = "peer"
	answerLog      = "log"
)

// readStep reads a step.
func (g *Gateway) readStep(ctx context.Context, q stepQuery) (*stepAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &stepReading{g: g, q: q, began: time.Now(), found: make(chan struct{})}
	source := answerLog
	a, err := r.run(ctx, &source)
	if err == nil {
		g.metrics.stepAnswers.WithLabelValues(source).Inc()
	}
	return a, err
}

// run reads the step, and sets source to where the answer came from.
func (r *stepReading) run(ctx context.Context, source *string) (*stepAnswer, error) {
	second := time.NewTimer(r.g.headStart())
	defer second.Stop()
	leave := func() {}
	if _, ok := r.g.journal.following(r.q.Step); ok {
		*source = answerFollowed
		second.Reset(r.q.Wait + stepQuerySlack)
		r.readLog(ctx)
	} else {
		leave = sync.OnceFunc(enterStage(ctx, stageDrivers))
		r.askPeers(ctx)
	}
	defer leave()
	found := r.found
	for {
		select {
		case <-found:
			found = nil
			second.Reset(time.Until(r.began.Add(r.q.Wait + stepQuerySlack)))
		case <-second.C:
			leave()
			r.askPeers(ctx)
			r.readLog(ctx)
		case x := <-r.byPeers:
			r.byPeers = nil
			if x.answer != nil || x.err != nil {
				*source = answerPeer
				return x.answer, x.err
			}
			if r.logError != nil {
				return nil, r.logError
			}
			leave()
			r.readLog(ctx)
		case x := <-r.byLog:
			if x.err == nil || r.isFinal(x.err, found == nil) {
				return x.answer, x.err
			}
			r.byLog, r.logError = nil, x.err
			if r.askPeers(ctx); r.byPeers == nil {
				return nil, x.err
			}
		}
	}
}

// headStart returns how long other hosts are asked before the log is read as well: less at a slow log,
// which needs the time that is left.
func (g *Gateway) headStart() time.Duration {
	return max(knowsStepTimeout-g.peerLog.latency(), secondHolderDelay)
}

// isFinal reports whether no other host can have an answer where the log has an error. found is set
// if another host says that it knows the step.
func (r *stepReading) isFinal(err error, found bool) bool {
	if outcome.HasReason(err, outcome.ReasonUnknownStep) {
		return !found
	}
	return outcome.HasReason(err, outcome.ReasonUnknownName)
}

// askPeers begins to ask other hosts, unless they were asked already.
func (r *stepReading) askPeers(ctx context.Context) {
	if r.peersAsked {
		return
	}
	r.peersAsked = true
	c := make(chan stepOutcome, 1)
	r.byPeers = c
	found := sync.OnceFunc(func() { close(r.found) })
	go func() { c <- r.g.askPeers(withoutStages(ctx), r.rest(), found) }()
}

// readLog begins to read the log, unless it was read already.
func (r *stepReading) readLog(ctx context.Context) {
	if r.logAsked {
		return
	}
	r.logAsked = true
	c := make(chan stepOutcome, 1)
	r.byLog = c
	q := r.rest()
	v := r.g.journal.follow(q.Step)
	go func() {
		a, err := v.answer(ctx, &q)
		c <- stepOutcome{a, err}
	}()
}

// rest returns the query with the wait that is left.
func (r *stepReading) rest() stepQuery {
	q := r.q
	q.Wait = max(q.Wait-time.Since(r.began), 0)
	return q
}
