package stepjournal

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// acceptedStep returns the records of a step of an organisation.
func acceptedStep(t *testing.T, organisation string, limit int) [][]byte {
	t.Helper()
	b, err := Accepted(&Step{
		ID: "s", Model: "m", Organisation: organisation, Submitted: time.Unix(100, 0),
		Items: []Item{{ID: "i", Path: "/p", Body: []byte(strings.Repeat("x", 5000))}},
	}, Driver{Host: "a"}, limit)
	require.NoError(t, err)
	return b
}

func foldOf(records [][]byte) *Fold {
	f := NewFold(FoldConfig{Now: standing})
	for _, b := range records {
		_ = f.Apply(b)
	}
	return f
}

// Guards against a step that loses its organisation, and so is readable by all of them: when it is replayed, read
// from the log to be resumed, or restored from a checkpoint. A long name must not make a record too large.
func TestStepKeepsItsOrganisation(t *testing.T) {
	for _, name := range []string{"o", strings.Repeat("long", 400)} {
		const limit = 4096
		b := acceptedStep(t, name, limit)
		require.Greater(t, len(b), 1)
		for _, r := range b {
			require.LessOrEqual(t, len(r), limit)
		}
		f := foldOf(b)
		require.Equal(t, name, f.Step("s").Organisation)
		s, err := DecodeStep(b)
		require.NoError(t, err)
		require.Equal(t, name, s.Organisation)
		c, ok := f.Checkpoint(0)
		require.True(t, ok)
		r := NewFold(FoldConfig{Now: standing})
		require.NoError(t, r.Restore(c, 0))
		require.Equal(t, name, r.Step("s").Organisation)
	}
}

// Guards against a checkpoint that a program without organisations restores although it would drop them, and against
// one that no such program restores although there are none.
func TestCheckpointFormatChangesWithOrganisations(t *testing.T) {
	for name, want := range map[string]int{"": checkpointFormat, "o": organisationFormat} {
		b, ok := foldOf(acceptedStep(t, name, 4096)).Checkpoint(0)
		require.True(t, ok)
		var c checkpoint
		require.NoError(t, msgpack.Unmarshal(b, &c))
		require.Equal(t, want, c.Format)
		require.Equal(t, name != "", strings.Contains(string(b), "\xa1o"))
	}
}

// Guards against records that an older program cannot read: it must decode the step and ignore the organisation.
func TestOlderProgramReadsRecordsOfOrganisations(t *testing.T) {
	var old struct {
		Kind   kind   `msgpack:"k"`
		Step   string `msgpack:"s"`
		Driver Driver `msgpack:"d,omitempty"`
		Chunks int    `msgpack:"n,omitempty"`
		Data   []byte `msgpack:"b,omitempty"`
	}
	require.NoError(t, msgpack.Unmarshal(acceptedStep(t, "o", 1<<20)[0], &old))
	var s struct {
		ID    string `msgpack:"i"`
		Items []Item `msgpack:"l"`
	}
	require.NoError(t, msgpack.Unmarshal(old.Data, &s))
	require.Equal(t, []any{kindAccepted, "s", "a", "s", 1}, []any{old.Kind, old.Step, old.Driver.Host, s.ID, len(s.Items)})
}
