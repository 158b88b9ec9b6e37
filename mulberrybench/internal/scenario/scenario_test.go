package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"mulberrypier.example/mulberrybench/internal/scenario"
	ctl "mulberrypier.example/mulberryctl/cmd"
	daemon "mulberrypier.example/mulberryd/cmd"
)

// TestMain makes the programs available to the scripts as commands, which run as
// processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mulberryd":   func() { os.Exit(daemon.Main(os.Args[1:])) },
		"mulberryctl": func() { os.Exit(ctl.Main(os.Args[1:])) },
	})
}

// TestProcesses runs the scripts whose hosts are processes of their own. It does not run
// in parallel with TestEmbedded: a forked child holds the listeners of this process open
// until it executes its program, so a crashed stand-in would still accept connections.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/processes", Setup: scenario.Setup, Cmds: scenario.Commands()})
}

// TestEmbedded runs the scripts whose hosts run in this process.
func TestEmbedded(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/embedded", Setup: scenario.Setup, Cmds: scenario.Commands()})
}
