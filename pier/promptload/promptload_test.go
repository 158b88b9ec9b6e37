package promptload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.UnixMilli(1)

// measured returns a book of prompts of which nine in ten have 500 tokens and the others 30,000, which take
// 60 ms longer to read.
func measured() *Book {
	b := New()
	for i := range 200 {
		p, took := Prompt{Tokens: 500}, 5*time.Millisecond
		if i%10 == 0 {
			p.Tokens, took = simLongTokens, 65*time.Millisecond
		}
		b.Sent("e", &p, start).Read(start.Add(took))
	}
	return b
}

func TestLongPrompts(t *testing.T) {
	tests := map[string]struct {
		tokens int
		pace   time.Duration
		long   bool
	}{
		"usual":                         {500, 0, false},
		"long":                          {simLongTokens, 0, true},
		"long, streams are slow anyway": {simLongTokens, 100 * time.Millisecond, false},
		"size that was never read":      {3_000, 0, false},
		"not known":                     {0, 0, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.long, measured().IsLong(&Prompt{Tokens: c.tokens, Pace: c.pace}))
		})
	}
	require.False(t, New().IsLong(&Prompt{Tokens: simLongTokens}), "nothing is known yet")
}

// Guards against loads without long prompts whose samples are placed another way than before.
func TestPromptsThatAreAlikeOrShortChangeNothing(t *testing.T) {
	tests := map[string]func(r *rand.Rand) int{
		"all short":          func(r *rand.Rand) int { return 60 + r.IntN(957) },
		"few short, one 60":  func(r *rand.Rand) int { return 60 + 956*(r.IntN(10)/9) },
		"all long and alike": func(r *rand.Rand) int { return 20_000 + r.IntN(20_000) },
		"length not known":   func(*rand.Rand) int { return 0 },
	}
	for name, tokens := range tests {
		t.Run(name, func(t *testing.T) {
			b, r := New(), rand.New(rand.NewPCG(1, 1))
			for i := range 20_000 {
				p := Prompt{Tokens: tokens(r)}
				require.False(t, b.Concerns(&p), "prompt %d of %d tokens", i, p.Tokens)
				took := time.Duration(float64(p.Tokens)/400*1e6) + 4*time.Millisecond + time.Duration(r.ExpFloat64()*20e6)
				b.Sent(fmt.Sprint(r.IntN(6)), &p, start).Read(start.Add(took))
			}
		})
	}
}

// Guards against prompts that stay unread in the book, or are removed twice, and so keep others from engines.
func TestUnreadTokensAreThoseOfPromptsThatAreNotRead(t *testing.T) {
	b := measured()
	long, short := Prompt{Tokens: simLongTokens}, Prompt{Tokens: 500}
	l := []*Unread{b.Sent("e", &long, start), b.Sent("e", &short, start), b.Sent("f", &long, start)}
	require.Nil(t, b.Sent("e", &Prompt{}, start))
	require.Equal(t, simLongTokens+500, b.UnreadTokens("e"))
	require.True(t, b.Concerns(&short))
	require.True(t, l[0].Read(start.Add(time.Second)))
	require.False(t, l[0].Read(start.Add(time.Second)))
	require.False(t, l[0].End())
	require.False(t, l[1].End())
	require.Zero(t, b.UnreadTokens("e"))
	require.True(t, l[2].End(), "it ended without an event")
	require.False(t, b.Concerns(&short))
	require.Empty(t, b.engines)
	var none *Unread
	require.False(t, none.Read(start))
	require.False(t, none.End())
}

// Guards against a placement that puts more streams at risk than another, and against prompts that starve.
func TestWhereAPromptMayGo(t *testing.T) {
	free := func(id string, streams int) Engine { return Engine{ID: id, Free: true, Streams: streams, TokenTime: 1} }
	full := Engine{ID: "full", TokenTime: 1}
	fast, slow := free("a", 2), free("b", 2)
	slow.TokenTime = 2.4
	const long = simLongTokens
	tests := map[string]struct {
		tokens int
		l      []Engine
		// reads holds the engines that have unread long prompts, sent at start. held is how long the prompt was held.
		reads  []string
		held   time.Duration
		noWait bool
		want   []string
		reason Reason
	}{
		"long, fewest streams":                  {long, []Engine{free("a", 3), free("b", 1), free("c", 1)}, nil, 0, false, []string{"b", "c"}, Placed},
		"long, streams are at risk for longer":  {long, []Engine{fast, slow}, nil, 0, false, []string{"a"}, Placed},
		"long, not where another is read":       {long, []Engine{free("a", 1), free("b", 1)}, []string{"a"}, 0, false, []string{"b"}, Placed},
		"long, waits for fewer streams":         {long, []Engine{free("a", 0), free("b", 9)}, []string{"a"}, 0, false, nil, Held},
		"long, has waited for fewer streams":    {long, []Engine{free("a", 0), free("b", 9)}, []string{"a"}, UrgentAfter, false, []string{"b"}, Urgent},
		"long, all read one":                    {long, []Engine{free("a", 0), free("b", 9)}, []string{"a", "b"}, 0, false, nil, Held},
		"long, all read one for long":           {long, []Engine{free("a", 0), free("b", 9)}, []string{"a", "a", "b"}, UrgentAfter, false, []string{"b"}, Urgent},
		"long, all read two":                    {long, []Engine{free("a", 0), free("b", 9)}, []string{"a", "a", "b", "b"}, UrgentAfter, false, nil, Held},
		"long, all read two, starves":           {long, []Engine{free("a", 0), free("b", 9)}, []string{"a", "a", "b", "b"}, startAfter, false, []string{"a", "b"}, Urgent},
		"long, a caller waits":                  {long, []Engine{free("a", 0), free("b", 9)}, []string{"a", "b", "b"}, 0, true, []string{"a"}, Placed},
		"long, no room":                         {long, []Engine{full}, nil, 0, false, nil, Full},
		"long, no room but where one is read":   {long, []Engine{full, free("a", 1)}, []string{"a"}, 0, false, nil, Held},
		"short, nothing long":                   {500, []Engine{free("a", 3), full}, nil, 0, false, []string{"a", "full"}, Unchanged},
		"short, around":                         {500, []Engine{free("a", 0), free("b", 9), full}, []string{"a"}, 0, false, []string{"b", "full"}, AvoidsLong},
		"short, no other":                       {500, []Engine{free("a", 0), full}, []string{"a"}, 0, false, []string{"a", "full"}, BehindLong},
		"short, the other engine is far slower": {500, []Engine{fast, slow}, []string{"a"}, 0, false, []string{"a", "b"}, AvoidsLong},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := measured()
			for _, e := range c.reads {
				b.Sent(e, &Prompt{Tokens: long}, start)
			}
			now := start.Add(time.Millisecond)
			p := Prompt{Tokens: c.tokens, NoWait: c.noWait}
			if c.held > 0 {
				p.HeldSince = now.Add(-c.held)
			}
			require.Equal(t, c.reason, b.Allow(&p, c.l, now))
			require.Equal(t, c.reason == Held, p.Held)
			require.Equal(t, c.held > 0 || p.Held, !p.HeldSince.IsZero())
			var got []string
			for _, e := range c.l {
				if e.Allowed {
					got = append(got, e.ID)
				}
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against long prompts that starve while far more of them arrive than engines can read without short
// ones waiting: each is started by startAfter while there is room.
func TestNoLongPromptStarves(t *testing.T) {
	for seed := range uint64(3) {
		r := replay(simLoad{seed: seed, ms: 10_000, perSecond: 240, longShare: 0.3, burst: 16, slower: 1}, New())
		longest := r.long[len(r.long)-1]
		t.Logf("seed %d: %d long prompts, p99 %d ms, longest %d ms", seed, len(r.long), p99(r.long), longest)
		require.Greater(t, len(r.long), 400)
		require.Less(t, longest, 3_000)
	}
}

// A decision must take less than 20 us for the engines of a service that a host considers.
func BenchmarkAllow(b *testing.B) {
	for _, n := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			k := measured()
			l := make([]Engine, n)
			for i := range l {
				l[i] = Engine{ID: fmt.Sprint("e", i), Free: true, Streams: i % 9, TokenTime: 1}
				if i%4 == 0 {
					k.Sent(l[i].ID, &Prompt{Tokens: simLongTokens}, start)
				}
			}
			p := Prompt{Tokens: simLongTokens}
			for b.Loop() {
				k.Allow(&p, l, start)
			}
		})
	}
}
