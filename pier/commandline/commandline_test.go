package commandline

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type runCmd struct {
	Fail bool `help:"Fail."`
}

func (c *runCmd) Run(calls *int) error {
	*calls++
	if c.Fail {
		return errors.New("requested failure")
	}
	return nil
}

type commands struct {
	Run runCmd `cmd:"" help:"Run."`
}

// TestExitCodes checks the exit code, and whether the subcommand ran, for command lines
// that are valid and that are not.
func TestExitCodes(t *testing.T) {
	exitSeven := func(error) int { return 7 }
	tests := map[string]struct {
		args   []string
		exitOf func(error) int
		want   int
		calls  int
	}{
		"success":            {[]string{"run"}, nil, ExitOK, 1},
		"failure":            {[]string{"run", "--fail"}, nil, ExitFailed, 1},
		"failure of its own": {[]string{"run", "--fail"}, exitSeven, 7, 1},
		"unknown flag":       {[]string{"run", "--no"}, exitSeven, ExitUsage, 0},
		"no subcommand":      {nil, nil, ExitUsage, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			calls := 0
			require.Equal(t, c.want, Main(Config{Name: "x", Commands: &commands{}, Bind: []any{&calls}, ExitOf: c.exitOf}, c.args))
			require.Equal(t, c.calls, calls)
		})
	}
}
