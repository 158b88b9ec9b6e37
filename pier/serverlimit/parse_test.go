package serverlimit

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		fields []string
		want   float64
		bad    bool
	}{
		"whole":                {[]string{"4"}, 4, false},
		"decimal":              {[]string{"2.75"}, 2.75, false},
		"zero":                 {[]string{"0"}, 0, false},
		"spaces around":        {[]string{" 3.5\t"}, 3.5, false},
		"no digit before":      {[]string{".5"}, 0.5, false},
		"smallest of two":      {[]string{"7", "3"}, 3, false},
		"very large":           {[]string{strings.Repeat("9", 32)}, 1e32, false},
		"negative":             {[]string{"-1"}, 0, true},
		"not a number":         {[]string{"NaN"}, 0, true},
		"infinite":             {[]string{"Inf"}, 0, true},
		"no digits":            {[]string{"."}, 0, true},
		"empty":                {[]string{""}, 0, true},
		"no field":             {nil, 0, true},
		"exponent":             {[]string{"1e9"}, 0, true},
		"list in one field":    {[]string{"3, 4"}, 0, true},
		"two points":           {[]string{"1.2.3"}, 0, true},
		"too long":             {[]string{strings.Repeat("1", 33)}, 0, true},
		"one of two is spoilt": {[]string{"3", "x"}, 0, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(c.fields)
			if c.bad {
				require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest))
				return
			}
			require.NoError(t, err)
			require.InEpsilon(t, c.want+1, got+1, 1e-9)
		})
	}
}
