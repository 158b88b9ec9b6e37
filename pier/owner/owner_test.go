package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

var now = time.Unix(1000, 0)

// newTable returns a table that owns three servers of four streams each: one ordinary, one
// of an interactive deployment and one express server.
func newTable() *Table {
	t := New(Config{Reserve: 0.25})
	t.SetOwned([]Owned{
		{Server: release.Server{Name: "a", Deployment: "d", Capacity: 4}},
		{Server: release.Server{Name: "b", Deployment: "i", Capacity: 4}, Interactive: true},
		{Server: release.Server{Name: "c", Deployment: "x", Capacity: 4}, Express: 2},
	})
	for _, n := range t.Names() {
		t.Report(now, n, &engine.Load{Versions: map[string]int64{"m": 3}})
	}
	return t
}

// TestRoom checks the free slots that are offered on a server.
func TestRoom(t *testing.T) {
	for name, x := range map[string]struct {
		change     func(t *Table)
		deployment string
		freeSlots  int
	}{
		"empty":             {func(*Table) {}, "d", 4},
		"reserve":           {func(*Table) {}, "i", 3},
		"express":           {func(*Table) {}, "x", 2},
		"one runs":          {func(t *Table) { _ = t.Start("a", "1", Rollout) }, "d", 3},
		"foreign streams":   {func(t *Table) { t.SetForeign("a", 3) }, "d", 1},
		"leaving":           {func(t *Table) { t.MarkLeaving("a") }, "d", 0},
		"says it leaves":    {func(t *Table) { t.Report(now, "a", &engine.Load{Leaving: true}) }, "d", 0},
		"does not answer":   {func(t *Table) { t.Down("a") }, "d", 0},
		"ended":             {func(t *Table) { _ = t.Start("a", "1", Rollout); t.End("a", "1") }, "d", 4},
		"adopted":           {func(t *Table) { t.Adopt("a", "1") }, "d", 3},
		"came back, leaves": {func(t *Table) { t.MarkLeaving("a"); t.Report(now, "a", &engine.Load{}) }, "d", 0},
		"owned anew, leaving": {func(t *Table) {
			t.MarkLeaving("a")
			t.SetOwned(nil)
			t.SetOwned([]Owned{{Server: release.Server{Name: "a", Deployment: "d", Capacity: 4}}})
		}, "d", 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTable()
			x.change(b)
			n := 0
			for _, o := range b.Offers(now, x.deployment, "m") {
				n += o.FreeSlots
				require.Equal(t, int64(3), int64(o.Version))
			}
			require.Equal(t, x.freeSlots, n)
		})
	}
}

// TestStart checks which streams are refused, and that every refusal says not-run.
func TestStart(t *testing.T) {
	b := newTable()
	b.MarkLeaving("a")
	for name, x := range map[string]struct {
		server string
		class  Class
		reason outcome.Reason
	}{
		"leaving":           {"a", Rollout, outcome.ReasonDraining},
		"unknown":           {"z", Rollout, outcome.ReasonNotOwner},
		"taken":             {"b", Interactive, ""},
		"rollout past room": {"c", Rollout, ""},
	} {
		t.Run(name, func(t *testing.T) {
			err := b.Start(x.server, name, x.class)
			if x.reason == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, outcome.HasReason(err, x.reason))
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		})
	}
}

// TestTableRandom starts and ends streams at random and marks servers as leaving. No server
// runs more than its capacity, and a leaving server gets no new work.
func TestTableRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTable()
		leaving := map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "acts") {
			n := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0, 1, 2:
				v, _ := b.View(n)
				err := b.Start(n, fmt.Sprint(i), Class(rapid.IntRange(0, 1).Draw(t, "class")))
				require.False(t, err == nil && (leaving[n] || v.Running >= v.Capacity))
			case 3:
				b.End(n, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "stream")))
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
					b.MarkLeaving(n)
					leaving[n] = true
				}
			case 5:
				b.Report(now, n, &engine.Load{})
			}
		}
	})
}

// TestTurns checks the order in which trainers are offered free slots.
func TestTurns(t *testing.T) {
	for name, x := range map[string]struct {
		rule     Rule
		trainers []TrainerLoad
		first    string
	}{
		"fewest for its share": {RuleFair, []TrainerLoad{{Trainer: "a", Share: 1, Running: 3}, {Trainer: "b", Share: 2, Running: 4}}, "b"},
		"nearest to whole":     {RuleNearest, []TrainerLoad{{Trainer: "a", Share: 1, Unsealed: 9}, {Trainer: "b", Share: 1, Unsealed: 4}}, "b"},
		"oldest step":          {RuleOldest, []TrainerLoad{{Trainer: "a", Share: 1, PendingSince: now}, {Trainer: "b", Share: 1, PendingSince: now.Add(-1)}}, "b"},
		"far over its share": {RuleNearest, []TrainerLoad{
			{Trainer: "a", Share: 1, Unsealed: 9, Running: 1},
			{Trainer: "b", Share: 1, Unsealed: 4, Running: 90},
			{Trainer: "c", Share: 1, Unsealed: 10},
		}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			SortTrainers(x.trainers, x.rule)
			require.Equal(t, x.first, x.trainers[0].Trainer)
		})
	}
}
