package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/settings"
)

// TestReadSettings covers files that are rejected, and the key or line that the error
// names.
func TestReadSettings(t *testing.T) {
	b, err := toml.Marshal(newHost(t, "a", newLog().Functions()).s)
	require.NoError(t, err)
	good := string(b)
	tests := map[string]struct{ text, key string }{
		"good":            {good, ""},
		"unknown setting": {strings.Replace(good, "loads-at-once", "loads-at-onec", 1), "policy.loads-at-onec"},
		"wrong type":      {strings.Replace(good, "processor-share = 0.5", "processor-share = 'half'", 1), "line "},
		"out of range":    {strings.Replace(good, "loads-at-once = 0.2", "loads-at-once = 2.0", 1), "policy.loads-at-once"},
		"missing":         {strings.Replace(good, "processor-share = 0.5", "", 1), "processor-share"},
		"no TOML":         {"name =", "line 1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := filepath.Join(t.TempDir(), "settings.toml")
			require.NoError(t, os.WriteFile(p, []byte(c.text), 0o600))
			s, err := ReadSettings(p)
			if c.key == "" {
				require.NoError(t, err)
				require.Equal(t, "a", s.Name)
				return
			}
			var e *settings.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, p, e.File)
			require.Contains(t, e.Key, c.key)
			require.NotEmpty(t, e.Reason)
		})
	}
}
