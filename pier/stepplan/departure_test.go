package stepplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A sample that stays too long is cut off, and one that leaves too early gives up a slot while slots are scarce.
func TestMustLeave(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		r    LeavingRun
		want bool
	}{
		"time left":                   {LeavingRun{Left: 2 * time.Second, Tokens: 1, Expected: 1000, TokenTime: 10 * ms}, false},
		"ends in time":                {LeavingRun{Left: 900 * ms, Tokens: 60, Expected: 100, TokenTime: 10 * ms}, false},
		"ends just too late":          {LeavingRun{Left: 900 * ms, Tokens: 49, Expected: 100, TokenTime: 10 * ms}, true},
		"slow server":                 {LeavingRun{Left: 900 * ms, Tokens: 60, Expected: 100, TokenTime: 24 * ms}, true},
		"unknown length":              {LeavingRun{Left: 900 * ms, Tokens: 60, Longest: 1000, TokenTime: 10 * ms}, true},
		"unknown, all others shorter": {LeavingRun{Left: 900 * ms, Tokens: 60, Longest: 80, TokenTime: 10 * ms}, false},
		"longer than expected":        {LeavingRun{Left: 900 * ms, Tokens: 101, Expected: 100, Longest: 1000, TokenTime: 10 * ms}, true},
		"the longest of all":          {LeavingRun{Left: 900 * ms, Tokens: 101, Expected: 100, Longest: 101, TokenTime: 10 * ms}, true},
		"unknown pace":                {LeavingRun{Left: 900 * ms, Tokens: 99, Expected: 100}, true},
		"past the end":                {LeavingRun{Left: -ms, Tokens: 99, Expected: 100, TokenTime: ms}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.r.MustLeave()) })
	}
}
