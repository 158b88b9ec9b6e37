package incarnation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIsOf(t *testing.T) {
	require.NotEqual(t, Of("a"), Of("a"))
	tests := map[string]struct {
		name string
		want bool
	}{
		"an incarnation":       {Of("a"), true},
		"of a longer name":     {Of("a-1"), false},
		"of another host":      {Of("b"), false},
		"the host itself":      {"a", false},
		"the part is not hex":  {"a-zzzzzzzzzzzz", false},
		"nobody":               {"", false},
		"the part is too long": {Of("a") + "00", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, IsOf(c.name, "a")) })
	}
}
