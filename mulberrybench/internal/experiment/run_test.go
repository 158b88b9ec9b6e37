package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSameSeed covers that a run gives the same result from the same seed, that
// nothing is handed over above the bound, and that every step is whole.
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
				require.Zero(t, a.Over)
				require.Len(t, a.Steps, 3*len(c.Trainers))
			}
		})
	}
}
