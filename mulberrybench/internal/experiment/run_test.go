package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSameSeed checks that two runs with the same seed give the same result, that no
// sample is handed over above its staleness bound, and that every step completes.
func TestSameSeed(t *testing.T) {
	for name, file := range map[string]string{
		"faults":   "certificados",
		"strict":   "qaragandy",
		"chat":     "chat",
		"one load": "swaps",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := Read("../../experiments/" + file + ".toml")
			require.NoError(t, err)
			c.Steps = 3
			for i := range c.Trainers {
				c.Trainers[i].Groups /= 4
			}
			for i := range c.Policies {
				a, b := Run(c, &c.Policies[i], 7), Run(c, &c.Policies[i], 7)
				require.Equal(t, a, b, "%s", c.Policies[i].Name)
				require.Zero(t, a.OverBound)
				require.Len(t, a.Steps, 3*len(c.Trainers))
			}
		})
	}
}
