package incarnation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIsOf(t *testing.T) {
	require.NotEqual(t, NewName("a"), NewName("a"))
	tests := map[string]struct {
		name string
		want bool
	}{
		"an incarnation":       {NewName("a"), true},
		"of a longer name":     {NewName("a-1"), false},
		"of another host":      {NewName("b"), false},
		"the host itself":      {"a", false},
		"the part is not hex":  {"a-zzzzzzzzzzzz", false},
		"nobody":               {"", false},
		"the part is too long": {NewName("a") + "00", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, IsOf(c.name, "a")) })
	}
}
