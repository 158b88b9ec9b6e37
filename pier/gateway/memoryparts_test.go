package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The texts of samples must leave memory to the requests of callers, with the whole memory of a host of 256 MB.
func TestTextsLeaveMemoryToRequests(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	const items = 400
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testDialect.WeightVersion, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
		for n := from + 1; ; n++ {
			data := ""
			if n <= 5 {
				data = strings.Repeat("x", 45_000)
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(200 * time.Millisecond)
		}
	})
	e.Slots = items
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", items)))
	refused, all := 0, 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r := httptest.NewRequest(http.MethodPost, "/plain/x", strings.NewReader(strings.Repeat("x", 20_000)))
		b, err := g.ReadBody(httptest.NewRecorder(), r, 1<<20)
		all++
		if err != nil {
			refused++
			continue
		}
		b.Release()
	}
	t.Logf("%d of %d bodies of 20 KB refused; texts take %d of %d; left %d", refused, all, g.texts.Used(), g.bodyMemory(), g.memory.Left())
	require.Zero(t, refused)
	require.Greater(t, g.memory.Left(), g.bodyMemory()/4)
}

// A text of full length must be able to grow within the reserve, whatever bodies and steps have taken.
func TestTextOfFullLengthGrowsWithinTheReserve(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	require.True(t, g.memory.Take(g.bodyMemory()))
	x := newSampleText(g.texts, g.s.Log.RecordBytes-recordReserve)
	for len(x.data)+1001 <= x.limit {
		require.NoError(t, x.add(strings.Repeat("x", 1000), int64(len(x.data)%maxTextVersions+1)))
	}
	x.drop()
	require.Zero(t, g.memory.Left())
}

// Texts that have reached their most must leave memory to bodies and steps.
func TestBodiesAndStepsGoOnThoughTextsTookTheirMost(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	for g.texts.Take(64 << 10) {
	}
	require.GreaterOrEqual(t, g.memory.Left(), g.bodyMemory()/textMostShare)
	r := httptest.NewRequest(http.MethodPost, "/plain/x", strings.NewReader(strings.Repeat("x", 8<<20)))
	b, err := g.ReadStepBody(httptest.NewRecorder(), r, 16<<20)
	require.NoError(t, err)
	b.Release()
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 16)))
	require.Positive(t, g.memory.Left())
}

// A request without a body needs no memory for one, so that reads go on whatever others have taken.
func TestRequestWithoutBodyNeedsNoMemory(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	require.True(t, g.memory.Take(g.bodyMemory()))
	get := func() error {
		b, err := g.ReadBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/plain/x", http.NoBody), 1<<20)
		if err == nil {
			b.Release()
		}
		return err
	}
	require.NoError(t, get())
	require.True(t, g.texts.Take(1), "of the reserve")
	require.NoError(t, get())
}

// Long texts must be completed though not all of those that run fit into memory at once, and engines must
// not be asked again and again for texts for which there is no room.
func TestLongTextsAreCompletedOneAfterTheOther(t *testing.T) {
	const events, bytes, items = 200, 1000, 64
	g := newHost(t, "a", newLog().Functions())
	g.memory.Charge(g.bodyMemory())
	g.texts.Charge(g.bodyMemory()/textReserveShare - 3<<20)
	g.table(nil)
	var runs atomic.Int64
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(testDialect.WeightVersion, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
		for n := from + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", bytes)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	e.Slots = items
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", items)))
	began := time.Now()
	done := func() (n int) {
		for _, x := range g.journal.get("s").finished("s", items) {
			if x {
				n++
			}
		}
		return n
	}
	for done() < items && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d of %d done after %v, %d runs", done(), items, time.Since(began), runs.Load())
	require.Equal(t, items, done())
	require.LessOrEqual(t, runs.Load(), int64(2*items))
}

// Guards against memory of an upload that is given back while the upload is still written to a server: one that
// another server has answered meanwhile goes on at the first for some time.
func TestMemoryOfAnUploadIsTakenWhileItIsWritten(t *testing.T) {
	const size, deadline = 6 << 20, 1500 * time.Millisecond
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	bad, _ := startPair(t, g, drip)
	total := g.memory.Left()
	r := httptest.NewRequest(http.MethodPost, "/plain/x", strings.NewReader(strings.Repeat("x", size)))
	b, err := g.ReadBody(httptest.NewRecorder(), r, size)
	require.NoError(t, err)
	c := callWithin(g, deadline)
	c.Body, c.HoldBody = b.Bytes, b.Hold
	began := time.Now()
	a, err := g.Do(context.Background(), c)
	require.NoError(t, err)
	require.NoError(t, a.readRest())
	a.Close()
	b.Release()
	require.Less(t, time.Since(began), deadline)
	require.Equal(t, 1, g.runningAt(bad))
	require.LessOrEqual(t, g.memory.Left(), total-size)
	require.Eventually(t, func() bool { return g.memory.Left() == total }, 2*deadline, time.Millisecond)
	require.Zero(t, g.runningAt(bad))
}
