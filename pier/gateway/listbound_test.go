package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/stepjournal"
)

// appendResults stores a step with n items at a driver that is gone, and a result like r for each.
func appendResults(t *testing.T, v *view, step string, n int, r stepjournal.Result) {
	t.Helper()
	s := newStep(step, n)
	s.Submitted = time.Now()
	b, err := stepjournal.Accepted(s, stepjournal.Driver{Host: "gone"}, v.j.g.s.Log.RecordBytes)
	require.NoError(t, err)
	_, err = v.append(context.Background(), b)
	require.NoError(t, err)
	b = nil
	for i := range n {
		r.Step, r.ItemIndex = step, i
		if r.ID == "" {
			r.ID = s.Items[i].ID
		}
		f, err := stepjournal.Finished(&r)
		require.NoError(t, err)
		b = append(b, f)
		if len(b) == 100 || i == n-1 {
			_, err = v.append(context.Background(), b)
			require.NoError(t, err)
			b = nil
		}
	}
}

// A list of results was bounded by its texts alone: many dead items, long scores, or texts of escaped
// characters made answers of several megabytes. Each list is within the bound, and all are read.
func TestListOfResultsIsBoundedWhateverItHolds(t *testing.T) {
	const maxAnswerBytes = 1_000_000
	for name, c := range map[string]struct {
		items  int
		result stepjournal.Result
	}{
		"long scores":    {200, stepjournal.Result{State: stepjournal.Completed, Score: strings.Repeat("y", 28_000)}},
		"dead":           {8000, stepjournal.Result{State: stepjournal.Dead, ID: strings.Repeat("i", 300)}},
		"control":        {1000, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("\x01", 1000)}},
		"markup":         {1000, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("<", 1000)}},
		"no UTF-8":       {1000, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("\xff", 1000)}},
		"line separator": {1000, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("\u2028", 400)}},
		"quotes":         {1000, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("\"\n\\", 300)}},
		"versions":       {1000, stepjournal.Result{State: stepjournal.Completed, Versions: manyVersions(128)}},
		"plain":          {100, stepjournal.Result{State: stepjournal.Completed, Text: strings.Repeat("x", 30_000)}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			appendResults(t, g.journal.follow("s"), "s", c.items, c.result)
			largest, n := 0, 0
			for n < c.items {
				p, err := g.Results(context.Background(), Principal{}, "s", n, time.Second)
				require.NoError(t, err)
				require.NotEmpty(t, p.Results)
				b, err := json.Marshal(p.Results)
				require.NoError(t, err)
				largest = max(largest, len(b))
				n += len(p.Results)
			}
			require.LessOrEqual(t, largest, maxAnswerBytes)
		})
	}
}

// manyVersions returns n versions of the greatest length.
func manyVersions(n int) []int64 {
	r := make([]int64, n)
	for i := range r {
		r[i] = 1<<63 - 1 - int64(i)
	}
	return r
}

// The size that a result is counted with in a list is at least that of its encoding.
func TestListedSizeOfAResultCoversItsEncoding(t *testing.T) {
	for c := range 0x300 {
		for _, s := range []string{string(rune(c)), string([]byte{byte(c)}), fmt.Sprintf("a%c\u2029%c", c, c)} {
			r := &stepjournal.Result{ID: s, State: stepjournal.Completed, Text: s + s, Score: s, Versions: []int64{-1 << 63, int64(c)}}
			b, err := json.Marshal(r)
			require.NoError(t, err)
			require.GreaterOrEqual(t, listedSize(r), len(b), "%q", s)
		}
	}
}
