package chart

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

// TestWalk performs a random walk on each embedded chart: every event must lead to
// the state that the file defines, and an unknown event must panic as a bug and
// leave the state unchanged.
func TestWalk(t *testing.T) {
	for _, n := range Names() {
		t.Run(n, func(t *testing.T) {
			c := Load(n)
			require.Equal(t, n, c.Name())
			rapid.Check(t, func(t *rapid.T) {
				s := c.Initial()
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					l := c.Events(s)
					if len(l) == 0 {
						require.True(t, c.Final(s))
						return
					}
					was, e := s, rapid.SampledFrom(l).Draw(t, "event")
					require.True(t, c.Fire(&s, e))
					require.Contains(t, c.f.Transitions, Transition{was, e, s})
					was = s
					require.Panics(t, func() { c.Fire(&s, "no such event") })
					require.Equal(t, was, s)
				}
			})
		})
	}
}

// TestCheck checks that invalid chart files are rejected.
func TestCheck(t *testing.T) {
	for name, b := range map[string]string{
		"no name":     `initial = "a"`,
		"unknown key": "name = \"x\"\ninitial = \"a\"\ncolour = 1",
		"unreachable": "name = \"x\"\ninitial = \"a\"\nfinal = [\"a\", \"c\"]\n[[transitions]]\nfrom = \"b\"\non = \"e\"\nto = \"c\"",
		"no way out":  "name = \"x\"\ninitial = \"a\"\n[[transitions]]\nfrom = \"a\"\non = \"e\"\nto = \"b\"",
		"doubled":     "name = \"x\"\ninitial = \"a\"\nfinal = [\"b\"]\n[[transitions]]\nfrom = \"a\"\non = \"e\"\nto = \"b\"\n[[transitions]]\nfrom = \"a\"\non = \"e\"\nto = \"b\"",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(b))
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest), "%v", err)
		})
	}
}
