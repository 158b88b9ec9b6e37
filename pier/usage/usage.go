// Package usage counts the requests of each organisation that servers began to run, by windows of time, and
// decides the report of each window.
//
// Each host has a Counter, which holds its totals until the report of their window is in the log. The holder
// of the order lease has a Collector, which adds the totals of all hosts and decides the counts of a window
// once. Totals only grow, so messages that carry them may arrive twice and in any order. Windows are those of
// true time, the time that most hosts' clocks agree on: see Clock and Consensus. The package performs no I/O.
package usage

import "time"

// MaxAge is how long after the end of its window a report that was not accepted is repeated, and a window that
// nobody decided is still reported.
const MaxAge = time.Minute

// Total is the number of requests of an organisation that a host has counted in a window.
type Total struct {
	Window       int64  `msgpack:"w"`
	Organisation string `msgpack:"o"`
	Count        int64  `msgpack:"n"`
}

// Windows divides time into windows of equal length. Window 0 begins at the start of 1970.
type Windows struct{ Length time.Duration }

// At returns the number of the window of a time.
func (w Windows) At(t time.Time) int64 {
	n := t.UnixNano()
	k := n / int64(w.Length)
	if n < k*int64(w.Length) {
		k--
	}
	return k
}

// Start returns when a window begins.
func (w Windows) Start(k int64) time.Time { return time.Unix(0, k*int64(w.Length)) }

// End returns when a window ends, which is when the next one begins.
func (w Windows) End(k int64) time.Time { return w.Start(k + 1) }

// current reports whether window k may be counted in at a time: it began, or is about to, and its report
// would not be too old.
func (w Windows) current(k int64, now time.Time) bool {
	return k <= w.At(now)+1 && now.Before(w.End(k).Add(MaxAge))
}

// maxReported is the number of windows for which a windowSet remembers that there is a report.
const maxReported = 4096

// windowSet holds the newest windows of which a report is in the log. What it drops does not depend on a clock: a
// host that has just started may read the log before it knows true time.
type windowSet struct {
	windows map[int64]bool
	newest  int64
}

func newWindowSet() windowSet { return windowSet{windows: make(map[int64]bool)} }

// has reports whether a report of the window is in the log.
func (s *windowSet) has(k int64) bool { return s.windows[k] }

func (s *windowSet) add(k int64) {
	if len(s.windows) == 0 || k > s.newest {
		s.newest = k
	}
	s.windows[k] = true
	if len(s.windows) <= 2*maxReported {
		return
	}
	for x := range s.windows {
		if x <= s.newest-maxReported {
			delete(s.windows, x)
		}
	}
}
