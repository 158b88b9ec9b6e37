package release

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

const good = `
id = "n"
[[added.deployments]]
name = "d"
[[added.servers]]
name = "s"
address = "10.0.0.1:80"
deployment = "d"
capacity = 4
`

// TestParse checks that invalid notes are rejected, and that the error names the
// line or the entry.
func TestParse(t *testing.T) {
	_, err := Parse([]byte(good))
	require.NoError(t, err)
	for name, x := range map[string]struct{ note, place string }{
		"not TOML":        {"id = ", "line 1"},
		"unknown field":   {"id = \"n\"\ncolour = 1", "line 2"},
		"wrong type":      {"id = 7", "line 1"},
		"no id":           {"base = 1", "id:"},
		"nothing touched": {"id = \"n\"", "note:"},
		"touched twice":   {good + "[[changed.servers]]\nname = \"s\"\naddress = \"10.0.0.1:80\"\ndeployment = \"d\"\ncapacity = 4", "server/s"},
		"no address":      {"id = \"n\"\n[[added.servers]]\nname = \"s\"\ndeployment = \"d\"\ncapacity = 1", "server/s"},
		"bad address":     {"id = \"n\"\n[[added.servers]]\nname = \"s\"\naddress = \"nowhere\"", "line 4"},
		"no capacity":     {"id = \"n\"\n[[added.servers]]\nname = \"s\"\naddress = \"10.0.0.1:80\"\ndeployment = \"d\"", "server/s"},
		"two pools":       {"id = \"n\"\n[[added.servers]]\nname = \"s\"\naddress = \"10.0.0.1:80\"\ndeployment = \"d\"\nservice = \"v\"\ncapacity = 1", "server/s"},
		"idle weight":     {"id = \"n\"\n[[added.deployments]]\nname = \"d\"\nidle-weight = 2.0", "deployment/d"},
		"negative bound":  {"id = \"n\"\n[[added.trainers]]\nname = \"t\"\ndeployment = \"d\"\nstaleness-bound = -1", "trainer/t"},
		"negative base":   {"base = -1\n" + good, "base:"},
		"bad duration":    {"id = \"n\"\n[[added.services]]\nname = \"v\"\ntimeout = \"soon\"", "line 4"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(x.note))
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest), "%v", err)
			require.Contains(t, err.Error(), x.place)
		})
	}
}

// FuzzParse feeds arbitrary input to Parse. A note that is accepted must be
// accepted again after it is encoded by TOML.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("id = \"n\"\n[[withdrawn]]\nkind = \"server\"\nname = \"s\""))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Parse(b)
		if err != nil {
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest))
			return
		}
		c, err := n.TOML()
		require.NoError(t, err)
		m, err := Parse(c)
		require.NoError(t, err, "%s", c)
		require.Equal(t, n.Keys(), m.Keys())
	})
}
