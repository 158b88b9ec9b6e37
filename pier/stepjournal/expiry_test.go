package stepjournal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// expiringLog is a partition whose oldest records expire.
type expiringLog struct {
	records [][]byte
	first   int64
}

func (l *expiringLog) end() int64 { return int64(len(l.records)) }

// read applies up to n records, as a host does with the answer to a read.
func (l *expiringLog) read(f *Fold, n int64) {
	f.SkipTo(l.first)
	for to := min(f.Next+n, l.end()); f.Next < to; {
		_ = f.Apply(l.records[f.Next])
	}
	f.DropExpired(l.first, l.end())
}

// add appends records and returns the offset of the first.
func (l *expiringLog) add(t require.TestingT, r [][]byte, err error) int64 {
	require.NoError(t, err)
	l.records = append(l.records, r...)
	return l.end() - int64(len(r))
}

func oneRecord(b []byte, err error) ([][]byte, error) { return [][]byte{b}, err }

func smallStep(id string, n int, submitted time.Time) *Step {
	s := &Step{ID: id, Model: "m", Submitted: submitted}
	for i := range n {
		s.Items = append(s.Items, Item{ID: fmt.Sprint(id, i), Path: "/p"})
	}
	return s
}

func resultOf(s *Step, i int) ([][]byte, error) {
	return oneRecord(Finished(&Result{Step: s.ID, ItemIndex: i, ID: s.Items[i].ID, State: Completed}))
}

// A step is named by records of many kinds after its acceptance has expired. It must be known as
// long as the log holds any of them, and be dropped after that.
func TestStepIsKnownWhileTheLogNamesIt(t *testing.T) {
	s := smallStep("s", 2, time.Time{})
	tests := map[string]func() ([][]byte, error){
		"result":          func() ([][]byte, error) { return resultOf(s, 0) },
		"repeated result": func() ([][]byte, error) { return resultOf(s, 1) },
		"driver":          func() ([][]byte, error) { return oneRecord(TakenOver("s", "a", Driver{Host: "b"})) },
		"stale driver":    func() ([][]byte, error) { return oneRecord(TakenOver("s", "x", Driver{Host: "b"})) },
		"progress":        func() ([][]byte, error) { return oneRecord(Saved("s", &Progress{LastEvent: 1})) },
		"end":             func() ([][]byte, error) { return oneRecord(Ended("s", time.Time{})) },
		"repeated step":   func() ([][]byte, error) { return Accepted(s, Driver{Host: "c"}, 4096) },
	}
	for name, record := range tests {
		t.Run(name, func(t *testing.T) {
			var l expiringLog
			f := NewFold(FoldConfig{Now: standing})
			r, err := Accepted(s, Driver{Host: "a"}, 4096)
			l.add(t, r, err)
			r, err = resultOf(s, 1)
			first := l.add(t, r, err)
			r, err = record()
			last := l.add(t, r, err)
			l.read(f, 100)
			l.first = last
			l.read(f, 100)
			require.NotNil(t, f.Step("s"))
			require.Equal(t, first, f.Step("s").Results[0])
			l.first = last + 1
			l.read(f, 100)
			require.Nil(t, f.Step("s"))
			require.False(t, f.CutOff("s"))
		})
	}
}

// The log states that the records read so far have expired while others, which may name the
// step, are not read yet.
func TestStepIsNotDroppedBeforeTheEndIsRead(t *testing.T) {
	var l expiringLog
	f := NewFold(FoldConfig{Now: standing})
	s := smallStep("s", 2, time.Time{})
	r, err := Accepted(s, Driver{Host: "a"}, 4096)
	l.add(t, r, err)
	l.read(f, 100)
	l.add(t, [][]byte{{0xc1}}, nil)
	r, err = resultOf(s, 1)
	l.add(t, r, err)
	l.first = 1
	l.read(f, 1)
	require.NotNil(t, f.Step("s"))
	l.read(f, 1)
	require.Equal(t, []int64{2}, f.Step("s").Results)
}

// Records expire before they are read. Results may be among them, so the positions of a step's
// other results are not known, whatever follows.
func TestStepWithSkippedRecordsIsCutOff(t *testing.T) {
	var l expiringLog
	s := smallStep("s", 3, time.Time{})
	early, late := NewFold(FoldConfig{Now: standing}), NewFold(FoldConfig{Now: standing})
	r, err := Accepted(s, Driver{Host: "a"}, 4096)
	l.add(t, r, err)
	l.read(early, 100)
	for i := range s.Items {
		r, err = resultOf(s, i)
		l.add(t, r, err)
	}
	r, err = Accepted(s, Driver{Host: "a"}, 4096)
	l.add(t, r, err)
	l.first = 2
	for _, f := range []*Fold{early, late} {
		l.read(f, 100)
		require.Nil(t, f.Step("s"))
		require.True(t, f.CutOff("s"))
	}
	l.first = l.end()
	for _, f := range []*Fold{early, late} {
		l.read(f, 100)
		require.False(t, f.CutOff("s"))
	}
}

// A step's age is measured here, from when its record was read, whatever time of day the host
// wrote that accepted it.
func TestAgeRestsOnTheClockOfThisHost(t *testing.T) {
	tests := map[string]time.Duration{"days behind": -72 * time.Hour, "behind": -400 * time.Second, "ahead": 400 * time.Second, "days ahead": 72 * time.Hour}
	for name, off := range tests {
		t.Run(name, func(t *testing.T) {
			var l expiringLog
			now := time.Hour
			f := NewFold(FoldConfig{Now: func() time.Duration { return now }})
			s := smallStep("s", 1, time.Now().Add(off))
			for range 2 {
				r, err := Accepted(s, Driver{Host: "a"}, 4096)
				l.add(t, r, err)
				l.read(f, 100)
				now += time.Minute
			}
			require.Equal(t, 2*time.Minute, f.Step("s").Age(now))
			require.Zero(t, f.Step("s").Age(0))
		})
	}
}

// clockHost is a host whose clocks tell any time.
type clockHost struct {
	fold *Fold
	// wall is what its time of day is ahead of the true one by, boot its time since boot.
	wall time.Duration
	boot time.Duration
	// skipped is set once records expired before the host read them.
	skipped bool
}

func newClockHost(t *rapid.T) *clockHost {
	h := &clockHost{wall: clockError().Draw(t, "wall"), boot: time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "boot"))}
	h.fold = NewFold(FoldConfig{Now: func() time.Duration { return h.boot }})
	return h
}

func clockError() *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(-7*86400, 7*86400).Draw(t, "seconds")) * time.Second
	})
}

// drawRecords returns records that a host appends for a step.
func drawRecords(t *rapid.T, s *Step, h *clockHost) ([][]byte, error) {
	host := rapid.SampledFrom([]string{"x", "y"})
	i := rapid.IntRange(0, len(s.Items)-1).Draw(t, "item")
	now := time.Unix(1e9, 0).Add(h.wall)
	switch rapid.SampledFrom([]string{"accept", "driver", "end", "progress", "junk", "result", "result", "result"}).Draw(t, "kind") {
	case "accept":
		c := *s
		c.Submitted = now
		return Accepted(&c, Driver{Host: host.Draw(t, "driver")}, 2*chunkMargin)
	case "driver":
		return oneRecord(TakenOver(s.ID, host.Draw(t, "previous"), Driver{Host: host.Draw(t, "driver")}))
	case "end":
		return oneRecord(Ended(s.ID, now))
	case "progress":
		return oneRecord(Saved(s.ID, &Progress{ItemIndex: i, Text: "t", LastEvent: 1}))
	case "junk":
		return [][]byte{{0xc1}}, nil
	}
	return resultOf(s, i)
}

// The clocks of hosts differ by days and step at any time, and records expire at any offset. A
// host must know each step that the log names exactly as a host does that read all records ever
// written, or know that it cannot tell; only a host that missed records may not be able to.
//
// Two things are left out, as no record shows them: a step that is submitted again when the log
// names it no more, which is a new one, and a host that starts without a checkpoint when all
// that the log names of a step follows its second submission.
func TestHostsAgreeWhateverTheirClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l expiringLog
		whole := NewFold(FoldConfig{Now: standing})
		steps := []*Step{smallStep("a", 2, time.Time{}), smallStep("b", 4, time.Time{}), smallStep("c", 60, time.Time{})}
		hosts := []*clockHost{newClockHost(t), newClockHost(t), newClockHost(t)}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			switch rapid.SampledFrom([]string{"append", "append", "append", "read", "read", "expire", "clock", "start"}).Draw(t, "event") {
			case "append":
				s := rapid.SampledFrom(steps).Draw(t, "step")
				if e := whole.Step(s.ID); e != nil && e.last < l.first {
					continue
				}
				r, err := drawRecords(t, s, h)
				l.add(t, r, err)
				for whole.Next < l.end() {
					_ = whole.Apply(l.records[whole.Next])
				}
			case "read":
				h.skipped = h.skipped || h.fold.Next < l.first
				l.read(h.fold, rapid.Int64Range(1, 20).Draw(t, "records"))
				checkPositions(t, whole, h)
			case "expire":
				l.first = rapid.Int64Range(l.first, l.end()).Draw(t, "first")
			case "clock":
				h.wall = clockError().Draw(t, "wall")
				h.boot += time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "passed"))
			case "start":
				hosts = append(hosts, newClockHost(t))
			}
		}
		for _, h := range hosts {
			h.skipped = h.skipped || h.fold.Next < l.first
			l.read(h.fold, l.end())
			checkHost(t, &l, whole, h)
		}
	})
}

// checkPositions checks that a host that may lack the newest records lists results where one lists
// them that never lacked any.
func checkPositions(t *rapid.T, whole *Fold, h *clockHost) {
	for id, e := range h.fold.Steps() {
		w := whole.Step(id)
		require.NotNil(t, w, "step %s", id)
		if e.From == w.From {
			require.LessOrEqual(t, len(e.Results), len(w.Results))
			require.Equal(t, append([]int64{}, w.Results[:len(e.Results)]...), append([]int64{}, e.Results...))
		}
	}
}

// checkHost compares a host that has read all records with one that never lacked any.
func checkHost(t *rapid.T, l *expiringLog, whole *Fold, h *clockHost) {
	for id, e := range whole.Steps() {
		got := h.fold.Step(id)
		switch {
		case e.last < l.first:
			require.Nil(t, got, "step %s has no record left", id)
		case got == nil:
			require.True(t, h.skipped && h.fold.CutOff(id), "step %s is unknown", id)
		case h.skipped && got.From > e.From:
			// Left out, see TestHostsAgreeWhateverTheirClocks.
		default:
			c := *got
			c.ObservedAt = e.ObservedAt
			require.Equal(t, e, &c)
		}
	}
	for id := range h.fold.Steps() {
		require.NotNil(t, whole.Step(id), "step %s", id)
	}
}
