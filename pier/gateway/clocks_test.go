package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/stepjournal"
)

// clockErrors holds by how much the time of day of one host differs from that of another.
var clockErrors = map[string]time.Duration{
	"days behind": -72 * time.Hour, "behind": -400 * time.Second, "ahead": 400 * time.Second, "days ahead": 72 * time.Hour,
}

// acceptAt appends the records of a step that a host accepted when its clock told a time.
func acceptAt(t *testing.T, v *view, s *stepjournal.Step, d stepjournal.Driver, at time.Time) {
	t.Helper()
	s.Submitted = at
	b, err := stepjournal.Accepted(s, d, 1<<20)
	require.NoError(t, err)
	_, err = v.append(context.Background(), b)
	require.NoError(t, err)
}

func appendResult(t *testing.T, v *view, s *stepjournal.Step, i int) {
	t.Helper()
	b, err := stepjournal.Finished(&stepjournal.Result{Step: s.ID, ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed})
	require.NoError(t, err)
	_, err = v.append(context.Background(), [][]byte{b})
	require.NoError(t, err)
}

// A step is accepted by a host whose clock is wrong, and submitted again to one whose clock is
// right. No host may forget it or list its results at other positions.
func TestStepFromHostWithWrongClockIsKept(t *testing.T) {
	for name, off := range clockErrors {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
			a.s.Log.Retention, b.s.Log.Retention = settings.Duration(time.Minute), settings.Duration(time.Minute)
			s := newStep("s", 2)
			v := a.journal.get("s")
			acceptAt(t, v, s, a.self, time.Now().Add(off))
			appendResult(t, v, s, 1)
			require.Equal(t, "s-1", waitResults(t, b, "s", 1)[0].ID)
			acceptAt(t, v, s, b.self, time.Now())
			appendResult(t, v, s, 0)
			appendResult(t, v, s, 1)
			for _, g := range []*Gateway{a, b} {
				r := waitResults(t, g, "s", 2)
				require.Equal(t, []string{"s-1", "s-0"}, []string{r[0].ID, r[1].ID})
			}
		})
	}
}

// A step is accepted by a host whose clock is wrong and runs at another. Its samples must be
// given up when they have had their time, no sooner, and not never.
func TestStepFromHostWithWrongClockIsGivenUpInTime(t *testing.T) {
	const abandonAfter = 500 * time.Millisecond
	for name, off := range clockErrors {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLog()
			g := newHost(t, "a", l.Functions())
			g.s.Log.Retention = settings.Duration(1000 * time.Hour)
			g.table(func(gen, _ *routetable.Route) { gen.AbandonAfter = abandonAfter })
			e := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			g.register(e.Server)
			s := newStep("s", 1)
			v := g.journal.get("s")
			began := time.Now()
			acceptAt(t, v, s, g.self, began.Add(off))
			g.steps.startDriving(route(g), s, v)
			r := waitResults(t, g, "s", 1)
			require.Equal(t, stepjournal.Dead, r[0].State)
			require.Greater(t, time.Since(began), abandonAfter)
		})
	}
}

// Some of a step's records have expired: this host can neither tell its state nor begin it anew.
// All of them have: it is unknown.
func TestStepOfWhichRecordsExpiredUnreadIsNotDenied(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	s := newStep("s", 2)
	v := a.journal.get("s")
	acceptAt(t, v, s, a.self, time.Now())
	appendResult(t, v, s, 1)
	l.Expire(v.partition(), 1)
	_, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	b.table(nil)
	err = b.Accept(context.Background(), route(b), newStep("s", 2))
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	l.Expire(v.partition(), 2)
	appendResult(t, v, newStep("other", 1), 0)
	_, err = b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "%v", err)
}

// The records of a step expire: hosts drop it.
func TestExpiredStepIsDropped(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	v := a.journal.get("s")
	acceptAt(t, v, newStep("s", 1), a.self, time.Now())
	require.NoError(t, v.sync(context.Background()))
	_, _, known := v.entry("s")
	require.True(t, known)
	a.append(t, v.partition())
	l.Expire(v.partition(), 1)
	require.NoError(t, v.sync(context.Background()))
	_, _, known = v.entry("s")
	require.False(t, known)
}

// append appends a record that means nothing.
func (g *Gateway) append(t *testing.T, p partitionlog.Partition) {
	t.Helper()
	_, err := g.c.Log.Append(context.Background(), partitionlog.AppendRequest{Partition: p, Records: [][]byte{{0xc1}}, ExpectedEnd: partitionlog.NoCondition})
	require.NoError(t, err)
}
