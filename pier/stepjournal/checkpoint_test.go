package stepjournal

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// generateRecord returns records that a host may append for one of the steps.
func generateRecord(t *rapid.T, steps []*Step) [][]byte {
	s := rapid.SampledFrom(steps).Draw(t, "step")
	i := rapid.IntRange(0, len(s.Items)-1).Draw(t, "item")
	d := Driver{Host: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"), Peers: netip.MustParseAddrPort("127.0.0.1:1")}
	var b []byte
	var err error
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r, err := Accepted(s, d, 4096)
		require.NoError(t, err)
		return r
	case 1:
		b, err = TakenOver(s.ID, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "previous"), d)
	case 2:
		b, err = Ended(s.ID, time.Unix(200, 0))
	case 3:
		b, err = Saved(s.ID, &Progress{ItemIndex: i, Text: "t", LastEvent: 1, Versions: []int64{1}})
	case 4:
		b = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "junk")
	default:
		b, err = Finished(&Result{Step: s.ID, ItemIndex: i, ID: s.Items[i].ID, State: Completed, Text: "t"})
	}
	require.NoError(t, err)
	return [][]byte{b}
}

// A view that restores a checkpoint and replays what follows must know what one knows that
// replays everything.
func TestRestoredStateEqualsReplayedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := []*Step{generateStep(t, "a"), generateStep(t, "b"), generateStep(t, "c")}
		replayed, saved := NewFold(FoldConfig{Now: standing}), NewFold(FoldConfig{Now: standing})
		var b []byte
		var rest [][]byte
		for range rapid.IntRange(1, 60).Draw(t, "appends") {
			if rapid.IntRange(0, 30).Draw(t, "expired") == 0 {
				replayed.SkipTo(replayed.Next + 1)
				saved.SkipTo(saved.Next + 1)
				b, rest = nil, nil
			}
			for _, r := range generateRecord(t, steps) {
				_ = replayed.Apply(r)
				_ = saved.Apply(r)
				rest = append(rest, r)
				if !rapid.Bool().Draw(t, "checkpoint") {
					continue
				}
				if c, ok := saved.Checkpoint(3); ok {
					b, rest = c, nil
				}
			}
		}
		if b == nil {
			return
		}
		restored := NewFold(FoldConfig{Now: standing})
		require.NoError(t, restored.Restore(b, 3))
		for _, r := range rest {
			_ = restored.Apply(r)
		}
		require.Equal(t, replayed.Next, restored.Next)
		require.Equal(t, replayed.skipped, restored.skipped)
		require.Equal(t, replayed.cutOff, restored.cutOff)
		require.Equal(t, len(replayed.steps), len(restored.steps))
		for id, e := range replayed.steps {
			r := restored.steps[id]
			require.NotNil(t, r, id)
			require.Equal(t, e.Results, r.Results)
			require.Equal(t, e.items, r.items)
			require.Equal(t, e.hasResult, r.hasResult)
			require.Equal(t, e.ProgressOffsets, r.ProgressOffsets)
			require.Equal(t, []any{e.From, e.To, e.Total, e.Driver, e.Takeovers, e.Ended, e.last, e.Organisation}, []any{r.From, r.To, r.Total, r.Driver, r.Takeovers, r.Ended, r.last, r.Organisation})
		}
	})
}

func TestCheckpointIsNotRestored(t *testing.T) {
	f := NewFold(FoldConfig{Now: standing})
	s := &Step{ID: "a", Model: "m", Items: []Item{{ID: "a0", Path: "/p"}, {ID: "a1", Path: "/p"}}}
	r, err := Accepted(s, Driver{Host: "x"}, 4096)
	require.NoError(t, err)
	require.NoError(t, f.Apply(r[0]))
	b, ok := f.Checkpoint(3)
	require.True(t, ok)
	other, err := msgpack.Marshal(&checkpoint{Format: checkpointFormat + 1, Partition: 3, Next: 1})
	require.NoError(t, err)
	tests := map[string]struct {
		b         []byte
		partition int
	}{
		"no bytes":             {nil, 3},
		"no checkpoint":        {[]byte{0xff, 0x81, 0xa1}, 3},
		"cut":                  {b[:len(b)-3], 3},
		"of another partition": {b, 4},
		"of another format":    {other, 3},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewFold(FoldConfig{Now: standing})
			require.Error(t, g.Restore(x.b, x.partition))
			require.Equal(t, NewFold(FoldConfig{Now: standing}).Next, g.Next)
			require.Empty(t, g.Steps())
		})
	}
}

// No bytes end the process or yield an entry whose records contradict each other.
func TestOddCheckpointsDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFold(FoldConfig{Now: standing})
		steps := []*Step{generateStep(t, "a"), generateStep(t, "b")}
		for range rapid.IntRange(1, 20).Draw(t, "appends") {
			for _, r := range generateRecord(t, steps) {
				_ = f.Apply(r)
			}
		}
		b, ok := f.Checkpoint(3)
		if !ok {
			return
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		g := NewFold(FoldConfig{Now: standing})
		if g.Restore(b, 3) != nil {
			return
		}
		for _, e := range g.Steps() {
			require.LessOrEqual(t, len(e.Results), e.Total, fmt.Sprint(e))
			for _, o := range e.Results {
				require.Less(t, o, g.Next)
			}
		}
	})
}

// An older checkpoint must not take a view back.
func TestOlderCheckpointIsIgnored(t *testing.T) {
	f := NewFold(FoldConfig{Now: standing})
	s := &Step{ID: "a", Model: "m", Items: []Item{{ID: "a0", Path: "/p"}}}
	old, ok := f.Checkpoint(0)
	require.True(t, ok)
	r, err := Accepted(s, Driver{Host: "x"}, 4096)
	require.NoError(t, err)
	require.NoError(t, f.Apply(r[0]))
	require.NoError(t, f.Restore(old, 0))
	require.EqualValues(t, 1, f.Next)
	require.NotNil(t, f.Step("a"))
}

// The age of a step must survive the loss of all hosts, whose clocks since boot start anew, and
// never be more than it is.
func TestAgeSurvivesCheckpoint(t *testing.T) {
	now := 100 * time.Second
	f := NewFold(FoldConfig{Now: func() time.Duration { return now }})
	s := &Step{ID: "a", Model: "m", Items: []Item{{ID: "a0", Path: "/p"}}}
	r, err := Accepted(s, Driver{Host: "x"}, 4096)
	require.NoError(t, err)
	require.NoError(t, f.Apply(r[0]))
	now += 40 * time.Second
	b, ok := f.Checkpoint(0)
	require.True(t, ok)
	booted := 2 * time.Second
	g := NewFold(FoldConfig{Now: func() time.Duration { return booted }})
	require.NoError(t, g.Restore(b, 0))
	require.Equal(t, 40*time.Second, g.Step("a").Age(booted))
}

// A view that cannot interpret some of the records that the log holds must not hand that on.
func TestViewThatSkippedRecordsWritesNoCheckpoint(t *testing.T) {
	f := NewFold(FoldConfig{Now: standing})
	f.SkipTo(10)
	_, ok := f.Checkpoint(0)
	require.False(t, ok)
	b, err := Ended("a", time.Unix(200, 0))
	require.NoError(t, err)
	require.NoError(t, f.Apply(b))
	f.DropExpired(10, 11)
	_, ok = f.Checkpoint(0)
	require.False(t, ok, "the step of the record at 10 is cut off")
	f.DropExpired(11, 11)
	_, ok = f.Checkpoint(0)
	require.True(t, ok)
}

// A step without items would make the checkpoints of its partition contradict themselves.
func TestStepWithoutItemsIsSkipped(t *testing.T) {
	f := NewFold(FoldConfig{Now: standing})
	r, err := Accepted(&Step{ID: "a", Model: "m"}, Driver{Host: "x"}, 4096)
	require.NoError(t, err)
	require.NoError(t, f.Apply(r[0]))
	require.Nil(t, f.Step("a"))
	require.Equal(t, 1, f.Unreadable)
	b, ok := f.Checkpoint(0)
	require.True(t, ok)
	require.NoError(t, NewFold(FoldConfig{Now: standing}).Restore(b, 0))
}
