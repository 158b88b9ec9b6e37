package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// endlessEvents writes events after the one that a request resumes after until the connection fails.
// event returns the n-th, without its id.
func endlessEvents(w http.ResponseWriter, r *http.Request, event func(n int) string) {
	from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
	w.Header().Set(testDialect.WeightVersion, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\n%s\n\n", n, event(n)); err != nil {
			return
		}
	}
}

// textRun is a step of four items that runs on a host, at one engine.
type textRun struct {
	g    *Gateway
	step *stepjournal.Step
	// answer is how the engine answers.
	answer atomic.Pointer[http.HandlerFunc]
}

// beginTexts runs the step at an engine that answers in one way at first.
func beginTexts(t *testing.T, first http.HandlerFunc) *textRun {
	t.Helper()
	return beginTextsAt(t, newHost(t, "a", newLog().Functions()), first)
}

// beginTextsAt is beginTexts for a given host.
func beginTextsAt(t *testing.T, g *Gateway, first http.HandlerFunc) *textRun {
	t.Helper()
	g.table(nil)
	x := &textRun{g: g, step: newStep("s", 4)}
	x.answerWith(first)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { (*x.answer.Load())(w, r) })
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), x.step))
	return x
}

func (x *textRun) answerWith(f http.HandlerFunc) { x.answer.Store(&f) }

// requireWhole waits until all memory was given back.
func (x *textRun) requireWhole(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return x.g.memory.Left() == x.g.bodyMemory() }, 10*time.Second, time.Millisecond,
		"the texts take %d", x.g.texts.Used())
	require.Zero(t, x.g.texts.Used())
}

// holdEvents sends two events of 50,000 bytes and none after them until the request ends.
func holdEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testDialect.WeightVersion, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
	for n := range 2 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from+n+1, strings.Repeat("x", 50_000))
	}
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// However the runs of a step end, the memory that their texts took must be whole after it.
func TestTextsGiveTheirMemoryBack(t *testing.T) {
	const textBytes = 4 * 100_000
	held := func(x *textRun) bool { return x.g.texts.Used() >= textBytes }
	tests := map[string]struct {
		first http.HandlerFunc
		end   func(t *testing.T, x *textRun)
	}{
		"completed": {func(w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 40, 0) }, func(t *testing.T, x *textRun) {
			waitResults(t, x.g, "s", 4)
		}},
		"broken off again and again": {func(w http.ResponseWriter, r *http.Request) {
			from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
			stream(w, r, 1, 12, from+3)
		}, func(t *testing.T, x *textRun) { waitResults(t, x.g, "s", 4) }},
		"rejected": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnprocessableEntity) }, func(t *testing.T, x *textRun) {
			waitResults(t, x.g, "s", 4)
		}},
		"ended by the trainer": {holdEvents, func(t *testing.T, x *textRun) {
			require.Eventually(t, func() bool { return held(x) }, 5*time.Second, time.Millisecond)
			require.NoError(t, x.g.End(context.Background(), Principal{}, "s"))
		}},
		"taken over": {holdEvents, func(t *testing.T, x *textRun) {
			require.Eventually(t, func() bool { return held(x) }, 5*time.Second, time.Millisecond)
			require.True(t, x.g.steps.appendTakeover(x.g.journal.get("s"), "s", x.g.self.Host, stepjournal.Driver{Host: "other"}))
		}},
		"a result by another": {holdEvents, func(t *testing.T, x *textRun) {
			require.Eventually(t, func() bool { return held(x) }, 5*time.Second, time.Millisecond)
			for i := range 4 {
				b, err := stepjournal.Finished(&stepjournal.Result{Step: "s", ItemIndex: i, ID: x.step.Items[i].ID, State: stepjournal.Dead})
				require.NoError(t, err)
				x.g.journal.get("s").post(b)
			}
		}},
		"silent engine": {holdEvents, func(t *testing.T, x *textRun) {
			require.Eventually(t, func() bool { return held(x) }, 5*time.Second, time.Millisecond)
			x.answerWith(func(w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 4, 0) })
			waitResults(t, x.g, "s", 4)
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			x := beginTexts(t, c.first)
			c.end(t, x)
			x.requireWhole(t)
		})
	}
}

// Engines that send empty events, or another version with each, without end must be avoided, and the
// samples end at others.
func TestSamplesOfEndlessEventsEndElsewhere(t *testing.T) {
	tests := map[string]func(n int) string{
		"empty events":      func(int) string { return "data:" },
		"version per event": func(n int) string { return fmt.Sprintf("weights: %d\ndata:", n+1) },
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			// Records are small, so that the bound is reached soon on a slow machine.
			c := hostSettings("a", netip.MustParseAddrPort("127.0.0.1:1"))
			c.Log.RecordBytes = 16 << 10
			x := beginTextsAt(t, newHostFrom(t, c, newLog().Functions()), func(w http.ResponseWriter, r *http.Request) { endlessEvents(w, r, event) })
			avoided := func() bool {
				x.g.fleet.mu.Lock()
				defer x.g.fleet.mu.Unlock()
				return x.g.fleet.states["e1"].failures > 0
			}
			require.Eventually(t, avoided, 10*time.Second, time.Millisecond)
			good := startServer(t, "e2", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 4, 0) })
			x.g.register(good.Server)
			for _, r := range waitResults(t, x.g, "s", 4) {
				require.Equal(t, stepjournal.Completed, r.State)
				require.LessOrEqual(t, len(r.Versions), maxTextVersions)
			}
			x.requireWhole(t)
		})
	}
}

// A text whose growth does not fit ends its run, not its sample, and is no failure of its server.
func TestTextWithoutMemoryLeavesItsSampleToRunAgain(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 4, 0) })
	g.register(e.Server)
	taken := g.bodyMemory() + g.bodyMemory()/textReserveShare
	g.texts.Charge(taken)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	ended := func() bool {
		return testutil.ToFloat64(g.metrics.retries.WithLabelValues(string(outcome.ReasonMemory))) > 0
	}
	require.Eventually(t, ended, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return len(e.runs()) > 1 }, 2*memoryDelay, 10*time.Millisecond, "asked though there is no memory")
	l, err := g.Results(context.Background(), Principal{}, "s", 0, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, l.Results)
	g.fleet.mu.Lock()
	require.Zero(t, g.fleet.states["e1"].failures)
	g.fleet.mu.Unlock()
	g.texts.Give(taken)
	require.Equal(t, stepjournal.Completed, waitResults(t, g, "s", 1)[0].State)
	require.Len(t, e.runs(), 2)
}

// Steps hold their memory until their samples end, so samples must not wait for it.
func TestSamplesEndThoughOthersTookAllMemory(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 4, 0) })
	g.register(e.Server)
	g.memory.Charge(g.bodyMemory())
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 16)))
	waitResults(t, g, "s", 16)
}

// Guards against a result that is dropped as its versions make its record larger than the log allows.
func TestResultOfManyVersionsFitsIntoItsRecord(t *testing.T) {
	tests := map[string]string{"many versions": "x", "long text": strings.Repeat("x", 2100)}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			s := newSample(&stepDriver{g: g, step: newStep("s", 1), route: &routetable.Route{}}, 0)
			for n := int64(1); ; n++ {
				if err := s.appendEvent(&event{id: n, data: data}, 1<<60+n); err != nil {
					require.True(t, outcome.HasReason(err, outcome.ReasonAnswerTooLarge), "%v", err)
					return
				}
				b, err := stepjournal.Finished(&stepjournal.Result{
					Step: "s", ID: "i", State: stepjournal.Completed, Text: s.text.String(), Versions: s.text.versions,
				})
				require.NoError(t, err)
				require.LessOrEqual(t, len(b), g.s.Log.RecordBytes)
			}
		})
	}
}

// Progress is saved again and again while the log is away. Only the newest record of an item may wait, beside
// the one that is being appended.
func TestProgressThatWaitsForTheLogDoesNotAddUp(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	v := g.journal.get("s")
	l.SetDown(true)
	record := func(item int, n int64) []byte {
		b, err := stepjournal.Saved("s", &stepjournal.Progress{ItemIndex: item, Text: strings.Repeat("x", 100_000), LastEvent: n, Versions: []int64{1}})
		require.NoError(t, err)
		return b
	}
	const items = 2
	for n := range int64(20) {
		for i := range items {
			v.postProgress(progressKey{"s", i}, record(i, n+1))
		}
	}
	require.LessOrEqual(t, g.texts.Used(), int64(items*2*110_000))
	l.SetDown(false)
	require.Eventually(t, func() bool { return !g.journal.hasPending() && g.memory.Left() == g.bodyMemory() }, 5*time.Second, time.Millisecond)
}
