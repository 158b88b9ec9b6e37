package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/provider"
)

const windowLength = 5 * time.Second

var (
	testWindows = Windows{Length: windowLength}
	testStart   = time.Unix(1_800_000_000, 0)
)

// testConfig is that of a deployment in which reports are due after 10 s.
var testConfig = CollectorConfig{Windows: testWindows, Due: 10 * time.Second}

// Each time must be in exactly one window, also before 1970 and with windows that are no whole seconds.
func TestEachTimeIsInOneWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Windows{Length: time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "length"))}
		at := time.Unix(0, rapid.Int64Range(-1<<60, 1<<60).Draw(t, "at"))
		k := w.At(at)
		require.False(t, at.Before(w.Start(k)))
		require.True(t, at.Before(w.End(k)))
		require.Equal(t, w.End(k), w.Start(k+1))
		require.Equal(t, k, w.At(w.Start(k)))
		require.Equal(t, k, w.At(w.End(k).Add(-1)))
	})
}

func TestWindowsBeginIn1970(t *testing.T) {
	tests := map[string]struct {
		at   time.Time
		want int64
	}{
		"first":        {time.Unix(0, 0), 0},
		"end of it":    {time.Unix(4, 999_999_999), 0},
		"second":       {time.Unix(5, 0), 1},
		"before":       {time.Unix(-1, 0), -1},
		"five before":  {time.Unix(-5, 0), -1},
		"in this year": {time.Unix(1_800_000_003, 0), 360_000_000},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, testWindows.At(c.at)) })
	}
}

// simulatedHost is a host of a simulation. Its time since boot is that since testStart.
type simulatedHost struct {
	name      string
	counter   *Counter
	collector *Collector
	// read is the number of reports in the log that the host has read.
	read int
}

// message is one that a host has sent to the holder of a term.
type message struct {
	from   *simulatedHost
	term   string
	totals []Total
}

// simulation is a deployment whose holder changes, whose hosts die, and whose messages are lost, doubled and
// delayed. Reports are appended to its log under the condition that the holder has read it to its end.
type simulation struct {
	t     *rapid.T
	now   time.Duration
	hosts []*simulatedHost
	// started is the number of hosts that have been started.
	started int
	holder  int
	// term numbers the terms; tookAt is when the current one began.
	term     int
	tookAt   time.Duration
	messages []message
	log      []provider.UsageReport
	// truth holds what hosts have counted by window and organisation.
	truth map[key]int64
}

func newSimulation(t *rapid.T, hosts int) *simulation {
	s := &simulation{t: t, truth: make(map[key]int64)}
	for range hosts {
		s.hosts = append(s.hosts, s.newHost())
	}
	return s
}

func (s *simulation) newHost() *simulatedHost {
	s.started++
	clock := NewClock(testStart.Add(s.now), s.now)
	clock.Set(time.Duration(testStart.UnixNano()))
	return &simulatedHost{
		name: fmt.Sprint("h", s.started), counter: NewCounter(testWindows, clock, s.now), collector: NewCollector(testConfig),
	}
}

func (s *simulation) trueTime() time.Time { return testStart.Add(s.now) }

// read has a host read the log to its end.
func (s *simulation) read(h *simulatedHost) {
	for _, r := range s.log[h.read:] {
		h.collector.Recorded(r)
		h.counter.Reported(r.Window)
	}
	h.read = len(s.log)
}

func (s *simulation) count(h *simulatedHost, organisation string) {
	if h.counter.Add(organisation, s.now) {
		s.truth[key{testWindows.At(s.trueTime()), organisation}]++
	}
}

// send has a host send what the holder does not have.
func (s *simulation) send(h *simulatedHost, n int) {
	term := fmt.Sprint("term-", s.term)
	s.messages = append(s.messages, message{from: h, term: term, totals: h.counter.Due(term, n)})
}

// deliver delivers a message to the holder, whose answer reaches the sender unless it is lost.
func (s *simulation) deliver(i int, lost bool) {
	m, c := s.messages[i], s.hosts[s.holder].collector
	if k, ok := m.from.counter.Since(); ok {
		c.Since(k)
	}
	require.NoError(s.t, c.Add(m.from.name, m.totals, s.trueTime()))
	if !lost && m.term == fmt.Sprint("term-", s.term) {
		m.from.counter.Acknowledged(m.term, m.totals)
	}
}

// change lets a host hold the lease, which has read the log to its end then.
func (s *simulation) change(holder int) {
	s.holder = holder
	s.term++
	s.tookAt = s.now
	s.read(s.hosts[holder])
}

// decide has the holder decide at most one window. The append may be made without an answer.
func (s *simulation) decide(answered bool) bool {
	h := s.hosts[s.holder]
	r, ok := h.collector.Next(s.trueTime(), s.now-s.tookAt)
	if !ok {
		return false
	}
	require.GreaterOrEqual(s.t, s.trueTime().Sub(testWindows.End(r.Window)), testConfig.Due/2, "decided early")
	if h.read != len(s.log) {
		s.read(h) // The condition of the append fails.
		return true
	}
	s.log = append(s.log, r)
	if answered {
		s.read(h)
	}
	return true
}

// checkLog checks that each window was decided once, with no more than was counted.
func (s *simulation) checkLog() {
	seen := make(map[int64]bool)
	for _, r := range s.log {
		require.False(s.t, seen[r.Window], "window %d was decided twice", r.Window)
		seen[r.Window] = true
		for o, n := range r.Counts {
			require.LessOrEqual(s.t, n, s.truth[key{r.Window, o}])
		}
	}
}

// Holders change at any point, hosts die and start, messages arrive twice, late, in another order or not at all,
// and appends get no answer. No window may be decided twice, and none may hold more than was counted.
func TestWindowsAreDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
			h := s.hosts[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				s.change(i)
			case 1:
				s.hosts[i] = s.newHost()
				if i == s.holder {
					s.change((i + 1) % len(s.hosts))
				}
			case 2, 3:
				s.send(h, rapid.IntRange(0, 3).Draw(t, "most"))
			case 4, 5:
				if n := len(s.messages); n > 0 {
					s.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
				}
			case 6:
				s.decide(rapid.Bool().Draw(t, "answered"))
			case 7:
				s.read(h)
			case 8:
				s.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pass")) * time.Millisecond
			default:
				s.count(h, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation"))
			}
		}
		s.checkLog()
	})
}

// Holders change and messages arrive twice, but all totals reach the holder before it decides. Each window since
// the first host started must be decided with exactly what was counted.
func TestReportsAreExactIfTotalsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		first := testWindows.At(s.trueTime())
		flush := func() {
			for _, h := range s.hosts {
				s.send(h, 1000)
				s.deliver(len(s.messages)-1, rapid.Bool().Draw(t, "lost"))
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				s.count(s.hosts[rapid.IntRange(0, 2).Draw(t, "host")], rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation"))
			}
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				s.change(rapid.IntRange(0, 2).Draw(t, "holder"))
			}
			s.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond
			flush()
			for s.decide(true) {
			}
			for _, h := range s.hosts {
				s.read(h)
			}
		}
		s.checkLog()
		for i, r := range s.log {
			require.Equal(t, first+int64(i), r.Window, "a window is missing")
			for o, n := range r.Counts {
				require.Equal(t, s.truth[key{r.Window, o}], n)
			}
			for k, n := range s.truth {
				if k.window == r.Window {
					require.Equal(t, n, r.Counts[k.organisation])
				}
			}
		}
	})
}

func reportOf(k int64, counts map[string]int64) provider.UsageReport {
	return provider.UsageReport{Window: k, Counts: counts}
}

// Windows are decided 5 s after their end; a new holder gives the hosts 1 s to send their totals, but decides before the
// report is late.
func TestWhenWindowsAreDecided(t *testing.T) {
	k := testWindows.At(testStart)
	tests := map[string]struct {
		afterEnd, held time.Duration
		want           bool
	}{
		"too early":              {5*time.Second - 1, time.Hour, false},
		"in time":                {5 * time.Second, time.Hour, true},
		"new holder":             {6 * time.Second, settleTime - 1, false},
		"holder of a second":     {6 * time.Second, settleTime, true},
		"new holder, late":       {8 * time.Second, minSettleTime, true},
		"just took it, late":     {8 * time.Second, minSettleTime - 1, false},
		"almost a minute late":   {MaxAge - 1, time.Hour, true},
		"too late for a report":  {MaxAge, time.Hour, false},
		"before the window ends": {-time.Second, time.Hour, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			x := NewCollector(testConfig)
			x.Since(k)
			r, ok := x.Next(testWindows.End(k).Add(c.afterEnd), c.held)
			require.Equal(t, c.want, ok && r.Window == k)
		})
	}
}

// Nothing is decided by a holder that no host has told since when it counts: it would report windows in which no
// host ran.
func TestNothingIsDecidedBeforeAHostStarted(t *testing.T) {
	x := NewCollector(testConfig)
	_, ok := x.Next(testStart, time.Hour)
	require.False(t, ok)
	x.Since(testWindows.At(testStart))
	_, ok = x.Next(testStart, time.Hour)
	require.False(t, ok)
}

// All hosts were off for half an hour. The holder must report windows from a minute ago on, and none for which a
// report is in the log.
func TestWindowsThatNobodyDecidedAreReported(t *testing.T) {
	k := testWindows.At(testStart)
	x := NewCollector(testConfig)
	x.Recorded(reportOf(k-360, nil))
	x.Recorded(reportOf(k-3, nil))
	var got []int64
	for {
		r, ok := x.Next(testStart, time.Hour)
		if !ok {
			break
		}
		require.Empty(t, r.Counts)
		require.NotNil(t, r.Counts)
		got = append(got, r.Window)
		x.Recorded(r)
	}
	require.Equal(t, []int64{k - 12, k - 11, k - 10, k - 9, k - 8, k - 7, k - 6, k - 5, k - 4, k - 2}, got)
}

// A report is owed until it was accepted or is a minute old. The next holder, which knows no acceptance, owes it
// with the counts in the log, whatever totals it has.
func TestOwedReports(t *testing.T) {
	k := testWindows.At(testStart)
	x := NewCollector(testConfig)
	require.NoError(t, x.Add("h", []Total{{Window: k, Organisation: "o", Count: 9}}, testStart))
	x.Recorded(reportOf(k+1, nil))
	x.Recorded(reportOf(k, map[string]int64{"o": 1}))
	x.Recorded(reportOf(k, map[string]int64{"o": 2}))
	require.Equal(t, []provider.UsageReport{reportOf(k, map[string]int64{"o": 1}), reportOf(k+1, nil)}, x.Owed())
	x.Answered(k+1, true)
	x.Answered(k+1, false)
	x.Answered(k, false)
	require.Len(t, x.Owed(), 1)
	require.Empty(t, x.Expire(testWindows.End(k).Add(MaxAge-1)))
	require.Equal(t, []provider.UsageReport{reportOf(k, map[string]int64{"o": 1})}, x.Expire(testWindows.End(k+1).Add(MaxAge)))
	require.Empty(t, x.Owed())
	require.Zero(t, x.size)
}

// The memory of a collector that reads records for days must not grow, nor must a holder's that is sent totals of
// nonsensical windows.
func TestCollectorIsBounded(t *testing.T) {
	x, c := NewCollector(testConfig), NewCounter(testWindows, NewClock(testStart, 0), 0)
	k := testWindows.At(testStart)
	for i := range int64(5 * maxReported) {
		x.Recorded(reportOf(k+i, nil))
		c.Reported(k + i)
	}
	require.LessOrEqual(t, len(x.reports), 26)
	require.LessOrEqual(t, len(x.reported.windows), 2*maxReported)
	require.LessOrEqual(t, len(c.reported.windows), 2*maxReported)
	var l []Total
	for i := range int64(maxTotals + 1) {
		l = append(l, Total{Window: k - i, Organisation: "o", Count: 1})
	}
	require.NoError(t, x.Add("h", l, testStart))
	require.LessOrEqual(t, x.size, 14)
	require.Error(t, x.Add("h", l, time.Time{}))
	x.DropOld(testStart)
	require.LessOrEqual(t, x.size, 14)
}

// A host that just started does not know true time, and reads old records by a clock that is wrong by minutes. It must
// not forget that their windows are reported.
func TestReportsAreKnownWhateverTheClock(t *testing.T) {
	k := testWindows.At(testStart)
	x := NewCollector(testConfig)
	x.Recorded(reportOf(k-2, nil))
	x.DropOld(testStart.Add(400 * time.Second))
	require.Empty(t, x.Expire(testStart.Add(400*time.Second)))
	r, ok := x.Next(testStart, time.Hour)
	require.False(t, ok, "%v", r)
}
