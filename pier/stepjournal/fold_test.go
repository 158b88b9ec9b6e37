package stepjournal

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// standing is a clock that stands still.
func standing() time.Duration { return 0 }

func generateStep(t *rapid.T, id string) *Step {
	s := &Step{ID: id, Model: "m", Submitted: time.Unix(100, 0), Organisation: rapid.SampledFrom([]string{"", "o"}).Draw(t, "organisation")}
	for i := range rapid.IntRange(1, 6).Draw(t, "items") {
		b := bytes.Repeat([]byte{byte(i)}, rapid.IntRange(0, 4000).Draw(t, "body"))
		s.Items = append(s.Items, Item{ID: fmt.Sprint(id, i), Path: "/p", Body: b})
	}
	return s
}

// Hosts append steps, results, ends and takeovers in any order, more than once and late.
// Each list of results that a reader has seen must be a prefix of every later list, and
// a reader that replays all records at once must arrive at the same state.
func TestFoldKeepsPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		steps := []*Step{generateStep(t, "a"), generateStep(t, "b")}
		f := NewFold(FoldConfig{Now: standing})
		seenResults := make(map[string][]int64)
		for range rapid.IntRange(1, 60).Draw(t, "appends") {
			s := rapid.SampledFrom(steps).Draw(t, "step")
			d := Driver{Host: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Peers: netip.MustParseAddrPort("127.0.0.1:1")}
			i := rapid.IntRange(0, len(s.Items)-1).Draw(t, "item")
			var r [][]byte
			var record []byte
			var err error
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				r, err = Accepted(s, d, 4096)
			case 1:
				record, err = TakenOver(s.ID, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "prior"), d)
			case 2:
				record, err = Ended(s.ID, time.Unix(200, 0))
			case 4:
				record, err = Saved(s.ID, &Progress{
					ItemIndex: i, Text: "t", LastEvent: 1,
					Versions: []int64{1},
				})
			case 3:
				record = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "junk")
			default:
				record, err = Finished(&Result{
					Step: s.ID, ItemIndex: i, ID: s.Items[i].ID,
					State: Completed, Text: fmt.Sprint(len(log)),
				})
			}
			require.NoError(t, err)
			if r == nil {
				r = [][]byte{record}
			}
			log = append(log, r...)
			for _, b := range r {
				_ = f.Apply(b)
			}
			for id, e := range f.Steps() {
				require.LessOrEqual(t, len(seenResults[id]), len(e.Results))
				for i, offset := range seenResults[id] {
					require.Equal(t, offset, e.Results[i])
				}
				seenResults[id] = append([]int64(nil), e.Results...)
			}
		}
		g := NewFold(FoldConfig{Now: standing})
		for _, b := range log {
			_ = g.Apply(b)
		}
		require.Equal(t, f.steps, g.steps)
		for _, e := range g.Steps() {
			checkEntry(t, log, e)
		}
	})
}

// checkEntry checks that each item occurs at most once in the step's list of results,
// that progress is kept for unfinished items only, and that the step can be decoded.
func checkEntry(t *rapid.T, log [][]byte, e *Entry) {
	seen := make(map[int]bool)
	for _, offset := range e.Results {
		r, err := DecodeResult(log[offset])
		require.NoError(t, err)
		require.False(t, seen[r.ItemIndex])
		seen[r.ItemIndex] = true
	}
	for i, offset := range e.ProgressOffsets {
		p, err := DecodeProgress(log[offset])
		require.NoError(t, err)
		require.Equal(t, i, p.ItemIndex)
		require.False(t, e.HasResult(i))
	}
	s, err := DecodeStep(log[e.From:e.To])
	require.NoError(t, err)
	require.Equal(t, e.ID, s.ID)
	require.Len(t, s.Items, e.Total)
}

func TestTakeoverWantsTheDriverItFollows(t *testing.T) {
	f := NewFold(FoldConfig{Now: standing})
	apply := func(b []byte, err error) {
		require.NoError(t, err)
		require.NoError(t, f.Apply(b))
	}
	s := &Step{ID: "s", Model: "m", Items: []Item{{ID: "i", Path: "/p"}}}
	r, err := Accepted(s, Driver{Host: "a"}, 4096)
	require.NoError(t, err)
	apply(r[0], nil)
	apply(TakenOver("s", "a", Driver{Host: "b"}))
	apply(TakenOver("s", "a", Driver{Host: "c"}))
	require.Equal(t, "b", f.Step("s").Driver.Host)
	require.Equal(t, 1, f.Step("s").Takeovers)
}

func FuzzApply(f *testing.F) {
	b, _ := Finished(&Result{Step: "s"})
	f.Add(b)
	f.Add([]byte{0xc1})
	f.Fuzz(func(_ *testing.T, b []byte) {
		x := NewFold(FoldConfig{Now: standing})
		_ = x.Apply(b)
		_, _ = DecodeResult(b)
		_, _ = DecodeProgress(b)
		_, _ = DecodeStep([][]byte{b})
	})
}

// A record of progress is appended late, after a newer one of the item. Whoever goes on begins at one of
// the two, whose text and event belong together.
func TestOlderProgressThatComesLateIsWholeByItself(t *testing.T) {
	var l expiringLog
	s := smallStep("s", 1, time.Time{})
	r, err := Accepted(s, Driver{Host: "a"}, 4096)
	l.add(t, r, err)
	for _, text := range []string{"abc", "a"} {
		r, err = oneRecord(Saved("s", &Progress{Text: text, LastEvent: int64(len(text)), Versions: []int64{1}}))
		l.add(t, r, err)
	}
	f := NewFold(FoldConfig{Now: standing})
	l.read(f, l.end())
	p, err := DecodeProgress(l.records[f.Step("s").ProgressOffsets[0]])
	require.NoError(t, err)
	require.EqualValues(t, len(p.Text), p.LastEvent)
	r, err = resultOf(s, 0)
	l.add(t, r, err)
	r, err = oneRecord(Saved("s", &Progress{Text: "a", LastEvent: 1}))
	l.add(t, r, err)
	l.read(f, l.end())
	require.Empty(t, f.Step("s").ProgressOffsets, "progress of an item that has a result")
}
