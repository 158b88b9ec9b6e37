package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/settings"
)

// lateFrom is when, after the beginning of the stop, requests may begin to take longer.
const lateFrom = unhealthyDetectionTime + connectionSetupTime + 200*time.Millisecond

// stopLoad is a load of requests on kept connections around a planned stop of their host.
type stopLoad struct {
	kind routetable.Kind
	// lasts is how long a server works on a request, gap the time between two requests, and
	// deadline that of each.
	lasts, gap, deadline time.Duration
	// late is how long it works on requests that were sent later than lateFrom, 0 for as long as on others.
	late time.Duration
	// bytes is the length of what it sends before it works, lateBytes that for requests that were sent later
	// than lateFrom.
	bytes, lateBytes int
	// limit is the limit that the server states, empty for none.
	limit string
}

// target returns the target of a request that is sent at a time after the beginning of the stop. It
// tells the server what to do.
func (p stopLoad) target(sent time.Duration) string {
	d, n := p.lasts, p.bytes
	if p.late > 0 && sent > lateFrom {
		d, n = p.late, p.lateBytes
	}
	return fmt.Sprintf("/plain/%v/%d", d, n)
}

// work answers a request as its target asks for.
func (p stopLoad) work(_ *server, w http.ResponseWriter, r *http.Request) {
	if p.limit != "" {
		w.Header().Set(testDialect.Limit, p.limit)
	}
	parts := strings.Split(r.URL.Path, "/")
	d, err := time.ParseDuration(parts[2])
	if err != nil {
		panic(err)
	}
	n, err := strconv.Atoi(parts[3])
	if err != nil {
		panic(err)
	}
	c := http.NewResponseController(w)
	if n > 0 {
		_, _ = w.Write(make([]byte, n))
		_ = c.Flush()
	}
	for end := time.Now().Add(d); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
		if p.kind == routetable.KindStream {
			_, _ = io.WriteString(w, ".")
			_ = c.Flush()
		}
	}
	_, _ = io.WriteString(w, "end")
}

// mayOutlast reports whether the host has to take a request, sent at a time after the beginning of the stop, though
// its deadline may lie behind the end of the stop.
func (p stopLoad) mayOutlast(sent time.Duration) bool {
	return sent < unhealthyDetectionTime+connectionSetupTime || p.kind == routetable.KindIdempotent && p.bytes == 0
}

// play sends requests of a load at regular times, each on a connection that has been kept open, from before the host is
// stopped until it is gone.
func (p stopLoad) play(t *testing.T, period time.Duration) *stopPlay {
	t.Helper()
	g := startHosts(t, newLog().Functions(), 2)[0]
	g.s.Timing.Grace = settings.Duration(period)
	g.table(func(_, plain *routetable.Route) {
		plain.Kind, plain.Timeout, plain.LatencyObjective = p.kind, 0, p.lasts
	})
	x := startServer(t, "desk", "desk", p.work)
	g.register(directory.Server{ID: x.ID, Service: "desk", Address: x.Address, Domain: "d1", Slots: 1000, Software: "1"})
	a := g.serveCalls(t)
	const before = time.Second
	conns := openConnections(t, a, int((before+period)/p.gap))
	l := make([]stopResult, len(conns))
	endProbes := measureLag(t)
	start := time.Now().Add(before)
	stopped, idle := make(chan struct{}), make(chan time.Duration, 1)
	time.AfterFunc(before, func() { g.Drain(); g.Close(); close(stopped) })
	go func() {
		idle <- g.drain.requests.awaitClosed().Sub(start)
	}()
	var w sync.WaitGroup
	for i, c := range conns {
		w.Go(func() {
			defer c.CloseIdleConnections()
			time.Sleep(time.Until(start.Add(-before + time.Duration(i)*p.gap)))
			l[i] = p.send(c, a, fmt.Sprint("r", i), start)
		})
	}
	w.Wait()
	<-stopped
	v := &stopPlay{results: l, longest: longestAnswered(l), lag: endProbes(), idle: <-idle}
	ran := make(map[string]bool)
	for _, s := range x.runs() {
		ran[strings.TrimSuffix(s, "@")] = true
	}
	for i := range l {
		l[i].ran = ran[fmt.Sprint("r", i)]
	}
	return v
}

func (p stopLoad) send(c *http.Client, a netip.AddrPort, id string, start time.Time) (s stopResult) {
	var sent atomic.Int64
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { sent.CompareAndSwap(0, int64(time.Since(start))) },
	})
	defer func() {
		s.ended = time.Since(start)
		if s.sent = time.Duration(sent.Load()); s.sent == 0 {
			s.sent = s.ended
		}
	}()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+p.target(time.Since(start)), strings.NewReader("b"))
	if err != nil {
		panic(err)
	}
	q.Header.Set(testDialect.RequestID, id)
	q.Header.Set(testDialect.Deadline, p.deadline.String())
	r, err := c.Do(q)
	if err != nil {
		s.reason = err.Error()
		return s
	}
	defer func() { _ = r.Body.Close() }()
	s.reason = r.Header.Get("Reason")
	if _, err := io.ReadAll(r.Body); err == nil {
		s.status = r.StatusCode
	}
	return s
}

// stopResult is how one request of a stopLoad ended.
type stopResult struct {
	// sent is when it was on the wire, ended when it was answered, after the beginning of the stop.
	sent, ended time.Duration
	// status is 0 if the connection ended without a complete answer.
	status int
	// reason is why the host refused it or how the connection failed, else empty.
	reason string
	ran    bool
}

// longestAnswered returns the longest time that a request took which was answered.
func longestAnswered(l []stopResult) time.Duration {
	var d time.Duration
	for _, s := range l {
		if s.status == http.StatusOK {
			d = max(d, s.ended-s.sent)
		}
	}
	return d
}

// stopPlay is what a stopLoad has shown.
type stopPlay struct {
	results []stopResult
	// longest is the longest time that a request took which was answered, lag by how much the machine
	// was late meanwhile.
	longest, lag time.Duration
	// idle is from when on the host let no request begin, after the beginning of the stop.
	idle time.Duration
}

// check fails the test unless the host kept to its guarantees, as far as the lag of the machine allows
// to tell.
func (v *stopPlay) check(t *testing.T, p stopLoad, period time.Duration) {
	t.Helper()
	answered := 0
	end := period - answerReserve
	// By as much the host's beginning of the stop may differ from that of the play.
	tolerance := v.lag + 20*time.Millisecond
	for _, s := range v.results {
		if s.ran {
			require.NotZero(t, s.status, "cut, sent after %v", s.sent)
			require.NotEqual(t, http.StatusServiceUnavailable, s.status, "ran, sent after %v", s.sent)
		}
		if s.status == http.StatusOK && s.sent > unhealthyDetectionTime {
			answered++
		}
		if s.sent+p.deadline > end+tolerance && !p.mayOutlast(s.sent-tolerance) {
			require.False(t, s.ran, "taken though it may last beyond the end, sent after %v", s.sent)
		}
		// A machine that is late by more than a host's shortest time-outs makes it refuse requests for
		// other reasons than the stop.
		refused := s.status == http.StatusServiceUnavailable
		refusedAsLate := refused && v.lag > permitTimeout && !strings.Contains(s.reason, string(outcome.ReasonDraining))
		if refused && s.sent < period-time.Second && !refusedAsLate {
			from := max(s.sent, 0)
			if p.limit != "" {
				// What waits is refused once its caller can be served by another host.
				from = max(from, unhealthyDetectionTime)
			}
			require.Less(t, s.ended-from, time.Second+v.lag, "held in vain, sent after %v: %s", s.sent, s.reason)
		}
		beforeEnd := s.sent+v.lag < v.idle
		require.False(t, s.status == 0 && beforeEnd, "not answered, sent after %v, ended after %v: %s", s.sent, s.ended, s.reason)
		longest := v.longest
		if s.sent+tolerance > lateFrom {
			longest = max(longest, p.late)
		}
		inTime := s.sent+longest+longest/2+v.lag < end
		mayBegin := s.sent+p.deadline+v.lag < end || p.mayOutlast(s.sent+v.lag)
		if p.limit == "" && s.sent > 0 && inTime && mayBegin && beforeEnd && !refusedAsLate {
			require.Equal(t, http.StatusOK, s.status, "would have ended in time, sent after %v: %s", s.sent, s.reason)
		}
	}
	require.True(t, answered > 0 || p.limit != "")
}
