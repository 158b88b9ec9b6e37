package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const good = `
name = "h"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
log = "127.0.0.1:4"
[tls]
off = true
`

// TestParse covers settings that are refused, and the key that the error names.
func TestParse(t *testing.T) {
	s, err := Parse("f", []byte(good))
	require.NoError(t, err)
	require.Equal(t, int64(16<<20), s.Limits.BodyBytes)
	for name, x := range map[string]struct{ text, key string }{
		"nothing":         {"", "name"},
		"unknown setting": {"colour = 1\n" + good, "line 1, column 1: unknown setting colour"},
		"wrong type":      {"log-level = 3\n" + good, "line 1, column 13"},
		"bad level":       {"log-level = \"loud\"\n" + good, "log-level"},
		"bad duration":    {good + "[timing]\nsilence = \"soon\"", "line 12, column 11"},
		"bad order":       {good + "[policy]\norder = \"best\"", "policy.order"},
		"bad rule":        {good + "[policy]\nrule = \"best\"", "policy.rule"},
		"bad reserve":     {good + "[limits]\nreserve = 1.5", "limits.reserve"},
		"bad ratio":       {good + "[limits]\nretry-ratio = 2.0", "limits.retry-ratio"},
		"keys beside off": {good + "ca = \"x\"", "tls.off"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(x.text))
			var e *Error
			require.True(t, errors.As(err, &e), "%v", err)
			require.Equal(t, "f", e.File)
			require.Equal(t, x.key, e.Key)
			require.NotEmpty(t, e.Reason)
		})
	}
}

// FuzzParse feeds settings of any kind.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Parse("f", b)
		var e *Error
		require.True(t, err == nil || errors.As(err, &e))
	})
}
