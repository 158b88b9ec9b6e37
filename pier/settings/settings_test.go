package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `
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

// TestParse checks that invalid settings are rejected with an error that names the
// setting or its position.
func TestParse(t *testing.T) {
	s, err := Parse("f", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, int64(16<<20), s.Limits.BodyBytes)
	for name, x := range map[string]struct{ text, key string }{
		"nothing":         {"", "name"},
		"unknown setting": {"colour = 1\n" + validSettings, "line 1, column 1: unknown setting colour"},
		"wrong type":      {"log-level = 3\n" + validSettings, "line 1, column 13"},
		"bad level":       {"log-level = \"loud\"\n" + validSettings, "log-level"},
		"bad duration":    {validSettings + "[timing]\nsilence = \"soon\"", "line 12, column 11"},
		"bad order":       {validSettings + "[policy]\norder = \"best\"", "policy.order"},
		"bad rule":        {validSettings + "[policy]\nrule = \"best\"", "policy.rule"},
		"bad reserve":     {validSettings + "[limits]\nreserve = 1.5", "limits.reserve"},
		"bad ratio":       {validSettings + "[limits]\nretry-ratio = 2.0", "limits.retry-ratio"},
		"keys beside off": {validSettings + "ca = \"x\"", "tls.off"},
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

// FuzzParse checks that every error of Parse is an *Error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Parse("f", b)
		var e *Error
		require.True(t, err == nil || errors.As(err, &e))
	})
}
