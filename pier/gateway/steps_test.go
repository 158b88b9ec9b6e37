package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
	"mulberrypier.example/pier/stepplan"
)

func route(g *Gateway) *routetable.Route { return g.Table().Match("h", "/gen/x") }

func TestStepRunsToItsEnd(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 3, 0) })
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 9)))
	r := waitResults(t, g, "s", 9)
	for _, x := range r {
		require.Equal(t, stepjournal.Completed, x.State)
		require.Equal(t, "t1\nt2\nt3", x.Text)
		require.Equal(t, []int64{1}, x.Versions)
	}
	require.Len(t, e.runs(), 9)
}

// An engine closes the connection in the middle of an event. The sample must continue on
// another server after the last complete event, and name both versions.
func TestSampleResumesAfterLastWholeEvent(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	a := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 5, 2) })
	b := startServer(t, "e2", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 2, 5, 0) })
	a.Slots, b.Slots = 1, 1
	b.Versions = map[string]int64{"m": 0}
	g.register(a.Server, b.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	require.Eventually(t, func() bool { return len(a.runs()) > 0 }, 5*time.Second, time.Millisecond)
	b.Versions = map[string]int64{"m": 2}
	g.register(b.Server)
	r := waitResults(t, g, "s", 1)
	require.Equal(t, "t1\nt2\nt3\nt4\nt5", r[0].Text)
	require.Equal(t, []int64{1, 2}, r[0].Versions)
	require.Equal(t, []string{"s-0@2"}, b.runs())
}

// A server with weights older than the step allows must not produce a result, whatever its
// registration states.
func TestOlderVersionThanAllowedMakesNoResult(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	a := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 2, 0) })
	a.Versions = map[string]int64{"m": 3}
	g.register(a.Server)
	s := newStep("s", 1)
	s.MinVersion = 3
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	require.Eventually(t, func() bool { return len(a.runs()) > 0 }, 5*time.Second, time.Millisecond)
	l, err := g.Results(context.Background(), Principal{}, "s", 0, 200*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, l.Results)
}

func TestFailingItemIsGivenUpAfterItsAttempts(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	a := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	g.register(a.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	r := waitResults(t, g, "s", 1)
	require.Equal(t, stepjournal.Dead, r[0].State)
	require.Len(t, a.runs(), 3)
}

// The answer to the append of an accepted step is lost. The caller must not be told that
// the step does not run, and submitting it again must not create a second step.
func TestLostAnswerToAcceptanceIsNoRefusal(t *testing.T) {
	l := newLog()
	g, h := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	g.table(nil)
	h.table(nil)
	l.LoseAnswers(1)
	err := g.Accept(context.Background(), route(g), newStep("s", 1))
	require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
	require.NoError(t, h.Accept(context.Background(), route(h), newStep("s", 1)))
	require.Equal(t, g.self.Host, h.driverOf(t, "s"))
}

// A host whose long-poll read hangs must not answer with an empty list for a position at
// which another host has listed a result.
func TestStaleViewShowsNoEmptyList(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	a.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	functions := l.Functions()
	var hang atomic.Bool
	read := functions.Read
	functions.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if hang.Load() && q.Wait > 0 {
			<-ctx.Done()
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonDeadline, "read", ctx.Err())
		}
		return read(ctx, q)
	}
	b := newHost(t, "b", functions)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 2)))
	n, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Empty(t, n.Results)
	hang.Store(true)
	a.register(e.Server)
	waitResults(t, a, "s", 2)
	n, err = b.Results(context.Background(), Principal{}, "s", 1, 0)
	require.NoError(t, err)
	require.Len(t, n.Results, 1, "the other host has listed a result at position 1")
}

// While the log does not answer, a host cannot know that a step does not exist, and must
// answer log-down instead of unknown-step.
func TestUnknownStepWithLogAwayIsNoDenial(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	_, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep))
	l.SetDown(true)
	_, err = g.Results(context.Background(), Principal{}, "s", 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown))
}

// Once a step's end is acknowledged, none of its samples may start on any host.
func TestEndStopsSamplesOnTheDriver(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	a.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e.Slots = 1
	a.register(e.Server)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, b.End(context.Background(), Principal{}, "s"))
	require.Eventually(t, func() bool { return !a.steps.isDriving("s") }, 5*time.Second, time.Millisecond)
	require.Len(t, e.runs(), 1)
	require.NoError(t, b.End(context.Background(), Principal{}, "s"), "ending a step again must succeed")
}

// Another host takes over the step of a lost host. It must list every result that was listed
// before at the same position.
func TestTakeoverKeepsPositions(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	a.table(nil)
	b.table(nil)
	quick := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testDialect.RequestID) == "s-0" {
			stream(w, r, 1, 1, 0)
			return
		}
		<-r.Context().Done()
	})
	a.register(quick.Server)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	first := waitResults(t, a, "s", 1)
	a.Close()
	e := startServer(t, "e2", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	b.register(e.Server)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	require.Eventually(t, func() bool { b.watch.checkSteps(); return b.steps.isDriving("s") }, 10*time.Second, 50*time.Millisecond)
	all := waitResults(t, b, "s", 3)
	require.Equal(t, first[0].ID, all[0].ID)
	require.Len(t, e.runs(), 2)
}

// A result whose append is not acknowledged is appended again and must be listed only once.
func TestResultWithLostAppendIsListedOnce(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 2)))
	l.LoseAnswers(3)
	g.register(e.Server)
	r := waitResults(t, g, "s", 2)
	require.NotEqual(t, r[0].ID, r[1].ID)
	require.Eventually(t, func() bool { return !g.journal.hasPending() }, 5*time.Second, 10*time.Millisecond)
	n, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, n.Results, 2)
}

// A host stops while a long sample runs. The next driver must continue from the saved events
// instead of starting over.
func TestTakeoverGoesOnFromSavedProgress(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	a.table(nil)
	b.table(nil)
	slow := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testDialect.WeightVersion, "1")
		c := http.NewResponseController(w)
		for i := 1; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = c.Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	a.register(slow.Server)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 1)))
	v := b.journal.follow("s")
	require.Eventually(t, func() bool { return len(v.savedProgress("s")) == 1 }, 10*time.Second, 10*time.Millisecond)
	a.steps.release()
	require.Eventually(t, func() bool { return !a.steps.isDriving("s") }, 5*time.Second, 10*time.Millisecond)
	e := startServer(t, "e2", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 2, 1000, 0) })
	e.Versions = map[string]int64{"m": 2}
	b.register(e.Server)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	require.Eventually(t, func() bool { b.watch.checkSteps(); return b.steps.isDriving("s") }, 10*time.Second, 50*time.Millisecond)
	r := waitResults(t, b, "s", 1)
	require.Equal(t, []int64{1, 2}, r[0].Versions)
	require.NotEqual(t, "s-0@", e.runs()[0])
	lines := strings.Split(r[0].Text, "\n")
	require.Len(t, lines, 1000)
	for i, x := range lines {
		require.Equal(t, fmt.Sprint("t", i+1), x)
	}
}

// Samples must start even if the first read of the partition hangs and does not return the
// step.
func TestSamplesStartBeforeTheStepIsReadBack(t *testing.T) {
	l := newLog()
	functions := l.Functions()
	functions.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		<-ctx.Done()
		return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonDeadline, "read", ctx.Err())
	}
	g := newHost(t, "a", functions)
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, 10*time.Second, time.Millisecond)
}

// The scorer fails at each of its servers. It must be called as often as its route allows,
// after which the sample is given up.
func TestFailingScorerEndsItsSample(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(func(_, plain *routetable.Route) { plain.Attempts = 3 })
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	g.register(e.Server)
	var scorers []*server
	for _, n := range []string{"s1", "s2", "s3", "s4"} {
		x := startServer(t, n, "desk", fail)
		scorers = append(scorers, x)
		g.register(x.Server)
	}
	s := newStep("s", 1)
	s.Items[0].Scorer = &stepjournal.Call{ID: "c", Host: "h", Path: "/plain/x"}
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	require.Equal(t, stepjournal.Dead, waitResults(t, g, "s", 1)[0].State)
	n := 0
	for _, x := range scorers {
		n += len(x.runs())
	}
	require.Equal(t, 3, n)
}

// An engine refuses many samples for lack of capacity. Its connection must be kept.
func TestRefusalsKeepTheirConnection(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	var refused atomic.Int64
	e := startServer(t, "e1", "engines", func(s *server, w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) <= 5 {
			notRun(s, w, r)
			return
		}
		stream(w, r, 1, 1, 0)
	})
	e.Slots = 1
	g.register(e.Server)
	var opened atomic.Int64
	g.pool = backend.NewPool(backend.Config{Dialect: testDialect, OnOpen: func() { opened.Add(1) }})
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 2)))
	waitResults(t, g, "s", 2)
	require.EqualValues(t, 1, opened.Load())
}

// A server is slow while a faster one has free slots. The sample must move there.
func TestSampleMovesFromSlowServer(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	pace := func(d time.Duration) func(*server, http.ResponseWriter, *http.Request) {
		return func(_ *server, w http.ResponseWriter, r *http.Request) {
			from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
			w.Header().Set(testDialect.WeightVersion, "1")
			c := http.NewResponseController(w)
			for i := from + 1; i <= 60 && r.Context().Err() == nil; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
				_ = c.Flush()
				time.Sleep(d)
			}
		}
	}
	slow, fast := startServer(t, "e1", "engines", pace(100*time.Millisecond)),
		startServer(t, "e2", "engines", pace(5*time.Millisecond))
	slow.Slots, fast.Slots = 1, 1
	g.register(slow.Server, fast.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 2)))
	r := waitResults(t, g, "s", 2)
	for _, x := range r {
		require.Len(t, strings.Split(x.Text, "\n"), 60)
	}
	require.Len(t, slow.runs(), 1)
	require.Len(t, fast.runs(), 2)
}

// A host without a view of a partition must read each of its records once, however many
// callers wait for them.
func TestColdPartitionIsReadOnce(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	s := newStep("s", 30)
	s.Submitted = time.Now()
	b, err := stepjournal.Accepted(s, a.self, 256<<10)
	require.NoError(t, err)
	v := a.journal.get("s")
	_, err = v.append(context.Background(), b)
	require.NoError(t, err)
	for i := range s.Items {
		r, err := stepjournal.Finished(&stepjournal.Result{
			Step: "s", ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed,
			Text: strings.Repeat("x", 100<<10),
		})
		require.NoError(t, err)
		_, err = v.append(context.Background(), [][]byte{r})
		require.NoError(t, err)
	}
	var bytes atomic.Int64
	functions := l.Functions()
	read := functions.Read
	functions.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		p, err := read(ctx, q)
		for _, r := range p.Records {
			bytes.Add(int64(len(r)))
		}
		time.Sleep(5 * time.Millisecond)
		return p, err
	}
	g := newHost(t, "b", functions)
	var w sync.WaitGroup
	for range 4 {
		w.Go(func() {
			n, err := g.Results(context.Background(), Principal{}, "s", 29, 0)
			require.NoError(t, err)
			require.Len(t, n.Results, 1)
		})
	}
	w.Wait()
	require.Less(t, bytes.Load(), int64(33*100<<10))
}

// An engine accepts a sample and sends nothing. The run must end as silent, not as one that
// ran out of time or was cancelled, so that a failed sample can be explained.
func TestSilentEngineIsReported(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	g.register(e.Server)
	u, ok := g.fleet.pickEngine("engines", "m", stepplan.Need{MinVersion: 1}, &promptload.Prompt{}, 1)
	require.True(t, ok)
	defer u.release()
	s := &sample{d: &stepDriver{g: g, step: newStep("s", 1), route: route(g)}, item: &newStep("s", 1).Items[0]}
	err := s.generate(context.Background(), u)
	require.True(t, outcome.HasReason(err, outcome.ReasonSilent), "%v", err)
	require.Equal(t, "e1", outcome.AsError(err).Detail)
}
