package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"mulberrypier.example/mulberrybench/internal/scenario"
	ctl "mulberrypier.example/mulberryctl/cmd"
	daemon "mulberrypier.example/mulberryd/cmd"
)

// TestMain lets the scripts run the programs as processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mulberryd":   func() { os.Exit(daemon.Main(os.Args[1:])) },
		"mulberryctl": func() { os.Exit(ctl.Main(os.Args[1:])) },
	})
}

// TestScenarios runs the scripts in testdata.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: scenario.Setup, Cmds: scenario.Commands()})
}
