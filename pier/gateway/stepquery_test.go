package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/stepjournal"
)

func TestNextAfterAQueryOfDrivers(t *testing.T) {
	results := stepQuery{Step: "s", After: 2, Wait: time.Second}
	body := stepQuery{Step: "s", Item: "i"}
	tests := map[string]struct {
		q    stepQuery
		a    *stepAnswer
		want queryAction
	}{
		"nobody knows the step":     {results, nil, readLog},
		"known":                     {results, &stepAnswer{Total: 3}, askKnowing},
		"known, all read":           {results, &stepAnswer{Total: 2}, useAnswer},
		"results of an older host":  {results, &stepAnswer{Total: 3, Results: []*stepjournal.Result{{}}}, useAnswer},
		"body wanted":               {body, &stepAnswer{Total: 3}, askKnowing},
		"body of an older host":     {body, &stepAnswer{Body: []byte("b")}, useAnswer},
		"nobody can have the body":  {body, nil, readLog},
		"known with no wait at all": {stepQuery{Step: "s"}, &stepAnswer{Total: 1}, askKnowing},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.q.next(c.a)) })
	}
}

// All preferred drivers are gone or silent. A trainer's wait passed before the log was read at
// all; the results must come at once.
func TestSilentDriversDoNotDelayTheLog(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	a, b := newHost(t, "a", l.Functions()), newHostAt(t, "b", unresponsiveListener(t), l.Functions())
	b.preferred.claim("m")
	start := time.Now()
	p, err := a.Results(context.Background(), Principal{}, "s", 0, 2*time.Second)
	require.NoError(t, err)
	require.Len(t, p.Results, 2)
	require.Less(t, time.Since(start), time.Second)
}

// In calm operation a cold host must not replay a partition because a preferred driver has no new
// results yet.
func TestLongPollAtADriverReplaysNothing(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 1, 1<<10, 0)
	open := newStep("open", 1)
	open.Submitted = time.Now()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	b.preferred.claim("m")
	r, err := stepjournal.Accepted(open, b.self, 256<<10)
	require.NoError(t, err)
	v := b.journal.follow("open")
	_, err = v.append(context.Background(), r)
	require.NoError(t, err)
	require.NoError(t, v.sync(context.Background()))
	start := time.Now()
	p, err := a.Results(context.Background(), Principal{}, "open", 0, 700*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, 1, p.Total)
	require.Empty(t, p.Results)
	require.Greater(t, time.Since(start), 600*time.Millisecond)
	require.Zero(t, metric(t, a, `journal_read_bytes_total{purpose="replay"}`))
	_, err = a.Body(context.Background(), Principal{}, "open", "open-0")
	require.NoError(t, err)
	require.NoError(t, a.End(context.Background(), Principal{}, "open"))
	require.Zero(t, metric(t, a, `journal_read_bytes_total{purpose="replay"}`))
}
