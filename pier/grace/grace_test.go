package grace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = time.Second

func window(start time.Time) Window {
	return Window{Announced: start.Add(2 * second), Settled: start.Add(3 * second), End: start.Add(8 * second)}
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		// at, deadline are times since the start of the shutdown.
		at, deadline time.Duration
		usual        Usual
		idempotent   bool
		want         Decision
	}{
		"before it is announced":              {at: 1 * second, deadline: 60 * second, want: Take},
		"deadline before the end":             {at: 5 * second, deadline: 8 * second, want: Take},
		"deadline before the end, long usual": {at: 5 * second, deadline: 8 * second, usual: Usual{Longest: 10 * second}, want: Take},
		"before they settle, not known":       {at: 2500 * time.Millisecond, deadline: 9 * second, want: Refuse},
		"before they settle, short":           {at: 2500 * time.Millisecond, deadline: 12 * second, usual: Usual{Longest: second}, want: Take},
		"before they settle, too long":        {at: 2500 * time.Millisecond, deadline: 12 * second, usual: Usual{Longest: 5 * second}, want: Refuse},
		"later, short":                        {at: 3 * second, deadline: 12 * second, usual: Usual{Longest: time.Millisecond}, want: Refuse},
		"idempotent, not known":               {at: 3 * second, deadline: 9 * second, idempotent: true, want: Refuse},
		"idempotent, short":                   {at: 6 * second, deadline: 12 * second, usual: Usual{Longest: second}, idempotent: true, want: TakeWhole},
		"idempotent, too long":                {at: 7 * second, deadline: 12 * second, usual: Usual{Longest: second}, idempotent: true, want: Refuse},
		"idempotent, margin does not fit":     {at: 6800 * time.Millisecond, deadline: 12 * second, usual: Usual{Longest: second}, idempotent: true, want: Refuse},
		"idempotent, answers in parts":        {at: 6 * second, deadline: 12 * second, usual: Usual{Longest: second, Partial: true}, idempotent: true, want: Refuse},
		"idempotent, before they settle":      {at: 2500 * time.Millisecond, deadline: 12 * second, usual: Usual{Longest: second, Partial: true}, idempotent: true, want: Take},
		"after the end":                       {at: 9 * second, deadline: 12 * second, usual: Usual{Longest: time.Millisecond}, idempotent: true, want: Refuse},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			require.Equal(t, c.want, window(start).Decide(start.Add(c.at), Candidate{
				Deadline: start.Add(c.deadline), Usual: c.usual, Idempotent: c.idempotent,
			}))
		})
	}
}

func TestHistoryKnowsTheLongest(t *testing.T) {
	start := time.Now()
	h := NewHistory()
	require.Zero(t, h.Usual(start))
	long := h.Begin(start)
	require.Equal(t, Usual{Longest: 3 * second}, h.Usual(start.Add(3*second)), "one that runs counts")
	long.AnswerInParts()
	require.Equal(t, Usual{Longest: 3 * second, Partial: true}, h.Usual(start.Add(3*second)))
	long.End(start.Add(4 * second))
	long.End(start.Add(9 * second))
	require.Equal(t, Usual{Longest: 4 * second, Partial: true}, h.Usual(start.Add(20*second)))
	for i := range keptEnds {
		at := start.Add(time.Duration(i) * second)
		h.Begin(at).End(at.Add(second))
	}
	require.Equal(t, Usual{Longest: second}, h.Usual(start.Add(100*second)), "old requests are forgotten")
}

// load is a series of requests on kept connections until the end of a shutdown, with deadlines beyond it.
type load struct {
	idempotent bool
	gap        time.Duration
	// lasts returns how long the next request takes.
	lasts func() time.Duration
}

// replay puts the load before a window, and calls decided with each decision after the announcement.
func (l load) replay(w Window, start time.Time, decided func(d Decision, at time.Time, lasts time.Duration)) {
	type running struct {
		r    *Request
		ends time.Time
	}
	h := NewHistory()
	first := l.lasts()
	h.Begin(start.Add(-first)).End(start)
	var all []running
	for at := start; at.Before(w.End); at = at.Add(l.gap) {
		for _, x := range all {
			if !x.ends.After(at) {
				x.r.End(x.ends)
			}
		}
		lasts := l.lasts()
		d := w.Decide(at, Candidate{Deadline: at.Add(60 * second), Usual: h.Usual(at), Idempotent: l.idempotent})
		if d != Refuse {
			all = append(all, running{h.Begin(at), at.Add(lasts)})
		}
		if !at.Before(w.Announced) {
			decided(d, at, lasts)
		}
	}
}

// Replays loads of steady times: none that is taken after the announcement lasts beyond the end, and of those that
// may be taken by what others took, only those are refused that do not fit with their margin.
func TestNoSteadyLoadIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		w := window(start)
		lasts := time.Duration(rapid.Int64Range(1, 6000).Draw(t, "lasts")) * time.Millisecond
		l := load{
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			gap:        time.Duration(rapid.Int64Range(10, 700).Draw(t, "gap")) * time.Millisecond,
			lasts:      func() time.Duration { return lasts },
		}
		l.replay(w, start, func(d Decision, at time.Time, lasts time.Duration) {
			ends := at.Add(lasts)
			if d != Refuse && ends.After(w.End) {
				t.Fatalf("taken after %v, ends after %v", at.Sub(start), ends.Sub(start))
			}
			mayBegin := l.idempotent || at.Before(w.Settled)
			if d == Refuse && mayBegin && ends.Add(lasts/marginDivisor).Before(w.End) {
				t.Fatalf("refused after %v, would end after %v", at.Sub(start), ends.Sub(start))
			}
		})
	})
}

// Guards against requests that are taken because those before them were short, and cut as they are not:
// replays loads of any times.
func TestNoUnsteadyLoadIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		w := window(start)
		times := rapid.SliceOfN(rapid.Int64Range(1, 20000), 1, 50).Draw(t, "times")
		next := 0
		l := load{
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			gap:        time.Duration(rapid.Int64Range(10, 700).Draw(t, "gap")) * time.Millisecond,
			lasts: func() time.Duration {
				next++
				return time.Duration(times[next%len(times)]) * time.Millisecond
			},
		}
		l.replay(w, start, func(d Decision, at time.Time, lasts time.Duration) {
			if d == Take && !at.Before(w.Settled) && at.Add(lasts).After(w.End) {
				t.Fatalf("taken after %v, ends after %v", at.Sub(start), at.Add(lasts).Sub(start))
			}
		})
	})
}
