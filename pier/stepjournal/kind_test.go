package stepjournal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIsProgress(t *testing.T) {
	progress, err := Saved("s", &Progress{Text: "t"})
	require.NoError(t, err)
	result, err := Finished(&Result{Step: "s", Text: "t"})
	require.NoError(t, err)
	ended, err := Ended("s", time.Now())
	require.NoError(t, err)
	tests := map[string]struct {
		b    []byte
		want bool
	}{
		"progress":     {progress, true},
		"result":       {result, false},
		"end":          {ended, false},
		"empty":        {nil, false},
		"no record":    {[]byte("x"), false},
		"broken off":   {progress[:2], false},
		"empty record": {[]byte{0x80}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, IsProgress(c.b)) })
	}
}
