package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

// A trainer reads from a different host each time. A host that does not follow the step's
// partition first asks the preferred drivers, and the host to which the log assigned the partition,
// which of them knows the step, and then that one for what is wanted. A driver usually has the
// step's results at hand, and the holder of the partition follows it all the time, which costs less
// than reading the log. They answer from the log as any host would, so their answers are equally
// valid.

const (
	// knowsStepTimeout bounds the search for a host that knows the step.
	knowsStepTimeout = 300 * time.Millisecond
	// stepQuerySlack is how long a host that knows the step may take to answer, beyond the wait
	// asked for, before the log is read as well.
	stepQuerySlack = 300 * time.Millisecond
	// listMaxLogSilence is the time without an answer from a quick log after which a host does
	// not wait for further results.
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
	// Follow is set in a query to the host that holds the step's partition, which must know the
	// step soon if it does not yet.
	Follow bool `msgpack:"f"`
	// Organisation and Restricted are those of the Principal that asks.
	Organisation string `msgpack:"o,omitempty"`
	Restricted   bool   `msgpack:"r,omitempty"`
}

// principal returns who asks.
func (q *stepQuery) principal() Principal {
	return Principal{Organisation: q.Organisation, Restricted: q.Restricted}
}

// queryAction is what follows the search for a host that knows a step.
type queryAction int

const (
	// readLog is to read the log, as no host is known to know the step.
	readLog queryAction = iota
	// useAnswer is to use the answer, as nothing else is wanted.
	useAnswer
	// askKnowing is to ask the host that knows the step for what is wanted.
	askKnowing
)

// next returns what follows the answer of the first host that knows the step, nil if there is none.
func (q *stepQuery) next(a *stepAnswer) queryAction {
	switch {
	case a == nil:
		return readLog
	case q.Knows:
		return useAnswer
	case q.Item != "" && a.Body == nil:
		return askKnowing
	case q.Item != "", len(a.Results) > 0, q.After >= a.Total:
		return useAnswer
	}
	return askKnowing
}

// stepAnswer is the answer of a host that knows the step.
type stepAnswer struct {
	Total   int                   `msgpack:"t"`
	Results []*stepjournal.Result `msgpack:"r"`
	Body    []byte                `msgpack:"b"`
	// Organisation is that of the step, if Checked is set. A host of a version that knows no organisations answers
	// without Checked, whoever asks.
	Organisation string `msgpack:"o,omitempty"`
	Checked      bool   `msgpack:"c,omitempty"`
}

// answerStep answers a stepQuery of another host. It fails with unknown-step if this host
// does not follow the step's partition or does not know the step, and with not-owner if it was taken
// for the holder of the partition.
func (g *Gateway) answerStep(ctx context.Context, q *peer.Request) (any, error) {
	var m stepQuery
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	v, ok := g.journal.following(m.Step)
	if !ok {
		return nil, v.missing(&m)
	}
	if g.logHealth.silence() > g.peerLog.limit(listMaxLogSilence) {
		// Results count only once they are in the log, where the caller may have read
		// further than this host. So don't hold the caller up.
		m.Wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cutOffAnswerTimeout)
		defer cancel()
	}
	a, err := v.answer(ctx, &m)
	if err == nil && m.Item == "" && !m.Knows {
		v.readAhead(m.Step, m.After+len(a.Results))
	}
	return a, err
}

// missing returns the answer to a query about a step that this host does not know. If it was taken
// for the holder of the partition it follows that from now on, so that it can answer the next query.
func (v *view) missing(q *stepQuery) error {
	if !q.Follow {
		return outcome.Refuse(outcome.ReasonUnknownStep, q.Step)
	}
	v.use()
	if !slices.Contains(v.j.g.watch.assigned(), v.n) {
		return outcome.Refuse(outcome.ReasonNotOwner, q.Step)
	}
	return outcome.Refuse(outcome.ReasonUnknownStep, q.Step)
}

// answer answers a query from the log. Its error is unknown-step if there is no such step, or if it belongs to
// another organisation than the one that asks.
func (v *view) answer(ctx context.Context, q *stepQuery) (*stepAnswer, error) {
	if err := v.ensureKnown(ctx, q.Step); err != nil {
		return nil, err
	}
	e, _, ok := v.entry(q.Step)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonLogDown, q.Step).After(unavailableRetryAfter)
	}
	if !q.principal().mayUse(e.Organisation) {
		v.j.g.log.Info("step: hidden from another organisation", zap.String("id", q.Step), zap.String("organisation", q.Organisation))
		return nil, outcome.Refuse(outcome.ReasonUnknownStep, q.Step)
	}
	if q.Knows {
		return &stepAnswer{Total: e.Total, Organisation: e.Organisation, Checked: true}, nil
	}
	if q.Item != "" {
		b, err := v.body(ctx, q.Step, q.Item)
		return &stepAnswer{Body: b, Checked: true}, err
	}
	l, err := v.results(ctx, q.Step, q.After, q.Wait)
	if err != nil {
		return nil, err
	}
	return &stepAnswer{Total: l.Total, Results: l.Results, Checked: true}, nil
}
