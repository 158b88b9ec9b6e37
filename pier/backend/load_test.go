package backend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Servers that state a slowdown, or a malformed one, must not be taken for idle ones, and three figures
// mean what they meant before there was a fourth.
func TestStatedLoad(t *testing.T) {
	tests := map[string]struct {
		header string
		load   Load
		ok     bool
	}{
		"three figures":           {"1,2,6", Load{Running: 1, Waiting: 2, Slots: 6}, true},
		"with spaces":             {" 1 , 2, 6 , 250", Load{Running: 1, Waiting: 2, Slots: 6, SlowdownPercent: 250}, true},
		"normal speed":            {"0,0,6,100", Load{Slots: 6, SlowdownPercent: 100}, true},
		"faster than normal":      {"0,0,6,40", Load{Slots: 6, SlowdownPercent: 40}, true},
		"absurd slowdown":         {"0,0,6,99999999", Load{Slots: 6, SlowdownPercent: maxSlowdownPercent}, true},
		"slowdown beyond numbers": {"0,0,6,99999999999", Load{}, false},
		"running beyond numbers":  {"9223372036854775807,1,6", Load{}, false},
		"no slowdown":             {"0,0,6,", Load{}, false},
		"slowdown of 0":           {"0,0,6,0", Load{}, false},
		"negative slowdown":       {"0,0,6,-100", Load{}, false},
		"fraction":                {"0,0,6,1.5", Load{}, false},
		"negative":                {"-1,0,6", Load{}, false},
		"two figures":             {"1,2", Load{}, false},
		"five figures":            {"1,2,6,100,1", Load{}, false},
		"nothing":                 {"", Load{}, false},
		"no numbers":              {"a,b,c", Load{}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l, ok := parseLoad(c.header)
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.load, l)
		})
	}
}

func FuzzStatedLoad(f *testing.F) {
	f.Add("1,2,6,250")
	f.Fuzz(func(t *testing.T, s string) {
		l, ok := parseLoad(s)
		if !ok {
			return
		}
		require.GreaterOrEqual(t, min(l.Running, l.Waiting, l.Slots, l.SlowdownPercent), 0)
		require.LessOrEqual(t, l.SlowdownPercent, maxSlowdownPercent)
	})
}
