package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// logged has the host's lines kept for the test.
func logged(g *Gateway) *observer.ObservedLogs {
	c, l := observer.New(zapcore.InfoLevel)
	g.log = zap.New(c)
	return l
}

// metric returns the value of a metric with its labels, or 0 if the host states none.
func metric(t *testing.T, g *Gateway, name string) float64 {
	t.Helper()
	w := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	for l := range strings.Lines(w.Body.String()) {
		s, ok := strings.CutPrefix(l, "mulberrypier_"+name+" ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		require.NoError(t, err)
		return v
	}
	return 0
}

// A step whose results could not be read left no line with its id. The line must name the
// stage in which the time was lost, and what was read.
func TestFailedReadOfAStepIsLogged(t *testing.T) {
	l := newLog().Functions()
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if q.Partition.Topic == stepjournal.Topic {
			return partitionlog.Page{}, outcome.Refuse(outcome.ReasonLogDown, "503")
		}
		return read(ctx, q)
	}
	g := newHost(t, "a", l)
	lines := logged(g)
	for range 3 {
		_, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
		require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	}
	n := lines.FilterMessage("step: read failed").All()
	require.Len(t, n, 1, "one line a step in each interval")
	f := n[0].ContextMap()
	require.Equal(t, "s", f["id"])
	require.Equal(t, "results", f["call"])
	require.Equal(t, "log-down", f["reason"])
	require.EqualValues(t, 0, f["pages"])
	require.Positive(t, f["pages-given-up"])
	require.Contains(t, f["last-page"], "503")
	require.Contains(t, f, "replay")
	require.EqualValues(t, 3, metric(t, g, `step_reads_total{call="results",result="log-down"}`))
	require.Positive(t, metric(t, g, `journal_pages_given_up_total{purpose="replay",reason="refused"}`))
}

func TestStepReadLongestStage(t *testing.T) {
	r := &stepRead{took: map[readStage]time.Duration{stageDrivers: 2, stageReplay: 3, stageWait: 1}}
	require.Equal(t, stageReplay, r.longest())
}
